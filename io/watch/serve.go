package watch

import (
	"context"
	"time"

	"coltsfootloft/io/watch/watchpb"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// longestWait bounds what another host may ask to be held.
const longestWait = 5 * time.Second

// answer serves the requests of other hosts.
func (w *Watcher) answer(ctx context.Context, from string, body []byte) ([]byte, error) {
	request := &watchpb.Request{}
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, errors.Wrapf(err, "request of %s", from)
	}
	switch k := request.GetKind().(type) {
	case *watchpb.Request_Poll:
		return w.servePoll(ctx, k.Poll)
	case *watchpb.Request_Barrier:
		return w.serveBarrier(ctx, k.Barrier)
	}
	return nil, errors.Errorf("request of %s is of no known kind", from)
}

func (w *Watcher) servePoll(ctx context.Context, p *watchpb.Poll) ([]byte, error) {
	arrived := w.clock().Now()
	groups := make([]*group, 0, len(p.GetGroups()))
	for _, s := range p.GetGroups() {
		g, err := w.demand(s.GetGroup())
		if err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	w.await(ctx, p, groups)
	// The time held must not pass that of the readings' ages, or these would
	// seem newer than they are.
	update := &watchpb.Update{
		HeldNanos: int64(w.clock().Since(arrived)),
	}
	for i, g := range groups {
		update.Groups = append(update.Groups, g.encode(p.GetGroups()[i]))
	}
	return proto.Marshal(update)
}

// await returns once a group has news for the poll, or its time has passed.
func (w *Watcher) await(ctx context.Context, p *watchpb.Poll, groups []*group) {
	limit := w.clock().After(min(time.Duration(p.GetWaitNanos()), longestWait))
	for {
		heard := w.bell.heard()
		for i, g := range groups {
			switch g.news(p.GetGroups()[i]) {
			case nothing:
			case first:
				return
			case more:
				if !p.GetHurry() {
					pause(ctx, w.clock(), gatherPeriod)
				}
				return
			}
		}
		select {
		case <-heard:
		case <-limit:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) serveBarrier(ctx context.Context, b *watchpb.Barrier) ([]byte, error) {
	g, err := w.demand(b.GetGroup())
	if err != nil {
		return nil, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock(), min(time.Duration(b.GetWaitNanos()), longestWait))
	defer cancel()
	p, err := g.barrier(ctx, g.ring)
	return proto.Marshal(&watchpb.Position{
		Term:    p.Term().String(),
		Offset:  p.Offset(),
		Unheard: err != nil,
	})
}

// demand returns a group that another host asks for, and sees to its being
// observed.
func (w *Watcher) demand(name string) (*group, error) {
	g := w.group(name)
	if g == nil {
		return nil, errors.Errorf("database group %q is not configured here", name)
	}
	if g.demand() {
		w.mu.Lock()
		w.rouse()
		w.mu.Unlock()
	}
	return g, nil
}

// news is what a group has to tell a polling host.
type news uint8

const (
	nothing news = iota
	// first: the polling host has nothing of this epoch.
	first
	more
)

func (g *group) news(s *watchpb.Seen) news {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case s.GetEpoch() != g.epoch:
		return first
	case s.GetSequence() < g.sequence:
		return more
	}
	return nothing
}

package watch

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"
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
	relayPolls.Inc()
	names, ok := w.sets.names(p)
	if !ok {
		return proto.Marshal(&watchpb.Update{
			UnknownSet: true,
		})
	}
	groups := make([]*group, 0, len(names))
	for _, n := range names {
		g, err := w.demand(n)
		if err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	epoch, _ := w.bell.last()
	seen := p.GetSequence()
	if p.GetEpoch() != epoch {
		seen = 0
	}
	if err := w.await(ctx, p, seen, groups); err != nil {
		return nil, err
	}
	// The time held must not pass that of the readings' ages, or these would
	// seem newer than they are.
	_, last := w.bell.last()
	update := &watchpb.Update{
		Epoch:     epoch,
		Sequence:  last,
		HeldNanos: int64(w.clock().Since(arrived)),
	}
	for _, g := range groups {
		m, quiet := g.encode(seen)
		if m != nil {
			update.Groups = append(update.Groups, m)
		}
		update.QuietNanos = max(update.QuietNanos, int64(quiet))
	}
	return proto.Marshal(update)
}

// await returns once there is news for the poll, or its time has passed.
func (w *Watcher) await(ctx context.Context, p *watchpb.Poll, seen uint64, groups []*group) error {
	limit := w.clock().After(min(time.Duration(p.GetWaitNanos()), longestWait))
	ready := func() bool { return slices.ContainsFunc(groups, func(g *group) bool { return g.newer(seen) }) }
	if p.GetUntil() != nil && !p.GetHurry() {
		until, err := decodePosition(p.GetUntil())
		if err != nil {
			return err
		}
		ready = func() bool { return groups[0].decided(until) }
	}
	for {
		heard := w.bell.heard()
		if ready() {
			if !p.GetHurry() && p.GetUntil() == nil && seen > 0 {
				pause(ctx, w.clock(), gatherPeriod)
			}
			return nil
		}
		select {
		case <-heard:
		case <-limit:
			return nil
		case <-ctx.Done():
			return ctx.Err()
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
	answer := encodePosition(p)
	answer.Unheard = err != nil
	return proto.Marshal(answer)
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

// newer reports whether the group has changed since the numbered change.
func (g *group) newer(seen uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sequence > seen
}

// decided reports whether the wait for p is over.
func (g *group) decided(p coltsfootloft.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	done, _ := g.verdict(p)
	return done
}

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

// maxHold bounds how long a request of another host is held, whatever time it
// asks for.
const maxHold = 5 * time.Second

// answer handles a request of another host.
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
		g, err := w.requestedGroup(n)
		if err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	epoch, _ := w.notifier.last()
	since := p.GetSequence()
	if p.GetEpoch() != epoch {
		since = 0
	}
	if err := w.await(ctx, p, since, groups); err != nil {
		return nil, err
	}
	// Take the hold time before the ages of the readings: a hold time taken
	// later would make the readings seem newer than they are.
	_, last := w.notifier.last()
	update := &watchpb.Update{
		Epoch:     epoch,
		Sequence:  last,
		HeldNanos: int64(w.clock().Since(arrived)),
	}
	for _, g := range groups {
		m, quiet := g.encodeChanges(since)
		if m != nil {
			update.Groups = append(update.Groups, m)
		}
		update.QuietNanos = max(update.QuietNanos, int64(quiet))
	}
	return proto.Marshal(update)
}

// await returns once there is something to answer to the poll, or its time has
// passed.
func (w *Watcher) await(ctx context.Context, p *watchpb.Poll, since uint64, groups []*group) error {
	limit := w.clock().After(min(time.Duration(p.GetWaitNanos()), maxHold))
	ready := func() bool { return slices.ContainsFunc(groups, func(g *group) bool { return g.changedSince(since) }) }
	if p.GetUntil() != nil && !p.GetHurry() {
		until, err := decodePosition(p.GetUntil())
		if err != nil {
			return err
		}
		ready = func() bool { return groups[0].isDecided(until) }
	}
	for {
		changed := w.notifier.changed()
		if ready() {
			if !p.GetHurry() && p.GetUntil() == nil && since > 0 {
				pause(ctx, w.clock(), batchPeriod)
			}
			return nil
		}
		select {
		case <-changed:
		case <-limit:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *Watcher) serveBarrier(ctx context.Context, b *watchpb.Barrier) ([]byte, error) {
	g, err := w.requestedGroup(b.GetGroup())
	if err != nil {
		return nil, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock(), min(time.Duration(b.GetWaitNanos()), maxHold))
	defer cancel()
	p, err := g.barrier(ctx, g.wakeProbes)
	answer := encodePosition(p)
	answer.Unheard = err != nil
	return proto.Marshal(answer)
}

// requestedGroup returns a group that another host asks for and makes this host
// observe it.
func (w *Watcher) requestedGroup(name string) (*group, error) {
	g := w.group(name)
	if g == nil {
		return nil, errors.Errorf("database group %q is not configured here", name)
	}
	if g.markRequested() {
		w.mu.Lock()
		w.wakeRun()
		w.mu.Unlock()
	}
	return g, nil
}

// changedSince reports whether the group has changed since the change with the
// given number.
func (g *group) changedSince(since uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sequence > since
}

// isDecided reports whether the outcome of the write at p is known.
func (g *group) isDecided(p coltsfootloft.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	done, _ := g.writeOutcome(p)
	return done
}

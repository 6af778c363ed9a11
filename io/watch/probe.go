package watch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// probeTimeout bounds one probe.
const probeTimeout = 500 * time.Millisecond

// probeResult is the newest answer of a database to a probe, and the number of
// the last barrier requested before the probe was sent.
type probeResult struct {
	barrier uint64
	reading coltsfootloft.Reading
}

// pendingBarrier is a barrier that waits until a majority has answered probes
// sent after its request.
type pendingBarrier struct {
	number uint64
	result chan coltsfootloft.Position
}

// barrier waits for a position that covers a majority. The function wake
// triggers the probes, or requests the barrier from the observer.
func (g *group) barrier(ctx context.Context, wake func()) (coltsfootloft.Position, error) {
	g.mu.Lock()
	barriersAsked.Inc()
	g.lastBarrier++
	b := &pendingBarrier{
		number: g.lastBarrier,
		result: make(chan coltsfootloft.Position, 1),
	}
	g.barriers[b] = struct{}{}
	g.mu.Unlock()
	wake()
	select {
	case p := <-b.result:
		return p, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.barriers, b)
	g.mu.Unlock()
	return coltsfootloft.Position{}, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable,
		"no majority of database group "+g.settings.Name()+" answered in time")
}

// probe reads one database whenever a barrier waits for it, until ctx ends.
func (g *group) probe(ctx context.Context, name string, d coltsfootloft.Database) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.probeSignals[name]:
		}
		for ctx.Err() == nil {
			last, needed := g.needsProbe(name)
			if !needed {
				break
			}
			callCtx, cancel := clockwork.WithTimeout(ctx, g.clock, probeTimeout)
			barrierProbes.Inc()
			r, err := d.Status(callCtx)
			cancel()
			if err != nil {
				pause(ctx, g.clock, retryDelay)
				continue
			}
			g.applyProbe(name, last, r)
			if !quorum.HasState(r) {
				pause(ctx, g.clock, retryDelay)
			}
		}
	}
}

// needsProbe reports whether a barrier waits for a new probe of the database,
// and returns the number of the last barrier that a probe sent now serves.
func (g *group) needsProbe(database string) (last uint64, needed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b := range g.barriers {
		if b.number > g.probeResults[database].barrier {
			return g.lastBarrier, true
		}
	}
	return g.lastBarrier, false
}

// applyProbe stores the answer to a probe and completes the barriers for which
// a majority has now answered.
func (g *group) applyProbe(database string, barrier uint64, r coltsfootloft.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evaluate(database, r)
	if !quorum.HasState(r) {
		delete(g.probeResults, database)
		return
	}
	g.probeResults[database] = probeResult{
		barrier: barrier,
		reading: r,
	}
	g.completeBarriers(g.majorityPosition())
}

// completeBarriers completes the barriers up to number last with position p.
// The lock must be held.
func (g *group) completeBarriers(p coltsfootloft.Position, last uint64) {
	for b := range g.barriers {
		if b.number <= last {
			delete(g.barriers, b)
			b.result <- p
		}
	}
}

// wakeProbes wakes the probers of all databases.
func (g *group) wakeProbes() {
	for _, c := range g.probeSignals {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// majorityPosition returns the greatest position among the newest probe results
// of a majority, and the number of the last barrier requested before all of
// these probes were sent. The lock must be held.
func (g *group) majorityPosition() (p coltsfootloft.Position, last uint64) {
	if len(g.probeResults) < g.size.Majority() {
		return p, 0
	}
	newest := slices.SortedFunc(maps.Values(g.probeResults), func(a, b probeResult) int { return cmp.Compare(b.barrier, a.barrier) })
	newest = newest[:g.size.Majority()]
	for _, r := range newest {
		if !p.Covers(r.reading.Received()) {
			p = r.reading.Received()
		}
	}
	return p, newest[len(newest)-1].barrier
}

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

// probeLimit is when a probe without an answer is given up.
const probeLimit = 500 * time.Millisecond

// probed is the newest answer of a database to a probe, and the number of the
// last barrier asked for before the probe was sent.
type probed struct {
	asked   uint64
	reading coltsfootloft.Reading
}

// pending is a barrier that waits for a majority of probes sent after it.
type pending struct {
	asked  uint64
	result chan coltsfootloft.Position
}

// barrier waits for a position of a majority. What wakes the probes, or asks the
// observer, is given.
func (g *group) barrier(ctx context.Context, wake func()) (coltsfootloft.Position, error) {
	g.mu.Lock()
	barriersAsked.Inc()
	g.barred++
	b := &pending{
		asked:  g.barred,
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

// probe reads one database whenever a barrier waits for it.
func (g *group) probe(ctx context.Context, name string, d coltsfootloft.Database) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.probes[name]:
		}
		for ctx.Err() == nil {
			asked, wanted := g.wanted(name)
			if !wanted {
				break
			}
			c, cancel := clockwork.WithTimeout(ctx, g.clock, probeLimit)
			barrierProbes.Inc()
			r, err := d.Status(c)
			cancel()
			if err != nil {
				pause(ctx, g.clock, retryPause)
				continue
			}
			g.answer(name, asked, r)
			if !quorum.HasState(r) {
				pause(ctx, g.clock, retryPause)
			}
		}
	}
}

// wanted reports whether a barrier waits for a new probe of the database, and
// the number of the last barrier that a probe sent now serves.
func (g *group) wanted(database string) (asked uint64, wanted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b := range g.barriers {
		if b.asked > g.rounds[database].asked {
			return g.barred, true
		}
	}
	return g.barred, false
}

// answer takes in a probe and completes the barriers that it makes a majority
// for.
func (g *group) answer(database string, asked uint64, r coltsfootloft.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(database, r)
	if !quorum.HasState(r) {
		delete(g.rounds, database)
		return
	}
	g.rounds[database] = probed{
		asked:   asked,
		reading: r,
	}
	g.serve(g.covered())
}

// serve completes the barriers up to the numbered one. The lock is held.
func (g *group) serve(p coltsfootloft.Position, served uint64) {
	for b := range g.barriers {
		if b.asked <= served {
			delete(g.barriers, b)
			b.result <- p
		}
	}
}

// ring wakes the probes.
func (g *group) ring() {
	for _, c := range g.probes {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// covered returns the greatest position of a majority of probes, and the number
// of the last barrier that all of these were sent after. The lock is held.
func (g *group) covered() (p coltsfootloft.Position, served uint64) {
	if len(g.rounds) < g.size.Majority() {
		return p, 0
	}
	newest := slices.SortedFunc(maps.Values(g.rounds), func(a, b probed) int { return cmp.Compare(b.asked, a.asked) })
	newest = newest[:g.size.Majority()]
	for _, r := range newest {
		if !p.Covers(r.reading.Received()) {
			p = r.reading.Received()
		}
	}
	return p, newest[len(newest)-1].asked
}

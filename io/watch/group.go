package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/fresh"
	"coltsfootloft/core/quorum"
)

// silenceThreshold is how long a database must not have answered for its next
// answer to count as a change, even with the same reading.
const silenceThreshold = 500 * time.Millisecond

// group is the state of one database group as this host knows it.
type group struct {
	settings     coltsfootloft.Group
	size         quorum.Size
	clock        clockwork.Clock
	probeSignals map[string]chan struct{}
	notifier     *notifier

	mu           sync.Mutex
	readings     map[string]coltsfootloft.Reading
	requested    map[string]time.Time
	answered     map[string]time.Time
	changed      chan struct{}
	sequence     uint64
	observer     observer
	ledger       *quorum.Ledger
	bounds       *fresh.Bounds
	waiters      map[*waiter]struct{}
	lastBarrier  uint64
	probeResults map[string]probeResult
	barriers     map[*pendingBarrier]struct{}
}

// waiter is a caller that waits until a majority holds its write.
type waiter struct {
	position coltsfootloft.Position
	result   chan error
}

func newGroup(s coltsfootloft.Group, clock clockwork.Clock, n *notifier) *group {
	upstreams := s.Upstreams()
	size := quorum.Size(len(upstreams))
	g := &group{
		settings:     s,
		size:         size,
		clock:        clock,
		notifier:     n,
		probeSignals: make(map[string]chan struct{}, size),
		readings:     make(map[string]coltsfootloft.Reading, size),
		requested:    make(map[string]time.Time, size),
		answered:     make(map[string]time.Time, size),
		changed:      make(chan struct{}),
		ledger:       quorum.NewLedger(size),
		bounds:       fresh.NewBounds(size),
		waiters:      make(map[*waiter]struct{}),
		probeResults: make(map[string]probeResult, size),
		barriers:     make(map[*pendingBarrier]struct{}),
	}
	for _, u := range upstreams {
		g.probeSignals[u.Name()] = make(chan struct{}, 1)
	}
	return g
}

// apply stores the newest reading of a database, with the times at which it was
// requested and answered.
func (g *group) apply(database string, requested, answered time.Time, r coltsfootloft.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLocked(database, requested, answered, r)
}

// applyLocked is apply for callers that hold the lock.
func (g *group) applyLocked(database string, requested, answered time.Time, r coltsfootloft.Reading) {
	afterSilence := answered.Sub(g.answered[database]) > silenceThreshold
	g.requested[database] = requested
	g.answered[database] = answered
	g.bounds.Note(database, requested, r)
	g.evaluate(database, r)
	old, known := g.readings[database]
	if known && old == r && !afterSilence {
		return
	}
	if old != r || !known {
		g.readings[database] = r
		g.sequence = g.notifier.notify()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// evaluate processes a reading that may be older than the newest one, and
// releases the callers whose outcome it decides. The lock must be held.
func (g *group) evaluate(database string, r coltsfootloft.Reading) {
	g.ledger.Note(database, r)
	for w := range g.waiters {
		if done, err := g.writeOutcome(w.position); done {
			delete(g.waiters, w)
			w.result <- err
		}
	}
}

// writeOutcome reports whether the wait for p is over: err is nil if a majority
// holds p, and set if that can no longer be determined. The lock must be held.
func (g *group) writeOutcome(p coltsfootloft.Position) (done bool, err error) {
	if g.ledger.HeldByMajority(p) {
		return true, nil
	}
	if g.ledger.Undecidable(p) {
		return true, coltsfootloft.OutcomeUnknown("a later primary took over before a majority was seen to hold the write")
	}
	return false, nil
}

// awaitMajority waits until the outcome of the write at p is known. The
// function expedite makes the observer answer sooner.
func (g *group) awaitMajority(ctx context.Context, p coltsfootloft.Position, expedite func()) error {
	g.mu.Lock()
	if done, err := g.writeOutcome(p); done {
		g.mu.Unlock()
		return err
	}
	w := &waiter{
		position: p,
		result:   make(chan error, 1),
	}
	g.waiters[w] = struct{}{}
	g.mu.Unlock()
	expedite()
	select {
	case err := <-w.result:
		if err != nil {
			heldUnknown.Inc()
		}
		return err
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.waiters, w)
	g.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	default:
		heldUnknown.Inc()
		return coltsfootloft.OutcomeUnknown("no majority was seen to hold the write in time")
	}
}

func (g *group) snapshot() map[string]coltsfootloft.Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.readings)
}

func (g *group) changes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *group) silence(database string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.answered[database]
	return g.clock.Since(t), ok
}

func (g *group) age(database string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bounds.Age(g.clock.Now(), database)
}

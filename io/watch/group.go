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

// newsAfter is how long a database must have been silent for its next answer to
// be a change, even with the same reading.
const newsAfter = 500 * time.Millisecond

// group is what this host knows of one database group.
type group struct {
	settings coltsfootloft.Group
	size     quorum.Size
	clock    clockwork.Clock
	probes   map[string]chan struct{}
	bell     *bell

	mu       sync.Mutex
	readings map[string]coltsfootloft.Reading
	asked    map[string]time.Time
	answered map[string]time.Time
	changed  chan struct{}
	sequence uint64
	relay    relay
	ledger   *quorum.Ledger
	bounds   *fresh.Bounds
	waiters  map[*waiter]struct{}
	barred   uint64
	rounds   map[string]probed
	barriers map[*pending]struct{}
}

// waiter is a caller that waits for a write to be held.
type waiter struct {
	position coltsfootloft.Position
	result   chan error
}

func newGroup(s coltsfootloft.Group, clock clockwork.Clock, b *bell) *group {
	upstreams := s.Upstreams()
	size := quorum.Size(len(upstreams))
	g := &group{
		settings: s,
		size:     size,
		clock:    clock,
		bell:     b,
		probes:   make(map[string]chan struct{}, size),
		readings: make(map[string]coltsfootloft.Reading, size),
		asked:    make(map[string]time.Time, size),
		answered: make(map[string]time.Time, size),
		changed:  make(chan struct{}),
		ledger:   quorum.NewLedger(size),
		bounds:   fresh.NewBounds(size),
		waiters:  make(map[*waiter]struct{}),
		rounds:   make(map[string]probed, size),
		barriers: make(map[*pending]struct{}),
	}
	for _, u := range upstreams {
		g.probes[u.Name()] = make(chan struct{}, 1)
	}
	return g
}

// apply takes in the newest reading of a database. It was asked for at the one
// moment and answered by the other.
func (g *group) apply(database string, asked, answered time.Time, r coltsfootloft.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.take(database, asked, answered, r)
}

// take is apply with the lock held.
func (g *group) take(database string, asked, answered time.Time, r coltsfootloft.Reading) {
	again := answered.Sub(g.answered[database]) > newsAfter
	g.asked[database] = asked
	g.answered[database] = answered
	g.bounds.Note(database, asked, r)
	g.note(database, r)
	old, known := g.readings[database]
	if known && old == r && !again {
		return
	}
	if old != r || !known {
		g.readings[database] = r
		g.sequence = g.bell.ring()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// note takes in a reading that may be older than the newest one. The lock is
// held.
func (g *group) note(database string, r coltsfootloft.Reading) {
	g.ledger.Note(database, r)
	for w := range g.waiters {
		if done, err := g.verdict(w.position); done {
			delete(g.waiters, w)
			w.result <- err
		}
	}
}

// verdict tells whether the wait for p is over. The lock is held.
func (g *group) verdict(p coltsfootloft.Position) (done bool, err error) {
	if g.ledger.HeldByMajority(p) {
		return true, nil
	}
	if g.ledger.Undecidable(p) {
		return true, coltsfootloft.Unsure("a later primary took over before a majority was seen to hold the write")
	}
	return false, nil
}

// held waits for the verdict on p. What hurries the observer is given.
func (g *group) held(ctx context.Context, p coltsfootloft.Position, hurry func()) error {
	g.mu.Lock()
	if done, err := g.verdict(p); done {
		g.mu.Unlock()
		return err
	}
	w := &waiter{
		position: p,
		result:   make(chan error, 1),
	}
	g.waiters[w] = struct{}{}
	g.mu.Unlock()
	hurry()
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
		return coltsfootloft.Unsure("no majority was seen to hold the write in time")
	}
}

func (g *group) snapshot() map[string]coltsfootloft.Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.readings)
}

func (g *group) change() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *group) silent(database string) (time.Duration, bool) {
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

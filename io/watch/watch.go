// Package watch keeps this host's knowledge of all database groups current.
//
// # Observation
//
// Each database is observed with a long poll that it answers as soon as its
// reading changes, so an acknowledgement waits for one network trip and never
// for a timer. A reading is applied to the state of its group under one lock,
// and callers whose write it shows to be held by a majority are released.
//
// # Barriers
//
// A barrier is a position that covers every write acknowledged before the
// barrier was requested. It needs readings of a majority that were all taken
// after the request. Every database has one prober; all barriers requested
// while its probe is in flight share the next probe.
//
// # Observers
//
// One host of each failure domain observes a group: the first by rank that is
// alive and answers. The other hosts of the domain poll this observer for
// changes and request barriers from it. While a caller waits on such a host for
// a write to be held by a majority, the host polls urgently and the observer
// answers at once. Otherwise the observer batches changes. A host that is asked
// about a group it doesn't observe starts to observe it, so that hosts which
// disagree on the rank are served too. An observer that fails to answer is
// avoided for a while.
package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
)

// Watcher implements [coltsfootloft.Groups]. The fields are set before Run.
type Watcher struct {
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log receives one line per event.
	Log logr.Logger
	// Self is this host.
	Self coltsfootloft.HostRecord
	// Members lists the other hosts and Peers calls them. If either is nil,
	// this host observes every database itself.
	Members coltsfootloft.Members
	Peers   coltsfootloft.Peers
	// Open returns the platform's interface to a database. It must not block. If
	// the result has a method Close(), it is closed once no longer needed.
	Open func(coltsfootloft.Upstream) coltsfootloft.Database

	mu         sync.Mutex
	groups     map[string]*group
	wakeup     chan struct{}
	avoidUntil map[string]time.Time
	runContext context.Context
	spawned    sync.WaitGroup
	notifier   notifier
	sets       groupSets
}

var _ coltsfootloft.Groups = (*Watcher)(nil)

// Configure replaces the set of groups. It may be called at any time and
// doesn't block.
func (w *Watcher) Configure(groups []coltsfootloft.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[string]*group, len(groups))
	for _, s := range groups {
		g := w.groups[s.Name()]
		if g == nil || !equal(g.settings, s) {
			g = newGroup(s, w.clock(), &w.notifier)
		}
		next[s.Name()] = g
	}
	w.groups = next
	w.wakeRun()
}

// Register sets the handler that answers other hosts. It is called once, before
// the peer links run.
func (w *Watcher) Register() {
	if w.Peers != nil {
		w.Peers.Register(dutyName, w.answer)
	}
}

// Run observes the configured groups, itself or through other hosts, until ctx
// ends.
func (w *Watcher) Run(ctx context.Context) error {
	s := &sources{
		watcher:      w,
		observations: make(map[*group]func()),
		feeds:        make(map[string]*feed),
	}
	w.mu.Lock()
	w.runContext = ctx
	wakeup := w.wakeupChan()
	w.mu.Unlock()
	for ctx.Err() == nil {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-wakeup:
		case <-w.clock().After(reconcilePeriod):
		}
	}
	w.mu.Lock()
	w.runContext = nil
	w.mu.Unlock()
	s.stop()
	w.spawned.Wait()
	return nil
}

// Readings returns the newest known reading of each database in the group.
func (w *Watcher) Readings(name string) map[string]coltsfootloft.Reading {
	g := w.group(name)
	if g == nil {
		return nil
	}
	return g.snapshot()
}

// Changed returns a channel that is closed at the next change of the group. The
// channel is already closed if the group isn't configured.
func (w *Watcher) Changed(name string) <-chan struct{} {
	g := w.group(name)
	if g == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return g.changes()
}

// Expedite makes the host that observes the group send changes at once for the
// next 100 ms. It does nothing if this host observes the group itself.
func (w *Watcher) Expedite(name string) {
	if g := w.group(name); g != nil {
		g.expedite()
		w.pollUrgently(g)
	}
}

// Barrier returns a position that covers every write acknowledged before the
// call. It waits for a majority until ctx ends; the error is a
// *coltsfootloft.RefusalError with outcome NotRun.
func (w *Watcher) Barrier(ctx context.Context, name string) (coltsfootloft.Position, error) {
	g := w.group(name)
	if g == nil {
		return coltsfootloft.Position{}, errNoGroup(name)
	}
	return g.barrier(ctx, func() { w.fetchBarriers(g) })
}

// AwaitMajority waits until a majority durably holds the record at p. It fails when ctx
// ends, or earlier if a later term means that this can no longer be determined;
// the error is a *coltsfootloft.RefusalError with outcome Unknown.
func (w *Watcher) AwaitMajority(ctx context.Context, name string, p coltsfootloft.Position) error {
	g := w.group(name)
	if g == nil {
		return coltsfootloft.OutcomeUnknown("database group " + name + " is no longer configured")
	}
	return g.awaitMajority(ctx, p, func() { w.pollUrgently(g) })
}

// Age returns an upper bound on the age of the data that reads at the database
// return; ok is false if it is unknown.
func (w *Watcher) Age(name, database string) (age time.Duration, ok bool) {
	g := w.group(name)
	if g == nil {
		return 0, false
	}
	return g.age(database)
}

// SilentFor returns the time since the database last answered this host; ok is
// false if it never has.
func (w *Watcher) SilentFor(name, database string) (silence time.Duration, ok bool) {
	g := w.group(name)
	if g == nil {
		return 0, false
	}
	return g.silence(database)
}

func (w *Watcher) group(name string) *group {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.groups[name]
}

func (w *Watcher) clock() clockwork.Clock {
	if w.Clock == nil {
		return clockwork.NewRealClock()
	}
	return w.Clock
}

// wakeupChan returns the channel that wakes Run. The lock must be held.
func (w *Watcher) wakeupChan() chan struct{} {
	if w.wakeup == nil {
		w.wakeup = make(chan struct{}, 1)
	}
	return w.wakeup
}

// wakeRun makes Run reconcile observations at once. The lock must be held.
func (w *Watcher) wakeRun() {
	select {
	case w.wakeupChan() <- struct{}{}:
	default:
	}
}

// spawn starts f in a goroutine that Run waits for, with the context of Run. It
// returns false if Run isn't active.
func (w *Watcher) spawn(f func(ctx context.Context)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx := w.runContext
	if ctx == nil {
		return false
	}
	w.spawned.Go(func() { f(ctx) })
	return true
}

func equal(a, b coltsfootloft.Group) bool {
	return a.Name() == b.Name() && slices.Equal(a.Upstreams(), b.Upstreams())
}

func errNoGroup(name string) error {
	return coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "database group "+name+" is not configured")
}

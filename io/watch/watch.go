// Package watch keeps this host's knowledge of all database groups current.
//
// # Observation
//
// Each database is observed by a long poll: it answers as soon as its reading
// changes, so an acknowledgement waits for one network trip and never for a
// timer. A reading is applied to the group's state under one lock, which releases
// the callers whose write it shows as held.
//
// # Barriers
//
// A barrier needs readings that were all taken after it was asked for. Every
// database has one prober; all barriers asked while its request is on the way
// share the next one.
//
// # Observers
//
// One host of each failure domain observes a group: the first in rank that is
// alive and answers. The others poll it for changes and send it their barriers.
// While a caller waits on such a host for a write to be held, the host polls in a
// hurry: the observer answers the first change at once. Otherwise changes of many
// are brought together. A host that is asked about a group it doesn't observe
// starts to, so that hosts which disagree on the rank are served all the same. An
// observer that fails to answer is passed over for a while.
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
	// Log takes one event a line.
	Log logr.Logger
	// Self is this host.
	Self coltsfootloft.HostRecord
	// Members and Peers reach the other hosts. Without them this host observes
	// every database itself.
	Members coltsfootloft.Members
	Peers   coltsfootloft.Peers
	// Open returns the platform's interface to a database. It must not block. If
	// the result has a method Close(), it is closed once no longer needed.
	Open func(coltsfootloft.Upstream) coltsfootloft.Database

	mu      sync.Mutex
	groups  map[string]*group
	kick    chan struct{}
	blamed  map[string]time.Time
	running context.Context
	spawned sync.WaitGroup
	bell    bell
	sets    sets
}

var _ coltsfootloft.Groups = (*Watcher)(nil)

// Configure replaces the groups that are watched. It may be called at any time
// and doesn't block.
func (w *Watcher) Configure(groups []coltsfootloft.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[string]*group, len(groups))
	for _, s := range groups {
		g := w.groups[s.Name()]
		if g == nil || !equal(g.settings, s) {
			g = newGroup(s, w.clock(), &w.bell)
		}
		next[s.Name()] = g
	}
	w.groups = next
	w.rouse()
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
		watcher: w,
		direct:  make(map[*group]func()),
		feeds:   make(map[string]*feed),
	}
	w.mu.Lock()
	w.running = ctx
	kick := w.kicked()
	w.mu.Unlock()
	for ctx.Err() == nil {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-kick:
		case <-w.clock().After(reconcilePeriod):
		}
	}
	w.mu.Lock()
	w.running = nil
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

// Changed returns a channel that is closed at the next change of the group. For a
// group that isn't configured it is closed already.
func (w *Watcher) Changed(name string) <-chan struct{} {
	g := w.group(name)
	if g == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return g.change()
}

// Hurry has another host that observes the group send changes at once for the
// next 100 ms. It does nothing where this host observes the group itself.
func (w *Watcher) Hurry(name string) {
	if g := w.group(name); g != nil {
		g.hurry()
		w.rush(g)
	}
}

// Barrier returns a position that covers every write acknowledged before the
// call. It waits for a majority until ctx ends; the error is a
// *coltsfootloft.RefusalError that is NotRun.
func (w *Watcher) Barrier(ctx context.Context, name string) (coltsfootloft.Position, error) {
	g := w.group(name)
	if g == nil {
		return coltsfootloft.Position{}, errNoGroup(name)
	}
	return g.barrier(ctx, func() { w.fetch(g) })
}

// AwaitMajority waits until a majority holds the record at p for good. It fails when ctx
// ends, or earlier when a later term shows that this can't be learned any more;
// the error is a *coltsfootloft.RefusalError that is Unknown.
func (w *Watcher) AwaitMajority(ctx context.Context, name string, p coltsfootloft.Position) error {
	g := w.group(name)
	if g == nil {
		return coltsfootloft.Unsure("database group " + name + " is no longer configured")
	}
	return g.held(ctx, p, func() { w.rush(g) })
}

// Age bounds how old reads at the database are; ok is false if unknown.
func (w *Watcher) Age(name, database string) (age time.Duration, ok bool) {
	g := w.group(name)
	if g == nil {
		return 0, false
	}
	return g.age(database)
}

// Silent returns how long ago the database last answered this host; ok is false
// if it never has.
func (w *Watcher) Silent(name, database string) (silence time.Duration, ok bool) {
	g := w.group(name)
	if g == nil {
		return 0, false
	}
	return g.silent(database)
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

// kicked returns the channel that wakes Run. The lock is held.
func (w *Watcher) kicked() chan struct{} {
	if w.kick == nil {
		w.kick = make(chan struct{}, 1)
	}
	return w.kick
}

// rouse makes Run look at the groups again. The lock is held.
func (w *Watcher) rouse() {
	select {
	case w.kicked() <- struct{}{}:
	default:
	}
}

// spawn runs f while the watcher runs.
func (w *Watcher) spawn(f func(ctx context.Context)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx := w.running
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

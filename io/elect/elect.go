// Package elect keeps a primary in every database group.
//
// In each failure domain the host that observes the group may propose, and the
// next host by rank is its substitute. Proposers act in the order of their
// rank, each a little later than the one before, so that two rarely propose at
// once. Safety doesn't depend on this order: the terms that the databases keep
// decide between proposers.
//
// Before a host replaces a primary that it can't reach, it asks the observers
// of the other failure domains whether they still see a primary that makes
// progress. A host that can't reach a majority of the databases does nothing.
//
// The platform's store takes no part, so elections work while the store is
// down.
package elect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
)

const (
	// dutyName identifies the messages of this package on the links between
	// hosts.
	dutyName = "elect"
	// reconcilePeriod is the time between checks of which groups this host may
	// propose for.
	reconcilePeriod = 250 * time.Millisecond
)

// Source provides the readings of databases. It is implemented by io/watch.
type Source interface {
	// Readings returns the newest known reading of each database in the group.
	Readings(group string) map[string]coltsfootloft.Reading
	// Changed returns a channel that is closed at the next change of the group.
	Changed(group string) <-chan struct{}
	// SilentFor returns the time since the database last answered; ok is false if
	// it never has.
	SilentFor(group, database string) (silence time.Duration, ok bool)
}

// Elector detects groups that need another primary and runs elections for them.
// The fields are set before Register and Run.
type Elector struct {
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log receives every decision with its reason.
	Log logr.Logger
	// Self is this host. Incarnation is unique to this run of it.
	Self        coltsfootloft.HostRecord
	Incarnation string
	// Members lists the other hosts and Peers calls them. Without Members this
	// host is the only proposer; without Peers it asks no other host before it
	// acts.
	Members coltsfootloft.Members
	Peers   coltsfootloft.Peers
	// Source provides the readings.
	Source Source
	// Open returns the platform's interface to a database. It must not block. If
	// the result has a method Close(), it is closed after each election.
	Open func(coltsfootloft.Upstream) coltsfootloft.Database
	// Journal, if set, receives every decision too. It must not block.
	Journal func(event string, keyvals ...any)

	mu               sync.Mutex
	monitors         map[string]*monitor
	wakeup           chan struct{}
	proposersByGroup map[string]proposers
	liveHostsHash    uint64
}

// Register sets the handler that answers other hosts. It is called once, before
// the peer links run.
func (e *Elector) Register() {
	if e.Peers != nil {
		e.Peers.Register(dutyName, e.answer)
	}
}

// Configure replaces the groups. It may be called at any time and doesn't block.
func (e *Elector) Configure(groups []coltsfootloft.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*monitor, len(groups))
	for _, g := range groups {
		m := e.monitors[g.Name()]
		if m == nil || !slices.Equal(m.group.Upstreams(), g.Upstreams()) {
			m = newMonitor(e, g)
		}
		next[g.Name()] = m
	}
	e.monitors = next
	e.proposersByGroup = nil
	select {
	case e.wakeupChan() <- struct{}{}:
	default:
	}
}

// Run monitors the groups that this host may propose for, until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	running := make(map[*monitor]func())
	defer func() {
		for _, stop := range running {
			stop()
		}
	}()
	e.mu.Lock()
	wakeup := e.wakeupChan()
	e.mu.Unlock()
	for {
		e.reconcile(ctx, running)
		select {
		case <-ctx.Done():
			return nil
		case <-wakeup:
		case <-e.clock().After(reconcilePeriod):
		}
	}
}

// HandOver moves the primary of a group to another database without losing a
// committed write. If it fails, the group keeps its old primary, or an election
// follows.
func (e *Elector) HandOver(ctx context.Context, group string) error {
	m := e.monitor(group)
	if m == nil {
		return errors.Errorf("database group %s is not configured", group)
	}
	return m.handOver(ctx)
}

// reconcile starts and stops monitors to match the settings and the rank of
// this host.
func (e *Elector) reconcile(ctx context.Context, running map[*monitor]func()) {
	e.updateRanks()
	e.mu.Lock()
	wanted := make(map[*monitor]bool, len(e.monitors))
	for n, m := range e.monitors {
		if e.proposersByGroup[n].rank >= 0 {
			wanted[m] = true
		}
	}
	e.mu.Unlock()
	for m, stop := range running {
		if !wanted[m] {
			stop()
			delete(running, m)
		}
	}
	for m := range wanted {
		if running[m] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		var wait sync.WaitGroup
		wait.Go(func() { m.run(ctx) })
		running[m] = func() {
			cancel()
			wait.Wait()
		}
	}
}

func (e *Elector) monitor(group string) *monitor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.monitors[group]
}

func (e *Elector) clock() clockwork.Clock {
	if e.Clock == nil {
		return clockwork.NewRealClock()
	}
	return e.Clock
}

// wakeupChan returns the channel that wakes Run. The lock must be held.
func (e *Elector) wakeupChan() chan struct{} {
	if e.wakeup == nil {
		e.wakeup = make(chan struct{}, 1)
	}
	return e.wakeup
}

// record writes a decision to the log and to the journal.
func (e *Elector) record(event string, keyvals ...any) {
	e.Log.Info(event, keyvals...)
	if e.Journal != nil {
		e.Journal(event, keyvals...)
	}
}

// Package elect keeps a primary in every database group.
//
// One host of each failure domain, the one that observes the group, may propose;
// the next in rank stands behind it. They act in the order of their rank, each a
// little later than the one before, so that two rarely propose at once. Nothing
// depends on that: the terms that the databases keep decide between proposers.
//
// Before it acts on a primary that it can't reach, a host asks the observers of
// the other failure domains whether they still see one that makes progress. A
// host that reaches no majority does nothing.
//
// The platform's store takes no part, so that elections go on while it is down.
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
	// dutyName names the peer messages of this package.
	dutyName = "elect"
	// standPeriod is how often a host looks for which groups it may propose.
	standPeriod = 250 * time.Millisecond
)

// Source is where readings come from; io/watch has one.
type Source interface {
	// Readings returns the newest known reading of each database in the group.
	Readings(group string) map[string]coltsfootloft.Reading
	// Changed returns a channel that is closed at the next change of the group.
	Changed(group string) <-chan struct{}
	// Silent returns how long ago the database last answered; ok is false if it
	// never has.
	Silent(group, database string) (silence time.Duration, ok bool)
}

// Elector notices groups that need another primary and carries elections through.
// The fields are set before Register and Run.
type Elector struct {
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log takes every decision with its reason.
	Log logr.Logger
	// Self is this host, and Incarnation is unique to this run of it.
	Self        coltsfootloft.HostRecord
	Incarnation string
	// Members and Peers reach the other hosts. Without Members this host proposes
	// alone; without Peers it asks nobody.
	Members coltsfootloft.Members
	Peers   coltsfootloft.Peers
	// Source gives the readings.
	Source Source
	// Open returns the platform's interface to a database. It must not block. If
	// the result has a method Close(), it is closed after each election.
	Open func(coltsfootloft.Upstream) coltsfootloft.Database
	// Journal, if set, takes every decision too. It must not block.
	Journal func(event string, keyvals ...any)

	mu      sync.Mutex
	keepers map[string]*keeper
	kick    chan struct{}
	ranked  map[string]proposers
	members uint64
}

// Register sets the handler that answers other hosts. It is called once, before
// the peer links run.
func (d *Elector) Register() {
	if d.Peers != nil {
		d.Peers.Register(dutyName, d.answer)
	}
}

// Configure replaces the groups. It may be called at any time and doesn't block.
func (d *Elector) Configure(groups []coltsfootloft.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*keeper, len(groups))
	for _, g := range groups {
		k := d.keepers[g.Name()]
		if k == nil || !slices.Equal(k.group.Upstreams(), g.Upstreams()) {
			k = newKeeper(d, g)
		}
		next[g.Name()] = k
	}
	d.keepers = next
	d.ranked = nil
	select {
	case d.kicked() <- struct{}{}:
	default:
	}
}

// Run looks after the groups that this host may propose for, until ctx ends.
func (d *Elector) Run(ctx context.Context) error {
	running := make(map[*keeper]func())
	defer func() {
		for _, stop := range running {
			stop()
		}
	}()
	d.mu.Lock()
	kick := d.kicked()
	d.mu.Unlock()
	for {
		d.reconcile(ctx, running)
		select {
		case <-ctx.Done():
			return nil
		case <-kick:
		case <-d.clock().After(standPeriod):
		}
	}
}

// HandOver moves the group's primary to another database without losing a write
// that has committed. It fails if that wasn't possible at this time; the group
// then has its old primary, or an election follows.
func (d *Elector) HandOver(ctx context.Context, group string) error {
	k := d.keeper(group)
	if k == nil {
		return errors.Errorf("database group %s is not configured", group)
	}
	return k.handOver(ctx)
}

// reconcile starts and stops keepers so that they match settings and rank.
func (d *Elector) reconcile(ctx context.Context, running map[*keeper]func()) {
	d.rank()
	d.mu.Lock()
	wanted := make(map[*keeper]bool, len(d.keepers))
	for n, k := range d.keepers {
		if d.ranked[n].rank >= 0 {
			wanted[k] = true
		}
	}
	d.mu.Unlock()
	for k, stop := range running {
		if !wanted[k] {
			stop()
			delete(running, k)
		}
	}
	for k := range wanted {
		if running[k] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		var wait sync.WaitGroup
		wait.Go(func() { k.run(ctx) })
		running[k] = func() {
			cancel()
			wait.Wait()
		}
	}
}

func (d *Elector) keeper(group string) *keeper {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepers[group]
}

func (d *Elector) clock() clockwork.Clock {
	if d.Clock == nil {
		return clockwork.NewRealClock()
	}
	return d.Clock
}

// kicked returns the channel that wakes Run. The lock is held.
func (d *Elector) kicked() chan struct{} {
	if d.kick == nil {
		d.kick = make(chan struct{}, 1)
	}
	return d.kick
}

// record writes one decision to the log and the journal.
func (d *Elector) record(event string, keyvals ...any) {
	d.Log.Info(event, keyvals...)
	if d.Journal != nil {
		d.Journal(event, keyvals...)
	}
}

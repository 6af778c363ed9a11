package share

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

const (
	// Duty is the name of the ledger's duty on peer links.
	Duty = "share"
	// DefaultPrefix is where the store keeps the seats.
	DefaultPrefix = "seats/"
	// DefaultWait bounds how long a statement waits for tokens.
	DefaultWait = 500 * time.Millisecond
	// DefaultWaiters bounds the waiters of one account or database.
	DefaultWaiters = 256
	// DefaultHomes is the number of seats of a domain that own a limit's part.
	DefaultHomes = 4
	// leastAtHome is the burst, in tokens or connections, that a home seat should
	// own at least.
	leastAtHome = 4
	// changeTime is how long new settings take to reach all hosts; until then a
	// seat owns the smaller part if the home seats of an account change.
	changeTime = 6 * time.Second
	// forever is later than every lease.
	forever = 100 * 365 * 24 * time.Hour
)

// Ledger implements [coltsfootloft.Shares]. Set the exported fields, call
// Configure, then Run. Admit and Connect may be called before Run, and refuse
// what this host holds no part of.
type Ledger struct {
	// Clock is required.
	Clock clockwork.Clock
	// Log takes what happens to seats and loans.
	Log logr.Logger
	// Store holds the seats; nil makes this host the only one, which owns every
	// limit whole.
	Store coltsfootloft.Store
	// Peers carries loans; needed with a Store.
	Peers coltsfootloft.Peers
	// Members tells the hosts of a domain; needed with a Store.
	Members coltsfootloft.Members
	// RunName names this run of the process, unique among all runs of a host; needed
	// with a Store.
	RunName string
	// Prefix is where the store keeps the seats; empty means [DefaultPrefix].
	Prefix string
	// Homes is the most seats of each domain that own the part of one account or
	// database; zero means [DefaultHomes]. It must be the same on
	// all hosts and never change while any of them runs.
	Homes int
	// Wait bounds how long a statement waits for tokens; zero means
	// [DefaultWait].
	Wait time.Duration
	// Waiters bounds the waiters of one account or database; zero means
	// [DefaultWaiters].
	Waiters int

	queue     atomic.Pointer[Queue]
	configure sync.Mutex
	plan      Plan
	accounts  atomic.Pointer[map[string]*account]
	databases atomic.Pointer[map[string]*database]
	reclaim   atomic.Pointer[func(string) bool]
	revoke    atomic.Pointer[func(string, int)]
	shed      atomic.Pointer[func(string, int)]

	register sync.Once
	seating  seating
	lenders  lenders
	kicks    chan borrower
	tasks    sync.WaitGroup
}

var _ coltsfootloft.Shares = (*Ledger)(nil)

// Run does the duties of the ledger until ctx ends, and then hands the seats
// back. It returns within about
// three seconds of that; connections should be closed before.
func (l *Ledger) Run(ctx context.Context) error {
	if l.Store == nil {
		<-ctx.Done()
		return nil
	}
	l.register.Do(l.start)
	g, run := errgroup.WithContext(ctx)
	duties := []func(context.Context){
		l.seating.renewDuty,
		l.seating.watchDuty,
		l.seating.holdDuty,
		l.seating.confirmDuty,
		l.borrowDuty,
		l.closeDuty,
	}
	for _, d := range duties {
		g.Go(func() error {
			d(run)
			return nil
		})
	}
	err := g.Wait()
	l.tasks.Wait()
	l.seating.leave(context.WithoutCancel(ctx))
	return err
}

// Admit implements [coltsfootloft.Shares].
func (l *Ledger) Admit(ctx context.Context, name string, cost int) error {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return coltsfootloft.Refuse(coltsfootloft.CodeRate, "unknown client account "+name)
	}
	return e.admit(ctx, float64(cost))
}

// AcquireConnection implements [coltsfootloft.Shares]. It fails with a
// [coltsfootloft.RefusalError] that is NotRun.
func (l *Ledger) AcquireConnection(ctx context.Context, name string) (release func(), err error) {
	d, ok := load(&l.databases)[name]
	if !ok {
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "unknown database "+name)
	}
	return d.connect(ctx)
}

// OnReclaim implements [coltsfootloft.Shares]. The function must not block; it
// may call release of the connection that it closes.
func (l *Ledger) OnReclaim(f func(database string) bool) { l.reclaim.Store(&f) }

// OnRevoke sets what is told that the rights to this many connections of a
// database end in about [RevokeAhead], because a lease or loan could not be
// renewed. They must be closed at once, in use or not, and released.
func (l *Ledger) OnRevoke(f func(database string, count int)) { l.revoke.Store(&f) }

// OnShed sets what is told to close up to this many connections of a database as
// they come back from callers, though others wait for them, because this host has
// more than its share of the rights and another has less. A later call replaces
// the count of the one before. The function must not block.
func (l *Ledger) OnShed(f func(database string, count int)) { l.shed.Store(&f) }

// Seats returns the seats that this host uses now and until when, for status
// reports.
func (l *Ledger) Seats() (numbers []int, until time.Time) {
	if l.Store == nil {
		return nil, l.Clock.Now().Add(forever)
	}
	return l.seating.held()
}

// Held returns this host's present part of an account's rate, in statements per
// second, and burst, for status reports.
func (l *Ledger) Held(name string) loan.Part {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return loan.Part{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.rate.Held(l.Clock.Now())
}

// spawn runs a task that ends with ctx, and that Run waits for.
func (l *Ledger) spawn(f func()) {
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		f()
	}()
}

func (l *Ledger) wait() time.Duration {
	if q := l.queue.Load(); q != nil {
		return q.Wait
	}
	if l.Wait <= 0 {
		return DefaultWait
	}
	return l.Wait
}

func (l *Ledger) waiters() int {
	if q := l.queue.Load(); q != nil {
		return q.Waiters
	}
	return orDefault(l.Waiters, DefaultWaiters)
}

func (l *Ledger) homes() int { return orDefault(l.Homes, DefaultHomes) }

func orDefault(n, standard int) int {
	if n <= 0 {
		return standard
	}
	return n
}

func load[T any](p *atomic.Pointer[map[string]T]) map[string]T {
	m := p.Load()
	if m == nil {
		return nil
	}
	return *m
}

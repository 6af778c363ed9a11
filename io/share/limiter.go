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
	// Duty is the name on peer links of the messages that the limiter handles.
	Duty = "share"
	// DefaultPrefix is the prefix of the seats' keys in the store.
	DefaultPrefix = "seats/"
	// DefaultWait bounds how long a statement waits for tokens.
	DefaultWait = 500 * time.Millisecond
	// DefaultWaiters bounds the callers that wait for one account or database.
	DefaultWaiters = 256
	// DefaultMaxOwners is the greatest number of seats of a failure domain that own
	// parts of one limit.
	DefaultMaxOwners = 4
	// minPerSeat is the smallest burst, in tokens or connections, that an owning
	// seat should have.
	minPerSeat = 4
	// propagationTime is how long new settings take to reach all hosts. If the
	// owning seats of an account change, a seat owns the smaller of the old and the
	// new part until then.
	propagationTime = 6 * time.Second
	// forever is longer than every lease.
	forever = 100 * 365 * 24 * time.Hour
)

// Limiter implements [coltsfootloft.Shares]. Set the exported fields, call
// Configure, then Run. Admit and AcquireConnection may be called before Run; they
// refuse requests under limits of which this host holds no part.
type Limiter struct {
	// Clock is required.
	Clock clockwork.Clock
	// Log receives changes of seats.
	Log logr.Logger
	// Store holds the seats; nil makes this host the only one, which owns every
	// limit entirely.
	Store coltsfootloft.Store
	// Peers carries requests for loans; required with a Store.
	Peers coltsfootloft.Peers
	// Members lists the hosts of a failure domain; required with a Store.
	Members coltsfootloft.Members
	// RunName identifies this run of the process among all runs of a host; required
	// with a Store.
	RunName string
	// Prefix is the prefix of the seats' keys in the store; empty means
	// [DefaultPrefix].
	Prefix string
	// MaxOwners is the greatest number of seats of each failure domain that own parts of
	// one account or database; zero means [DefaultMaxOwners]. It must be the same on all
	// hosts and must not change while any of them runs.
	MaxOwners int
	// Wait bounds how long a statement waits for tokens; zero means
	// [DefaultWait].
	Wait time.Duration
	// Waiters bounds the callers that wait for one account or database; zero means
	// [DefaultWaiters].
	Waiters int

	queue     atomic.Pointer[Queue]
	configure sync.Mutex
	limits    Limits
	accounts  atomic.Pointer[map[string]*account]
	databases atomic.Pointer[map[string]*database]
	reclaim   atomic.Pointer[func(string) bool]
	revoke    atomic.Pointer[func(string, int)]
	shed      atomic.Pointer[func(string, int)]

	setup    sync.Once
	seats    seatManager
	batcher  batcher
	triggers chan borrower
	tasks    sync.WaitGroup
}

var _ coltsfootloft.Shares = (*Limiter)(nil)

// Run keeps seats and loans until ctx ends, and then hands the seats back. It
// returns within about three seconds of that; connections should be closed before.
func (l *Limiter) Run(ctx context.Context) error {
	if l.Store == nil {
		<-ctx.Done()
		return nil
	}
	l.setup.Do(l.prepare)
	g, run := errgroup.WithContext(ctx)
	loops := []func(context.Context){
		l.seats.renewLoop,
		l.seats.watchLoop,
		l.seats.updateLoop,
		l.seats.confirmLoop,
		l.borrowLoop,
		l.closeLoop,
	}
	for _, d := range loops {
		g.Go(func() error {
			d(run)
			return nil
		})
	}
	err := g.Wait()
	l.tasks.Wait()
	l.seats.handBackAll(context.WithoutCancel(ctx))
	return err
}

// Admit implements [coltsfootloft.Shares].
func (l *Limiter) Admit(ctx context.Context, name string, cost int) error {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return coltsfootloft.Refuse(coltsfootloft.CodeRate, "unknown client account "+name)
	}
	return e.admit(ctx, float64(cost))
}

// AcquireConnection implements [coltsfootloft.Shares]. It fails with a
// [coltsfootloft.RefusalError] whose outcome is NotRun.
func (l *Limiter) AcquireConnection(ctx context.Context, name string) (release func(), err error) {
	d, ok := load(&l.databases)[name]
	if !ok {
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "unknown database "+name)
	}
	return d.connect(ctx)
}

// OnReclaim implements [coltsfootloft.Shares]. The function must not block; it
// may call release of the connection that it closes.
func (l *Limiter) OnReclaim(f func(database string) bool) { l.reclaim.Store(&f) }

// OnRevoke sets the function that is called when the rights to count connections of
// a database end in about [RevokeAhead] because a lease or loan could not be
// renewed. It must close that many at once, in use or not, and release them.
func (l *Limiter) OnRevoke(f func(database string, count int)) { l.revoke.Store(&f) }

// OnShed sets the function that is called to close up to count connections of a
// database as callers give them back, even if other callers wait for them, because
// this host has more than its share of the rights and another has less. A later
// call replaces the count of the previous one. The function must not block.
func (l *Limiter) OnShed(f func(database string, count int)) { l.shed.Store(&f) }

// Seats returns the seats that this host may use now and until when, for status
// reports.
func (l *Limiter) Seats() (numbers []int, until time.Time) {
	if l.Store == nil {
		return nil, l.Clock.Now().Add(forever)
	}
	return l.seats.held()
}

// Held returns this host's present part of an account's rate, in statements per
// second, and burst, for status reports.
func (l *Limiter) Held(name string) loan.Part {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return loan.Part{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.rate.Held(l.Clock.Now())
}

// spawn starts f, which must return when Run's context ends; Run waits for it.
func (l *Limiter) spawn(f func()) {
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		f()
	}()
}

func (l *Limiter) wait() time.Duration {
	if q := l.queue.Load(); q != nil {
		return q.Wait
	}
	if l.Wait <= 0 {
		return DefaultWait
	}
	return l.Wait
}

func (l *Limiter) waiters() int {
	if q := l.queue.Load(); q != nil {
		return q.Waiters
	}
	return orDefault(l.Waiters, DefaultWaiters)
}

func (l *Limiter) maxOwners() int { return orDefault(l.MaxOwners, DefaultMaxOwners) }

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
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

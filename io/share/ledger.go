package share

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

const (
	// DefaultWait bounds how long a statement waits for tokens.
	DefaultWait = 500 * time.Millisecond
	// DefaultWaiters bounds the waiters of one account or database.
	DefaultWaiters = 256
)

// forever is later than every lease.
const forever = 100 * 365 * 24 * time.Hour

// Ledger implements [coltsfootloft.Shares]. Set the exported fields, call
// Configure, then Run. Admit and Connect may be called before Run, and refuse
// what this host owns no part of.
type Ledger struct {
	// Clock is required.
	Clock clockwork.Clock
	// Log takes what happens to seats and loans.
	Log logr.Logger
	// Store holds the seats; nil makes this host the only one.
	Store coltsfootloft.Store
	// Peers carries loans; needed with a Store.
	Peers coltsfootloft.Peers
	// Members tells the hosts of a domain; needed with a Store.
	Members coltsfootloft.Members
	// Wait bounds how long a statement waits for tokens; zero means
	// [DefaultWait].
	Wait time.Duration
	// Waiters bounds the waiters of one account or database; zero means
	// [DefaultWaiters].
	Waiters int

	configure sync.Mutex
	accounts  atomic.Pointer[map[string]*account]
	databases atomic.Pointer[map[string]*database]
	reclaim   atomic.Pointer[func(string) bool]
}

var _ coltsfootloft.Shares = (*Ledger)(nil)

// Configure takes new settings into force. It may be called at any time.
func (l *Ledger) Configure(p Plan) {
	l.configure.Lock()
	defer l.configure.Unlock()
	l.configureAccounts(p.Accounts)
	l.configureDatabases(p.Groups)
}

func (l *Ledger) configureAccounts(all []coltsfootloft.Account) {
	now := l.Clock.Now()
	old := load(&l.accounts)
	fresh := make(map[string]*account, len(all))
	for _, a := range all {
		e, known := old[a.Name()]
		if !known {
			e = &account{ledger: l}
		}
		e.mutex.Lock()
		e.limit = a
		e.rate.Own(now, loan.NewPart(a.Rate(), a.Burst()), now.Add(forever))
		if !known && len(old) == 0 {
			e.rate.Fill(now)
		}
		e.mutex.Unlock()
		fresh[a.Name()] = e
	}
	l.accounts.Store(&fresh)
}

func (l *Ledger) configureDatabases(groups []coltsfootloft.Group) {
	now := l.Clock.Now()
	old := load(&l.databases)
	fresh := make(map[string]*database)
	for _, g := range groups {
		for _, u := range g.Upstreams() {
			d, known := old[u.Name()]
			if !known {
				d = &database{ledger: l, name: u.Name()}
			}
			d.mutex.Lock()
			d.limit = g.Connections()
			d.rights.Own(d.limit, now.Add(forever))
			d.mutex.Unlock()
			fresh[u.Name()] = d
		}
	}
	l.databases.Store(&fresh)
}

// Run does the duties of the ledger until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Admit implements [coltsfootloft.Shares].
func (l *Ledger) Admit(ctx context.Context, name string, cost int) error {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return coltsfootloft.Refuse(coltsfootloft.CodeRate, "unknown client account "+name)
	}
	return e.admit(ctx, float64(cost))
}

// Connect implements [coltsfootloft.Shares]. It fails with a
// [coltsfootloft.RefusalError] that is NotRun.
func (l *Ledger) Connect(ctx context.Context, name string) (release func(), err error) {
	d, ok := load(&l.databases)[name]
	if !ok {
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "unknown database "+name)
	}
	return d.connect(ctx)
}

// OnReclaim implements [coltsfootloft.Shares]. The function must not block; it
// may call release of the connection that it closes.
func (l *Ledger) OnReclaim(f func(database string) bool) { l.reclaim.Store(&f) }

func (l *Ledger) wait() time.Duration {
	if l.Wait <= 0 {
		return DefaultWait
	}
	return l.Wait
}

func (l *Ledger) waiters() int {
	if l.Waiters <= 0 {
		return DefaultWaiters
	}
	return l.Waiters
}

func load[T any](p *atomic.Pointer[map[string]T]) map[string]T {
	m := p.Load()
	if m == nil {
		return nil
	}
	return *m
}

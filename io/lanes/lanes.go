// Package lanes keeps the connections to databases.
//
// A database counts its connections over all hosts, and a connection speaks for
// one client account from its start. A host therefore keeps few, closes the one
// that was longest idle when another account needs its place, and takes a refusal
// for want of connections as what it is: nothing ran.
package lanes

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/gate"
	"coltsfootloft/core/pick"
)

// Errors of Acquire; nothing was sent.
var (
	// ErrBusy: no connection came free in time.
	ErrBusy = errors.New("no connection came free")
	// ErrDown: the database can't be reached.
	ErrDown = errors.New("database unreachable")
)

const (
	// dialTimeout bounds opening a connection: 12 ms of work at the database,
	// behind a full queue of 16 statements of 22 ms on two slots.
	dialTimeout = 400 * time.Millisecond
	// full is the wait after a database had no connection left, doubled up to
	// fullMost: a try costs its place in a slot, and the connections of hosts that
	// died are kept for 3 s.
	full     = 60 * time.Millisecond
	fullMost = time.Second
	// idleLimit closes connections that nobody has used.
	idleLimit = 20 * time.Second
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 2 * time.Second
)

// Opener opens a session at a database.
type Opener interface {
	Open(ctx context.Context, address, group, account, id string) (coltsfootloft.Session, coltsfootloft.Position, error)
}

// Lanes holds the connections of one host. Its fields are set before Run.
type Lanes struct {
	// Opener opens connections.
	Opener Opener
	// Refused tells a database's refusal of a session from other errors.
	Refused func(err error) (coltsfootloft.Reason, bool)
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Limit is the most connections of this host to a database, and Outstanding
	// the most statements.
	Limit, Outstanding func(t Target) int
	// Log takes a line when a database is lost or found again.
	Log logr.Logger
	// Metrics receives the counters.
	Metrics *metrics.Set

	mu    sync.Mutex
	lanes map[string]*lane
}

// lane holds the connections to one database.
type lane struct {
	id        string
	open      int // connections, those being opened included
	opening   map[string]int
	idle      []*Conn // the longest idle first
	waiters   []*waiter
	candidate pick.Candidate
	gate      gate.Gate[*turn]
	down      bool
	fullUntil time.Duration
	fullWait  time.Duration
	retrying  bool
}

type waiter struct {
	target  Target
	account string
	result  chan granted
}

type granted struct {
	conn *Conn
	err  error
}

// Target is a database to connect to.
type Target struct {
	// ID is the database's, Address its IP:port, Group the group's name.
	ID, Address, Group string
	// Slots is how many statements it runs at a time; 0 if that is not known.
	Slots int
}

// Acquire lends a connection of the account for a statement of a priority, 0 for the
// most urgent. It waits for its turn at the database, and for a connection, as long
// as the context lasts.
func (l *Lanes) Acquire(ctx context.Context, t Target, account string, priority int) (*Conn, error) {
	if err := l.await(ctx, t, account, priority); err != nil {
		return nil, err
	}
	c, err := l.connection(ctx, t, account)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.leave(l.lane(t.ID), false)
		return nil, err
	}
	c.turn = true
	return c, nil
}

// connection lends a connection, and waits for one as long as the context lasts.
func (l *Lanes) connection(ctx context.Context, t Target, account string) (*Conn, error) {
	l.mu.Lock()
	n := l.lane(t.ID)
	if c := l.takeIdle(n, account); c != nil {
		l.mu.Unlock()
		return c, nil
	}
	w := &waiter{
		target:  t,
		account: account,
		result:  make(chan granted, 1),
	}
	n.waiters = append(n.waiters, w)
	l.fill(n)
	l.mu.Unlock()
	select {
	case g := <-w.result:
		return g.conn, g.err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case g := <-w.result:
		return g.conn, g.err
	default:
	}
	n.drop(w)
	return nil, ErrBusy
}

func (l *Lanes) lane(id string) *lane {
	if l.lanes == nil {
		l.lanes = make(map[string]*lane)
	}
	n := l.lanes[id]
	if n == nil {
		n = &lane{
			id:      id,
			opening: make(map[string]int),
		}
		l.lanes[id] = n
	}
	return n
}

// takeIdle returns the connection of the account that was used last.
func (l *Lanes) takeIdle(n *lane, account string) *Conn {
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if c.account != account {
			continue
		}
		n.idle = append(n.idle[:i], n.idle[i+1:]...)
		if c.session.Idle() {
			return c
		}
		l.discard(n, c)
	}
	return nil
}

// discard closes a connection that is in no list.
func (l *Lanes) discard(n *lane, c *Conn) {
	c.session.Close()
	n.open--
}

// give hands a connection to the first waiter of its account, or keeps it.
func (l *Lanes) give(n *lane, c *Conn) {
	for i, w := range n.waiters {
		if w.account == c.account {
			n.waiters = append(n.waiters[:i], n.waiters[i+1:]...)
			w.result <- granted{conn: c}
			return
		}
	}
	c.since = l.Clock.Elapsed()
	n.idle = append(n.idle, c)
	if len(n.waiters) > 0 {
		l.fill(n)
	}
}

func (n *lane) drop(w *waiter) {
	for i, x := range n.waiters {
		if x == w {
			n.waiters = append(n.waiters[:i], n.waiters[i+1:]...)
			return
		}
	}
}

// Release takes a connection back. One that is not at rest is closed.
func (l *Lanes) Release(c *Conn, healthy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.lane(c.target.ID)
	l.endTurn(n, c, false)
	if !healthy {
		l.discard(n, c)
		l.fill(n)
		return
	}
	l.give(n, c)
}

// Run closes idle connections until ctx ends, and then all.
func (l *Lanes) Run(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.sweep(0)
			return
		case <-t.C:
			l.sweep(idleLimit)
		}
	}
}

func (l *Lanes) sweep(limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	for id, n := range l.lanes {
		for len(n.idle) > 0 && now-n.idle[0].since >= limit {
			c := n.idle[0]
			n.idle = n.idle[1:]
			l.discard(n, c)
		}
		if n.open == 0 && len(n.waiters) == 0 && !n.down && n.gate.Running() == 0 && n.gate.Waiting() == 0 {
			delete(l.lanes, id)
		}
	}
}

// Cost is the expected cost of a read at a database, in ms; ok is false while it
// is passed over because it could not be reached.
func (l *Lanes) Cost(id string, near, primary bool) (cost float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	c := &l.lane(id).candidate
	return c.Cost(now, near, primary), !c.IsDown(now)
}

// Lacks reports whether a database surely lacks a position.
func (l *Lanes) Lacks(id string, p coltsfootloft.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lane(id).candidate.Lacks(l.Clock.Elapsed(), p)
}

// Observe updates what is known of a database.
func (l *Lanes) Observe(id string, f func(c *pick.Candidate, now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.lane(id).candidate, l.Clock.Elapsed())
}

func (l *Lanes) count(what string) {
	l.Metrics.GetOrCreateCounter(`coltsfootloft_database_connections_total{event="` + what + `"}`).Inc()
}

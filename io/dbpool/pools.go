// Package dbpool pools the connections to databases.
//
// A database limits its connections over all hosts, and each connection is bound to
// one client account when it is opened. A host therefore keeps few of them. When
// another account needs a connection and the limit is reached, the one that has been
// idle longest is closed. If the database refuses a new connection because its
// limit is reached, nothing ran, and the statement may be tried again.
//
// The number of outstanding statements at each database is limited too: a statement
// needs a permit (package gate) before it gets a connection.
package dbpool

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/gate"
	"coltsfootloft/core/meter"
	"coltsfootloft/core/pick"
)

// Errors of Acquire. Nothing was sent to the database.
var (
	// ErrBusy means that no permit or no connection became free in time.
	ErrBusy = errors.New("no connection came free")
	// ErrCold is the ErrBusy of a cold database that gets no more requests now. Only Exchange
	// returns it; the connection stays usable.
	ErrCold = errors.Wrap(ErrBusy, "database is cold")
	// ErrDown means that the database can't be reached.
	ErrDown = errors.New("database unreachable")
	// ErrClosed means that nothing may be sent to the database, as its domain is evacuated. It
	// is also an error of Exchange and Command.
	ErrClosed = errors.Wrap(ErrUnread, "domain of the database is evacuated")
)

const (
	// dialTimeout bounds opening a connection. That takes 12 ms of work at the
	// database, possibly behind a full queue of 16 statements of 22 ms on two slots.
	dialTimeout = 400 * time.Millisecond
	// exhaustedWait is the wait after a database had no connection left. It doubles
	// with each further refusal, up to exhaustedWaitMax. Each try takes up a slot of
	// the database, which keeps the connections of hosts that died for 3 s.
	exhaustedWait    = 60 * time.Millisecond
	exhaustedWaitMax = time.Second
	// idleLimit is how long an unused connection is kept.
	idleLimit = 20 * time.Second
	// freeState is how many bytes of values and prepared statements the host remembers
	// of a connection without taking memory.
	freeState = 16 << 10
	// sweepEvery is the interval of the check for idle connections.
	sweepEvery = 2 * time.Second
)

// Opener opens a session at the database id, with its address and group, for an account.
// It also returns a position that the database has applied.
type Opener interface {
	Open(ctx context.Context, address, group, account, id string) (coltsfootloft.Session, coltsfootloft.Position, error)
}

// Pools holds the connection pools of one host, one for each database. Its exported
// fields are set before Run.
type Pools struct {
	// Opener opens connections.
	Opener Opener
	// RefusalReason returns the reason if err is a database's refusal of a session,
	// and false for other errors.
	RefusalReason func(err error) (coltsfootloft.Reason, bool)
	// Clock is a monotonic clock that keeps running while the host is suspended.
	Clock coltsfootloft.Clock
	// Limit returns the maximum number of connections of this host to a database,
	// Outstanding the maximum number of outstanding statements.
	Limit, Outstanding func(t Target) int
	// IsClosed reports whether nothing may be sent to a database. Nil closes none.
	IsClosed func(t Target) bool
	// EstimateWaits makes the pools refuse statements whose turn would come too late.
	EstimateWaits bool
	// Charge charges n requests to a database, for which it waits a while, and reports whether
	// they may be sent. No database is limited if it is nil.
	Charge func(database string, n int, wait time.Duration) bool
	// SlotShare returns the part of a database's slots that falls to each host that owns
	// connections, and how many do. It is nil if loads are not measured.
	SlotShare func(t Target) (slots float64, owners int)
	// Lost is called when a connection to a database was lost, or could be opened again; it may be
	// nil.
	Lost func(database string)
	// FirstOpened is called when a connection was opened to a database to which there was none;
	// it may be nil.
	FirstOpened func(database string)
	// Log receives a line when a database becomes unreachable or reachable again.
	Log logr.Logger
	// Metrics receives the counters and histograms.
	Metrics *metrics.Set
	// Memory bounds the answers of databases, StateMemory what the host remembers of the
	// state of connections. Either is not bounded if it is nil.
	Memory, StateMemory coltsfootloft.Memory

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one database.
type pool struct {
	id             string
	target         Target // of the latest connection
	open           int    // connections, including those being opened
	opening        map[string]int
	idle           []*Conn // ordered by idle time, longest first
	waiters        []*connWaiter
	candidate      pick.Candidate
	gate           gate.Gate[*permitWaiter]
	meter          meter.Meter
	isDown         bool
	exhaustedUntil time.Duration
	exhaustedFor   time.Duration
	retrying       bool
}

// connWaiter is a statement that has a permit and waits for a connection.
type connWaiter struct {
	target  Target
	account string
	result  chan connResult
}

// connResult is the connection for a connWaiter, or why there is none.
type connResult struct {
	conn *Conn
	err  error
}

// Target is a database to connect to.
type Target struct {
	// ID identifies the database, Address is its IP:port, Group the name of its group.
	ID, Address, Group string
	// Slots is how many statements the database runs at a time, or 0 if unknown.
	Slots int
	// Domain is the failure domain of the database.
	Domain string
}

// Acquire lends a connection of the account for a statement with a priority, where 0 is
// the most urgent. It waits for a permit and for a connection until ctx ends. The error
// is ErrBusy or a WaitError, or wraps ErrDown, or coltsfootloft.ErrNotSent if the database can't be told the account.
func (p *Pools) Acquire(ctx context.Context, t Target, account string, priority int) (*Conn, error) {
	if p.isClosed(t) {
		return nil, ErrClosed
	}
	if err := p.acquirePermit(ctx, t, account, priority); err != nil {
		return nil, err
	}
	since := p.Clock.Elapsed()
	c, err := p.connection(ctx, t, account)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.freePermit(p.pool(t.ID), false)
		return nil, err
	}
	c.hasPermit = true
	c.permitSince = since
	c.foreign = false
	return c, nil
}

// connection lends a connection. It waits for one until ctx ends.
func (p *Pools) connection(ctx context.Context, t Target, account string) (*Conn, error) {
	p.mu.Lock()
	n := p.pool(t.ID)
	c, unusable := p.takeIdle(n, account)
	if c != nil {
		p.mu.Unlock()
		closeAll(unusable)
		return c, nil
	}
	w := &connWaiter{
		target:  t,
		account: account,
		result:  make(chan connResult, 1),
	}
	n.waiters = append(n.waiters, w)
	p.openForWaiters(n)
	p.mu.Unlock()
	closeAll(unusable)
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.result:
		return g.conn, g.err
	default:
	}
	n.removeWaiter(w)
	return nil, ErrBusy
}

// pool returns the pool of a database, which it creates if there is none.
func (p *Pools) pool(id string) *pool {
	if p.pools == nil {
		p.pools = make(map[string]*pool)
	}
	n := p.pools[id]
	if n == nil {
		n = &pool{
			id:      id,
			opening: make(map[string]int),
		}
		p.pools[id] = n
	}
	return n
}

// takeIdle removes and returns the account's most recently used idle connection, or nil.
// Connections of the account that turn out to be unusable are removed and returned too; the
// caller closes them.
func (p *Pools) takeIdle(n *pool, account string) (c *Conn, unusable []*Conn) {
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if c.account != account {
			continue
		}
		n.idle = append(n.idle[:i], n.idle[i+1:]...)
		if c.requests.Session.Idle() {
			return c, unusable
		}
		p.forget(n, c)
		p.noteLost(n.id)
		unusable = append(unusable, c)
	}
	return nil, unusable
}

// closeAll closes connections that have unread input, or that the database has closed.
func closeAll(unusable []*Conn) {
	for _, c := range unusable {
		_ = c.requests.CheckUnread() // logs what came
		c.requests.Session.Close()
	}
}

// closeConn closes a connection that is not in the idle list.
func (p *Pools) closeConn(n *pool, c *Conn) {
	c.requests.Session.Close()
	p.forget(n, c)
}

// forget stops counting a connection that is not in the idle list.
func (p *Pools) forget(n *pool, c *Conn) {
	if c.stateTaken > 0 {
		p.StateMemory.Give(c.stateTaken)
	}
	n.open--
}

// handOver gives a connection to the first waiter of its account, or makes it idle.
func (p *Pools) handOver(n *pool, c *Conn) {
	for i, w := range n.waiters {
		if w.account == c.account {
			n.waiters = append(n.waiters[:i], n.waiters[i+1:]...)
			w.result <- connResult{conn: c}
			return
		}
	}
	c.idleSince = p.Clock.Elapsed()
	n.idle = append(n.idle, c)
	if len(n.waiters) > 0 {
		p.openForWaiters(n)
	}
}

func (n *pool) removeWaiter(w *connWaiter) {
	for i, x := range n.waiters {
		if x == w {
			n.waiters = append(n.waiters[:i], n.waiters[i+1:]...)
			return
		}
	}
}

// Release returns a connection to its pool. It is closed if healthy is false, if answers
// are outstanding or unread, which its next user would take for its own, if it should be
// replaced (package match), or if there is no memory to remember its values and prepared
// statements.
func (p *Pools) Release(c *Conn, healthy bool) {
	healthy = healthy && c.requests.IsReusable() && !p.isClosed(c.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.pool(c.target.ID)
	p.releasePermit(n, c, false)
	if !healthy || !p.takeState(c) {
		p.closeConn(n, c)
		p.openForWaiters(n)
		return
	}
	p.handOver(n, c)
}

// takeState takes memory for the values and prepared statements of a connection that its
// user returns, or gives some back. It reports false if there is none.
func (p *Pools) takeState(c *Conn) bool {
	size := c.state.Size()
	if size <= freeState {
		size = 0
	}
	switch {
	case p.StateMemory == nil || size == c.stateTaken:
		return true
	case size < c.stateTaken:
		p.StateMemory.Give(c.stateTaken - size)
	case !p.StateMemory.Take(c.stateTaken, size-c.stateTaken):
		return false
	}
	c.stateTaken = size
	return true
}

// GiveBack gives back the memory of an answer that is not used any more.
func (p *Pools) GiveBack(r coltsfootloft.Reply) {
	if p.Memory != nil && r.Taken > 0 {
		p.Memory.Give(r.Taken)
	}
}

// Cost returns the expected cost of a read at a database in milliseconds. ok is false
// while the database is avoided because it could not be reached.
func (p *Pools) Cost(id string, local, primary bool) (cost float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Elapsed()
	c := &p.pool(id).candidate
	return c.Cost(now, local, primary), !c.IsDown(now)
}

// LoadedCost is like Cost for a database whose load is known.
func (p *Pools) LoadedCost(id string, expected time.Duration, local, primary bool) (cost float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Elapsed()
	c := &p.pool(id).candidate
	return c.LoadedCost(now, expected, local, primary), !c.IsDown(now)
}

// LacksPosition reports whether a database is known not to have applied a position.
func (p *Pools) LacksPosition(id string, position coltsfootloft.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(id).candidate.Lacks(p.Clock.Elapsed(), position)
}

// Observe calls f to update the statistics of a database.
func (p *Pools) Observe(id string, f func(c *pick.Candidate, now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.pool(id).candidate, p.Clock.Elapsed())
}

func (p *Pools) noteLost(id string) {
	if p.Lost != nil {
		p.Lost(id)
	}
}

func (p *Pools) count(event string) {
	p.Metrics.GetOrCreateCounter(`coltsfootloft_database_connections_total{event="` + event + `"}`).Inc()
}

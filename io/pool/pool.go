package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/fair"
)

// Timeouts and limits of a pool.
const (
	// DefaultConnectTimeout is the default of Pool.ConnectTimeout.
	DefaultConnectTimeout = 2 * time.Second
	// rightWait limits how long one attempt waits for a right to connect.
	rightWait = 250 * time.Millisecond
	// retryPause avoids a tight loop of failing attempts to open a connection.
	retryPause = 20 * time.Millisecond
	// maxOpening limits the connections that are being opened at the same time.
	maxOpening = 4
)

// Pool lends connections to one upstream. Its exported fields are set before the
// first Acquire.
type Pool struct {
	// Upstream is the database.
	Upstream coltsfootloft.Upstream
	// Login opens connections.
	Login Login
	// Shares grants the rights to connect.
	Shares coltsfootloft.Shares
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
	// Log receives connection events.
	Log logr.Logger
	// ConnectTimeout limits the opening of a connection; 0 means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Weight returns the weight of a client account among waiters; nil means that all
	// have the same weight.
	Weight func(account string) int

	mu      sync.Mutex
	idle    []*Conn
	waiters fair.Queue[*waiter]
	lent    map[*Conn]time.Time
	load    atomic.Int64
	open    int
	opening int
	toClose int
	closed  bool
}

type waiter struct {
	result chan result
}

type ticket = fair.Ticket[*waiter]

type result struct {
	conn *Conn
	err  error
}

// Acquire lends a connection to a session of the client account. It waits until ctx
// ends. Its errors are refusals that guarantee that nothing was sent to the upstream.
func (p *Pool) Acquire(ctx context.Context, account string) (*Conn, error) {
	c, t, err := p.takeOrWait(account)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case r := <-t.Item().result:
		return r.conn, r.err
	case <-ctx.Done():
		p.cancelWait(t)
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "no connection to "+p.Upstream.Name()+" came free in time")
	}
}

func (p *Pool) takeOrWait(account string) (*Conn, *ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, unavailable(p.Upstream.Name(), "is no longer in use")
	}
	if c := p.takeIdle(); c != nil {
		p.lend(c)
		return c, nil, nil
	}
	w := &waiter{result: make(chan result, 1)}
	t, ok := p.waiters.Push(account, p.weight(account), w)
	if !ok {
		return nil, nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "too many requests wait for "+p.Upstream.Name())
	}
	p.load.Add(1)
	p.openMore()
	return nil, t, nil
}

func (p *Pool) weight(account string) int {
	if p.Weight == nil {
		return 1
	}
	return p.Weight(account)
}

// cancelWait removes a waiter from the queue. A connection that it has received in
// the meantime goes to the next waiter.
func (p *Pool) cancelWait(t *ticket) {
	p.mu.Lock()
	if p.waiters.Remove(t) {
		p.load.Add(-1)
	}
	p.mu.Unlock()
	select {
	case r := <-t.Item().result:
		if r.conn != nil {
			r.conn.Release()
		}
	default:
	}
}

// Load returns the number of connections in use plus the number of waiters.
func (p *Pool) Load() int { return int(p.load.Load()) }

// Stats returns the number of open, lent and idle connections and of waiters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		open:    p.open,
		lent:    len(p.lent),
		idle:    len(p.idle),
		waiting: p.waiters.Len(),
	}
}

// Reclaim closes an idle connection if there is one and no request waits, so that
// another host can use its right. It reports whether it closes one.
func (p *Pool) Reclaim() bool {
	p.mu.Lock()
	if len(p.idle) == 0 || p.waiters.Len() > 0 {
		p.mu.Unlock()
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	p.mu.Unlock()
	go c.close()
	return true
}

// Close closes idle connections at once, and those in use when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.failWaiters(unavailable(p.Upstream.Name(), "is no longer in use"))
	p.mu.Unlock()
	var closing sync.WaitGroup
	for _, c := range idle {
		closing.Go(c.close)
	}
	closing.Wait()
}

func (p *Pool) putBack(c *Conn) {
	p.mu.Lock()
	delete(p.lent, c)
	p.load.Add(-1)
	shouldClose := p.toClose > 0
	if shouldClose {
		p.toClose--
	}
	if p.closed || shouldClose || !p.isFit(c) {
		p.open--
		p.mu.Unlock()
		go p.closeAndReplace(c)
		return
	}
	p.handOut(c)
	p.mu.Unlock()
}

// closeAndReplace closes a connection and opens others for the waiters.
func (p *Pool) closeAndReplace(c *Conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openMore()
}

// handOut gives a free connection to the next waiter, or makes it idle. The lock is
// held.
func (p *Pool) handOut(c *Conn) {
	w, _, ok := p.waiters.Pop()
	if !ok {
		p.idle = append(p.idle, c)
		return
	}
	p.load.Add(-1)
	p.lend(c)
	w.result <- result{conn: c}
}

// lend records a connection as in use. The lock is held.
func (p *Pool) lend(c *Conn) {
	if p.lent == nil {
		p.lent = make(map[*Conn]time.Time)
	}
	p.lent[c] = p.clock().Now()
	p.load.Add(1)
}

// AbortOverdue closes all idle connections and aborts those that have been in use for
// longer than grace, because their answers are no longer awaited. It returns the number
// of connections that it aborts.
func (p *Pool) AbortOverdue(grace time.Duration) int {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	var overdue []*Conn
	for c, since := range p.lent {
		if p.clock().Since(since) > grace {
			overdue = append(overdue, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		go c.close()
	}
	for _, c := range overdue {
		c.Abort()
	}
	return len(overdue)
}

// CloseOnRelease closes the next count connections that are released, even if requests
// wait for them, because another host has fewer than its share of the rights. A later
// call replaces the count.
func (p *Pool) CloseOnRelease(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toClose = count
}

// Revoke closes count connections whose rights end: idle ones first, then those that
// have been in use the longest.
func (p *Pool) Revoke(count int) {
	p.mu.Lock()
	n := min(count, len(p.idle))
	idle := p.idle[:n]
	p.idle = slices.Clone(p.idle[n:])
	p.open -= n
	lent := slices.SortedFunc(maps.Keys(p.lent), func(a, b *Conn) int { return p.lent[a].Compare(p.lent[b]) })
	p.mu.Unlock()
	for _, c := range idle {
		go c.close()
	}
	for _, c := range lent[:min(count-n, len(lent))] {
		c.Abort()
	}
}

// openMore starts to open connections for waiters. The lock is held.
func (p *Pool) openMore() {
	for p.opening < maxOpening && p.opening < p.waiters.Len() && !p.closed {
		p.opening++
		go p.openLoop()
	}
}

// openLoop opens connections until there are enough for the waiters.
func (p *Pool) openLoop() {
	for {
		c, err := p.connect()
		p.mu.Lock()
		p.finishOpen(c, err)
		if p.closed || p.opening > p.waiters.Len() {
			p.opening--
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err != nil {
			p.clock().Sleep(retryPause)
		}
	}
}

// finishOpen hands out a new connection. If the upstream can't be reached, it fails
// all waiters. The lock is held.
func (p *Pool) finishOpen(c *Conn, err error) {
	switch {
	case c != nil && p.closed:
		go c.close()
	case c != nil:
		p.open++
		p.handOut(c)
	case isUnreachable(err):
		p.Log.V(1).Info("upstream can't be reached", "upstream", p.Upstream.Name(), "error", err.Error())
		p.failWaiters(unavailable(p.Upstream.Name(), "can't be reached"))
	}
}

func (p *Pool) failWaiters(err error) {
	for {
		w, _, ok := p.waiters.Pop()
		if !ok {
			return
		}
		p.load.Add(-1)
		w.result <- result{err: err}
	}
}

func (p *Pool) connect() (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rightWait)
	release, err := p.Shares.AcquireConnection(ctx, p.Upstream.Name())
	cancel()
	if err != nil {
		return nil, errNoRight
	}
	c, err := p.Login.dial(context.Background(), p.Upstream.Address(), p.timeout())
	if err != nil {
		release()
		return nil, err
	}
	c.pool = p
	c.release = release
	return c, nil
}

func (p *Pool) timeout() time.Duration {
	if p.ConnectTimeout == 0 {
		return DefaultConnectTimeout
	}
	return p.ConnectTimeout
}

func (p *Pool) clock() clockwork.Clock {
	if p.Clock == nil {
		return clockwork.NewRealClock()
	}
	return p.Clock
}

func unavailable(database, reason string) error {
	return coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "database "+database+" "+reason)
}

// isUnreachable reports whether err means that the database can't be reached, as
// opposed to a missing right or a database that has no connection free.
func isUnreachable(err error) bool {
	if err == nil || errors.Is(err, errNoRight) {
		return false
	}
	var p *pgconn.PgError
	return !errors.As(err, &p) || p.Code != coltsfootloft.CodeConnections
}

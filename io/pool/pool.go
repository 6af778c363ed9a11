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

// Defaults of a pool.
const (
	// DefaultConnectTimeout bounds the opening of a connection.
	DefaultConnectTimeout = 2 * time.Second
	// rightWait is how long one attempt waits for a right to connect.
	rightWait = 250 * time.Millisecond
	// retryPause keeps failing attempts from following each other at once.
	retryPause = 20 * time.Millisecond
	// maxOpening bounds the connections being opened at once.
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
	// Clock tells the time; nil means the real one.
	Clock clockwork.Clock
	// Log takes connection events.
	Log logr.Logger
	// ConnectTimeout bounds the opening of a connection; 0 means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Weight returns the weight of a client account among waiters; nil means
	// that all weigh the same.
	Weight func(account string) int

	mu      sync.Mutex
	idle    []*Conn
	waiters fair.Queue[*waiter]
	lent    map[*Conn]time.Time
	load    atomic.Int64
	open    int
	opening int
	shed    int
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

// Acquire lends a connection to a session of the client account. It waits until
// ctx ends; every error means that nothing was sent to the upstream.
func (p *Pool) Acquire(ctx context.Context, account string) (*Conn, error) {
	c, t, err := p.takeOrWait(account)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case r := <-t.Item().result:
		return r.conn, r.err
	case <-ctx.Done():
		p.abandon(t)
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeConnections, "no connection to "+p.Upstream.Name()+" came free in time")
	}
}

func (p *Pool) takeOrWait(account string) (*Conn, *ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, unavailable(p.Upstream.Name(), "is no longer in use")
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
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

// abandon withdraws a waiter; a connection that was handed to it meanwhile goes
// to the next.
func (p *Pool) abandon(t *ticket) {
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

// Load is the number of connections lent out and of waiters.
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

// Reclaim closes an idle connection, so that its right can go to another host.
// It reports whether there was one.
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

// Close closes idle connections at once and lent ones when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.failAll(unavailable(p.Upstream.Name(), "is no longer in use"))
	p.mu.Unlock()
	var closing sync.WaitGroup
	for _, c := range idle {
		closing.Go(c.close)
	}
	closing.Wait()
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	delete(p.lent, c)
	p.load.Add(-1)
	isShed := p.shed > 0
	if isShed {
		p.shed--
	}
	if c.broken.Load() || p.closed || isShed {
		p.open--
		p.mu.Unlock()
		go p.replace(c)
		return
	}
	p.hand(c)
	p.mu.Unlock()
}

// replace closes a connection and opens others for those who wait.
func (p *Pool) replace(c *Conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openMore()
}

// hand gives a free connection to the next waiter. The lock is held.
func (p *Pool) hand(c *Conn) {
	w, _, ok := p.waiters.Pop()
	if !ok {
		p.idle = append(p.idle, c)
		return
	}
	p.load.Add(-1)
	p.lend(c)
	w.result <- result{conn: c}
}

// lend notes a connection as in use. The lock is held.
func (p *Pool) lend(c *Conn) {
	if p.lent == nil {
		p.lent = make(map[*Conn]time.Time)
	}
	p.lent[c] = p.clock().Now()
	p.load.Add(1)
}

// Abort closes all idle connections, and those that have been in use for longer
// than grace: their answers are not to be waited for any more. It returns how
// many were in use.
func (p *Pool) Abort(grace time.Duration) int {
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

// Shed has this many connections closed as they come back, though others wait for
// them: another host has fewer than its share of the rights. A later call replaces
// the count.
func (p *Pool) Shed(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed = count
}

// Revoke closes this many connections, idle ones first and then those that have
// been in use the longest: their rights end.
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
		go p.openOne()
	}
}

// openOne opens connections until no waiter needs another.
func (p *Pool) openOne() {
	for {
		c, err := p.connect()
		p.mu.Lock()
		p.settle(c, err)
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

// settle hands on a new connection or fails waiters that none can come for. The
// lock is held.
func (p *Pool) settle(c *Conn, err error) {
	switch {
	case c != nil && p.closed:
		go c.close()
	case c != nil:
		p.open++
		p.hand(c)
	case isUnreachable(err):
		p.Log.V(1).Info("upstream can't be reached", "upstream", p.Upstream.Name(), "error", err.Error())
		p.failAll(unavailable(p.Upstream.Name(), "can't be reached"))
	}
}

func (p *Pool) failAll(err error) {
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

func unavailable(database, what string) error {
	return coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "database "+database+" "+what)
}

// isUnreachable tells a database that can't be reached from one that is full.
func isUnreachable(err error) bool {
	if err == nil || errors.Is(err, errNoRight) {
		return false
	}
	var p *pgconn.PgError
	return !errors.As(err, &p) || p.Code != coltsfootloft.CodeConnections
}

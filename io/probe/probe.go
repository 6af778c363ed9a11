// Package probe queries the state of databases.
//
// It uses its own connections, one for each database, which are separate from the
// connections of callers' statements. Commands to one database run one at a time.
package probe

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/ask"
	"coltsfootloft/io/dbpool"
)

// idleTimeout is how long an unused connection stays open. It is longer than the interval
// at which a watched primary is queried.
const idleTimeout = 2 * time.Second

// ErrClosed is returned if nothing may be sent to the database, as its domain is evacuated.
var ErrClosed = errors.New("domain of the database is evacuated")

// ErrOverloaded is returned if the database is reachable but has no capacity to answer.
var ErrOverloaded = errors.New("database has no room to answer")

// Prober queries databases. Its exported fields are set before use. It is safe for
// concurrent use.
type Prober struct {
	// Opener opens sessions.
	Opener dbpool.Opener
	// Dial opens a plain connection, without starting a session.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RefusalReason returns the reason if err is a database's refusal of a session; ok is
	// false for other errors.
	RefusalReason func(err error) (coltsfootloft.Reason, bool)
	// IsClosed reports whether nothing may be sent to a database. Nil closes none.
	IsClosed func(t dbpool.Target) bool
	// Parse decodes the answer to a command.
	Parse func(coltsfootloft.Reply) (coltsfootloft.Health, error)
	// Admit charges a request to a database, for which it waits at most wait, and reports whether
	// it may be sent. No database is limited if it is nil.
	Admit func(database string, wait time.Duration) bool
	// Log receives a line for each answer that can't belong to its command, Metrics counts them.
	Log     logr.Logger
	Metrics *metrics.Set

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	mu       sync.Mutex
	requests *ask.Conn // nil while there is no connection
	target   dbpool.Target
	timer    *time.Timer
}

// Status queries the state of a database. The context must have a deadline.
func (p *Prober) Status(ctx context.Context, t dbpool.Target) (coltsfootloft.Health, error) {
	if p.Admit != nil && !p.Admit(t.ID, 0) {
		return coltsfootloft.Health{}, errors.Wrap(ErrOverloaded, "cold")
	}
	return p.send(ctx, t, coltsfootloft.Command{Kind: coltsfootloft.CommandStatus})
}

// Demote turns a primary of a lower term into a replica and returns its state. The
// context must have a deadline.
func (p *Prober) Demote(ctx context.Context, t dbpool.Target, term uint64) (coltsfootloft.Health, error) {
	if p.Admit != nil && !p.Admit(t.ID, untilHalf(ctx)) {
		return coltsfootloft.Health{}, errors.Wrap(ErrOverloaded, "cold")
	}
	return p.send(ctx, t, coltsfootloft.Command{
		Kind: coltsfootloft.CommandDemote,
		Term: term,
	})
}

// untilHalf returns half of the time until the deadline of ctx.
func untilHalf(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) / 2
}

// openCheck is how long a new connection must stay open for the database to count as
// reachable. If the other end accepts a connection and closes it at once, the close
// arrives within this time, because both ends are on the same network.
const openCheck = 30 * time.Millisecond

// CanConnect reports whether a connection to a database can be established. That includes
// a database that is slow or out of capacity: its kernel accepts the connection and
// keeps it open, or the database answers at once that it has no capacity.
func (p *Prober) CanConnect(ctx context.Context, t dbpool.Target) bool {
	if p.Closed(t) {
		return false
	}
	c, err := p.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(openCheck)); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

// Closed reports whether nothing may be sent to a database.
func (p *Prober) Closed(t dbpool.Target) bool { return p.IsClosed != nil && p.IsClosed(t) }

// CloseClosed closes the connections to databases to which nothing may be sent.
func (p *Prober) CloseClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if !c.mu.TryLock() {
			continue // in use; the next call closes it
		}
		if c.requests != nil && p.Closed(c.target) {
			c.close()
		}
		c.mu.Unlock()
	}
}

func (p *Prober) send(ctx context.Context, t dbpool.Target, command coltsfootloft.Command) (coltsfootloft.Health, error) {
	c := p.conn(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := false
	if p.Closed(t) {
		if c.requests != nil {
			c.close()
		}
		return coltsfootloft.Health{}, ErrClosed
	}
	if c.requests != nil && (c.target != t || !c.requests.IsReusable()) {
		c.close()
	}
	if c.requests == nil {
		fresh = true
		if err := p.open(ctx, c, t); err != nil {
			return coltsfootloft.Health{}, p.asOverloaded(err)
		}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("probe without a deadline")
	}
	if p.Closed(t) { // since the connection began to open
		c.close()
		return coltsfootloft.Health{}, ErrClosed
	}
	c.requests.Queue(command)
	reply, err := c.requests.RoundTrip(deadline)
	if err != nil {
		c.close()
		return coltsfootloft.Health{}, errors.Wrapf(err, "%s, fresh connection %t", command.Kind, fresh)
	}
	c.timer.Reset(idleTimeout)
	if isOverloaded(reply.Reason) {
		return coltsfootloft.Health{}, errors.Wrap(ErrOverloaded, reply.Reason.String())
	}
	return p.Parse(reply)
}

// asOverloaded converts a refusal for lack of capacity into ErrOverloaded.
func (p *Prober) asOverloaded(err error) error {
	if reason, ok := p.RefusalReason(err); ok && isOverloaded(reason) {
		return errors.Wrap(ErrOverloaded, err.Error())
	}
	return err
}

func isOverloaded(r coltsfootloft.Reason) bool {
	return r == coltsfootloft.ReasonBusy || r == coltsfootloft.ReasonConnections
}

func (p *Prober) conn(t dbpool.Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[string]*conn)
	}
	c := p.conns[t.ID]
	if c == nil {
		c = &conn{}
		p.conns[t.ID] = c
	}
	return c
}

func (p *Prober) open(ctx context.Context, c *conn, t dbpool.Target) error {
	s, _, err := p.Opener.Open(ctx, t.Address, t.Group, "", t.ID)
	if err != nil {
		return err
	}
	requests := &ask.Conn{
		Session:  s,
		Database: t.ID,
		GiveBack: func(coltsfootloft.Reply) {}, // a state takes no memory
		Log:      p.Log,
		Metrics:  p.Metrics,
	}
	c.requests = requests
	c.target = t
	c.timer = time.AfterFunc(idleTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.requests == requests {
			c.close()
		}
	})
	return nil
}

func (c *conn) close() {
	c.timer.Stop()
	c.requests.Session.Close()
	c.requests = nil
}

// Package probe asks databases for their state, over connections of its own.
package probe

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/lanes"
)

// keep is how long a connection without questions stays open, and idle for longer
// than the next question of a watched primary.
const keep = 2 * time.Second

// ErrOccupied says that the database is there but has no room to answer.
var ErrOccupied = errors.New("database has no room to answer")

// Prober asks databases. Its fields are set before use.
type Prober struct {
	// Opener opens sessions.
	Opener lanes.Opener
	// Dial opens a bare connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RefusalReason tells a database's refusal of a session from other errors.
	RefusalReason func(err error) (coltsfootloft.Reason, bool)
	// Parse decodes the answer.
	Parse func(coltsfootloft.Reply) (coltsfootloft.Health, error)

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	mu      sync.Mutex
	session coltsfootloft.Session
	target  lanes.Target
	timer   *time.Timer
}

// Status asks a database for its state, before the context ends.
func (p *Prober) Status(ctx context.Context, t lanes.Target) (coltsfootloft.Health, error) {
	return p.ask(ctx, t, coltsfootloft.Command{Kind: coltsfootloft.CommandStatus})
}

// Demote makes a primary of a lower term a replica.
func (p *Prober) Demote(ctx context.Context, t lanes.Target, term uint64) (coltsfootloft.Health, error) {
	return p.ask(ctx, t, coltsfootloft.Command{
		Kind: coltsfootloft.CommandDemote,
		Term: term,
	})
}

// settle is how long a connection must stay open to count: the ends of one that is
// taken and dropped are on the same network.
const settle = 30 * time.Millisecond

// Reaches reports whether a database can be connected to. One that is slow or full
// is reached all the same: its kernel takes connections and keeps them, or it says
// at once that it has no room.
func (p *Prober) Reaches(ctx context.Context, t lanes.Target) bool {
	c, err := p.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(settle)); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

func (p *Prober) ask(ctx context.Context, t lanes.Target, k coltsfootloft.Command) (coltsfootloft.Health, error) {
	c := p.conn(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := false
	if c.session != nil && (c.target != t || !c.session.Idle()) {
		c.close()
	}
	if c.session == nil {
		fresh = true
		if err := p.open(ctx, c, t); err != nil {
			return coltsfootloft.Health{}, p.occupied(err)
		}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("probe without a deadline")
	}
	c.session.Queue(k)
	err := c.session.Flush(deadline)
	var reply coltsfootloft.Reply
	if err == nil {
		reply, err = c.session.Receive(deadline)
	}
	if err != nil {
		c.close()
		return coltsfootloft.Health{}, errors.Wrapf(err, "%s, fresh connection %t", k.Kind, fresh)
	}
	c.timer.Reset(keep)
	if isOccupied(reply.Reason) {
		return coltsfootloft.Health{}, errors.Wrap(ErrOccupied, reply.Reason.String())
	}
	return p.Parse(reply)
}

// occupied turns a refusal for want of room into ErrOccupied.
func (p *Prober) occupied(err error) error {
	if reason, ok := p.RefusalReason(err); ok && isOccupied(reason) {
		return errors.Wrap(ErrOccupied, err.Error())
	}
	return err
}

func isOccupied(r coltsfootloft.Reason) bool {
	return r == coltsfootloft.ReasonBusy || r == coltsfootloft.ReasonConnections
}

func (p *Prober) conn(t lanes.Target) *conn {
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

func (p *Prober) open(ctx context.Context, c *conn, t lanes.Target) error {
	s, _, err := p.Opener.Open(ctx, t.Address, t.Group, "", t.ID)
	if err != nil {
		return err
	}
	c.session = s
	c.target = t
	c.timer = time.AfterFunc(keep, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.session == s {
			c.close()
		}
	})
	return nil
}

func (c *conn) close() {
	c.timer.Stop()
	c.session.Close()
	c.session = nil
}

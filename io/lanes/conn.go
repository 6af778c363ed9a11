package lanes

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/pick"
	"coltsfootloft/core/prep"
)

// ErrAlign says that the connection could not be brought to what the session expects; the
// statement may have run all the same.
var ErrAlign = errors.New("session values not set")

// Conn is a connection that is lent to one session at a time.
type Conn struct {
	session coltsfootloft.Session
	account string
	target  Target
	held    prep.ConnState
	lanes   *Lanes
	since   time.Duration
	// turn tells that the connection has a place at the database. Like the rest it
	// belongs to whoever the connection is lent to.
	turn bool
}

// Target is the database that the connection leads to.
func (c *Conn) Target() Target { return c.target }

// Request is one statement and what it needs around it.
type Request struct {
	// Statement is the caller's.
	Statement coltsfootloft.Statement
	// Wishes are what the session expects of its connection; nil inside a
	// transaction that has begun, unless they have changed.
	Wishes *prep.Wishes
	// Shape is what a prepared statement runs.
	Shape *prep.Shape
	// After is the least position that the database must have applied.
	After coltsfootloft.Position
	// Deadline bounds the answer.
	Deadline time.Time
}

// Exchange sends a statement and returns its answer. After an error the statement
// may have run, and the connection is only good to be closed.
func (c *Conn) Exchange(r Request) (reply coltsfootloft.Reply, err error) {
	name := ""
	var commands []coltsfootloft.Command
	if r.Wishes != nil {
		commands, name = c.held.Align(r.Wishes, r.Shape)
	}
	for _, k := range commands {
		c.session.Queue(k)
	}
	c.session.Forward(r.Statement, name, r.After)
	c.lanes.resume(c)
	started := c.lanes.Clock.Elapsed()
	c.lanes.Observe(c.target.ID, func(k *pick.Candidate, _ time.Duration) { k.Start() })
	defer c.lanes.Observe(c.target.ID, func(k *pick.Candidate, _ time.Duration) { k.End() })
	if err := c.session.Flush(r.Deadline); err != nil {
		return reply, errors.Wrap(err, "send")
	}
	for range commands {
		answer, err := c.session.Receive(r.Deadline)
		if err != nil {
			return reply, errors.Wrap(err, "receive")
		}
		if answer.Failed() {
			return reply, errors.Wrap(ErrAlign, answer.Reason.String())
		}
	}
	reply, err = c.session.Receive(r.Deadline)
	if err != nil {
		return reply, errors.Wrap(err, "receive")
	}
	c.answered(started, reply)
	return reply, nil
}

// answered notes what the database answered, and gives the place there back.
func (c *Conn) answered(started time.Duration, reply coltsfootloft.Reply) {
	l := c.lanes
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.lane(c.target.ID)
	Note(&n.candidate, l.Clock.Elapsed(), started, reply)
	l.endTurn(n, c, reply.Reason == coltsfootloft.ReasonBusy)
}

// Note records an answer for the choice of databases.
func Note(k *pick.Candidate, now, started time.Duration, reply coltsfootloft.Reply) {
	switch reply.Reason {
	case coltsfootloft.ReasonNone:
		k.Took(now, now-started)
	case coltsfootloft.ReasonBusy:
		k.Busy(now)
	case coltsfootloft.ReasonFailed, coltsfootloft.ReasonTimeout:
		k.Failed(now)
	case coltsfootloft.ReasonLagging:
		k.Lagged(now, reply.Position)
	default:
	}
}

// Command sends a request of the host itself and returns its answer.
func (c *Conn) Command(k coltsfootloft.Command, deadline time.Time) (coltsfootloft.Reply, error) {
	c.session.Queue(k)
	if err := c.session.Flush(deadline); err != nil {
		return coltsfootloft.Reply{}, errors.Wrap(err, "send")
	}
	r, err := c.session.Receive(deadline)
	return r, errors.Wrap(err, "receive")
}

// Discard takes the answer to a request that nobody waits for any more.
func (c *Conn) Discard(deadline time.Time) error {
	r, err := c.session.Receive(deadline)
	if err != nil {
		return errors.Wrap(err, "late answer")
	}
	if r.State != coltsfootloft.TxIdle {
		return errors.New("late answer leaves a transaction open")
	}
	return nil
}

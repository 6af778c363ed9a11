package dbpool

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/pick"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/ask"
)

// ErrUnread is the error of Exchange and Command if the database has closed the connection, or has sent
// something that nobody asked for. Nothing was sent to it.
var ErrUnread = errors.Wrap(ErrBusy, "connection not usable")

// Conn is a pooled connection, lent to one session at a time.
type Conn struct {
	requests ask.Conn
	account  string
	target   Target
	state    prep.ConnState
	// stateTaken is the memory that the state has taken.
	stateTaken int
	pools      *Pools
	idleSince  time.Duration
	// hasPermit is set while the connection holds a permit of the database's gate.
	// Like the other fields it belongs to whoever has the connection.
	hasPermit bool
	// permitSince is when it took the permit.
	permitSince time.Duration
	// foreign is set if it is lent to a host of another failure domain.
	foreign bool
}

// Target returns the database of the connection.
func (c *Conn) Target() Target { return c.target }

// LendAbroad records that the connection is lent to a host of another failure domain, until it
// is released.
func (c *Conn) LendAbroad() { c.foreign = true }

// Request is one statement and the conditions under which it runs.
type Request struct {
	// Statement is the caller's statement.
	Statement coltsfootloft.Statement
	// Expected holds the session values and prepared statements that the connection
	// must have. It is nil inside a transaction that has begun, unless they changed.
	Expected *prep.SessionState
	// Shape is the prepared statement to run, or nil.
	Shape *prep.Shape
	// After is the minimum position that the database must have applied.
	After coltsfootloft.Position
	// Deadline bounds the wait for the answer.
	Deadline time.Time
	// ChargeWait is how long the statement may wait until a cold database may be sent it.
	ChargeWait time.Duration
	// MaySend reports whether the statement may still be sent after that wait. It always may if
	// it is nil.
	MaySend func() bool
}

// Exchange sends a statement and returns its answer, whose memory is given back by GiveBack
// of the pools or by whoever uses it. After any error the connection must be closed; after a
// time-out, DiscardReplies may be called first, and after ErrCold the connection is as before. The
// statement was not sent if the error is ErrCold or ErrUnread, or wraps coltsfootloft.ErrNotSent because it can't be sent on any connection; it may
// have run after any other.
func (c *Conn) Exchange(r Request) (reply coltsfootloft.Reply, err error) {
	if !c.charge(1, r) {
		return reply, ErrCold
	}
	if err := c.checkUnread(); err != nil {
		return reply, err
	}
	name := ""
	var commands []coltsfootloft.Command
	if r.Expected != nil {
		commands, name = c.state.Align(r.Expected, r.Shape)
	}
	if len(commands) > 0 && !c.charge(len(commands), r) {
		return reply, errors.Wrap(ErrUnread, "database is cold, and the connection lacks session values")
	}
	for _, k := range commands {
		c.requests.Queue(k)
	}
	c.requests.Forward(r.Statement, name, r.After)
	c.pools.forcePermit(c)
	started := c.pools.Clock.Elapsed()
	c.pools.Observe(c.target.ID, func(k *pick.Candidate, _ time.Duration) { k.Start() })
	defer c.pools.Observe(c.target.ID, func(k *pick.Candidate, _ time.Duration) { k.End() })
	reply, err = c.requests.RoundTrip(r.Deadline)
	if err != nil {
		return reply, err
	}
	c.recordReply(started, reply)
	return reply, nil
}

// charge charges n requests, and reports whether they may be sent.
func (c *Conn) charge(n int, r Request) bool {
	if c.pools.Charge == nil {
		return true
	}
	return c.pools.Charge(c.target.ID, n, r.ChargeWait) && (r.MaySend == nil || r.MaySend())
}

// recordReply updates the statistics of the database and returns the permit.
func (c *Conn) recordReply(started time.Duration, reply coltsfootloft.Reply) {
	p := c.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.pool(c.target.ID)
	now := p.Clock.Elapsed()
	RecordReply(&n.candidate, now, started, reply)
	if c.hasPermit && reply.Reason != coltsfootloft.ReasonBusy {
		n.gate.Observe(now - c.permitSince)
		if p.SlotShare != nil {
			n.meter.Slots, _ = p.SlotShare(c.target)
		}
		n.meter.Answered(now, now-c.permitSince, c.foreign, n.gate.Waiting())
	}
	p.releasePermit(n, c, reply.Reason == coltsfootloft.ReasonBusy)
}

// RecordReply updates a database's candidate with an answer at now to a statement that
// was sent at started.
func RecordReply(k *pick.Candidate, now, started time.Duration, reply coltsfootloft.Reply) {
	switch reply.Reason {
	case coltsfootloft.ReasonNone:
		k.ObserveLatency(now, now-started)
	case coltsfootloft.ReasonBusy:
		k.Busy(now)
	case coltsfootloft.ReasonFailed, coltsfootloft.ReasonTimeout:
		k.Failed(now)
	case coltsfootloft.ReasonLagging:
		k.Lagged(now, reply.Position)
	default:
	}
}

// Command sends a command of the host itself and returns its answer.
func (c *Conn) Command(k coltsfootloft.Command, deadline time.Time) (coltsfootloft.Reply, error) {
	if !c.charge(1, Request{}) {
		return coltsfootloft.Reply{}, ErrCold
	}
	if err := c.checkUnread(); err != nil {
		return coltsfootloft.Reply{}, err
	}
	c.requests.Queue(k)
	r, err := c.requests.RoundTrip(deadline)
	c.pools.GiveBack(r)
	return r, err
}

// checkUnread fails with ErrUnread if the connection is closed or has unread input, and with
// ErrClosed if nothing may be sent to the database.
func (c *Conn) checkUnread() error {
	if c.pools.isClosed(c.target) {
		return ErrClosed
	}
	if err := c.requests.CheckUnread(); err != nil {
		return errors.Wrap(ErrUnread, err.Error())
	}
	return nil
}

// Outstanding returns how many requests were sent whose answers have not been read.
func (c *Conn) Outstanding() int { return c.requests.Outstanding() }

// DiscardReplies reads the late answers to a statement that timed out and to the commands
// around it. It fails if they don't come by the deadline, if a command failed, or if the
// statement leaves a transaction open.
func (c *Conn) DiscardReplies(deadline time.Time) error {
	state, err := c.requests.Discard(deadline)
	if err != nil {
		return errors.Wrap(err, "late answer")
	}
	if state != coltsfootloft.TxIdle {
		return errors.New("late answer leaves a transaction open")
	}
	return nil
}

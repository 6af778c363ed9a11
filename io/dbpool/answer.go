package dbpool

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/match"
)

// ErrUnread is the error of Exchange and Command if the database has sent something that nobody
// asked for. Nothing was sent to it.
var ErrUnread = errors.Wrap(ErrBusy, "unread input on the connection")

// unreadTimeout bounds the wait for the rest of an answer that nobody asked for.
const unreadTimeout = 10 * time.Millisecond

// queue buffers a command of the host itself, with the marks that follow it.
func (c *Conn) queue(k coltsfootloft.Command) {
	c.session.Queue(k)
	c.sent(match.Command(k.Kind))
}

// sent notes a request that was buffered, and buffers the marks that follow it.
func (c *Conn) sent(r match.Request) {
	c.sequence.Sent(r)
	c.queueMarks(r.Marks())
}

func (c *Conn) queueMarks(n int) {
	for range n {
		c.queue(coltsfootloft.Command{Kind: coltsfootloft.CommandMark})
	}
}

// roundTrip sends the buffered requests and returns the answer to the last one before the marks.
func (c *Conn) roundTrip(deadline time.Time) (coltsfootloft.Reply, error) {
	if err := c.session.Flush(deadline); err != nil {
		return coltsfootloft.Reply{}, errors.Wrap(err, "send")
	}
	reply, marks, err := c.receive(deadline)
	if err != nil || marks == 0 {
		return reply, err
	}
	c.queueMarks(marks)
	err = c.session.Flush(deadline)
	if err == nil {
		_, _, err = c.receive(deadline)
	}
	if err != nil {
		c.pools.GiveBack(reply)
		return coltsfootloft.Reply{}, errors.Wrap(err, "repeated answer not confirmed")
	}
	return reply, nil
}

// receive reads all outstanding answers. It returns the one to the last request before the marks,
// and how many more marks must be answered before it may be used. It fails if an answer
// can't belong to its request, or if a command that prepares the connection failed.
func (c *Conn) receive(deadline time.Time) (reply coltsfootloft.Reply, marks int, err error) {
	defer func() {
		if err != nil {
			c.pools.GiveBack(reply)
			reply = coltsfootloft.Reply{}
		}
	}()
	for c.sequence.Outstanding() > 0 {
		a, err := c.session.Receive(deadline)
		if err != nil {
			return reply, 0, errors.Wrap(err, "receive")
		}
		r, err := c.sequence.Accept(a)
		if err != nil {
			c.pools.GiveBack(a)
			return reply, 0, c.mismatch(r, a)
		}
		switch {
		case r.IsMark():
			c.pools.GiveBack(a)
			// A position after the begin of a transaction must not be older than the begin.
			if reply.Digest == match.NoDigest && a.Position.Compare(reply.Position) > 0 {
				reply.Position = a.Position
			}
		case r.IsSetup():
			c.pools.GiveBack(a)
		default:
			c.pools.GiveBack(reply)
			reply = a
			marks = c.sequence.MarksNeeded(a)
		}
	}
	return reply, marks, nil
}

// checkUnread fails if the connection is closed, or with ErrUnread if the database has sent something
// that nobody asked for. Later statements would get it as their answer.
func (c *Conn) checkUnread() error {
	if c.sequence.Outstanding() > 0 || c.session.Idle() {
		return nil
	}
	a, err := c.session.Receive(time.Now().Add(unreadTimeout))
	if err != nil {
		return errors.Wrap(err, "receive")
	}
	c.pools.GiveBack(a)
	c.logMismatch("none", a)
	return ErrUnread
}

// mismatch returns the error for an answer that can't belong to its request.
func (c *Conn) mismatch(r match.Request, a coltsfootloft.Reply) error {
	c.logMismatch(r.String(), a)
	if r.IsSetup() && a.Failed() {
		return errors.Wrap(ErrAlign, a.Reason.String())
	}
	return errors.Wrapf(match.ErrMismatch, "%s at %s", r, c.target.ID)
}

// logMismatch logs and counts an answer that can't belong to the request that was outstanding.
func (c *Conn) logMismatch(request string, a coltsfootloft.Reply) {
	c.pools.Metrics.GetOrCreateCounter(`coltsfootloft_database_answer_mismatches_total{request="` + request + `"}`).Inc()
	c.pools.Log.Info("answer does not match the request", "database", c.target.ID, "account", c.account, "request", request,
		"session_state", c.sequence.State().String(), "reason", a.Reason.String(), "digest", a.Digest, "rows", len(a.Rows),
		"state", a.State.String(), "position", a.Position.Offset(), "outstanding", c.sequence.Outstanding())
}

// Outstanding returns how many requests were sent whose answers have not been read.
func (c *Conn) Outstanding() int { return c.sequence.Outstanding() }

// DiscardReplies reads the late answers to a statement that timed out and to the commands
// around it. It fails if they don't come by the deadline, if a command failed, or if the
// statement leaves a transaction open.
func (c *Conn) DiscardReplies(deadline time.Time) error {
	r, _, err := c.receive(deadline)
	if err != nil {
		return errors.Wrap(err, "late answer")
	}
	c.pools.GiveBack(r)
	if c.sequence.State() != coltsfootloft.TxIdle {
		return errors.New("late answer leaves a transaction open")
	}
	return nil
}

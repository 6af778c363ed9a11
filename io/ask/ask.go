// Package ask sends requests on a connection to a database and reads their answers, in order.
//
// A database may send an answer twice, or lose one. Marks behind each request show it (package
// match). The connection must be closed then: no later answer on it can be told from others.
package ask

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/match"
)

// Errors of requests.
var (
	// ErrUnread means that the database has sent something that nobody asked for. The request was
	// not sent.
	ErrUnread = errors.New("unread input on the connection")
	// ErrSetup means that a command which prepares the connection for a statement failed.
	ErrSetup = errors.New("session values not set")
)

// noRequest takes the place of the kind of request for an answer that nobody asked for.
const noRequest = "none"

// unreadTimeout bounds the wait for the rest of an answer that nobody asked for.
const unreadTimeout = 10 * time.Millisecond

// Conn is a connection to a database. Its exported fields are set before use. It must be used by
// one goroutine at a time. After an error it must be closed.
type Conn struct {
	// Session is the connection.
	Session coltsfootloft.Session
	// Database is the id of the database.
	Database string
	// GiveBack gives back the memory of an answer that is not passed on.
	GiveBack func(coltsfootloft.Reply)
	// Log receives a line for each answer that can't belong to its request, Metrics counts them.
	Log     logr.Logger
	Metrics *metrics.Set

	sequence match.Sequence
	// unsent is set after requests were not sent, so that the database lacks what they would have set.
	unsent bool
	// marksNeeded is how many more marks must be answered before the latest answer to a request
	// may be used.
	marksNeeded int
}

// Queue buffers a command of the host itself, with the marks that follow it.
func (c *Conn) Queue(k coltsfootloft.Command) {
	c.Session.Queue(k)
	c.sent(match.Command(k.Kind))
}

// Forward buffers a caller's statement, with the marks that follow it. See [coltsfootloft.Session].
func (c *Conn) Forward(s coltsfootloft.Statement, name string, after coltsfootloft.Position) {
	c.Session.Forward(s, name, after)
	c.sent(match.Statement(s.Verb()))
}

func (c *Conn) sent(r match.Request) {
	c.sequence.Sent(r)
	c.queueMarks(r.Marks())
}

func (c *Conn) queueMarks(n int) {
	for range n {
		c.Queue(coltsfootloft.Command{Kind: coltsfootloft.CommandMark})
	}
}

// RoundTrip sends the buffered requests and returns the answer to the last one before the marks. It
// fails with coltsfootloft.ErrNotSent if one of them can't be encoded.
func (c *Conn) RoundTrip(deadline time.Time) (coltsfootloft.Reply, error) {
	if err := c.Session.Flush(deadline); err != nil {
		if errors.Is(err, coltsfootloft.ErrNotSent) {
			c.sequence = match.Sequence{}
			c.unsent = true
		}
		return coltsfootloft.Reply{}, errors.Wrap(err, "send")
	}
	reply, err := c.receive(deadline)
	if err != nil {
		return reply, err
	}
	if err := c.confirm(deadline); err != nil {
		c.GiveBack(reply)
		return coltsfootloft.Reply{}, err
	}
	return reply, nil
}

// confirm sends further marks behind an answer that may be a repetition, and awaits theirs.
func (c *Conn) confirm(deadline time.Time) error {
	if c.marksNeeded == 0 {
		return nil
	}
	confirmed(c.Metrics).Inc()
	c.queueMarks(c.marksNeeded)
	c.marksNeeded = 0
	err := c.Session.Flush(deadline)
	if err == nil {
		_, err = c.receive(deadline)
	}
	return errors.Wrap(err, "repeated answer not confirmed")
}

// receive reads all outstanding answers. It returns the one to the last request before the marks, and sets
// marksNeeded. It fails if an answer can't belong to its request, or if a command that prepares the
// connection failed.
func (c *Conn) receive(deadline time.Time) (reply coltsfootloft.Reply, err error) {
	defer func() {
		if err != nil {
			c.GiveBack(reply)
			reply = coltsfootloft.Reply{}
		}
	}()
	for c.sequence.Outstanding() > 0 {
		a, err := c.Session.Receive(deadline)
		if err != nil {
			return reply, errors.Wrap(err, "receive")
		}
		r, err := c.sequence.Accept(a)
		if errors.Is(err, match.ErrRepeated) {
			c.skip(r.String(), a)
			continue
		}
		if err != nil {
			c.GiveBack(a)
			return reply, c.mismatch(r, a)
		}
		switch {
		case r.IsMark():
			c.GiveBack(a)
			// A position after the begin of a transaction must not be older than the begin.
			if reply.Digest == match.NoDigest && a.Position.Compare(reply.Position) > 0 {
				reply.Position = a.Position
			}
		case r.IsSetup():
			c.GiveBack(a)
		default:
			c.GiveBack(reply)
			reply = a
			c.marksNeeded = c.sequence.MarksNeeded(a)
		}
	}
	return reply, nil
}

// CheckUnread fails if the connection is closed, or with ErrUnread if the database has sent something
// that nobody asked for and that is no repetition. The next request would get it as its answer.
func (c *Conn) CheckUnread() error {
	for c.sequence.Outstanding() == 0 && !c.Session.Idle() {
		a, err := c.Session.Receive(time.Now().Add(unreadTimeout))
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		if !c.sequence.IsRepeated(a) {
			c.GiveBack(a)
			c.logMismatch(noRequest, a)
			return ErrUnread
		}
		c.skip(noRequest, a)
	}
	return nil
}

// skip gives up an answer that was repeated.
func (c *Conn) skip(request string, a coltsfootloft.Reply) {
	c.GiveBack(a)
	repeated(c.Metrics).Inc()
	c.Log.V(1).Info("repeated answer skipped", "database", c.Database, "request", request, "digest", a.Digest)
}

// mismatch returns the error for an answer that can't belong to its request.
func (c *Conn) mismatch(r match.Request, a coltsfootloft.Reply) error {
	c.logMismatch(r.String(), a)
	if r.IsSetup() && a.Failed() {
		return errors.Wrap(ErrSetup, a.Reason.String())
	}
	return errors.Wrapf(match.ErrMismatch, "%s at %s", r, c.Database)
}

// Expose makes the counters appear before there is something to count.
func Expose(m *metrics.Set) {
	mismatches(m, noRequest)
	repeated(m)
	confirmed(m)
}

func confirmed(m *metrics.Set) *metrics.Counter {
	return m.GetOrCreateCounter("coltsfootloft_database_answers_confirmed_total")
}

func repeated(m *metrics.Set) *metrics.Counter {
	return m.GetOrCreateCounter("coltsfootloft_database_answers_repeated_total")
}

func mismatches(m *metrics.Set, request string) *metrics.Counter {
	return m.GetOrCreateCounter(`coltsfootloft_database_answer_mismatches_total{request="` + request + `"}`)
}

// logMismatch logs and counts an answer that can't belong to the request that was outstanding.
func (c *Conn) logMismatch(request string, a coltsfootloft.Reply) {
	mismatches(c.Metrics, request).Inc()
	c.Log.Info("answer does not match the request", "database", c.Database, "request", request,
		"session_state", c.sequence.State().String(), "reason", a.Reason.String(), "digest", a.Digest, "rows", len(a.Rows),
		"state", a.State.String(), "position", a.Position.Offset(), "outstanding", c.sequence.Outstanding())
}

// Outstanding returns how many requests were sent whose answers have not been read.
func (c *Conn) Outstanding() int { return c.sequence.Outstanding() }

// IsReusable reports whether the connection may serve further requests: all requests were sent, no
// answer is outstanding or unread, and none was repeated too often.
func (c *Conn) IsReusable() bool {
	return !c.unsent && c.sequence.Outstanding() == 0 && !c.sequence.ShouldReplace() && c.CheckUnread() == nil
}

// Discard reads the late answers to all requests that are outstanding. It returns the transaction
// state of the session after them.
func (c *Conn) Discard(deadline time.Time) (coltsfootloft.TxState, error) {
	r, err := c.receive(deadline)
	c.GiveBack(r)
	if err == nil {
		err = c.confirm(deadline)
	}
	return c.sequence.State(), err
}

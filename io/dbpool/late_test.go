package dbpool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/prep"
)

// heldBack opens sessions whose answers come in the order of the requests, but only as many
// as were released.
type heldBack struct {
	released int
	failing  bool // commands fail
	closed   int
}

func (h *heldBack) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	return &heldBackSession{database: h}, coltsfootloft.Position{}, nil
}

// heldBackSession answers each request with its id as the digest, "-" for a command or a mark.
type heldBackSession struct {
	database *heldBack
	requests []string
}

func (s *heldBackSession) Queue(coltsfootloft.Command) { s.requests = append(s.requests, "-") }
func (s *heldBackSession) Flush(time.Time) error       { return nil }
func (s *heldBackSession) Idle() bool                  { return true } // nothing has arrived yet
func (s *heldBackSession) Close()                      { s.database.closed++ }

func (s *heldBackSession) Forward(st coltsfootloft.Statement, _ string, _ coltsfootloft.Position) {
	s.requests = append(s.requests, st.ID())
}

func (s *heldBackSession) Receive(time.Time) (coltsfootloft.Reply, error) {
	if s.database.released == 0 {
		return coltsfootloft.Reply{}, errors.New("deadline")
	}
	s.database.released--
	r := coltsfootloft.Reply{Digest: s.requests[0]}
	if r.Digest == "-" && s.database.failing {
		r.Reason = coltsfootloft.ReasonFailed
	}
	s.requests = s.requests[1:]
	return r, nil
}

// readWith returns a read of a session that has n values of its own.
func readWith(id string, n int) Request {
	values := make(map[string]string)
	for i := range n {
		values[fmt.Sprint("value", i)] = id
	}
	return Request{
		Statement: coltsfootloft.NewStatement(id, "READ x", coltsfootloft.VerbRead, "x", ""),
		Expected:  prep.NewSessionState(values),
	}
}

// TestLateAnswersReachNoOtherStatement guards against a connection that goes back to its pool
// with answers outstanding, so that the next session gets those to another one's commands or
// statement. The deadline passes after each possible number of answers.
func TestLateAnswersReachNoOtherStatement(t *testing.T) {
	for commands := range 4 {
		answers := commands + 2 // with those to the statement and to its mark
		for inTime := range answers {
			l, _ := newTestPools()
			h := &heldBack{released: inTime}
			l.Opener = h
			c := acquire(t, l, 2)
			_, err := c.Exchange(readWith("first", commands))
			assert.ErrorContains(t, err, "deadline")
			assert.Equal(t, c.Outstanding(), answers-inTime)
			h.released = c.Outstanding()
			assert.NilError(t, c.DiscardReplies(time.Time{}))
			l.Release(c, true)
			h.released = answers
			c = acquire(t, l, 2)
			reply, err := c.Exchange(readWith("second", commands))
			assert.NilError(t, err)
			assert.Equal(t, reply.Digest, "second", "%d commands, %d answers in time", commands, inTime)
			l.Release(c, true)
			assert.Equal(t, h.closed, 0)
		}
	}
}

// TestConnectionsWithLateAnswersAreClosed guards against a connection that is lent again although
// answers are outstanding, or although a command that prepared it for a session has failed.
func TestConnectionsWithLateAnswersAreClosed(t *testing.T) {
	for name, end := range map[string]func(h *heldBack, c *Conn) bool{
		"never read": func(*heldBack, *Conn) bool { return true },
		"read in part": func(h *heldBack, c *Conn) bool {
			h.released = 1
			return c.DiscardReplies(time.Time{}) == nil
		},
		"failed command": func(h *heldBack, c *Conn) bool {
			h.released = 2
			h.failing = true
			return c.DiscardReplies(time.Time{}) == nil
		},
		"failed rollback": func(_ *heldBack, c *Conn) bool {
			_, err := c.Command(coltsfootloft.Command{Kind: coltsfootloft.CommandRollback}, time.Time{})
			return err != nil
		},
	} {
		l, _ := newTestPools()
		h := &heldBack{}
		l.Opener = h
		c := acquire(t, l, 2)
		_, err := c.Exchange(readWith("first", 1))
		assert.ErrorContains(t, err, "deadline")
		l.Release(c, end(h, c))
		assert.Equal(t, h.closed, 1, name)
	}
}

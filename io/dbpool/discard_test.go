package dbpool

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// lateAgain is a database that sends the answers of the test: those in next once a request was sent.
type lateAgain struct {
	next, arrived []coltsfootloft.Reply
	opened        int
	forwarded     int
	ended         error // of the connections
}

func (d *lateAgain) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	d.opened++
	return &lateAgainSession{database: d}, coltsfootloft.Position{}, nil
}

type lateAgainSession struct {
	coltsfootloft.Session
	database *lateAgain
}

func (*lateAgainSession) Queue(coltsfootloft.Command) {}
func (*lateAgainSession) Close()                      {}

func (s *lateAgainSession) Idle() bool {
	return len(s.database.arrived) == 0 && s.database.ended == nil
}

func (s *lateAgainSession) Forward(coltsfootloft.Statement, string, coltsfootloft.Position) {
	s.database.forwarded++
}

func (s *lateAgainSession) Flush(time.Time) error {
	s.database.arrived = append(s.database.arrived, s.database.next...)
	s.database.next = nil
	return nil
}

func (s *lateAgainSession) Receive(time.Time) (coltsfootloft.Reply, error) {
	if s.database.ended != nil {
		return coltsfootloft.Reply{}, s.database.ended
	}
	if len(s.database.arrived) == 0 {
		return coltsfootloft.Reply{}, os.ErrDeadlineExceeded
	}
	r := s.database.arrived[0]
	s.database.arrived = s.database.arrived[1:]
	return r, nil
}

// TestRepetitionsAreNotTheLateAnswers guards against an earlier answer that is repeated with its mark while
// the late answers to a statement are read: the connection was used again, and the next statement got
// the answer that came later still.
func TestRepetitionsAreNotTheLateAnswers(t *testing.T) {
	mark := coltsfootloft.Reply{Digest: "-"}
	late := coltsfootloft.Reply{Digest: "7.late"}
	for name, first := range map[string]coltsfootloft.Reply{
		"success": {Digest: "7.first"},
		"refusal": {Reason: coltsfootloft.ReasonBusy},
	} {
		t.Run(name, func(t *testing.T) {
			d := &lateAgain{}
			l, _ := newTestPools()
			l.Opener = d
			send := func(id string, answers ...coltsfootloft.Reply) (*Conn, coltsfootloft.Reply, error) {
				c := acquire(t, l, 2)
				d.next = answers
				reply, err := c.Exchange(readWith(id, 0))
				return c, reply, err
			}
			c, _, err := send("first", first, mark)
			assert.NilError(t, err)
			l.Release(c, true)
			c, _, err = send("slow")
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
			d.arrived = []coltsfootloft.Reply{first, mark}
			err = c.DiscardReplies(time.Time{})
			l.Release(c, err == nil)
			if d.opened == 1 && l.pool(target.ID).open == 1 {
				_, reply, err := send("next", late, mark)
				assert.Assert(t, err != nil, "the next statement got %q", reply.Digest)
			}
		})
	}
}

// TestRepetitionInTimeIsNotTheLateAnswer guards against the same if the earlier answer is repeated before the deadline and
// that to its mark after it.
func TestRepetitionInTimeIsNotTheLateAnswer(t *testing.T) {
	d := &lateAgain{}
	l, _ := newTestPools()
	l.Opener = d
	c := acquire(t, l, 2)
	mark := coltsfootloft.Reply{Digest: "-"}
	first := coltsfootloft.Reply{Reason: coltsfootloft.ReasonBusy}
	d.next = []coltsfootloft.Reply{first, mark}
	_, err := c.Exchange(readWith("first", 0))
	assert.NilError(t, err)
	d.next = []coltsfootloft.Reply{first}
	_, err = c.Exchange(readWith("slow", 0))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	d.arrived = []coltsfootloft.Reply{mark}
	assert.Assert(t, c.DiscardReplies(time.Time{}) != nil, "the connection would be used again")
}

// TestDroppedAnswerIsNotTheNext guards against an answer that was dropped for lack of memory and then is
// repeated with its mark, when there is memory again: the next statement got it.
func TestDroppedAnswerIsNotTheNext(t *testing.T) {
	for _, state := range []coltsfootloft.TxState{coltsfootloft.TxIdle, coltsfootloft.TxOpen} {
		t.Run(state.String(), func(t *testing.T) {
			d := &lateAgain{}
			l, _ := newTestPools()
			l.Opener = d
			mark := coltsfootloft.Reply{
				Digest: "-",
				State:  state,
			}
			c := acquire(t, l, 2)
			if state == coltsfootloft.TxOpen {
				d.next = []coltsfootloft.Reply{mark, mark, mark}
				_, err := c.Exchange(Request{Statement: coltsfootloft.NewStatement("begin", "BEGIN", coltsfootloft.VerbBegin, "", "")})
				assert.NilError(t, err)
			}
			d.next = []coltsfootloft.Reply{
				{
					Reason: coltsfootloft.ReasonTooLarge,
					State:  state,
				},
				mark,
			}
			_, err := c.Exchange(readWith("first", 0))
			assert.NilError(t, err)
			if state == coltsfootloft.TxIdle {
				l.Release(c, true)
				acquire(t, l, 2)
				assert.Equal(t, d.opened, 2)
				return
			}
			d.next = []coltsfootloft.Reply{
				{
					Digest: "7.first",
					State:  state,
				},
				mark,
				{
					Digest: "7.next",
					State:  state,
				},
				mark,
			}
			reply, err := c.Exchange(readWith("next", 0))
			assert.Assert(t, err != nil, "the next statement got %q", reply.Digest)
		})
	}
}

// TestNothingIsSentOnAnEndedConnection guards against a statement whose outcome is reported as unknown, although
// the connection was closed, or a part of an answer was unread, before it was sent.
func TestNothingIsSentOnAnEndedConnection(t *testing.T) {
	for _, err := range []error{io.EOF, errors.New("within an answer")} {
		d := &lateAgain{}
		l, _ := newTestPools()
		l.Opener = d
		c := acquire(t, l, 2)
		d.ended = err
		_, err := c.Exchange(readWith("first", 0))
		assert.Assert(t, errors.Is(err, ErrUnread), "%v", err)
		_, err = c.Command(coltsfootloft.Command{Kind: coltsfootloft.CommandRollback}, time.Time{})
		assert.Assert(t, errors.Is(err, ErrUnread), "%v", err)
		assert.Equal(t, d.forwarded, 0)
		l.Release(c, true)
		assert.Equal(t, l.pool(target.ID).open, 0)
	}
}

// TestRefusalThatEndsInFailedState guards against INDOUBT as the answer to a write that the database refused as
// the protocol shows it: "ERR READONLY i-7f3a91c2", then "READY E 3.1209".
func TestRefusalThatEndsInFailedState(t *testing.T) {
	d := &lateAgain{}
	l, _ := newTestPools()
	l.Opener = d
	c := acquire(t, l, 2)
	d.next = []coltsfootloft.Reply{
		{
			Reason: coltsfootloft.ReasonReadOnly,
			State:  coltsfootloft.TxFailed,
		},
		{
			Reason: coltsfootloft.ReasonMalformed,
			State:  coltsfootloft.TxFailed,
		},
	}
	reply, err := c.Exchange(Request{Statement: coltsfootloft.NewStatement("first", "WRITE x y", coltsfootloft.VerbWrite, "x", "y")})
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, coltsfootloft.ReasonReadOnly)
}

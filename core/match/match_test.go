package match

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// The answers of a database: of what kind, and in which transaction state.
func done(digest string, state coltsfootloft.TxState, rows ...string) coltsfootloft.Reply {
	return coltsfootloft.Reply{
		Rows:   rows,
		Digest: digest,
		State:  state,
	}
}

func failure(reason coltsfootloft.Reason, state coltsfootloft.TxState) coltsfootloft.Reply {
	return coltsfootloft.Reply{
		Reason: reason,
		State:  state,
	}
}

// TestAnswersOfOtherRequestsAreRefused guards against an answer that is taken for that to another kind of
// request, or to one in another transaction state.
func TestAnswersOfOtherRequestsAreRefused(t *testing.T) {
	const idle, open, failed = coltsfootloft.TxIdle, coltsfootloft.TxOpen, coltsfootloft.TxFailed
	answers := map[string]coltsfootloft.Reply{
		"start":         done("", idle),
		"mark":          done("-", idle),
		"mark in tx":    done("-", open),
		"mark failed":   failure(coltsfootloft.ReasonMalformed, failed),
		"read":          done("7.1", idle, "row"),
		"read in tx":    done("7.1", open, "row"),
		"write":         done("7.1", idle),
		"write in tx":   done("7.1", open),
		"status":        done("-", idle, "row"),
		"busy":          failure(coltsfootloft.ReasonBusy, idle),
		"busy in tx":    failure(coltsfootloft.ReasonBusy, open),
		"read-only, tx": failure(coltsfootloft.ReasonReadOnly, failed),
		"timeout":       failure(coltsfootloft.ReasonTimeout, idle),
	}
	failures := []string{"busy", "timeout"}
	anyFailure := []string{"busy", "timeout", "busy in tx", "read-only, tx", "mark failed"}
	refusals := []string{"busy", "timeout", "read-only, tx", "mark failed"} // a refusal may leave a failed state
	data := []string{"read", "write"}
	for _, c := range []struct {
		request Request
		before  coltsfootloft.TxState
		allowed []string
		further []string
	}{
		{Command(coltsfootloft.CommandMark), idle, []string{"mark"}, nil},
		{Command(coltsfootloft.CommandMark), open, []string{"mark in tx"}, nil},
		{Command(coltsfootloft.CommandMark), failed, []string{"mark failed"}, nil},
		{Command(coltsfootloft.CommandSet), idle, []string{"mark"}, nil},
		{Command(coltsfootloft.CommandPrepare), open, []string{"mark in tx"}, nil},
		{Command(coltsfootloft.CommandReset), idle, []string{"mark"}, nil},
		{Command(coltsfootloft.CommandStatus), idle, []string{"status"}, failures},
		{Command(coltsfootloft.CommandDemote), idle, []string{"status"}, failures},
		{Command(coltsfootloft.CommandRollback), open, []string{"mark"}, anyFailure},
		{Command(coltsfootloft.CommandRollback), failed, []string{"mark"}, anyFailure},
		{Statement(coltsfootloft.VerbRead), idle, data, refusals},
		{Statement(coltsfootloft.VerbWrite), idle, data, refusals},
		{Statement(coltsfootloft.VerbExecute), idle, data, refusals},
		{Statement(coltsfootloft.VerbExecute), open, []string{"read in tx", "write in tx"}, anyFailure},
		{Statement(coltsfootloft.VerbBegin), idle, []string{"mark in tx"}, refusals},
		{Statement(coltsfootloft.VerbBeginRead), idle, []string{"mark in tx"}, refusals},
		{Statement(coltsfootloft.VerbCommit), open, []string{"write"}, anyFailure},
	} {
		allowed := make(map[string]bool)
		for _, n := range append(c.allowed, c.further...) {
			allowed[n] = true
		}
		for n, a := range answers {
			s := Sequence{state: c.before}
			s.Sent(c.request)
			r, err := s.Accept(a)
			assert.Equal(t, err == nil, allowed[n], "%s, %s: %s", c.request, c.before, n)
			assert.Assert(t, err == nil || errors.Is(err, ErrMismatch))
			assert.Equal(t, r, c.request)
		}
	}
}

// TestEqualAnswersNeedMoreMarks guards against an answer that is repeated together with all that followed
// it, and against a connection that gathers marks without a bound.
func TestEqualAnswersNeedMoreMarks(t *testing.T) {
	var s Sequence
	busy := failure(coltsfootloft.ReasonBusy, coltsfootloft.TxIdle)
	mark := done("-", coltsfootloft.TxIdle)
	accept := func(r Request, a coltsfootloft.Reply) {
		t.Helper()
		s.Sent(r)
		_, err := s.Accept(a)
		assert.NilError(t, err)
	}
	answered := 0 // marks behind the latest refusal
	for i := 0; !s.ShouldReplace(); i++ {
		assert.Assert(t, i <= maxMarks)
		accept(Statement(coltsfootloft.VerbWrite), busy)
		s.Sent(Command(coltsfootloft.CommandMark))
		more := s.MarksNeeded(busy)
		_, err := s.Accept(mark)
		assert.NilError(t, err)
		for range more {
			accept(Command(coltsfootloft.CommandMark), mark)
		}
		assert.Assert(t, i == 0 || 1+more >= answered+furtherMarks, "%d marks, %d before", 1+more, answered)
		answered = 1 + more
	}
}

// TestSetupsCountAsMarks guards against answers to setup commands that arrive in place of the marks behind
// a repeated answer.
func TestSetupsCountAsMarks(t *testing.T) {
	var s Sequence
	write, mark := failure(coltsfootloft.ReasonBusy, coltsfootloft.TxIdle), done("-", coltsfootloft.TxIdle)
	for i := range 2 {
		for range 3 {
			s.Sent(Command(coltsfootloft.CommandSet))
			_, err := s.Accept(mark)
			assert.NilError(t, err)
		}
		s.Sent(Statement(coltsfootloft.VerbWrite))
		s.Sent(Command(coltsfootloft.CommandMark))
		_, err := s.Accept(write)
		assert.NilError(t, err)
		// The first answer was followed by its mark and the second statement's setup commands.
		const followed, setups, sent = 4, 3, 1
		assert.Equal(t, s.MarksNeeded(write), i*(followed+furtherMarks+setups-sent))
		_, err = s.Accept(mark)
		assert.NilError(t, err)
	}
}

// TestRepeatedDigestsAreSkipped guards against a repeated success that is taken for the answer to the next
// statement, because repeated answers to marks and setup commands follow it.
func TestRepeatedDigestsAreSkipped(t *testing.T) {
	var s Sequence
	first, second, mark := done("7.1", coltsfootloft.TxIdle), done("7.2", coltsfootloft.TxIdle), done("-", coltsfootloft.TxIdle)
	send := func() {
		s.Sent(Statement(coltsfootloft.VerbWrite))
		s.Sent(Command(coltsfootloft.CommandMark))
	}
	send()
	for _, a := range []coltsfootloft.Reply{first, mark} {
		_, err := s.Accept(a)
		assert.NilError(t, err)
		if a.Digest != mark.Digest {
			assert.Equal(t, s.MarksNeeded(a), 0)
		}
	}
	send()
	_, err := s.Accept(first)
	assert.Assert(t, errors.Is(err, ErrRepeated))
	_, err = s.Accept(second)
	assert.NilError(t, err)
	_, err = s.Accept(first)
	assert.Assert(t, errors.Is(err, ErrRepeated))
	_, err = s.Accept(mark)
	assert.NilError(t, err)
	send()
	_, err = s.Accept(first)
	assert.Assert(t, errors.Is(err, ErrRepeated))
	_, err = s.Accept(mark)
	assert.Assert(t, errors.Is(err, ErrMismatch), "a mark's answer in place of the statement's")
}

package relay

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// TestAnswerThatNoDatabaseGivesReachesNoCaller guards against an answer of another host that can't be that to
// the statement, such as a success without a digest, which callers got as DONE with "-".
func TestAnswerThatNoDatabaseGivesReachesNoCaller(t *testing.T) {
	const idle, open, failed = uint32(coltsfootloft.TxIdle), uint32(coltsfootloft.TxOpen), uint32(coltsfootloft.TxFailed)
	row := [][]byte{[]byte("x")}
	for _, c := range []struct {
		verb   coltsfootloft.Verb
		handle uint64
		answer *relaypb.Response
		ok     bool
	}{
		{coltsfootloft.VerbRead, 0, &relaypb.Response{}, false},
		{coltsfootloft.VerbRead, 0, &relaypb.Response{Rows: row, Digest: []byte("-")}, false},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{}, false},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{Digest: []byte("-")}, false},
		{coltsfootloft.VerbExecute, 0, &relaypb.Response{}, false},
		{coltsfootloft.VerbCommit, 7, &relaypb.Response{}, false},
		{coltsfootloft.VerbCommit, 7, &relaypb.Response{Digest: []byte("7.1"), State: open}, false},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{Digest: []byte("7.1"), State: open}, false},
		{coltsfootloft.VerbWrite, 7, &relaypb.Response{Digest: []byte("7.1"), State: idle}, false},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{Reason: uint32(coltsfootloft.ReasonBusy), State: open}, false},
		{coltsfootloft.VerbBegin, 0, &relaypb.Response{Digest: []byte("-"), State: idle}, false},

		{coltsfootloft.VerbRead, 0, &relaypb.Response{Rows: row, Digest: []byte("7.1")}, true},
		{coltsfootloft.VerbWrite, 7, &relaypb.Response{Digest: []byte("7.1"), State: open}, true},
		{coltsfootloft.VerbWrite, 7, &relaypb.Response{Reason: uint32(coltsfootloft.ReasonFailed), State: failed}, true},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{Reason: uint32(coltsfootloft.ReasonBusy)}, true},
		{coltsfootloft.VerbWrite, 0, &relaypb.Response{Reason: uint32(coltsfootloft.ReasonReadOnly), State: failed}, true},
		{coltsfootloft.VerbBegin, 0, &relaypb.Response{Digest: []byte("-"), State: open, Handle: 7}, true},
		{coltsfootloft.VerbCommit, 7, &relaypb.Response{Digest: []byte("7.1")}, true},
	} {
		c.answer.Outcome = relaypb.Outcome_OUTCOME_ANSWERED
		b, err := proto.Marshal(c.answer)
		assert.NilError(t, err)
		r := newRelay(t)
		r.Peers = answeringPeers{answer: b}
		n := &Conn{
			relay:  r,
			target: dbpool.Target{ID: "db-1"},
			owner:  "other",
			handle: c.handle,
		}
		q := dbpool.Request{
			Statement: coltsfootloft.NewStatement("a1", "", c.verb, "", ""),
			Deadline:  time.Now().Add(time.Second),
		}
		_, err = n.Exchange(q, q.Deadline, true)
		assert.Check(t, (err == nil) == c.ok, "%s, handle %d, %v: %v", c.verb, c.handle, c.answer, err)
		for _, notRun := range []error{dbpool.ErrBusy, dbpool.ErrDown, ErrTransactionEnded, coltsfootloft.ErrNotSent} {
			assert.Check(t, !errors.Is(err, notRun), "the statement may have run: %v", err)
		}
	}
}

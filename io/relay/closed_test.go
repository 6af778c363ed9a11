package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/homes"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// TestClosedDatabaseGetsNothing guards against a statement, a COMMIT or a ROLLBACK that a host sends to a
// database of an evacuated domain: for a session of its own, as the owner of a connection for another host,
// or through an owner that does not know yet.
func TestClosedDatabaseGetsNothing(t *testing.T) {
	var closed atomic.Bool
	d := &answeringDatabase{}
	r := newRelay(t)
	r.HoldTimeout = func() time.Duration { return time.Minute }
	r.Pools.Opener = d
	r.Pools.Limit = func(dbpool.Target) int { return 10 }
	r.Pools.Outstanding = r.Pools.Limit
	r.Pools.IsClosed = func(dbpool.Target) bool { return closed.Load() }
	q, ok := r.request(foreign("a1", "READ x", coltsfootloft.VerbRead), time.Now().Add(10*time.Second))
	assert.Assert(t, ok)
	own, err := r.Borrow(t.Context(), dbpool.Target{ID: "db-1"}, "arima", 0, nil, homes.Homes{})
	assert.NilError(t, err)
	var held []uint64
	for range 3 {
		a, _ := r.exchange("other", foreign("a1", "BEGIN", coltsfootloft.VerbBegin))
		assert.Assert(t, a.GetHandle() != 0)
		held = append(held, a.GetHandle())
	}
	sent := d.requests.Load()
	closed.Store(true)

	_, err = own.Exchange(q, q.Deadline, false)
	assert.Assert(t, errors.Is(err, dbpool.ErrClosed) && errors.Is(err, dbpool.ErrBusy), "%v", err)
	_, err = r.Borrow(t.Context(), dbpool.Target{ID: "db-1"}, "arima", 0, nil, homes.Homes{})
	assert.Assert(t, errors.Is(err, dbpool.ErrClosed), "%v", err)
	a, _ := r.exchange("other", foreign("a2", "READ x", coltsfootloft.VerbRead))
	assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_BUSY)
	assert.Assert(t, a.GetEvacuated())
	commit := foreign("a3", "COMMIT", coltsfootloft.VerbCommit)
	commit.Handle = held[0]
	a, _ = r.exchange("other", commit)
	assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_LOST)
	assert.Assert(t, a.GetNotSent())
	r.rollback(r.take(held[1], "other").conn)
	assert.Equal(t, r.EndClosed(), 1)
	assert.Equal(t, r.Pools.CloseClosed(), 0, "connections are open")
	remote := &Conn{
		relay:  r,
		target: dbpool.Target{ID: "db-1"},
		owner:  "other",
	}
	_, err = remote.Exchange(q, q.Deadline, false)
	assert.Assert(t, errors.Is(err, dbpool.ErrClosed), "%v", err)
	assert.Equal(t, d.requests.Load(), sent)
}

package relay

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// TestRefusedWaitReachesTheSession guards against a statement that an owner refused for its wait and
// that the host of the session sends again and again, and against the same on a host with the feature off.
func TestRefusedWaitReachesTheSession(t *testing.T) {
	b, err := proto.Marshal(busy(&dbpool.WaitError{Retry: 70 * time.Millisecond}))
	assert.NilError(t, err)
	for _, on := range []bool{false, true} {
		r := newRelay(t)
		r.Peers = answeringPeers{answer: b}
		r.Pools.EstimateWaits = on
		n := &Conn{
			relay:  r,
			target: dbpool.Target{ID: "db-1"},
			owner:  "other",
		}
		_, err = n.Exchange(dbpool.Request{Deadline: time.Now().Add(time.Second)}, time.Now().Add(time.Second), false)
		var refused *dbpool.WaitError
		assert.Assert(t, errors.Is(err, dbpool.ErrBusy))
		assert.Equal(t, errors.As(err, &refused), on)
		if on {
			assert.Equal(t, refused.Retry, 70*time.Millisecond)
		}
	}
	assert.Assert(t, proto.Equal(busy(dbpool.ErrBusy), &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_BUSY}))
}

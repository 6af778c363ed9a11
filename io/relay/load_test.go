package relay

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// ask lets an owner run a read of another host, and returns its response.
func ask(t *testing.T, owner *Relay) *relaypb.Response {
	t.Helper()
	b, err := proto.Marshal(&relaypb.Request{Exchange: &relaypb.Exchange{
		Database: "db-1",
		Account:  "arima",
		Id:       []byte("a1"),
		Text:     []byte("READ x"),
		Verb:     uint32(coltsfootloft.VerbRead),
		Name:     []byte("x"),
		WaitMs:   1000,
		AnswerMs: 1000,
	}})
	assert.NilError(t, err)
	b, err = owner.handle(t.Context(), "other", b)
	assert.NilError(t, err)
	var a relaypb.Response
	assert.NilError(t, proto.Unmarshal(b, &a))
	return &a
}

// TestResponsesCarryTheLoad guards against hosts that don't learn the load of a database, and against
// messages or choices that change with the feature off.
func TestResponsesCarryTheLoad(t *testing.T) {
	target := dbpool.Target{ID: "db-1"}
	for _, on := range []bool{false, true} {
		owner, r := newRelay(t), newRelay(t)
		if on {
			for _, x := range []*Relay{owner, r} {
				x.Pools.SlotShare = func(dbpool.Target) (float64, int) { return 2, 1 }
			}
		}
		a := ask(t, owner)
		assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, a.GetLoad() != nil, on)
		r.noteLoad("db-1", "owner", r.Clock.Elapsed()-5*time.Millisecond, a.GetLoad())
		e, ok := r.loads.Estimate(r.Clock.Elapsed(), "db-1", "owner", 0)
		assert.Equal(t, ok, on)
		if on {
			assert.Assert(t, e.RoundTrip > 0 && e.RoundTrip < time.Second)
		}
		_, ok = r.Expect(target, "arima", 0, homes.Homes{}) // the host is its own owner and has sent nothing
		assert.Assert(t, !ok)
	}
}

// TestLoadsPassBetweenHosts guards against a report that arrives as another, and against figures of
// another host that no owner can have measured.
func TestLoadsPassBetweenHosts(t *testing.T) {
	l := load.Report{
		Waiting:  3,
		Running:  2,
		Capacity: 2,
		Service:  20 * time.Millisecond,
		Work:     10 * time.Millisecond,
		Waits:    [4]time.Duration{0, time.Millisecond, 2 * time.Millisecond, 2 * time.Second},
		Free:     12.5,
	}
	m := encodeLoad(l, 30*time.Millisecond)
	assert.DeepEqual(t, decodeLoad(m), l)
	assert.Equal(t, m.GetHeldUs(), uint32(30_000))
	for _, free := range []float64{math.NaN(), math.Inf(1), -1} {
		assert.Equal(t, decodeLoad(&relaypb.Load{
			FreePerS: free,
			WaitUs:   make([]uint32, 9),
		}).Free, 0.0)
	}
}

package dbpool

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/gate"
)

// TestUselessWaitIsRefusedAtOnce guards against a statement that waits although its turn can't come
// in time, and against one that is refused although the feature is off, or that would begin in time.
func TestUselessWaitIsRefusedAtOnce(t *testing.T) {
	for _, on := range []bool{false, true} {
		l, _ := newTestPools()
		l.EstimateWaits = on
		holder := acquire(t, l, 2)
		l.mu.Lock()
		l.pool(target.ID).gate.Observe(100 * time.Millisecond)
		l.mu.Unlock()
		ctx := timeoutContext(t, 60*time.Millisecond)
		_, err := l.Acquire(ctx, target, "arima", 2)
		var refused *WaitError
		assert.Assert(t, errors.Is(err, ErrBusy))
		assert.Equal(t, errors.As(err, &refused), on)
		assert.Equal(t, ctx.Err() == nil, on, "whether it was refused before its time was over")
		if on {
			assert.Assert(t, refused.Retry > 0 && refused.Retry < time.Second, "%s", refused.Retry)
		}
		l.Release(holder, true)
		l.Release(acquire(t, l, 2), true)
	}
}

// TestAnswersGiveTheServiceTime guards against a gate that never learns how long statements take, and
// against one that learns it from refusals of the database.
func TestAnswersGiveTheServiceTime(t *testing.T) {
	l, d := newTestPools()
	serviceTime := func() time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.pool(target.ID).gate.Service()
	}
	c := acquire(t, l, gate.Levels-1)
	time.Sleep(5 * time.Millisecond)
	r := readReply()
	r.Reason = coltsfootloft.ReasonBusy
	d.answers <- r
	_, err := c.Exchange(readRequest(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, serviceTime(), time.Duration(0))
	l.Release(c, true)
	c = acquire(t, l, gate.Levels-1)
	time.Sleep(5 * time.Millisecond)
	d.answers <- readReply()
	_, err = c.Exchange(readRequest(time.Second))
	assert.NilError(t, err)
	assert.Assert(t, serviceTime() >= 5*time.Millisecond)
	l.Release(c, true)
}

package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attempts offers 1000 requests per second for ten seconds to a database that
// fails from the fifth second on. Each failure is retried up to three times while
// allowed. It returns the attempts per request during the failure.
func attempts(allow func(time.Time) bool, b *Budget) float64 {
	now := time.Unix(1_800_000_000, 0)
	sent, offered := 0, 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		b.Offer()
		if i < 5000 {
			b.Success(now)
			continue
		}
		offered++
		sent++
		for range 3 {
			if !allow(now) {
				break
			}
			sent++
		}
	}
	return float64(sent) / float64(offered)
}

func TestFailingDatabaseReceivesBoundedLoad(t *testing.T) {
	b := &Budget{}
	naive := attempts(func(time.Time) bool { return true }, &Budget{})
	bounded := attempts(b.Allow, b)
	t.Logf("attempts per request: always retry %.2f, budget %.3f", naive, bounded)
	assert.Assert(t, naive > 3.9)
	assert.Assert(t, bounded <= 1.2+0.01)
}

func TestNoRetryWithoutSuccess(t *testing.T) {
	b := &Budget{}
	now := time.Unix(1_800_000_000, 0)
	for range 1000 {
		b.Offer()
	}
	assert.Assert(t, !b.Allow(now))
	for range 5 {
		b.Success(now)
	}
	assert.Assert(t, b.Allow(now))
	assert.Assert(t, !b.Allow(now))
	assert.Assert(t, !b.Allow(now.Add(window+time.Second)))
}

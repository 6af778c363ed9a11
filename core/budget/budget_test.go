package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attempts offers 1000 requests a second for ten seconds to a database that
// fails from the fifth second on; every failure is retried while allowed, up to
// three times. It returns the attempts seen per offered request while failing.
func attempts(allow func(time.Time) bool, b *Budget) float64 {
	now := time.Unix(1_800_000_000, 0)
	seen, offered := 0, 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		b.Offer()
		if i < 5000 {
			b.Success(now)
			continue
		}
		offered++
		seen++
		for range 3 {
			if !allow(now) {
				break
			}
			seen++
		}
	}
	return float64(seen) / float64(offered)
}

func TestFailingDatabaseSeesBoundedLoad(t *testing.T) {
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

package bucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "coltsfootloft/stand/seed"
)

var start = time.Unix(1_800_000_000, 0)

func TestWaitIsWhenTakeSucceeds(t *testing.T) {
	b := New(10, 5, start)
	assert.Assert(t, b.Take(start, 5))
	w := b.Wait(start, 2)
	assert.Equal(t, w, 200*time.Millisecond)
	assert.Assert(t, !b.Take(start.Add(w-time.Millisecond), 2))
	assert.Assert(t, b.Take(start.Add(w), 2))
	assert.Equal(t, b.Wait(start.Add(w), 6), Never)
}

func TestZeroBucketGivesNothing(t *testing.T) {
	var b Bucket
	assert.Assert(t, !b.Take(start, 1))
	assert.Equal(t, b.Wait(start, 1), Never)
	assert.Equal(t, b.Credit(start, 3), 0.0)
}

// TestPartsKeepTheBoundOfTheWhole moves tokens at random between the buckets of
// one limit and checks every window against burst + rate × window.
func TestPartsKeepTheBoundOfTheWhole(t *testing.T) {
	const rate, burst = 30.0, 12.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "parts")
		parts := make([]Bucket, n)
		for i := range parts {
			parts[i] = New(rate/float64(n), burst/float64(n), start)
		}
		now := start
		var taken []time.Time
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			from := &parts[rapid.IntRange(0, n-1).Draw(t, "from")]
			to := &parts[rapid.IntRange(0, n-1).Draw(t, "to")]
			to.Credit(now, from.Debit(now, rapid.Float64Range(0, 4).Draw(t, "moved")))
			for to.Take(now, 1) {
				taken = append(taken, now)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				w := taken[j].Sub(taken[i]).Seconds()
				assert.Assert(t, float64(j-i+1) <= burst+rate*w+1e-6)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	k := New(1e12, 1e12, start)
	now := start
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Microsecond)
		k.Take(now, 1)
	}
}

// TestHeldTokensCountAgainstTheBurst guards against a bucket that fills while the tokens taken from it are
// not used, so that both together exceed the burst.
func TestHeldTokensCountAgainstTheBurst(t *testing.T) {
	start := time.Unix(0, 0)
	b := New(10, 20, start)
	assert.Assert(t, b.Take(start, 15))
	b.Hold(start, 15)
	later := start.Add(time.Minute)
	assert.Equal(t, b.Available(later), 5.0)
	b.Release(later, 10)
	assert.Equal(t, b.Available(later.Add(500*time.Millisecond)), 10.0)
	b.Release(later, 5)
	assert.Equal(t, b.Credit(later, 100), 10.0)
	b.Hold(later, 30) // lent by another bucket
	assert.Equal(t, b.Available(later.Add(time.Second)), 20.0, "tokens that it had are not lost")
	assert.Equal(t, b.Credit(later, 1), 0.0)
}

package memory

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "coltsfootloft/stand/seed"
)

// TestBudgetIsNeverExceeded guards against holders that together hold more than the budget,
// and against bytes that are not given back.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := New(limit)
		held := make([]int, 5)
		for range 100 {
			h := rapid.IntRange(0, len(held)-1).Draw(t, "holder")
			if rapid.Bool().Draw(t, "give") {
				b.Give(held[h])
				held[h] = 0
				continue
			}
			n := rapid.IntRange(0, limit).Draw(t, "bytes")
			if b.Take(held[h], n) {
				held[h] += n
			}
			sum := 0
			for _, x := range held {
				sum += x
			}
			assert.Equal(t, b.Used(), int64(sum))
			assert.Assert(t, sum <= limit)
		}
	})
}

// TestSmallMessagesFitBesideLargeOnes guards against few holders of much that leave nothing
// to the others.
func TestSmallMessagesFitBesideLargeOnes(t *testing.T) {
	b := New(1 << 20)
	for b.Take(0, 60_000) {
	}
	for range 10 {
		assert.Assert(t, b.Take(0, 3000))
	}
	assert.Equal(t, b.Refused(), uint64(1))
}

// TestConcurrentHolders guards against bytes that are lost where holders take and give at
// the same time.
func TestConcurrentHolders(t *testing.T) {
	b := New(1 << 16)
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 1000 {
				if b.Take(0, 1000) {
					b.Give(1000)
				}
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, b.Used(), int64(0))
}

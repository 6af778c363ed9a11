package gate

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "coltsfootloft/stand/seed"
)

func TestUrgentFirstWithoutStarvation(t *testing.T) {
	g := Gate[string]{Limit: 1}
	assert.Assert(t, g.TryAcquire())
	for range 8 {
		_, ok := g.Enqueue(1, "a", "urgent")
		assert.Assert(t, ok)
		_, ok = g.Enqueue(2, "a", "other")
		assert.Assert(t, ok)
	}
	served := make(map[string]int)
	for range 8 {
		g.Release(false)
		item, ok := g.Dequeue()
		assert.Assert(t, ok)
		served[item]++
	}
	assert.DeepEqual(t, served, map[string]int{"urgent": 6, "other": 2})
}

func TestAccountsTakeTurns(t *testing.T) {
	g := Gate[string]{Limit: 1}
	g.TryAcquire()
	for range 50 {
		g.Enqueue(2, "large", "large")
	}
	g.Enqueue(2, "small", "small")
	var order []string
	for range 3 {
		g.Release(false)
		item, _ := g.Dequeue()
		order = append(order, item)
	}
	assert.Assert(t, order[0] == "small" || order[1] == "small", "%v", order)
}

func TestRefusalsLowerTheLimitAndAnswersRestoreIt(t *testing.T) {
	g := Gate[int]{Limit: 3}
	for range 3 {
		assert.Assert(t, g.TryAcquire())
	}
	assert.Assert(t, !g.TryAcquire())
	for range 3 {
		g.Release(true)
	}
	assert.Assert(t, g.TryAcquire())
	assert.Assert(t, !g.TryAcquire(), "refusals leave a limit of exactly one")
	g.Release(false)
	for range 2 * restoreAfter {
		assert.Assert(t, g.TryAcquire())
		g.Release(false)
	}
	for range 3 {
		assert.Assert(t, g.TryAcquire())
	}
}

// TestNoWaiterStarves draws random arrivals, answers and cancellations: the
// outstanding statements never exceed the limit, and no item waits while a permit
// is free.
func TestNoWaiterStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Gate[int]{Limit: rapid.IntRange(1, 5).Draw(t, "limit")}
		waiting := make(map[int]Ticket[int])
		running := 0
		for i := range 300 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if g.TryAcquire() {
					running++
					break
				}
				if k, ok := g.Enqueue(rapid.IntRange(-1, 5).Draw(t, "priority"), string(rune('a'+i%3)), i); ok {
					waiting[i] = k
				}
			case 2:
				if running > 0 {
					running--
					g.Release(rapid.IntRange(0, 9).Draw(t, "refused") == 0)
				}
			default:
				for n, k := range waiting {
					assert.Assert(t, g.Cancel(k))
					assert.Assert(t, !g.Cancel(k))
					delete(waiting, n)
					break
				}
			}
			for {
				n, ok := g.Dequeue()
				if !ok {
					break
				}
				_, known := waiting[n]
				assert.Assert(t, known)
				delete(waiting, n)
				running++
			}
			assert.Assert(t, running <= g.Limit)
			assert.Equal(t, g.Running(), running)
			assert.Equal(t, g.Waiting(), len(waiting))
			assert.Assert(t, len(waiting) == 0 || running > 0, "an item waits while nothing runs")
		}
	})
}

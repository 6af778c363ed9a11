package fair

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "coltsfootloft/stand/seed"
)

func TestOneAccountDoesNotCrowdOutAnother(t *testing.T) {
	var q Queue[int]
	for i := range 200 {
		q.Push("large", 1, i)
	}
	q.Push("small", 1, 1000)
	for i := range 2 {
		_, a, ok := q.Pop()
		assert.Assert(t, ok)
		if a == "small" {
			return
		}
		assert.Equal(t, i, 0, "the small account waited for more than one item")
	}
	t.Fatal("the small account was not served in two pops")
}

func TestWeightsShareVisits(t *testing.T) {
	var q Queue[int]
	for i := range 90 {
		q.Push("a", 1, i)
		q.Push("b", 2, i)
	}
	served := map[string]int{}
	for range 90 {
		_, a, _ := q.Pop()
		served[a]++
	}
	assert.DeepEqual(t, served, map[string]int{"a": 30, "b": 60})
}

func TestFullQueueRejectsItems(t *testing.T) {
	q := Queue[int]{
		PerAccount: 2,
		Total:      3,
	}
	for i, want := range []bool{true, true, false} {
		_, ok := q.Push("a", 1, i)
		assert.Equal(t, ok, want)
	}
	_, ok := q.Push("b", 1, 0)
	assert.Assert(t, ok)
	_, ok = q.Push("c", 1, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, q.Len(), 3)
}

// TestOrderWithinAccounts compares with a plain model: each account is first in,
// first out, no item is lost or duplicated, and Len is exact.
func TestOrderWithinAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		model := map[string][]*Ticket[int]{}
		size := 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			account := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				k, ok := q.Push(account, rapid.IntRange(0, 3).Draw(t, "weight"), i)
				assert.Assert(t, ok)
				model[account] = append(model[account], k)
				size++
			case 2:
				item, a, ok := q.Pop()
				assert.Equal(t, ok, size > 0)
				if ok {
					assert.Equal(t, item, model[a][0].Item())
					model[a] = model[a][1:]
					size--
				}
			case 3:
				m := model[account]
				if len(m) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(m)-1).Draw(t, "which")
				assert.Assert(t, q.Remove(m[k]))
				assert.Assert(t, !q.Remove(m[k]))
				model[account] = append(append([]*Ticket[int]{}, m[:k]...), m[k+1:]...)
				size--
			}
			assert.Equal(t, q.Len(), size)
			assert.Equal(t, q.LenOf(account), len(model[account]))
		}
	})
}

// TestLeastRankIsFirstWithinItsAccount guards against an item that can wait long being served
// before one of its account that can't, and against a rank that helps against other accounts.
func TestLeastRankIsFirstWithinItsAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int64]
		for range rapid.IntRange(1, 60).Draw(t, "items") {
			rank := rapid.Int64Range(0, 9).Draw(t, "rank")
			q.PushRanked(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 1, rank, rank)
		}
		rank := rapid.Int64Range(0, 9).Draw(t, "rank of the last")
		ahead := q.Ahead("a", rank)
		last, _ := q.PushRanked("a", 1, rank, rank)
		before := map[string]int64{}
		for i := 0; q.Len() > 0; i++ {
			item, account, _ := q.Pop()
			assert.Assert(t, item >= before[account], "%s: rank %d after %d", account, item, before[account])
			before[account] = item
			if last.queue == nil {
				// Where a round stands decides over one visit of each account.
				assert.Assert(t, i <= ahead && i >= ahead-2, "%d before it, expected %d", i, ahead)
				return
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	var q Queue[int]
	b.ReportAllocs()
	for i := range b.N {
		q.Push("a", 1, i)
		q.Pop()
	}
}

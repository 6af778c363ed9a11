package loan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRightsNeverExceedTheLimit lends, recalls and returns connection rights over
// links that lose, delay and duplicate messages.
func TestRightsNeverExceedTheLimit(t *testing.T) {
	const each = 4
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "hosts")
		hosts := make([]Rights, n)
		now := epoch
		for i := range hosts {
			hosts[i].Own(each, now.Add(time.Hour))
		}
		name := func(i int) string { return fmt.Sprint("h", i) }
		var sent []message
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			j := (i + rapid.IntRange(1, n-1).Draw(t, "other")) % n
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			case 1:
				want := rapid.IntRange(0, 6).Draw(t, "want")
				sent = append(sent, message{from: i, to: j, request: hosts[i].Request(now, name(j), want)})
			case 2, 3:
				if len(sent) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
				m := sent[k]
				if !m.answered {
					m.grant = hosts[m.to].Lend(now, name(m.from), m.request, 0, 3*time.Second)
					m.answered = true
					sent = append(sent, m)
				} else {
					hosts[m.from].Accept(now, name(m.to), m.request, m.grant)
				}
			case 4:
				hosts[i].Take(now)
			case 5:
				if hosts[i].Used() > 0 {
					hosts[i].Release()
				}
			case 6:
				sequence, kept, ok := hosts[i].Yield(now, name(j), 2)
				if ok && rapid.Bool().Draw(t, "arrives") {
					hosts[j].Book().Recalled(now, name(i), sequence, partOf(kept))
				}
			}
			sum := 0
			for k := range hosts {
				sum += hosts[k].Held(now)
			}
			assert.Assert(t, sum <= each*n, "%d rights held of %d", sum, each*n)
		}
	})
}

// TestSuspendedBorrowerKeepsItsRights suspends a host with connections on borrowed rights
// until after the loan has ended. The connections stay open at the database, so the lender
// must not use these rights meanwhile. A borrower that is not suspended returns them, and
// the lender can use them at once.
func TestSuspendedBorrowerKeepsItsRights(t *testing.T) {
	const period = 6 * time.Second
	var lender, borrower Rights
	now := epoch
	lender.Own(4, now.Add(time.Hour))
	q := borrower.Request(now, "lender", 3)
	assert.Assert(t, borrower.Accept(now, "lender", q, lender.Lend(now, "borrower", q, 0, period)))
	for range 3 {
		assert.Assert(t, borrower.Take(now))
	}
	now = now.Add(period + 8*time.Second)
	assert.Equal(t, borrower.Held(now), 0)
	assert.Equal(t, lender.Held(now), 1)
	for range 3 {
		borrower.Release()
	}
	q = borrower.Request(now, "lender", 0)
	lender.Lend(now, "borrower", q, 0, period)
	assert.Equal(t, lender.Held(now), 4)
}

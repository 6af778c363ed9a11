package accept

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/leader"
)

// seen is a record, and when this host sees it.
type seen struct {
	at     int
	record leader.Record
}

// change is a random change of the primary a to b, as one host sees it. Times have no unit.
type change struct {
	records   []seen
	confirmed int // when this host confirms the closing record
	demoted   int // when the primary is demoted; never if 0
	leads     int // when b leads
	unasked   bool
}

func newChange(random *rand.Rand) change {
	next := func(after int) int { return after + 1 + random.IntN(20) }
	c := change{unasked: random.IntN(4) == 0}
	r := leader.Record{Epoch: 3, Primary: "a", Term: 3}
	c.records = append(c.records, seen{record: r})
	add := func(at int) int {
		// A host may see a record late, but in the order of their writes.
		late := max(at+random.IntN(30), c.records[len(c.records)-1].at)
		c.records = append(c.records, seen{late, r})
		return at
	}
	r = r.Closed(true)
	now := add(next(0))
	c.confirmed = next(c.records[1].at)
	now = max(now, c.confirmed)
	if c.unasked {
		now = random.IntN(c.confirmed) + 1 // the steward does not wait for it
		c.records[1].at = 1
	}
	if random.IntN(2) == 0 {
		c.demoted = next(now)
		now = c.demoted
	}
	r = r.Ordered("b", c.demoted > 0)
	now = add(next(now))
	c.leads = now + random.IntN(60) // the time of a promotion is not known
	r = r.Opened(leader.Status{ID: "b"})
	add(next(c.leads))
	return c
}

// passes reports whether the answer to a statement that arrives at a time is passed on, at once or later.
func (c change) passes(at int, writes bool) bool {
	a := &Answers{}
	for now := at; ; now++ {
		if now >= c.confirmed && !c.unasked {
			a.Confirm("g", 3)
		}
		i := slices.IndexFunc(c.records, func(s seen) bool { return s.at > now }) - 1
		if i < 0 {
			i = len(c.records) - 1
		}
		v := a.Judge(Source{Group: "g", Primary: "a", Epoch: 3}, c.records[i].record, c.unasked && i > 0)
		if v != Undecided || !writes {
			return v == All || v == Writes && writes
		}
	}
}

// TestNoAnswerFromAfterTheSuccessorLeads guards against writes that the old primary commits, and reads that it runs,
// after its successor leads, and that a host passes on: whatever the promotion takes, however late the host sees the
// records, with and without a demotion.
func TestNoAnswerFromAfterTheSuccessorLeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var passed, demoted int
	for range 200_000 {
		c := newChange(random)
		ran := random.IntN(160)
		arrives := ran + random.IntN(80)
		writes := random.IntN(2) == 0
		if writes && c.demoted > 0 && ran >= c.demoted {
			continue // it is refused
		}
		if !c.passes(arrives, writes) {
			continue
		}
		passed++
		if c.demoted > 0 && arrives > c.confirmed {
			demoted++
		}
		assert.Assert(t, ran <= c.leads, "ran at %d, arrived at %d, writes %t: %+v", ran, arrives, writes, c)
	}
	assert.Assert(t, passed > 10_000 && demoted > 1000, "%d and %d passed", passed, demoted)
}

// TestAnswersBeforeTheConfirmationAreAccepted guards against writes that are answered INDOUBT although no
// promotion can have been ordered.
func TestAnswersBeforeTheConfirmationAreAccepted(t *testing.T) {
	a := &Answers{}
	s := Source{Group: "g", Primary: "a", Epoch: 3}
	r := leader.Record{Epoch: 3, Primary: "a", Term: 3}
	assert.Equal(t, a.Judge(s, r, false), All)
	r = r.Closed(true)
	assert.Equal(t, a.Judge(s, r, false), All)
	assert.Equal(t, a.Judge(s, r, true), Undecided)
	a.Confirm("g", 3)
	assert.Equal(t, a.Judge(s, r, false), Undecided)
	assert.Equal(t, a.Judge(s, r.Ordered("b", false), false), None)
	r = r.Ordered("b", true)
	assert.Equal(t, a.Judge(s, r, false), Writes)
	r = r.Opened(leader.Status{ID: "b"})
	assert.Equal(t, a.Judge(s, r, false), Writes)
	assert.Equal(t, a.Judge(Source{Group: "g", Primary: "b", Epoch: 4}, r, false), All)
	assert.Equal(t, a.Judge(s, r.Closed(true).Ordered("a", true).Opened(leader.Status{ID: "a"}), false), None)
}

// TestDemotionAfterAnOrderIsTooLate guards against commits between the lead of a database that a former steward
// has ordered and the demotion by the next one.
func TestDemotionAfterAnOrderIsTooLate(t *testing.T) {
	r := leader.Record{Epoch: 3, Primary: "a", Term: 3}.Closed(true).Ordered("b", false).Ordered("b", true)
	assert.Equal(t, r.Demoted, "")
	assert.Equal(t, r.Opened(leader.Status{ID: "b"}).Demoted, "")
}

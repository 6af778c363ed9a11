package elect

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

const (
	histories      = 4000
	naiveHistories = 1000
	historySteps   = 1500
)

type tally struct {
	lost      int
	old       int
	twice     int
	acked     int
	elections int
	terms     int
}

func try(histories, size int, create func(*world, string, coltsfootloft.Term) proposer) tally {
	var mu sync.Mutex
	var sum tally
	var wait sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for k := range workers {
		wait.Go(func() {
			for seed := k; seed < histories; seed += workers {
				w := newWorld(uint64(seed), size, create)
				for range historySteps {
					w.step()
				}
				lost := w.settle()
				mu.Lock()
				sum.lost += lost
				sum.old += w.old
				sum.twice += w.twice
				sum.acked += w.acked
				sum.elections += w.elections
				sum.terms += len(w.primaries)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return sum
}

// campaign starts an election of a random kind.
func campaign(w *world, name string, floor coltsfootloft.Term) proposer {
	c := &Campaign{
		Databases: w.names,
		Proposer:  name,
		Floor:     floor,
	}
	victim := w.names[w.random.IntN(len(w.names))]
	switch w.random.IntN(4) {
	case 0:
		c.Suspect = victim
		c.Silent = map[string]bool{victim: true}
	case 1:
		c.Avoid = map[string]bool{victim: true}
	case 2:
		c.Avoid = map[string]bool{victim: true}
		c.Drain = victim
	}
	return c
}

// naive is an election that leaves out a step: the fencing (unfenced), or the use
// of positions read after fencing (early).
type naive struct {
	Campaign
	unfenced bool
	early    bool
}

func (n *naive) Answer(a Answer) []Action {
	before := n.phase
	next := n.Campaign.Answer(a)
	if before != Survey || n.phase != Fencing {
		if n.early && before == Fencing && n.phase == Promoting {
			n.chosen, n.reason = best(n.size(), n.survey, n.Avoid)
			return n.enter(Promoting, Promote, []string{n.chosen})
		}
		return next
	}
	if n.unfenced {
		n.chosen, n.reason = best(n.size(), n.survey, n.Avoid)
		return n.enter(Promoting, Promote, []string{n.chosen})
	}
	return next
}

func TestElectionsLoseNothing(t *testing.T) {
	unfenced := func(w *world, name string, floor coltsfootloft.Term) proposer {
		return &naive{
			Campaign: *campaign(w, name, floor).(*Campaign),
			unfenced: true,
		}
	}
	early := func(w *world, name string, floor coltsfootloft.Term) proposer {
		return &naive{
			Campaign: *campaign(w, name, floor).(*Campaign),
			early:    true,
		}
	}
	for _, size := range []int{3, 5} {
		a := try(naiveHistories, size, unfenced)
		b := try(naiveHistories, size, early)
		c := try(histories, size, campaign)
		t.Logf("size %d, %d steps, %d histories each: no fencing %+v; positions read before fencing %+v",
			size, historySteps, naiveHistories, a, b)
		t.Logf("size %d, %d steps, %d histories: campaign %+v", size, historySteps, histories, c)
		assert.Assert(t, a.lost > 0)
		assert.Assert(t, b.lost > 0)
		assert.Equal(t, c.lost+c.old+c.twice, 0)
		assert.Assert(t, c.acked > 2*histories)
		assert.Assert(t, c.terms > 2*histories)
	}
}

func view(readings map[string]coltsfootloft.Reading) View {
	v := View{
		Databases: []string{"a", "b", "c"},
		Readings:  readings,
		Silence:   make(map[string]time.Duration),
		Leaving:   make(map[string]bool),
	}
	for _, d := range v.Databases {
		v.Silence[d] = 0
	}
	return v
}

func settled(term coltsfootloft.Term) map[string]coltsfootloft.Reading {
	p := coltsfootloft.NewPosition(term, 7)
	replica := coltsfootloft.NewReading(coltsfootloft.Replica, term, p, p).WithPrimary("a")
	return map[string]coltsfootloft.Reading{
		"a": coltsfootloft.NewReading(coltsfootloft.Primary, term, p, p),
		"b": replica,
		"c": replica,
	}
}

func TestAssess(t *testing.T) {
	term := coltsfootloft.NewTerm(3, "p")
	later := coltsfootloft.NewTerm(4, "q")
	p := coltsfootloft.NewPosition(term, 7)
	fenced := coltsfootloft.NewReading(coltsfootloft.Replica, later, p, p).WithPrimary("a")
	old := coltsfootloft.NewReading(coltsfootloft.Primary, coltsfootloft.NewTerm(2, "p"), p, p)
	for _, c := range []struct {
		want   NeedKind
		change func(v *View)
	}{
		{Nothing, func(*View) {}},
		{SilentPrimary, func(v *View) { v.Silence["a"] = time.Second }},
		{SilentPrimary, func(v *View) { delete(v.Silence, "a") }},
		{Nothing, func(v *View) { v.Silence["b"] = time.Second }},
		{Isolated, func(v *View) { v.Silence["b"], v.Silence["a"] = time.Second, time.Second }},
		{StalledPrimary, func(v *View) { v.Stalled = 2 * time.Second }},
		{LeavingPrimary, func(v *View) { v.Leaving["a"] = true }},
		{Nothing, func(v *View) { v.Leaving["b"] = true }},
		{ReplicaFencedAbove, func(v *View) { v.Readings["b"] = fenced }},
		{NoPrimary, func(v *View) { v.Readings["b"], v.Readings["c"] = fenced, fenced }},
		{ReplicaNotFollowing, func(v *View) { v.Readings["c"] = old }},
		{NoPrimary, func(v *View) { clear(v.Readings) }},
	} {
		v := view(settled(term))
		c.change(&v)
		assert.Equal(t, Assess(v).Kind(), c.want)
	}
}

func TestSuspicionWaitsByRankAndCools(t *testing.T) {
	now := time.Unix(0, 0)
	none := Need{
		kind: NoPrimary,
	}
	var first, second Suspicion
	assert.Assert(t, !first.Due(now, none, 0) && !second.Due(now, none, 1))
	now = now.Add(delays[NoPrimary])
	assert.Assert(t, first.Due(now, none, 0) && !second.Due(now, none, 1))
	assert.Assert(t, second.Due(now.Add(rankDelay), none, 1))
	first.BackOff(now)
	assert.Assert(t, !first.Due(now.Add(minBackoff-1), none, 0))
	assert.Assert(t, first.Due(now.Add(minBackoff), none, 0))
}

func TestProgressCountsOnlyTimeWithoutAny(t *testing.T) {
	term := coltsfootloft.NewTerm(3, "p")
	readings := settled(term)
	now := time.Unix(0, 0)
	var p Progress
	assert.Equal(t, p.Stalled(now, 3, readings), time.Duration(0))
	ahead := coltsfootloft.NewPosition(term, 9)
	readings["a"] = coltsfootloft.NewReading(coltsfootloft.Primary, term, ahead, ahead)
	assert.Equal(t, p.Stalled(now.Add(time.Second), 3, readings), time.Second)
	advanced := coltsfootloft.NewPosition(term, 8)
	readings["b"] = coltsfootloft.NewReading(coltsfootloft.Replica, term, advanced, advanced).WithPrimary("a")
	assert.Equal(t, p.Stalled(now.Add(2*time.Second), quorum.Size(3), readings), time.Duration(0))
}

// TestLostDatabaseStopsNoElection: a database that has lost its state refuses
// every term, but the other two are a majority. After a second loss no majority
// is left and the election must fail.
func TestLostDatabaseStopsNoElection(t *testing.T) {
	w := newWorld(1, 3, campaign)
	p, err := w.group.Commit("a", "write")
	assert.NilError(t, err)
	for w.group.Receive("b") || w.group.Receive("c") {
		continue
	}
	w.group.LoseState("a")
	c := &Campaign{
		Databases: w.names,
		Proposer:  "p",
	}
	w.finish(c)
	assert.Equal(t, c.Phase(), Done)
	assert.Equal(t, c.Chosen(), "b")
	assert.Assert(t, w.group.Reading("b").Received().Covers(p))
	w.group.LoseState("c")
	c = &Campaign{
		Databases: w.names,
		Proposer:  "p",
	}
	w.finish(c)
	assert.Equal(t, c.Phase(), Failed)
	assert.Equal(t, c.Reason(), "too many databases have lost their state")
}

// started returns a campaign of three databases that has ended its survey and fences them.
func started(t *testing.T) (*Campaign, []Action) {
	t.Helper()
	c := &Campaign{
		Databases: []string{"a", "b", "c"},
		Proposer:  "p",
	}
	var fences []Action
	for _, a := range c.Start() {
		fences = c.Answer(Answer{
			Action:  a,
			Reading: replica(coltsfootloft.NewTerm(1, "first"), 1),
		})
	}
	assert.Equal(t, c.Phase(), Fencing)
	return c, fences
}

// replica returns the reading of a replica that is fenced at a term and holds so many writes.
func replica(fence coltsfootloft.Term, received uint64) coltsfootloft.Reading {
	p := coltsfootloft.NewPosition(coltsfootloft.NewTerm(1, "first"), received)
	return coltsfootloft.NewReading(coltsfootloft.Replica, fence, p, p)
}

// TestReadingFromBeforeTheFenceFencesNothing guards against an older answer of a database that is taken for
// the answer to its fence: the election counts the database as fenced, with a position from before, and
// promotes another one that lacks a write that was acknowledged since.
func TestReadingFromBeforeTheFenceFencesNothing(t *testing.T) {
	c, fences := started(t)
	for i, a := range fences {
		r := replica(c.Term(), 1)
		if i > 0 {
			r = replica(coltsfootloft.NewTerm(1, "first"), 1)
		}
		assert.Equal(t, len(c.Answer(Answer{
			Action:  a,
			Reading: r,
		})), 0)
	}
	assert.Equal(t, len(c.Expire()), 0)
	assert.Equal(t, c.Phase(), Failed)
}

// TestReadingFromBeforeThePromotionPromotesNothing guards against the same for a promotion: the other
// databases are told to follow a database that is not the primary.
func TestReadingFromBeforeThePromotionPromotesNothing(t *testing.T) {
	for _, r := range []func(coltsfootloft.Term) coltsfootloft.Reading{
		func(t coltsfootloft.Term) coltsfootloft.Reading { return replica(t, 1) },
		func(coltsfootloft.Term) coltsfootloft.Reading {
			first := coltsfootloft.NewTerm(1, "first")
			p := coltsfootloft.NewPosition(first, 1)
			return coltsfootloft.NewReading(coltsfootloft.Primary, first, p, p)
		},
	} {
		c, fences := started(t)
		var promote []Action
		for _, a := range fences {
			promote = c.Answer(Answer{
				Action:  a,
				Reading: replica(c.Term(), 1),
			})
		}
		assert.Equal(t, c.Phase(), Promoting)
		follow := c.Answer(Answer{
			Action:  promote[0],
			Reading: r(c.Term()),
		})
		assert.Equal(t, len(follow), 0)
		assert.Equal(t, c.Phase(), Failed)
	}
}

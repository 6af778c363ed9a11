package pick

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func TestCostOrdersDatabases(t *testing.T) {
	const now = time.Minute
	var unknown, slow, busy, silent, lagging Candidate
	for range 30 {
		slow.ObserveLatency(now, 120*time.Millisecond)
	}
	busy.Busy(now)
	silent.TimedOut(now)
	lagging.Lagged(now, coltsfootloft.Position{})
	base := unknown.Cost(now, true, false)
	for _, c := range []*Candidate{&slow, &busy, &silent, &lagging} {
		assert.Assert(t, c.Cost(now, true, false) > base)
	}
	assert.Assert(t, unknown.Cost(now, false, false) > base, "another failure domain costs more")
	assert.Assert(t, unknown.Cost(now, true, true) > base, "a primary costs more, as it serves the writes")
	assert.Assert(t, lagging.Cost(now, true, true) < busy.Cost(now, true, true), "lag does not count for a primary")
}

// TestPenaltiesExpire: a database that was slow or could not be reached is tried
// again.
func TestPenaltiesExpire(t *testing.T) {
	const now = time.Minute
	var c, unknown Candidate
	c.ObserveLatency(now, time.Second)
	c.Down(now)
	assert.Assert(t, c.IsDown(now))
	assert.Assert(t, !c.IsDown(now+downPeriod))
	assert.Equal(t, c.Cost(now+latencyDecay, true, false), unknown.Cost(now+latencyDecay, true, false))
	c.Start()
	assert.Assert(t, c.Cost(now+latencyDecay, true, false) > unknown.Cost(now+latencyDecay, true, false))
	c.End()
	assert.Equal(t, c.Cost(now+latencyDecay, true, false), unknown.Cost(now+latencyDecay, true, false))
}

// TestLackingReplicaIsSkipped: a replica that lacked a position is not asked for
// it again at once, but for lower positions, and later for any.
func TestLackingReplicaIsSkipped(t *testing.T) {
	const now = time.Minute
	at := func(offset uint64) coltsfootloft.Position {
		return coltsfootloft.NewPosition(coltsfootloft.NewTerm(3, ""), offset)
	}
	var c Candidate
	assert.Assert(t, !c.Lacks(now, at(1)))
	c.Lagged(now, at(10))
	assert.Assert(t, c.Lacks(now, at(11)))
	assert.Assert(t, !c.Lacks(now, at(10)))
	assert.Assert(t, !c.Lacks(now+lackingPeriod, at(11)))
}

// TestFailingDatabaseIsAvoided: a database that fails four statements of ten
// costs more than any wait elsewhere, and is tried again some seconds after it
// was last used.
func TestFailingDatabaseIsAvoided(t *testing.T) {
	now := time.Minute
	var c, healthy Candidate
	for i := range 50 {
		now += 20 * time.Millisecond
		if i%5 < 2 {
			c.Failed(now)
		} else {
			c.ObserveLatency(now, 15*time.Millisecond)
		}
		healthy.ObserveLatency(now, 15*time.Millisecond)
	}
	assert.Assert(t, c.Cost(now, true, false) > healthy.Cost(now, false, false)+30)
	later := now + 10*time.Second
	assert.Assert(t, c.Cost(later, true, false) < healthy.Cost(later, true, false)+1)
}

// TestLoadTakesThePlaceOfObservations guards against a database that is chosen by what this host alone has
// outstanding there although its load is known, and against a load that hides failures.
func TestLoadTakesThePlaceOfObservations(t *testing.T) {
	const now = time.Minute
	const expected = 40 * time.Millisecond
	var c Candidate
	for range 9 {
		c.Start()
	}
	assert.Equal(t, c.LoadedCost(now, expected, true, false), 40.0)
	assert.Equal(t, c.LoadedCost(now, expected, false, false), 40+TrafficCost)
	assert.Equal(t, c.LoadedCost(now, expected, true, true), 40+primaryCost)
	c.Busy(now)
	assert.Equal(t, c.LoadedCost(now, expected, true, false), 40+busyCost)
}

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
		slow.Took(now, 120*time.Millisecond)
	}
	busy.Busy(now)
	silent.TimedOut(now)
	lagging.Lagged(now, coltsfootloft.Position{})
	base := unknown.Cost(now, true, false)
	for _, c := range []*Candidate{&slow, &busy, &silent, &lagging} {
		assert.Assert(t, c.Cost(now, true, false) > base)
	}
	assert.Assert(t, unknown.Cost(now, false, false) > base, "far costs more than near")
	assert.Assert(t, unknown.Cost(now, true, true) > base, "the primary has the writes")
	assert.Assert(t, lagging.Cost(now, true, true) < busy.Cost(now, true, true), "a primary does not lag")
}

// TestBadNewsFade: a database that was slow, or could not be reached, is tried again.
func TestBadNewsFade(t *testing.T) {
	const now = time.Minute
	var c, unknown Candidate
	c.Took(now, time.Second)
	c.Down(now)
	assert.Assert(t, c.IsDown(now))
	assert.Assert(t, !c.IsDown(now+downFor))
	assert.Equal(t, c.Cost(now+fade, true, false), unknown.Cost(now+fade, true, false))
	c.Start()
	assert.Assert(t, c.Cost(now+fade, true, false) > unknown.Cost(now+fade, true, false))
	c.End()
	assert.Equal(t, c.Cost(now+fade, true, false), unknown.Cost(now+fade, true, false))
}

// TestLackingReplicaIsLeftAlone: what it lacked a moment ago it is not asked for at
// once, but for less, and later.
func TestLackingReplicaIsLeftAlone(t *testing.T) {
	const now = time.Minute
	at := func(offset uint64) coltsfootloft.Position {
		return coltsfootloft.NewPosition(coltsfootloft.NewTerm(3, ""), offset)
	}
	var c Candidate
	assert.Assert(t, !c.Lacks(now, at(1)))
	c.Lagged(now, at(10))
	assert.Assert(t, c.Lacks(now, at(11)))
	assert.Assert(t, !c.Lacks(now, at(10)))
	assert.Assert(t, !c.Lacks(now+lacksFor, at(11)))
}

// TestFailingDatabaseIsAvoided: one that fails four of ten is dearer than any wait
// elsewhere, and is tried again some seconds after it was left alone.
func TestFailingDatabaseIsAvoided(t *testing.T) {
	now := time.Minute
	var c, well Candidate
	for i := range 50 {
		now += 20 * time.Millisecond
		if i%5 < 2 {
			c.Failed(now)
		} else {
			c.Took(now, 15*time.Millisecond)
		}
		well.Took(now, 15*time.Millisecond)
	}
	assert.Assert(t, c.Cost(now, true, false) > well.Cost(now, false, false)+30)
	later := now + 10*time.Second
	assert.Assert(t, c.Cost(later, true, false) < well.Cost(later, true, false)+1)
}

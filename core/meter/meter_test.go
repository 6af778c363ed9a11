package meter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// run lets statements of 20 ms end at even times for eight seconds, so that the given numbers run
// at a time.
func run(m *Meter, own, foreign float64, waiting int) time.Duration {
	var now time.Duration
	o, f := 0.0, 0.0
	for ; now < 8*time.Second; now += ms {
		for o += own / 20; o >= 1; o-- {
			m.Answered(now, 20*ms, false, waiting)
		}
		for f += foreign / 20; f >= 1; f-- {
			m.Answered(now, 20*ms, true, waiting)
		}
	}
	return now
}

// TestOthersGetWhatTheDomainLeaves guards against free capacity that shrinks by what other domains
// already use, so that they would take half of it only, and against more than there is.
func TestOthersGetWhatTheDomainLeaves(t *testing.T) {
	for _, foreign := range []float64{0, 0.5, 1} {
		m := Meter{Slots: 3}
		now := run(&m, 1, foreign, 0)
		m.Advance(now, 0)
		free := m.Free(20 * ms)
		assert.Assert(t, free > 90 && free < 110, "%v free of 100 beside %v", free, foreign)
	}
	m := Meter{Slots: 3}
	run(&m, 3, 0, 0)
	assert.Assert(t, m.Free(20*ms) < 10, "%v", m.Free(20*ms))
}

// TestNothingIsFreeWhileStatementsQueue guards against domains that send work back and forth.
func TestNothingIsFreeWhileStatementsQueue(t *testing.T) {
	m := Meter{Slots: 3}
	now := run(&m, 1, 1, 4)
	assert.Equal(t, m.Free(20*ms), 0.0)
	m.Advance(now+ms, 0)
	assert.Equal(t, m.Free(20*ms), 0.0, "free again at the first gap")
	m.Advance(now+5*time.Second, 0)
	assert.Assert(t, m.Free(20*ms) > 0)
	alone := Meter{Slots: 3}
	run(&alone, 1, 0, 4)
	assert.Assert(t, alone.Free(20*ms) > 0, "a queue without statements of others closes nothing")
}

// TestWaitInTheDatabaseIsNoWork guards against a load that is not seen because statements wait in
// the database instead of at the gate. Load: four times the slots run, each for 80 ms.
func TestWaitInTheDatabaseIsNoWork(t *testing.T) {
	m := Meter{Slots: 2}
	now := time.Duration(0)
	for ; now < 6*time.Second; now += 10 * ms {
		m.Answered(now, 80*ms, false, 0)
	}
	work := m.Work(80 * ms)
	assert.Assert(t, work > 18*ms && work < 22*ms, "%s", work)
	assert.Assert(t, m.Free(20*ms) < 10, "%v", m.Free(20*ms))
}

// TestBusyDatabaseKeepsItsWork guards against free capacity that vanishes because statements take longer
// beside others: 20 ms of work alone, 30 ms at a moderate load.
func TestBusyDatabaseKeepsItsWork(t *testing.T) {
	m := Meter{Slots: 3}
	for now := time.Duration(0); now < 3*time.Second; now += 20 * ms {
		m.Answered(now, 20*ms, false, 0)
	}
	for now := 3 * time.Second; now < 5*time.Second; now += 20 * ms {
		m.Answered(now, 30*ms, false, 0)
	}
	assert.Assert(t, m.Free(20*ms) > 80, "%v free of 100", m.Free(20*ms))
}

// TestIdleDatabaseIsFree guards against an idle database that is never used because too few statements
// ran there to measure it.
func TestIdleDatabaseIsFree(t *testing.T) {
	m := Meter{Slots: 3}
	m.Answered(ms, 20*ms, true, 0)
	assert.Assert(t, m.Free(20*ms) > 140, "%v free of 150", m.Free(20*ms))
	assert.Equal(t, m.Free(0), 0.0)
}

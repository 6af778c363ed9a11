package evac_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	"coltsfootloft/core/evac"
)

const (
	bound  = 5 * time.Second
	margin = 500 * time.Millisecond
)

func revision(era, number uint64) uint64 { return coltsfootloft.RevisionAt(era, number) }

// TestDeadlineCountsFromLastAbsence guards against a deadline that is counted from when a host learns of
// an evacuation: one that learns of it late would use the domain beyond the bound.
func TestDeadlineCountsFromLastAbsence(t *testing.T) {
	for _, c := range []struct {
		absent time.Duration
		known  bool
		closed time.Duration
	}{
		{10 * time.Second, true, 10*time.Second + bound - margin},
		{0, false, 0},
	} {
		table := evac.Table{Bound: bound}
		assert.Assert(t, table.Begin("a", revision(1, 7), c.absent, c.known))
		assert.Equal(t, table.State("a", c.closed), evac.Closed)
		if c.closed > 0 {
			assert.Equal(t, table.State("a", c.closed-1), evac.Leaving)
		}
		assert.Equal(t, table.State("b", math.MaxInt64), evac.None)
		// The key is written again: what was closed stays so.
		table.Begin("a", revision(1, 9), time.Hour, true)
		assert.Equal(t, table.State("a", c.closed), evac.Closed)
	}
}

// TestDisabledTableIgnoresKeys guards against a host that evacuates domains although its settings do
// not call for it.
func TestDisabledTableIgnoresKeys(t *testing.T) {
	var table evac.Table
	assert.Assert(t, !table.Begin("a", revision(1, 7), 0, false))
	assert.Equal(t, table.State("a", time.Hour), evac.None)
	assert.Equal(t, table.ReadShare("a", time.Hour), 1.0)
}

// TestEndedEvacuationStaysEnded guards against late news of an evacuation, or of its end, that undo a
// later change.
func TestEndedEvacuationStaysEnded(t *testing.T) {
	table := evac.Table{Bound: bound}
	table.Begin("a", revision(1, 7), time.Second, true)
	assert.Assert(t, !table.End("a", revision(1, 6), time.Minute), "the removal of an earlier key")
	assert.Assert(t, table.End("a", revision(1, 9), time.Minute))
	assert.Assert(t, !table.Begin("a", revision(1, 8), time.Minute, true))
	assert.Assert(t, table.Begin("a", revision(1, 10), time.Minute, true))
	table.EndIfAbsent("a", 2, time.Minute)
	assert.Equal(t, table.State("a", time.Minute), evac.Leaving, "a later era has lost the key")
	table.EndIfAbsent("a", 1, time.Minute)
	assert.Equal(t, table.State("a", time.Minute), evac.None)
	assert.Assert(t, !table.Begin("a", revision(1, 10), time.Minute, true))
	assert.Assert(t, table.Begin("a", revision(2, 1), time.Minute, true), "the store came back with a key")
}

// TestReadsReturnGradually guards against all hosts sending the reads of a domain to it at the same
// moment when its evacuation ends.
func TestReadsReturnGradually(t *testing.T) {
	table := evac.Table{Bound: bound}
	table.Begin("a", revision(1, 7), 0, true)
	assert.Equal(t, table.ReadShare("a", time.Minute), 0.0)
	table.End("a", revision(1, 9), time.Minute)
	table.End("a", revision(1, 10), 2*time.Minute) // the removal, which the watch shows later
	for elapsed, share := range map[time.Duration]float64{0: 0, time.Second: 0.2, 4 * time.Second: 0.8, 5 * time.Second: 1, time.Hour: 1} {
		assert.Equal(t, table.ReadShare("a", time.Minute+elapsed), share)
	}
	assert.Equal(t, table.ReadShare("b", time.Minute), 1.0)
}

// TestAbsenceIsNeverOverstated guards against a host that takes a domain as not evacuated at a time at
// which it was, when answers of the store arrive late and in any order.
func TestAbsenceIsNeverOverstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a evac.Absence
		began := time.Duration(rapid.IntRange(1, 50).Draw(t, "began"))
		latest := time.Duration(-1)
		for range rapid.IntRange(0, 20).Draw(t, "answers") {
			sent := time.Duration(rapid.IntRange(0, 100).Draw(t, "sent"))
			present := sent >= began
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				keys := map[string]bool{}
				if present {
					keys["a"] = true
				}
				a.Listed(sent, keys)
			case 1:
				if !present {
					a.Note("a", sent)
				}
			default:
				a.Note("b", sent)
				continue
			}
			if !present {
				latest = max(latest, sent)
			}
		}
		at, ok := a.Last("a")
		assert.Equal(t, ok, latest >= 0)
		if ok {
			assert.Equal(t, at, latest)
		}
	})
}

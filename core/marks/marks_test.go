package marks

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func at(n uint64) coltsfootloft.Position {
	return coltsfootloft.NewPosition(coltsfootloft.NewTerm(1, ""), n)
}

func TestOldestAsksLeast(t *testing.T) {
	var m Marks
	for i := range 10 {
		m.Add(1, time.Duration(i)*time.Second, at(uint64(i+1)))
	}
	p, ok := m.Oldest(1, 2500*time.Millisecond)
	assert.Assert(t, ok)
	assert.Equal(t, p, at(4))
	_, ok = m.Oldest(1, 9500*time.Millisecond)
	assert.Assert(t, !ok, "no mark is recent enough")
}

// TestOldEpochProvesNothing: an answer of a primary that was replaced does not
// cover the writes acknowledged since.
func TestOldEpochProvesNothing(t *testing.T) {
	var m Marks
	m.Add(1, time.Second, at(5))
	_, ok := m.Oldest(2, 0)
	assert.Assert(t, !ok)
	m.Add(2, 2*time.Second, at(7))
	m.Add(1, 3*time.Second, at(6))
	p, ok := m.Oldest(2, 0)
	assert.Assert(t, ok)
	assert.Equal(t, p, at(7))
	_, ok = m.Oldest(1, 0)
	assert.Assert(t, !ok)
}

func TestMarksAreBoundedAndSpaced(t *testing.T) {
	var m Marks
	for i := range 1000 {
		m.Add(1, time.Duration(i)*10*time.Millisecond, at(uint64(i+1)))
	}
	assert.Assert(t, len(m.marks) <= capacity)
	for i := 1; i < len(m.marks); i++ {
		assert.Assert(t, m.marks[i].sent-m.marks[i-1].sent >= spacing)
	}
	m.Add(1, time.Hour, coltsfootloft.Position{})
	_, ok := m.Oldest(1, time.Minute)
	assert.Assert(t, !ok, "an answer without a position adds no mark")
}

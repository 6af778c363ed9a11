package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ms  = time.Millisecond
	now = time.Minute
)

var full = Report{
	Waiting:  6,
	Running:  3,
	Capacity: 3,
	Service:  60 * ms,
	Work:     20 * ms,
	Waits:    [4]time.Duration{10 * ms, 20 * ms, 80 * ms, 160 * ms},
	Free:     12,
}

// TestReportsExpire guards against decisions by a report of an owner that is lost or out of reach.
func TestReportsExpire(t *testing.T) {
	var table Table
	_, ok := table.Estimate(now, "db", "owner", 2)
	assert.Assert(t, !ok)
	table.Add(now, "db", "owner", full, 3*ms)
	e, ok := table.Estimate(now+trusted, "db", "owner", 2)
	assert.Assert(t, ok)
	assert.Equal(t, e, Estimate{
		Wait:      120 * ms,
		Work:      20 * ms,
		RoundTrip: 3 * ms,
		Free:      12,
	})
	assert.Equal(t, e.Total(), 143*ms)
	_, ok = table.Estimate(now+trusted+1, "db", "owner", 2)
	assert.Assert(t, !ok)
	_, ok = table.Estimate(now, "other", "owner", 2)
	assert.Assert(t, !ok, "the report of another database")
	table.Add(now, "twin", "idle", Report{Work: 20 * ms}, ms)
	table.Add(now-ms, "twin", "busy", full, ms)
	e, ok = table.Estimate(now, "twin", "new", 2)
	assert.Assert(t, ok)
	assert.Equal(t, e.Total(), 21*ms, "the latest report of the other owners")
}

// TestSentStatementsCount guards against many statements sent to one database on a report that is
// older than they are.
func TestSentStatementsCount(t *testing.T) {
	var table Table
	table.Add(now, "db", "owner", full, 0)
	for range 3 {
		table.Sent("db", "owner")
	}
	e, _ := table.Estimate(now, "db", "owner", 0)
	assert.Equal(t, e.Wait, 110*ms)
	table.Add(now, "db", "owner", full, 0)
	e, _ = table.Estimate(now, "db", "owner", 0)
	assert.Equal(t, e.Wait, 50*ms)
	e, _ = table.Estimate(now, "db", "owner", 9)
	assert.Equal(t, e.Wait, 200*ms)
}

// TestTableForgets guards against a table that grows with owners that have left.
func TestTableForgets(t *testing.T) {
	var table Table
	for i := range 100 {
		table.Add(now+time.Duration(i)*kept/10, string(rune('a'+i)), string(rune('a'+i)), full, 0)
	}
	assert.Assert(t, len(table.entries) <= 21, "%d", len(table.entries))
}

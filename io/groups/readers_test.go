package groups

import (
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/core/pick"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/mirror"
)

// choose returns the reader that comes first of two databases of the host's domain and one of another,
// with the estimates that are known.
func choose(g *Groups, known map[string]load.Estimate) Reader {
	g.Expect = func(t dbpool.Target, _ string, _ int, _ homes.Homes) (load.Estimate, bool) {
		e, ok := known[t.ID]
		return e, ok
	}
	q := Read{TargetLatency: 400 * time.Millisecond}
	var candidates []ranked
	for _, c := range [][2]string{{"far", "there"}, {"near-1", "here"}, {"near-2", "here"}} {
		candidates = append(candidates, g.rank(Reader{Target: dbpool.Target{ID: c[0]}}, c[1], q))
	}
	g.spill(&mirror.View{}, "notices", candidates, q)
	slices.SortFunc(candidates, compare)
	return candidates[0].reader
}

func newGroups() *Groups {
	return &Groups{
		Pools:   &dbpool.Pools{Clock: boot.Clock{}},
		Clock:   boot.Clock{},
		Domain:  "here",
		Metrics: metrics.NewSet(),
	}
}

// TestUnknownDatabaseIsTried guards against a database of the host's domain that is never chosen because
// only the loads of others are known, in the domain or outside, and against reads that leave without need.
func TestUnknownDatabaseIsTried(t *testing.T) {
	idle := load.Estimate{Work: time.Millisecond}
	for _, known := range []map[string]load.Estimate{
		{"far": idle},
		{"far": idle, "near-1": {Work: 20 * time.Millisecond}},
		{"far": idle, "near-1": {Work: 20 * time.Millisecond, Wait: 200 * time.Millisecond}},
	} {
		g := newGroups()
		chosen := make(map[string]int)
		for range 200 {
			chosen[choose(g, known).Target.ID]++
		}
		assert.Equal(t, chosen["far"], 0)
		if len(known) > 1 {
			assert.Assert(t, chosen["near-2"] >= 50, "%v", chosen)
		}
	}
}

// TestFailingDomainIsLeft guards against reads that stay with databases that refuse or fail them, and
// against a statement that counts as sent elsewhere for the load.
func TestFailingDomainIsLeft(t *testing.T) {
	g := newGroups()
	for _, id := range []string{"near-1", "near-2"} {
		g.Pools.Observe(id, func(c *pick.Candidate, now time.Duration) { c.TimedOut(now) })
	}
	known := make(map[string]load.Estimate)
	for _, id := range []string{"near-1", "near-2", "far"} {
		known[id] = load.Estimate{Work: 20 * time.Millisecond}
	}
	r := choose(g, known)
	assert.Equal(t, r.Target.ID, "far")
	assert.Assert(t, r.IsAbroad)
	assert.Equal(t, g.Metrics.GetOrCreateCounter(SpilledMetric).Get(), uint64(0))
}

package quorum

import (
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/memdb"
)

const (
	// histories is the number of random histories for the rule in use.
	histories = 20_000
	// naiveHistories is the number of random histories for each alternative rule.
	naiveHistories = 5_000
)

// historySteps is the length of one history by group size. Larger groups take
// longer to acknowledge as many writes.
var historySteps = map[Size]int{
	3: 400,
	5: 800,
}

type tally struct {
	lost      int
	uncovered int
	stale     int
	acked     int
}

// tryRule runs the histories and counts those that violated a guarantee, by kind,
// and all acknowledged writes.
func tryRule(histories int, size Size, need int, rule func(coltsfootloft.Reading, coltsfootloft.Position) bool) tally {
	var mu sync.Mutex
	var sum tally
	var wait sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for k := range workers {
		wait.Go(func() {
			var t tally
			for seed := k; seed < histories; seed += workers {
				m := newModel(uint64(seed), size, rule)
				m.barrier.need = need
				m.run(historySteps[size])
				t.acked += len(m.acked)
				t.lost += min(m.lost, 1)
				t.uncovered += min(m.uncovered, 1)
				t.stale += min(m.stale, 1)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.acked += t.acked
			sum.lost += t.lost
			sum.uncovered += t.uncovered
			sum.stale += t.stale
		})
	}
	wait.Wait()
	return sum
}

func logTermRule(r coltsfootloft.Reading, p coltsfootloft.Position) bool {
	return r.Received().Term() == p.Term() && r.Received().Offset() >= p.Offset()
}

func laterTermRule(r coltsfootloft.Reading, p coltsfootloft.Position) bool {
	return r.Received().Covers(p)
}

func TestAcknowledgementRules(t *testing.T) {
	for _, size := range []Size{3, 5} {
		logTerm := tryRule(naiveHistories, size, size.Majority(), logTermRule)
		later := tryRule(naiveHistories, size, size.Majority(), laterTermRule)
		counts := tryRule(naiveHistories, size, size.Majority(), coltsfootloft.Reading.Acknowledges)
		same := tryRule(naiveHistories, size, size.Majority(), nil)
		ledger := tryRule(histories, size, size.Majority(), nil)
		t.Logf("size %d, histories of %d steps: %d of log term %+v, of later log terms %+v, of fence term too %+v; %d of the ledger %+v",
			size, historySteps[size], naiveHistories, logTerm, later, counts, histories, ledger)
		assert.Assert(t, logTerm.lost > 0)
		assert.Assert(t, later.lost > logTerm.lost)
		assert.Equal(t, counts.lost+counts.uncovered+counts.stale, 0)
		assert.Equal(t, ledger.lost+ledger.uncovered+ledger.stale, 0)
		assert.Equal(t, same, counts)
		assert.Assert(t, ledger.acked > histories/2)
	}
}

// TestBarrierNeedsAMajority shows that a barrier with one reading less than a
// majority misses acknowledged writes.
func TestBarrierNeedsAMajority(t *testing.T) {
	for _, size := range []Size{3, 5} {
		naive := tryRule(naiveHistories, size, size.Majority()-1, coltsfootloft.Reading.Acknowledges)
		t.Logf("size %d, barrier from %d readings: %+v", size, size.Majority()-1, naive)
		assert.Assert(t, naive.uncovered > 0)
	}
}

// TestRebuiltReplicaDoesNotCount guards against counting by log term alone, which
// loses an acknowledged write. In the shortest history found, c is rebuilt by the
// primary of term 4 and passes through the log of term 2. The primary of term 3
// has never seen that log, and its own log compares as greater.
func TestRebuiltReplicaDoesNotCount(t *testing.T) {
	g := memdb.New("a", "b", "c")
	term := func(n uint64) coltsfootloft.Term { return coltsfootloft.NewTerm(n, "p") }
	fence := func(n uint64, names ...string) {
		for _, d := range names {
			_, err := g.Fence(d, term(n))
			assert.NilError(t, err)
		}
	}
	promote := func(n uint64, name string) {
		_, err := g.Promote(name, term(n))
		assert.NilError(t, err)
	}
	ledger := NewLedger(3)
	readings := map[string]coltsfootloft.Reading{}
	note := func(name string) {
		readings[name] = g.Reading(name)
		ledger.Note(name, readings[name])
	}

	fence(1, "a", "b", "c")
	promote(1, "a")
	fence(2, "b", "c")
	promote(2, "b")
	p, err := g.Commit("b", "write")
	assert.NilError(t, err)
	note("b")
	fence(3, "a", "c")
	promote(3, "a")
	fence(4, "b", "c")
	promote(4, "b")
	_, err = g.Follow("c", term(4), "b")
	assert.NilError(t, err)
	for g.Reading("c").Received() != p {
		assert.Assert(t, g.Receive("c"))
	}
	note("c")

	assert.Assert(t, logTermRule(readings["b"], p) && logTermRule(readings["c"], p), "the log term rule acknowledges")
	assert.Assert(t, !Size(3).HeldByMajority(readings, p))
	assert.Assert(t, !ledger.HeldByMajority(p))
	fence(5, "a", "c")
	assert.Assert(t, g.Reading("a").Received().Compare(g.Reading("c").Received()) > 0, "a wins without the write")
	promote(5, "a")
	assert.Equal(t, len(g.Values("a")), 0)
}

// TestLostDatabaseDoesNotCount: a and b acknowledge the write, then a loses its
// state. A barrier from a and c would not cover the write.
func TestLostDatabaseDoesNotCount(t *testing.T) {
	g := memdb.New("a", "b", "c")
	g.Start(coltsfootloft.NewTerm(1, "p"))
	p, err := g.Commit("a", "write")
	assert.NilError(t, err)
	for g.Receive("b") {
		continue
	}
	all := func(names ...string) map[string]coltsfootloft.Reading {
		m := make(map[string]coltsfootloft.Reading)
		for _, n := range names {
			m[n] = g.Reading(n)
		}
		return m
	}
	assert.Assert(t, Size(3).HeldByMajority(all("a", "b"), p))
	g.LoseState("a")
	_, ok := Size(3).Barrier(all("a", "c"))
	assert.Assert(t, !ok)
	q, ok := Size(3).Barrier(all("a", "b", "c"))
	assert.Assert(t, ok && q.Covers(p))
}

package elect

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

var everyHost = []string{"h00", "h10", "h11", "h20"}

// others are the hosts and databases outside the first failure domain.
var (
	firstDomain = []string{"a", "h00", "h01"}
	others      = []string{"b", "c", "h10", "h11", "h20", "h21"}
)

func TestFailures(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		limit time.Duration
		fault func(b *bench)
	}{
		{"killed", 2 * time.Second, func(b *bench) { b.group.Stop("a") }},
		{"frozen", 2 * time.Second, func(b *bench) { b.group.Freeze("a") }},
		{"domain cut off", 2 * time.Second, func(b *bench) { b.group.Part(firstDomain, others) }},
		{"replication cut", 3 * time.Second, func(b *bench) {
			b.group.Cut("a", "b")
			b.group.Cut("a", "c")
		}},
		{"cut one way from the primary", 2 * time.Second, func(b *bench) {
			for _, n := range append(others, "h00", "h01") {
				b.group.Cut("a", n)
			}
		}},
		{"cut one way to the primary", 2 * time.Second, func(b *bench) {
			for _, n := range append(others, "h00", "h01") {
				b.group.Cut(n, "a")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			w := b.call(everyHost...)
			time.Sleep(200 * time.Millisecond)
			at := time.Now()
			c.fault(b)
			b.until(func() bool {
				p, _ := b.primary()
				return p != "a"
			})
			time.Sleep(200 * time.Millisecond)
			gap := w.gap(at)
			acked, unknown := b.check(w)
			t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
			assert.Assert(t, gap < c.limit)
		})
	}
}

func TestTwiceInARow(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	w := b.call(everyHost...)
	for range 2 {
		p, term := b.primary()
		b.group.Freeze(p)
		b.until(func() bool {
			_, next := b.primary()
			return next != term
		})
		b.group.Thaw(p)
		time.Sleep(300 * time.Millisecond)
	}
	acked, unknown := b.check(w)
	t.Logf("%d acknowledged, %d unknown", acked, unknown)
}

// TestMinorityDoesNothing: the hosts of a failure domain that is cut off reach one
// replica and must not fence it.
func TestMinorityDoesNothing(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	w := b.call("h00")
	b.group.Part([]string{"b", "h10", "h11"}, []string{"a", "c", "h00", "h01", "h20", "h21"})
	time.Sleep(2 * time.Second)
	_, term := b.primary()
	assert.Equal(t, term, coltsfootloft.NewTerm(1, "first"))
	assert.Equal(t, b.group.Reading("b").Fence(), term)
	b.check(w)
}

// TestOnlyThisHostIsCut: one observer can't reach the primary, but others see it
// make progress.
func TestOnlyThisHostIsCut(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.group.Part([]string{"a"}, []string{"h10", "h11"})
	time.Sleep(1500 * time.Millisecond)
	_, term := b.primary()
	assert.Equal(t, term, coltsfootloft.NewTerm(1, "first"))
}

// TestProposerDied: a majority is fenced and nobody is left to promote.
func TestProposerDied(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	w := b.call(everyHost...)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	dead := coltsfootloft.NewTerm(7, "dead")
	for _, n := range []string{"a", "c"} {
		_, err := b.group.Fence(n, dead)
		assert.NilError(t, err)
	}
	b.until(func() bool {
		_, term := b.primary()
		return term.Compare(dead) > 0
	})
	time.Sleep(100 * time.Millisecond)
	gap := w.gap(at)
	acked, unknown := b.check(w)
	t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
	assert.Assert(t, gap < 2*time.Second)
}

// TestReplicaFencedByADeadProposer: a replica fenced above the primary's term
// would stay behind for ever.
func TestReplicaFencedByADeadProposer(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	_, err := b.group.Fence("c", coltsfootloft.NewTerm(7, "dead"))
	assert.NilError(t, err)
	b.until(func() bool {
		p, term := b.primary()
		return p == "a" && term.Counter() > 7 && b.group.Reading("c").Received().Term() == term
	})
}

// TestDuel has every host propose at once.
func TestDuel(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	w := b.call("h00", "h10")
	for range 5 {
		for _, n := range b.nodes {
			go n.duty.HandOver(t.Context(), groupName)
		}
		time.Sleep(150 * time.Millisecond)
	}
	acked, unknown := b.check(w)
	t.Logf("%d acknowledged, %d unknown", acked, unknown)
}

func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	w := b.call(everyHost...)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	b.hosts.Leave("a")
	b.until(func() bool {
		p, _ := b.primary()
		return p != "a" && p != ""
	})
	time.Sleep(100 * time.Millisecond)
	gap := w.gap(at)
	acked, unknown := b.check(w)
	t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
	assert.Assert(t, gap < 300*time.Millisecond)
}

// TestHandOverToReplicasBehind: no replica can take over what the leaving primary
// has committed, so it goes on, and nothing is dropped.
func TestHandOverToReplicasBehind(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.group.Cut("a", "b")
	b.group.Cut("a", "c")
	_, err := b.group.Commit("a", "not yet shipped")
	assert.NilError(t, err)
	n := b.nodes["h00"]
	b.until(func() bool { return n.watcher.Readings(groupName)["a"].Received().Offset() > 1 })
	assert.ErrorContains(t, n.duty.HandOver(t.Context(), groupName), "stays")
	p, term := b.primary()
	assert.Equal(t, p, "a")
	assert.Assert(t, term.Counter() > 1)
	b.group.Heal()
	b.until(func() bool { return len(b.group.Values("b")) == 1 && len(b.group.Values("c")) == 1 })
	assert.NilError(t, n.duty.HandOver(t.Context(), groupName))
	p, _ = b.primary()
	assert.Assert(t, p != "a")
	assert.Equal(t, len(b.group.Values(p)), 1)
}

func TestNewGroupGetsAPrimary(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	first := coltsfootloft.NewTerm(1, "first")
	b.group.Stop("a")
	b.until(func() bool {
		_, term := b.primary()
		return term != first
	})
}

func TestHandOverOfUnknownGroup(t *testing.T) {
	d := &Elector{}
	assert.ErrorContains(t, d.HandOver(context.Background(), "none"), "not configured")
}

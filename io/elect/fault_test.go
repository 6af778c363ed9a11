package elect

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

var everyHost = []string{"h00", "h10", "h11", "h20"}

// firstDomain and others are the hosts and databases inside and outside of the
// first failure domain.
var (
	firstDomain = []string{"a", "h00", "h01"}
	others      = []string{"b", "c", "h10", "h11", "h20", "h21"}
)

func TestFailures(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		limit time.Duration
		fault func(cl *cluster)
	}{
		{"killed", 2 * time.Second, func(cl *cluster) { cl.group.Stop("a") }},
		{"frozen", 2 * time.Second, func(cl *cluster) { cl.group.Freeze("a") }},
		{"domain cut off", 2 * time.Second, func(cl *cluster) { cl.group.Partition(firstDomain, others) }},
		{"replication cut", 3 * time.Second, func(cl *cluster) {
			cl.group.Cut("a", "b")
			cl.group.Cut("a", "c")
		}},
		{"cut one way from the primary", 2 * time.Second, func(cl *cluster) {
			for _, n := range append(others, "h00", "h01") {
				cl.group.Cut("a", n)
			}
		}},
		{"cut one way to the primary", 2 * time.Second, func(cl *cluster) {
			for _, n := range append(others, "h00", "h01") {
				cl.group.Cut(n, "a")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t)
			w := cl.startCallers(everyHost...)
			time.Sleep(200 * time.Millisecond)
			at := time.Now()
			c.fault(cl)
			cl.waitUntil(func() bool {
				p, _ := cl.primary()
				return p != "a"
			})
			time.Sleep(200 * time.Millisecond)
			gap := w.gap(at)
			acked, unknown := cl.check(w)
			t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
			assert.Assert(t, gap < c.limit)
		})
	}
}

func TestTwoFailoversInARow(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	w := cl.startCallers(everyHost...)
	for range 2 {
		p, term := cl.primary()
		cl.group.Freeze(p)
		cl.waitUntil(func() bool {
			_, next := cl.primary()
			return next != term
		})
		cl.group.Thaw(p)
		time.Sleep(300 * time.Millisecond)
	}
	acked, unknown := cl.check(w)
	t.Logf("%d acknowledged, %d unknown", acked, unknown)
}

// TestMinorityDoesNothing cuts off a failure domain: its hosts reach one
// replica and must not fence it.
func TestMinorityDoesNothing(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	w := cl.startCallers("h00")
	cl.group.Partition([]string{"b", "h10", "h11"}, []string{"a", "c", "h00", "h01", "h20", "h21"})
	time.Sleep(2 * time.Second)
	_, term := cl.primary()
	assert.Equal(t, term, coltsfootloft.NewTerm(1, "first"))
	assert.Equal(t, cl.group.Reading("b").Fence(), term)
	cl.check(w)
}

// TestOneDomainCutFromPrimary cuts the hosts of one failure domain off from the
// primary. There must be no election, as observers in other domains see the
// primary make progress.
func TestOneDomainCutFromPrimary(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	cl.group.Partition([]string{"a"}, []string{"h10", "h11"})
	time.Sleep(1500 * time.Millisecond)
	_, term := cl.primary()
	assert.Equal(t, term, coltsfootloft.NewTerm(1, "first"))
}

// TestProposerDiesAfterFencing fences a majority without promoting a primary,
// as a proposer that dies does. Another proposer must take over.
func TestProposerDiesAfterFencing(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	w := cl.startCallers(everyHost...)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	dead := coltsfootloft.NewTerm(7, "dead")
	for _, n := range []string{"a", "c"} {
		_, err := cl.group.Fence(n, dead)
		assert.NilError(t, err)
	}
	cl.waitUntil(func() bool {
		_, term := cl.primary()
		return term.Compare(dead) > 0
	})
	time.Sleep(100 * time.Millisecond)
	gap := w.gap(at)
	acked, unknown := cl.check(w)
	t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
	assert.Assert(t, gap < 2*time.Second)
}

// TestReplicaFencedByADeadProposer guards against a replica that stays behind
// for ever because it was fenced above the primary's term.
func TestReplicaFencedByADeadProposer(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	_, err := cl.group.Fence("c", coltsfootloft.NewTerm(7, "dead"))
	assert.NilError(t, err)
	cl.waitUntil(func() bool {
		p, term := cl.primary()
		return p == "a" && term.Counter() > 7 && cl.group.Reading("c").Received().Term() == term
	})
}

// TestConcurrentProposers makes every host propose at once.
func TestConcurrentProposers(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	w := cl.startCallers("h00", "h10")
	for range 5 {
		for _, n := range cl.nodes {
			go n.elector.HandOver(t.Context(), groupName)
		}
		time.Sleep(150 * time.Millisecond)
	}
	acked, unknown := cl.check(w)
	t.Logf("%d acknowledged, %d unknown", acked, unknown)
}

func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	w := cl.startCallers(everyHost...)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	cl.hosts.AnnounceLeaving("a")
	cl.waitUntil(func() bool {
		p, _ := cl.primary()
		return p != "a" && p != ""
	})
	time.Sleep(100 * time.Millisecond)
	gap := w.gap(at)
	acked, unknown := cl.check(w)
	t.Logf("gap %v, %d acknowledged, %d unknown", gap, acked, unknown)
	assert.Assert(t, gap < 300*time.Millisecond)
}

// TestHandOverToReplicasBehind leaves no replica that has everything the
// leaving primary has committed. The primary must stay, and no write may be
// lost.
func TestHandOverToReplicasBehind(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	cl.group.Cut("a", "b")
	cl.group.Cut("a", "c")
	_, err := cl.group.Commit("a", "not yet shipped")
	assert.NilError(t, err)
	n := cl.nodes["h00"]
	cl.waitUntil(func() bool { return n.watcher.Readings(groupName)["a"].Received().Offset() > 1 })
	assert.ErrorContains(t, n.elector.HandOver(t.Context(), groupName), "stays")
	p, term := cl.primary()
	assert.Equal(t, p, "a")
	assert.Assert(t, term.Counter() > 1)
	cl.group.Heal()
	cl.waitUntil(func() bool { return len(cl.group.Values("b")) == 1 && len(cl.group.Values("c")) == 1 })
	assert.NilError(t, n.elector.HandOver(t.Context(), groupName))
	p, _ = cl.primary()
	assert.Assert(t, p != "a")
	assert.Equal(t, len(cl.group.Values(p)), 1)
}

func TestNewGroupGetsAPrimary(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	first := coltsfootloft.NewTerm(1, "first")
	cl.group.Stop("a")
	cl.waitUntil(func() bool {
		_, term := cl.primary()
		return term != first
	})
}

func TestHandOverOfUnknownGroup(t *testing.T) {
	d := &Elector{}
	assert.ErrorContains(t, d.HandOver(context.Background(), "none"), "not configured")
}

package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

var start = time.Unix(1_800_000_000, 0)

func host(i, domains int) coltsfootloft.HostRecord {
	return coltsfootloft.NewHost(fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%domains), fmt.Sprintf("10.0.0.1:%d", i+1))
}

func fleet(n, domains int) []coltsfootloft.HostRecord {
	var all []coltsfootloft.HostRecord
	for i := range n {
		all = append(all, host(i, domains))
	}
	return all
}

// TestTablesAgree gives the same claims to two tables in different orders, some
// twice, and compares both with a naive version: the greatest claim about each
// name.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []Member
		for range rapid.IntRange(1, 30).Draw(t, "claims") {
			h := host(rapid.IntRange(1, 4).Draw(t, "host"), 2)
			if rapid.Bool().Draw(t, "leaving") {
				h = h.AsLeaving()
			}
			m := NewMember(h, rapid.Uint64Range(0, 3).Draw(t, "incarnation"))
			claims = append(claims, m.As(Status(rapid.IntRange(0, 2).Draw(t, "status"))))
		}
		a := New(host(0, 2), 1, 0, start)
		b := New(host(0, 2), 1, 0, start)
		a.MergeList(fleet(5, 2), start)
		b.MergeList(fleet(5, 2), start)
		naive := make(map[string]Member)
		for _, m := range claims {
			a.Merge(m, start)
			if old, ok := naive[m.record.Name()]; !ok || m.compare(old) > 0 {
				naive[m.record.Name()] = m
			}
		}
		for _, m := range rapid.Permutation(append(claims, claims...)).Draw(t, "order") {
			b.Merge(m, start)
		}
		assert.Equal(t, a.Digest(), b.Digest())
		for n, want := range naive {
			got, _ := b.Find(n)
			assert.Equal(t, got, want)
		}
	})
}

func TestHostRefutesClaimsAgainstIt(t *testing.T) {
	b := New(host(0, 1), 7, 0, start)
	assert.Assert(t, b.Merge(NewMember(host(0, 1), 9).As(Dead), start))
	assert.Equal(t, b.Self().Incarnation(), uint64(10))
	assert.Equal(t, b.Self().Status(), Alive)
	assert.Assert(t, !b.Merge(NewMember(host(0, 1), 9).As(Dead), start))
}

func TestSuspectIsDeadUnlessItRefutes(t *testing.T) {
	b := New(host(0, 1), 1, 0, start)
	b.MergeList(fleet(3, 1), start)
	b.Suspect("h001", start)
	b.Suspect("h002", start)
	assert.Equal(t, len(b.Alive()), 3)
	b.Merge(NewMember(host(2, 1), 5), start)
	assert.Assert(t, b.Tick(start.Add(SuspicionTime)))
	assert.DeepEqual(t, b.Lost(), []string{"h001"})
	b.MergeList(fleet(3, 1), start.Add(time.Minute))
	assert.DeepEqual(t, b.Lost(), []string{"h001"})
	assert.Assert(t, b.Merge(NewMember(host(1, 1), 1), start))
	assert.Equal(t, len(b.Lost()), 0)
}

func TestLaggingListDoesNotWithdrawAnAnnouncement(t *testing.T) {
	lag := time.Minute
	u := coltsfootloft.NewHost("u", "d", "10.0.0.9:1").AsUpstream()
	b := New(host(0, 1), 1, lag, start)
	b.MergeList([]coltsfootloft.HostRecord{u}, start)
	b.AnnounceLeaving(u, start)
	leaving := func() bool {
		m, ok := b.Find("u")
		return ok && m.Record().Leaving()
	}
	assert.Assert(t, leaving())
	assert.Assert(t, !b.MergeList([]coltsfootloft.HostRecord{u}, start.Add(lag/2)))
	assert.Assert(t, leaving())
	assert.Assert(t, b.MergeList([]coltsfootloft.HostRecord{u}, start.Add(lag)))
	assert.Assert(t, !leaving())
}

// TestFewHeartbeatsBetweenHosts measures the greatest number of heartbeats on a
// path between two hosts, and the greatest number of heartbeats that one host
// receives.
func TestFewHeartbeatsBetweenHosts(t *testing.T) {
	for _, n := range []int{1, 2, 15, 60, 120, 730} {
		domains := 3
		if n == 730 {
			domains = 6
		}
		all := fleet(n, domains)
		edges := make(map[string][]string)
		in := make(map[string]int)
		most := 0
		for _, h := range all {
			b := New(h, 1, 0, start)
			b.MergeList(all, start)
			for _, to := range b.Neighbours() {
				edges[h.Name()] = append(edges[h.Name()], to)
				edges[to] = append(edges[to], h.Name())
				in[to]++
				most = max(most, in[to])
			}
		}
		farthest := 0
		for i := 0; i < n; i += max(1, n/20) {
			d := distances(edges, all[i].Name())
			assert.Equal(t, len(d), n)
			for _, steps := range d {
				farthest = max(farthest, steps)
			}
		}
		t.Logf("%d hosts: at most %d heartbeats apart, at most %d taken in a period", n, farthest, most)
		assert.Assert(t, farthest <= 10)
	}
}

func distances(edges map[string][]string, from string) map[string]int {
	d := map[string]int{from: 0}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, to := range edges[queue[0]] {
			if _, ok := d[to]; !ok {
				d[to] = d[queue[0]] + 1
				queue = append(queue, to)
			}
		}
	}
	return d
}

func BenchmarkRound(b *testing.B) {
	all := fleet(730, 6)
	t := New(all[0], 1, 0, start)
	t.MergeList(all, start)
	b.ReportAllocs()
	for b.Loop() {
		t.Neighbours()
		t.PendingClaims(16)
		t.Tick(start)
	}
}

package edge

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/lender"
	"coltsfootloft/io/lease"
	"coltsfootloft/stand/keyval"
)

// TestDeputyServesWithoutTheKeeper guards against hosts of a large failure domain that refuse operations within
// an account's limit while the quota keeper is lost: none of them uses the account often enough for a
// rate of its own. The keeper's lease ends on itself, but for a while not in the store.
func TestDeputyServesWithoutTheKeeper(t *testing.T) {
	const hosts, pace, rate = lender.MinHosts + 1, 200 * time.Millisecond, 8.0
	f := startFleet(t, hosts, func(f *fleet) {
		f.domains = 1
		f.withdrawalLimit = 5 * time.Second
		f.config.Tenants[0].RatePerS = rate
		f.config.Tenants[0].Burst = rate
	})
	lost := f.keeperOtherThan(f.deputyOf("quota-0"))
	var sessions []*client
	for i, h := range f.hosts {
		if i != lost {
			c, _ := connect(t, h, "board", "key-arima")
			sessions = append(sessions, c)
		}
	}
	ask := func(operations int) (refused int) {
		for i := range operations {
			if a := sessions[i%len(sessions)].do("READ news"); a.code != "" {
				refused++
			}
			time.Sleep(pace)
		}
		return refused
	}
	ask(30)
	before := f.lentByDeputies()
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{hostIP(lost): true}})
	f.hosts[lost].clock.advance(lease.TTL)
	refused := ask(5)
	f.store.SetFaults(keyval.Faults{})
	t.Logf("%d of 5 refused, %.0f lent by deputies before", refused, before)
	assert.Equal(t, refused, 0)
	assert.Assert(t, before > 0 && f.lentByDeputies() > before)
}

func (f *fleet) deputyOf(shard string) string {
	var names []string
	for _, h := range f.hosts {
		names = append(names, h.settings.Name)
	}
	return lender.Deputy(shard, names, func(string) float64 { return 1 })
}

// keeperOtherThan returns the index of the quota keeper, after another host took over from the one named.
func (f *fleet) keeperOtherThan(name string) int {
	keeper := ""
	f.await("a quota keeper", 5*time.Second, func() bool {
		holder, ok := f.hosts[0].edge.quota.First().Duty.Holder()
		keeper = holder
		return ok
	})
	index := func(name string) int {
		return slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.settings.Name == name })
	}
	if keeper == name {
		f.restart(index(name))
		f.await("another quota keeper", 5*time.Second, func() bool {
			holder, ok := f.hosts[0].edge.quota.First().Duty.Holder()
			keeper = holder
			return ok && keeper != name
		})
	}
	return index(keeper)
}

// lentByDeputies returns how many operations hosts have borrowed from deputies.
func (f *fleet) lentByDeputies() float64 {
	line := regexp.MustCompile(`coltsfootloft_quota_lent_total\{by="deputy"\} ([0-9.]+)`)
	sum := 0.0
	for _, h := range f.hosts {
		var b bytes.Buffer
		h.edge.metrics.WritePrometheus(&b)
		if m := line.FindStringSubmatch(b.String()); m != nil {
			n, _ := strconv.ParseFloat(m[1], 64)
			sum += n
		}
	}
	return sum
}

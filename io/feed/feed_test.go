package feed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/consul"
)

// changeLimit is the longest time until an accepted change is in force on all hosts.
const changeLimit = 5 * time.Second

// withdrawalLimit is the longest time until a withdrawn key is refused by all hosts.
const withdrawalLimit = 3 * time.Second

func value(s string) map[string][]byte { return map[string][]byte{"teams/a": []byte(s)} }

func TestChangeIsInForceEverywhereAndNeverReverts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 15, 3)
	r := f.mustApply(value("0"))
	f.startAll()
	f.await("start", r, changeLimit, nil)
	f.await("change", f.mustApply(value("1")), changeLimit, nil)

	f.server.SetFaults(consul.Faults{Delay: 500 * time.Millisecond})
	f.await("slow store", f.mustApply(value("2")), changeLimit, nil)

	f.server.SetFaults(consul.Faults{LoseAnswers: 1})
	_, err := f.apply(value("3"))
	assert.ErrorIs(t, err, coltsfootloft.ErrOutcomeUnknown)
	e, err := f.store.Read(t.Context(), testPrefix+"teams/a")
	assert.NilError(t, err)
	f.await("lost answer", e.Version(), changeLimit, nil)

	r = f.raceOperators(4)
	f.await("racing operators", r, changeLimit, nil)

	f.server.SetFaults(consul.Faults{ReadLag: time.Minute})
	time.Sleep(3 * time.Second)
	f.await("old answers", r, 0, nil)
	f.server.SetFaults(consul.Faults{Down: consul.Refuse})
	for i := range 3 {
		f.start(coltsfootloft.NewHost(fmt.Sprintf("new%d", i), fmt.Sprintf("d%d", i), "10.0.0.2:1"))
	}
	f.await("started while the store is down", r, changeLimit, nil)
	f.server.SetFaults(consul.Faults{})
	f.await("store back", f.mustApply(value("5")), changeLimit, nil)
	assert.Equal(t, f.regressions.Load(), int64(0), "steps back")
	for _, h := range f.hosts {
		_, entries := h.source.Snapshot()
		assert.Equal(t, string(entries["teams/a"]), "5")
	}
}

// raceOperators has several operators change the same key concurrently and returns
// the newest accepted revision. At least one must succeed; the others get conflicts.
func (f *fleet) raceOperators(operators int) uint64 {
	f.t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	var won []uint64
	conflicts := 0
	for i := range operators {
		group.Go(func() {
			r, err := f.apply(value(fmt.Sprint("racer ", i)))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won = append(won, r)
				return
			}
			assert.Check(f.t, errors.Is(err, coltsfootloft.ErrConflict), err)
			conflicts++
		})
	}
	group.Wait()
	f.t.Logf("racing operators: %d accepted, %d conflicts", len(won), conflicts)
	var newest uint64
	for _, r := range won {
		newest = max(newest, r)
	}
	assert.Assert(f.t, newest > 0)
	return newest
}

func TestCutDomainCatchesUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 15, 3)
	f.startAll()
	f.await("start", f.mustApply(value("0")), changeLimit, nil)
	reachable := func(h *host) bool { return h.record.Domain() != "d2" }
	f.isolate("d2", true)
	r := f.mustApply(value("1"))
	f.await("others", r, changeLimit, reachable)
	time.Sleep(4 * time.Second)
	f.isolate("d2", false)
	f.cut["d2"].Store(true)
	f.await("healed, still cut from the store", r, changeLimit, nil)
	assert.Equal(t, f.regressions.Load(), int64(0), "steps back")
}

// isolate partitions a domain from the others and from the store, or ends the
// partition.
func (f *fleet) isolate(domain string, cut bool) {
	f.cut[domain].Store(cut)
	for d := range f.cut {
		if d == domain {
			continue
		}
		if cut {
			f.mesh.Cut(domain, d)
		} else {
			f.mesh.Heal(domain, d)
		}
	}
}

func TestWithdrawnKeyReachesDomainsCutFromTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 15, 3)
	f.startAll()
	f.await("start", f.mustApply(map[string][]byte{"teams/a/keys/k": []byte("verifier")}), changeLimit, nil)
	f.cut["d1"].Store(true)
	f.cut["d2"].Store(true)
	time.Sleep(headWait + watchMargin)
	f.await("withdrawn", f.mustApply(map[string][]byte{"teams/a/keys/k": nil}), withdrawalLimit, nil)
	for _, h := range f.hosts {
		_, entries := h.source.Snapshot()
		assert.Assert(t, entries["teams/a/keys/k"] == nil)
	}
	assert.Equal(t, f.regressions.Load(), int64(0), "steps back")
}

func TestLargeSettingsComeInParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 1)
	large := make(map[string][]byte)
	for i := range 12 {
		large[fmt.Sprint("k", i)] = make([]byte, 400<<10)
	}
	f.startAll()
	f.await("whole", f.mustApply(large), changeLimit, nil)
	f.await("delta", f.mustApply(large), changeLimit, nil)
	for _, h := range f.hosts {
		_, entries := h.source.Snapshot()
		assert.Equal(t, len(entries), len(large)+1)
	}
}

// TestStoreCallsGrowWithDomains checks that the rate of calls to the store, at about
// one change per second, is bounded by the number of domains and not of hosts.
func TestStoreCallsGrowWithDomains(t *testing.T) {
	t.Parallel()
	sizes := [][2]int{{15, 3}}
	if *measure {
		sizes = append(sizes, [][2]int{{60, 3}, {120, 3}, {60, 6}, {120, 6}}...)
	}
	for _, s := range sizes {
		n, domains := s[0], s[1]
		t.Run(fmt.Sprintf("%d hosts in %d domains", n, domains), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, n, domains)
			r := f.mustApply(value("0"))
			f.startAll()
			f.await("start", r, changeLimit, nil)
			time.Sleep(2 * time.Second)
			before := f.server.Counts()
			start := time.Now()
			var worst time.Duration
			for i := range 4 {
				worst = max(worst, f.await("change", f.mustApply(value(fmt.Sprint(i))), changeLimit, nil))
				time.Sleep(time.Second)
			}
			after := f.server.Counts()
			// Each of the 4 changes starts with a listing by the operator, which is
			// no read by a host.
			reads := float64(after.Reads-before.Reads-4) / time.Since(start).Seconds()
			watches := float64(after.Watches-before.Watches) / time.Since(start).Seconds()
			t.Logf("%d hosts in %d domains: %.1f reads/s and %.1f watches/s, in force after at most %v",
				n, domains, reads, watches, worst.Round(time.Millisecond))
			assert.Assert(t, reads+watches < float64(8*domains))
		})
	}
}

// measurePushes makes changes of 2 KB. It returns the longest time until one was in
// force on all hosts, and the bytes that the busiest host sent per change.
func (f *fleet) measurePushes(changes int) (worst time.Duration, most int) {
	before := make(map[string]int)
	for n, h := range f.hosts {
		before[n] = h.port.Sent(Duty).Bytes
	}
	for i := range changes {
		r := f.mustApply(map[string][]byte{"k": make([]byte, 2000+i)})
		worst = max(worst, f.await("change", r, changeLimit, nil))
		time.Sleep(300 * time.Millisecond)
	}
	for n, h := range f.hosts {
		most = max(most, (h.port.Sent(Duty).Bytes-before[n])/changes)
	}
	return worst, most
}

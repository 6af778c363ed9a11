package edge

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/keyval"
)

// TestWithdrawnKeyStopsEverywhere withdraws a key while the store refuses calls from
// one of the hosts, which therefore can't learn of it. On no host may a statement run that
// is sent after the time limit for withdrawn keys.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	f := startFleet(t, 3, nil)
	var clients []*client
	for _, h := range f.hosts {
		c, _ := connect(t, h, "board", "key-siparia")
		c.must("READ news")
		clients = append(clients, c)
	}
	f.store.SetFaults(keyval.Faults{
		RefusedHosts: map[string]bool{"127.0.62.2": true},
		StallWatches: true, // a pending watch would still deliver the change
	})
	f.changeSettings(func(c *config) { c.Tenants[1].ApiKeys = []string{"key-new"} })
	acknowledged := time.Now()
	var wait sync.WaitGroup
	for _, c := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Since(acknowledged) < 2*withdrawal {
				sent := time.Now()
				a := c.do("READ news")
				if a.lost {
					return
				}
				if a.code == "" && sent.Sub(acknowledged) > withdrawal {
					t.Errorf("ran %s after the key was taken away", sent.Sub(acknowledged))
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	_, code := connect(t, f.hosts[0], "board", "key-siparia")
	assert.Equal(t, code, "NOAUTH")
	_, code = connect(t, f.hosts[0], "board", "key-new")
	assert.Equal(t, code, "")
	_, code = connect(t, f.hosts[0], "nowhere", "key-new")
	assert.Equal(t, code, "NODB")
}

// TestSettingsArriveWithoutWatchEvents checks that hosts get changes although
// the store's watches deliver none, also after the store compacted its history.
func TestSettingsArriveWithoutWatchEvents(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.store.SetFaults(keyval.Faults{StallWatches: true})
	f.changeSettings(func(c *config) {
		c.Routes = append(c.Routes, route{
			Name:            "r-new",
			Host:            "fresh",
			RouteType:       "primary",
			Service:         "notices",
			TimeoutMs:       timeoutMS,
			TargetLatencyMs: targetMS,
		})
	})
	f.await("route in force on every host", 3*time.Second, func() bool {
		for _, h := range f.hosts {
			if _, ok := h.edge.mirror.View().Settings.Routes["fresh"]; !ok {
				return false
			}
		}
		return true
	})
	f.store.Compact()
	f.store.SetFaults(keyval.Faults{})
	f.announce(1, "draining")
	f.await("draining seen after the history was dropped", 6*time.Second, func() bool {
		return f.hosts[2].edge.mirror.View().Upstreams["db-2"].Leaving
	})
}

// TestBadEntriesChangeNothing writes malformed values to the keys of settings and
// databases. The hosts must go on with the values they have.
func TestBadEntriesChangeNothing(t *testing.T) {
	f := startFleet(t, 3, nil)
	before := f.hosts[0].edge.mirror.View().Settings
	f.store.Put("op/config", []byte("{broken"))
	f.store.Put("servers/db-9", []byte("\xff\x00"))
	f.store.Put("servers/db-8", map[string]any{"Service": 7})
	f.store.Put("coltsfootloft/group/other", []byte("?"))
	time.Sleep(300 * time.Millisecond)
	v := f.hosts[0].edge.mirror.View()
	assert.Equal(t, v.Settings, before)
	_, known := v.Upstreams["db-9"]
	assert.Assert(t, !known)
	c, code := connect(t, f.hosts[0], "file", "key-arima")
	assert.Equal(t, code, "")
	c.must("WRITE a b")
}

// TestPrimaryIsReplaced crashes the primary during writes. Every acknowledged write must
// be readable afterwards, no promotion may use a stale fencing token, and writes must
// succeed again within the time limit for changes of primary.
func TestPrimaryIsReplaced(t *testing.T) {
	f := startFleet(t, 3, nil)
	old := f.group.Primary()
	var mu sync.Mutex
	acknowledged := make(map[string]string)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, _ := connect(t, f.hosts[i], "file", "key-arima")
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				item, data := fmt.Sprintf("i%d-%d", i, n), fmt.Sprint(n)
				if a := c.do("WRITE " + item + " " + data); a.code == "" && !a.lost {
					mu.Lock()
					acknowledged[item] = data
					mu.Unlock()
				}
				time.Sleep(3 * time.Millisecond)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	f.group.SetDown(old, true)
	crashed := time.Now()
	f.await("a new primary on every host", 8*time.Second, func() bool {
		for _, h := range f.hosts {
			if o, ok := h.edge.groups.Primary("notices"); !ok || o.Target.ID == old {
				return false
			}
		}
		return true
	})
	t.Logf("new primary on every host after %s", time.Since(crashed))
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wait.Wait()
	c, _ := connect(t, f.hosts[1], "file", "key-arima")
	for item, data := range acknowledged {
		assert.DeepEqual(t, c.must("READ "+item).rows, []string{data})
	}
	for _, p := range f.group.Promotions() {
		assert.Assert(t, !strings.Contains(p, "stale"), p)
	}
}

// TestLeavingPrimaryLosesNothing lets the primary announce that it leaves, and stops the
// host that holds the duty of replacing primaries in the middle of the change.
func TestLeavingPrimaryLosesNothing(t *testing.T) {
	f := startFleet(t, 3, nil)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	c.must("WRITE first 1")
	old := f.group.Primary()
	holder, _ := f.hosts[0].edge.failover.Duty.Holder()
	f.announce(0, "draining")
	time.Sleep(60 * time.Millisecond) // the record is closing, or the promotion has just been ordered
	for _, h := range f.hosts {
		if h.settings.Name == holder {
			h.stop()
		}
	}
	f.await("a primary other than the leaving one", 8*time.Second, func() bool {
		return f.group.Primary() != old
	})
	var other *testHost
	for _, h := range f.hosts {
		if h.settings.Name != holder {
			other = h
		}
	}
	f.await("the new primary in force", 8*time.Second, func() bool {
		o, ok := other.edge.groups.Primary("notices")
		return ok && o.Target.ID != old
	})
	c, _ = connect(t, other, "file", "key-arima")
	assert.DeepEqual(t, c.must("READ first").rows, []string{"1"})
	c.must("WRITE second 2")
	for _, p := range f.group.Promotions() {
		assert.Assert(t, !strings.Contains(p, "stale"), p)
	}
}

// TestRateHoldsOverAllHosts sends far more than an account's rate through all hosts
// at once and counts the statements that the databases ran in each window.
func TestRateHoldsOverAllHosts(t *testing.T) {
	const rate, burst = 40.0, 20.0
	f := startFleet(t, 3, func(f *fleet) {
		f.config.Tenants[1].RatePerS = rate
		f.config.Tenants[1].Burst = burst
	})
	stop := time.Now().Add(4 * time.Second)
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, _ := connect(t, f.hosts[i%3], "board", "key-siparia")
			for time.Now().Before(stop) {
				c.do("READ news")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	runs := f.group.Runs()
	const window = 2 * time.Second
	highest := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.Account == "siparia" && r.At.Sub(runs[i].At) <= window {
				n++
			}
		}
		highest = max(highest, n)
	}
	bound := rate*window.Seconds() + burst
	t.Logf("most in a window: %d, bound %.0f", highest, bound)
	assert.Assert(t, float64(highest) <= bound)
	assert.Assert(t, float64(highest) >= 0.6*rate*window.Seconds(), "an account gets its rate")
}

// TestHostLeavesInGoodOrder stops a host with an idle session, an active session and
// an open transaction.
func TestHostLeavesInGoodOrder(t *testing.T) {
	f := startFleet(t, 3, nil)
	h := f.hosts[1]
	busy, _ := connect(t, h, "file", "key-arima")
	idle, _ := connect(t, h, "file", "key-arima")
	open, _ := connect(t, h, "file", "key-arima")
	open.must("BEGIN")
	open.must("WRITE held 1")
	h.stop()
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, !h.ready(t), "not ready at once")
	busy.must("WRITE late 1")
	time.Sleep(300 * time.Millisecond)
	open.must("COMMIT")
	assert.NilError(t, <-h.ended)
	h.ended <- nil
	idle.arm()
	assert.ErrorIs(t, idle.r.Await(), io.EOF, "idle sessions are closed")
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	assert.DeepEqual(t, c.must("READ held").rows, []string{"1"})
	assert.DeepEqual(t, c.must("READ late").rows, []string{"1"})
}

// TestLeavingReplicaGetsNoNewWork announces a replica as draining.
func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	f := startFleet(t, 3, nil)
	c, _ := connect(t, f.hosts[1], "board", "key-arima")
	for range 5 {
		c.must("READ news")
	}
	f.announce(1, "draining")
	f.await("draining seen", time.Second, func() bool {
		return f.hosts[1].edge.mirror.View().Upstreams["db-2"].Leaving
	})
	before := len(f.group.Runs())
	for range 20 {
		c.must("READ news")
	}
	for _, r := range f.group.Runs()[before:] {
		assert.Assert(t, r.Database != "db-2", "%s ran on a leaving replica", r.Text)
	}
}

// TestStoreAwayAndBack lets the store answer no calls for longer than a lease lasts. Hosts
// must refuse writes meanwhile, and serve again once the store is back.
func TestStoreAwayAndBack(t *testing.T) {
	f := startFleet(t, 3, nil)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	c.must("WRITE a 1")
	f.store.SetFaults(keyval.Faults{NoAnswers: true})
	time.Sleep(3 * time.Second)
	a := c.do("WRITE a 2")
	assert.Assert(t, a.lost || a.code == "BUSY", "refused while nothing is known: %+v", a)
	f.store.SetFaults(keyval.Faults{})
	f.await("service", 5*time.Second, func() bool {
		c, code := connect(t, f.hosts[0], "file", "key-arima")
		return code == "" && c.do("WRITE a 3").code == ""
	})
}

// TestOutageOfTheStoreIsNotHammered lets the store refuse every host for four seconds.
// Refused calls cost as much as others, so a host, which can't know when the store is
// back, may make only a few calls a second.
func TestOutageOfTheStoreIsNotHammered(t *testing.T) {
	f := startFleet(t, 3, nil)
	const (
		outage = 4 * time.Second
		most   = 5.0 // calls per host and second, of all kinds
	)
	before := 0
	for _, n := range f.store.Calls() {
		before += n
	}
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{"127.0.62.1": true, "127.0.62.2": true, "127.0.62.3": true}})
	time.Sleep(outage)
	calls := -before
	for _, n := range f.store.Calls() {
		calls += n
	}
	t.Logf("%d calls", calls)
	f.store.SetFaults(keyval.Faults{})
	assert.Assert(t, float64(calls) <= most*float64(len(f.hosts))*outage.Seconds())
	f.await("all hosts serve again", 3*time.Second, func() bool {
		for _, h := range f.hosts {
			if _, ok := h.edge.groups.Primary("notices"); !ok || !h.edge.isReady() {
				return false
			}
		}
		return true
	})
}

// TestOddEntriesStopNoHost guards against hosts that end, or stop following the store, because another
// writer left odd entries among those of the databases: those that run, and one that starts later.
func TestOddEntriesStopNoHost(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.store.Put("servers/db-0", []byte(strings.Repeat(`{"Service":`, 50_000)))
	f.store.Put("servers/db-4", []byte(`{"Service":"notices","Address":"127.0.61.1:99999","Zone":"domain-1","ConfigVersion":"v1",
		"Slots":4e18,"State":"ready","ColdRemainingMs":0,"DbRole":"primary","Seq":1,"born":1e300}`))
	f.store.Put("servers/db-5", []byte(`{"Slots":1e400}`))
	f.store.Put("servers/db-2", []byte(`[]`)) // over a database's own entry
	f.restart(2)
	f.changeSettings(func(c *config) { c.Routes[0].TimeoutMs = timeoutMS + 1 })
	for _, h := range f.hosts {
		f.await("settings after the odd entries", 3*time.Second, func() bool {
			return h.edge.mirror.View().Settings.Version == uint64(f.config.ConfigVersion)
		})
		var used []string
		for _, u := range h.edge.mirror.View().Members("notices") {
			if !u.Removed {
				used = append(used, u.Upstream.Name())
			}
		}
		assert.DeepEqual(t, used, []string{"db-1", "db-3"})
		c, code := connect(t, h, "file", "key-arima")
		assert.Equal(t, code, "")
		c.must("WRITE a b")
	}
	f.announce(1, "ready")
	f.await("database that writes its entry again", 3*time.Second, func() bool {
		return !f.hosts[2].edge.mirror.View().Upstreams["db-2"].Removed
	})
}

// TestOddRegistrationStopsNoChange guards against an entry of another writer under the key of a host,
// which is taken for a host whose confirmation a change of primary must await.
func TestOddRegistrationStopsNoChange(t *testing.T) {
	f := startFleet(t, 3, nil)
	odd := f.store.Put("coltsfootloft/host/odd", []byte("{}"))
	h := f.hosts[1]
	f.await("the odd entry", 3*time.Second, func() bool {
		return h.edge.mirror.View().Revision >= coltsfootloft.RevisionAt(1, odd)
	})
	f.group.SetDown("db-1", true)
	f.await("another primary", 8*time.Second, func() bool {
		o, ok := h.edge.groups.Primary("notices")
		return ok && o.Target.ID != "db-1"
	})
}

package edge

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadPrimary lets callers read from a primary that runs one statement of 20 ms at a time, with
// replicas that lag too far behind to be used. Callers that are refused return after 100 ms. It returns
// how many reads were served, how many the database ran, and the times after which others were refused.
func overloadPrimary(t *testing.T, policies []string) (served, ran int, refusedAfter []time.Duration) {
	t.Helper()
	const callers = 60
	f := startFleet(t, 3, func(f *fleet) {
		f.group.Lag = time.Minute
		f.policies = policies
	})
	var work, mu sync.Mutex
	f.group.SetHook(f.group.Primary(), func() {
		work.Lock() // one statement at a time
		defer work.Unlock()
		time.Sleep(20 * time.Millisecond)
	})
	before := len(f.group.Runs())
	stop := time.Now().Add(3 * time.Second)
	var wait sync.WaitGroup
	for i := range callers {
		c, _ := connect(t, f.hosts[i%3], "file", "key-arima")
		wait.Go(func() {
			for time.Now().Before(stop) {
				began := time.Now()
				a := c.do("READ x")
				took := time.Since(began)
				mu.Lock()
				switch {
				case a.code == "" && !a.lost:
					served++
				case a.code == "BUSY":
					refusedAfter = append(refusedAfter, took)
				}
				mu.Unlock()
				if a.code != "" {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wait.Wait()
	return served, len(f.group.Runs()) - before, refusedAfter
}

// TestUselessWaitIsRefusedSoon guards against reads that wait for most of their time at a primary that
// can't run them in it. Off, all refusals come after the wait; on, most come at once, and the database works
// only for callers that still wait.
func TestUselessWaitIsRefusedSoon(t *testing.T) {
	soon := func(all []time.Duration) (n int) {
		for _, d := range all {
			if d < targetMS*time.Millisecond/4 {
				n++
			}
		}
		return n
	}
	served, ran, refused := overloadPrimary(t, []string{"pressure"})
	t.Logf("served %d of %d that ran, %d refused, %d of them soon", served, ran, len(refused), soon(refused))
	assert.Assert(t, float64(served) >= 0.9*float64(ran)-10)
	assert.Assert(t, len(refused) >= 60, "the load is no overload")
	assert.Assert(t, soon(refused)*2 >= len(refused))
	served, ran, refused = overloadPrimary(t, nil)
	t.Logf("off: served %d of %d that ran, %d refused, %d of them soon", served, ran, len(refused), soon(refused))
	assert.Assert(t, soon(refused)*10 <= len(refused), "refusals come soon with the feature off too")
}

// TestOverloadedDomainSendsReadsToOthers guards against reads that are refused in a domain whose database is
// overloaded while the databases of others are idle, and against reads that leave it without need. Load:
// callers of the host of one domain only, each database runs one statement of 20 ms at a time; first 2
// callers that pause, then 40.
func TestOverloadedDomainSendsReadsToOthers(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.policies = []string{"pressure"} })
	for _, d := range f.databases {
		var work sync.Mutex
		f.group.SetHook(d.ID(), func() {
			work.Lock()
			defer work.Unlock()
			time.Sleep(20 * time.Millisecond)
		})
	}
	home := f.databases[1].ID() // a replica
	read := func(callers int, pause, d time.Duration) (served, abroad, ran int) {
		before := len(f.group.Runs())
		stop := time.Now().Add(d)
		var mu sync.Mutex
		var wait sync.WaitGroup
		for range callers {
			c, _ := connect(t, f.hosts[1], "board", "key-arima")
			wait.Go(func() {
				for time.Now().Before(stop) {
					a := c.do("READ x")
					mu.Lock()
					if a.code == "" && !a.lost {
						served++
					}
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
		wait.Wait()
		for _, r := range f.group.Runs()[before:] {
			ran++
			if r.Database != home {
				abroad++
			}
		}
		return served, abroad, ran
	}
	read(2, 50*time.Millisecond, time.Second)
	served, abroad, ran := read(2, 100*time.Millisecond, 2*time.Second)
	t.Logf("calm: served %d, ran %d, %d of them in other domains", served, ran, abroad)
	spilled := f.hosts[1].edge.metrics.GetOrCreateCounter("coltsfootloft_spilled_total")
	assert.Equal(t, spilled.Get(), uint64(0))
	served, abroad, ran = read(40, 100*time.Millisecond, 8*time.Second)
	t.Logf("loaded: served %d, ran %d, %d of them in other domains", served, ran, abroad)
	assert.Assert(t, spilled.Get() > 0)
	const capacity = 8 * 50
	assert.Assert(t, served*5 >= capacity*6, "served no more than one database can")
}

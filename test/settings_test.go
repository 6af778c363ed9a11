package test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settingsBound is the time in which an accepted change reaches every reachable host.
const settingsBound = 5 * time.Second

// TestSettingsReachEveryHost changes settings while the platform is slow, loses an
// answer, returns old data or is down, while operators write concurrently, while a
// failure domain is cut off, and while a host starts without the store. Every accepted
// change is in force on every reachable host within the bound, and no host goes back to
// an earlier revision.
func TestSettingsReachEveryHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   6,
		groups:  1,
		network: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var regressions atomic.Int64
	var watchers sync.WaitGroup
	for _, e := range f.hosts {
		watchers.Go(func() { f.watchRevision(ctx, e, &regressions) })
	}
	n := 0
	change := func() uint64 {
		n++
		return f.apply(map[string]string{"teams/alpha/accounts/other": fmt.Sprintf(`{"rate": "%d/s", "burst": 50}`, n)})
	}
	awaitInForce := func(label string, revision uint64, hosts ...*entry) {
		t.Helper()
		started := time.Now()
		for _, e := range hosts {
			left := settingsBound - time.Since(started)
			assert.Check(t, f.awaitRevision(e, revision, left), "%s: %s does not have revision %d in force", label, e.name, revision)
		}
		t.Logf("%s: in force on %d hosts after %v", label, len(hosts), time.Since(started).Round(time.Millisecond))
	}
	for _, fault := range []string{`{}`, `{"delay": "400ms"}`, `{"lose_answers": 1}`} {
		f.setPlatformFaults(fault)
		awaitInForce("faults "+fault, change(), f.hosts...)
		f.setPlatformFaults(`{"delay": "0s"}`)
	}
	f.raceOperators(t, awaitInForce)
	f.setPlatformFaults(`{"old": "3s"}`)
	time.Sleep(2 * time.Second)
	f.setPlatformFaults(`{"old": "0s"}`)

	f.network.isolate(3, 3, true)
	f.network.cut(3, outside, true)
	revision := change()
	awaitInForce("a domain cut off, the others", revision, f.hosts[0], f.hosts[1], f.hosts[3], f.hosts[4])
	f.network.isolate(3, 3, false)
	awaitInForce("healed towards the hosts only", revision, f.hosts[2], f.hosts[5])
	f.network.cut(3, outside, false)

	revision = change()
	awaitInForce("before the store goes down", revision, f.hosts...)
	f.setPlatformFaults(`{"down": "refuse"}`)
	f.hosts[1].process.kill()
	f.restartHost(f.hosts[1])
	awaitInForce("started without the store", revision, f.hosts[1])
	f.setPlatformFaults(`{"down": "up"}`)
	awaitInForce("after the outage", change(), f.hosts...)
	cancel()
	watchers.Wait()
	assert.Equal(t, regressions.Load(), int64(0), "hosts went back to an earlier revision")
}

// raceOperators changes the same setting from four operators concurrently. The revision
// accepted last must come into force.
func (f *fleet) raceOperators(t *testing.T, awaitInForce func(label string, revision uint64, hosts ...*entry)) {
	t.Helper()
	var newest atomic.Uint64
	var operators sync.WaitGroup
	for i := range 4 {
		operators.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r, err := f.tryApply(ctx, map[string]string{"teams/alpha/accounts/other": fmt.Sprintf(`{"rate": "%d/s", "burst": 60}`, 100+i)})
			for old := newest.Load(); err == nil && r > old && !newest.CompareAndSwap(old, r); {
				old = newest.Load()
			}
		})
	}
	operators.Wait()
	assert.Assert(t, newest.Load() > 0)
	awaitInForce("four operators racing", newest.Load(), f.hosts...)
}

// watchRevision counts how often the revision on a host decreases within one run of its
// process.
func (f *fleet) watchRevision(ctx context.Context, e *entry, regressions *atomic.Int64) {
	var last uint64
	var run *process
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		p := e.process
		s, ok := f.status(e)
		select {
		case <-p.done:
			// The answer may come from the next process, which starts without a revision.
			ok = false
		default:
		}
		switch {
		case !ok || p != run:
			run, last = p, 0
		case s.Settings.Revision < last:
			regressions.Add(1)
		default:
			last = s.Settings.Revision
		}
	}
}

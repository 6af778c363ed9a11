package test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failoverBound is how long writes may stall while the primary changes, as the users
// require.
const failoverBound = 8 * time.Second

// TestFailover stops or disconnects the primary in several ways under writes through
// every host. No acknowledged write is lost, no write that was refused as not run has
// run, and writes continue within the bound.
func TestFailover(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet, d *database){
		"cut off with its callers": func(f *fleet, _ *database) {
			f.network.isolate(1, 3, true)
			time.AfterFunc(3*time.Second, func() { f.network.isolate(1, 3, false) })
		},
		"cut off and held, not reset": func(f *fleet, _ *database) {
			f.network.holdPlace(1, 3, true)
			time.AfterFunc(3*time.Second, func() { f.network.holdPlace(1, 3, false) })
		},
		"held one way": func(f *fleet, _ *database) {
			f.network.hold(2, 1, true)
			f.network.hold(3, 1, true)
			time.AfterFunc(3*time.Second, func() {
				f.network.hold(2, 1, false)
				f.network.hold(3, 1, false)
			})
		},
		"killed": func(_ *fleet, d *database) { d.process.kill() },
		"frozen": func(_ *fleet, d *database) { d.process.signal(syscall.SIGSTOP) },
		"frozen then resumed": func(_ *fleet, d *database) {
			d.process.signal(syscall.SIGSTOP)
			time.AfterFunc(3*time.Second, func() { d.process.signal(syscall.SIGCONT) })
		},
		"killed then restarted": func(f *fleet, d *database) {
			d.process.kill()
			f.startDatabase(d)
		},
		"killed while the platform is down": func(f *fleet, d *database) {
			f.platform.kill()
			d.process.kill()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, layout{
				domains: 3,
				hosts:   3,
				groups:  1,
				network: true,
			})
			mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE history (id text PRIMARY KEY)")
			h := newHistory()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var writers sync.WaitGroup
			for i, e := range f.hosts {
				for _, n := range []string{"a", "b"} {
					writers.Go(func() { h.write(ctx, f, e, e.name+n, time.Duration(5+i)*time.Millisecond) })
				}
			}
			time.Sleep(time.Second)
			before, _, _ := h.counts()
			assert.Assert(t, before > 50, "only %d writes before the fault", before)
			fault(f, f.databases["g1-1"])
			time.Sleep(5 * time.Second)
			h.finish()
			cancel()
			writers.Wait()
			after, notRun, unknown := h.counts()
			t.Logf("acknowledged %d, then %d; not run %d, unknown %d, errors %v, longest gap %v", before, after-before, notRun, unknown, h.errors, h.longestGap)
			assert.Assert(t, after > before+50, "writes did not go on")
			assert.Assert(t, h.longestGap < failoverBound)
			h.check(t, f, f.hosts[1])
		})
	}
}

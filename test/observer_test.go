package test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observesGroup reports whether the host observes a database group itself, instead of
// relying on another host of its failure domain.
func (f *fleet) observesGroup(e *entry) bool {
	f.t.Helper()
	r, err := http.Get("http://" + e.admin + "/metrics")
	assert.NilError(f.t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	assert.NilError(f.t, err)
	return !strings.Contains(string(b), "coltsfootloft_watch_groups_observed 0\n")
}

// TestObserverLoss kills or freezes the host that observes the group for its failure
// domain, under writes through the other host of that domain. The other host takes
// over, and writes stall for less than 2 s.
func TestObserverLoss(t *testing.T) {
	t.Parallel()
	for name, signal := range map[string]syscall.Signal{
		"killed": syscall.SIGKILL,
		"frozen": syscall.SIGSTOP,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, layout{
				domains: 3,
				hosts:   6,
				groups:  1,
			})
			mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE history (id text PRIMARY KEY)")
			observer, other := f.hosts[0], f.hosts[3]
			for end := time.Now().Add(10 * time.Second); f.observesGroup(observer) == f.observesGroup(other); {
				assert.Assert(t, time.Now().Before(end), "the hosts of a failure domain did not agree on one observer")
				time.Sleep(50 * time.Millisecond)
			}
			if f.observesGroup(other) {
				observer, other = other, observer
			}
			h := newHistory()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var writers sync.WaitGroup
			writers.Go(func() { h.write(ctx, f, other, other.name, 5*time.Millisecond) })
			time.Sleep(time.Second)
			before, _, _ := h.counts()
			assert.Assert(t, before > 20, "only %d writes before the fault", before)
			observer.process.signal(signal)
			time.Sleep(3 * time.Second)
			cancel()
			writers.Wait()
			after, notRun, unknown := h.counts()
			t.Logf("acknowledged %d, then %d; not run %d, unknown %d, errors %v, longest gap %v", before, after-before, notRun, unknown, h.errors, h.longestGap)
			assert.Assert(t, h.longestGap < 2*time.Second)
			assert.Equal(t, unknown, 0)
			assert.Assert(t, f.observesGroup(other))
			h.check(t, f, other)
		})
	}
}

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

// observes reports whether the host observes a database group itself.
func (f *fleet) observes(e *entry) bool {
	f.t.Helper()
	r, err := http.Get("http://" + e.admin + "/metrics")
	assert.NilError(f.t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	assert.NilError(f.t, err)
	return !strings.Contains(string(b), "coltsfootloft_watch_groups_observed 0\n")
}

// TestObserverIsLost kills, or stops, the host that observes the group for its
// failure domain, under writes through the other host of that domain.
func TestObserverIsLost(t *testing.T) {
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
			observer, mate := f.hosts[0], f.hosts[3]
			for end := time.Now().Add(10 * time.Second); f.observes(observer) == f.observes(mate); {
				assert.Assert(t, time.Now().Before(end), "the hosts of a failure domain did not settle on an observer")
				time.Sleep(50 * time.Millisecond)
			}
			if f.observes(mate) {
				observer, mate = mate, observer
			}
			h := newHistory()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var writers sync.WaitGroup
			writers.Go(func() { h.write(ctx, f, mate, mate.name, 5*time.Millisecond) })
			time.Sleep(time.Second)
			before, _, _ := h.counts()
			assert.Assert(t, before > 20, "only %d writes before the fault", before)
			observer.process.signal(signal)
			time.Sleep(3 * time.Second)
			cancel()
			writers.Wait()
			after, notRun, unknown := h.counts()
			t.Logf("acknowledged %d, then %d; not run %d, unknown %d, errors %v, longest gap %v", before, after-before, notRun, unknown, h.errors, h.gap)
			assert.Assert(t, h.gap < 2*time.Second)
			assert.Equal(t, unknown, 0)
			assert.Assert(t, f.observes(mate))
			h.check(t, f, mate)
		})
	}
}

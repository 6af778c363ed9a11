package test

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// admission is a statement that was answered. It was admitted at some time between its
// start and its end.
type admission struct{ start, end time.Time }

// admissions holds the admissions of one account.
type admissions struct {
	mu      sync.Mutex
	list    []admission
	refused int
}

// run executes statements on a host until ctx ends.
func (a *admissions) run(ctx context.Context, f *fleet, e *entry, key string) {
	c, err := f.dial(e, key, "g1")
	for ctx.Err() == nil {
		if err != nil || c.IsClosed() {
			time.Sleep(20 * time.Millisecond)
			c, err = f.dial(e, key, "g1")
			continue
		}
		started := time.Now()
		_, execErr := c.Exec(ctx, "SELECT 1")
		a.record(admission{
			start: started,
			end:   time.Now(),
		}, execErr == nil)
		time.Sleep(2 * time.Millisecond)
	}
	if err == nil {
		c.Close(context.Background())
	}
}

func (a *admissions) record(x admission, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.refused++
		return
	}
	a.list = append(a.list, x)
}

// maxWithin returns the largest number of statements that started and ended within one
// window of this length.
func (a *admissions) maxWithin(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.list, func(x, y admission) int { return x.start.Compare(y.start) })
	most := 0
	for i, first := range a.list {
		n := 0
		for _, x := range a.list[i:] {
			since := x.start.Sub(first.start)
			if since > window {
				break
			}
			if x.end.Sub(first.start) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestFleetRateLimit offers a multiple of an account's rate, first on one host and then
// on all, while a host is frozen past its lease, another is killed and restarted, and
// the platform is down. In no window may the fleet admit more than the burst and the
// rate allow.
func TestFleetRateLimit(t *testing.T) {
	t.Parallel()
	const rate, burst = 100, 50
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		settings: map[string]string{
			"teams/alpha/accounts/main": `{"rate": "100/s", "burst": 50}`,
			"fleet/defaults":            `{"queue_wait": "50ms"}`,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var a admissions
	var callers sync.WaitGroup
	for range 12 {
		callers.Go(func() { a.run(ctx, f, f.hosts[0], "alpha.app") })
	}
	time.Sleep(3 * time.Second)
	for i := range 12 {
		callers.Go(func() { a.run(ctx, f, f.hosts[1+i%2], "alpha.app") })
	}
	time.Sleep(time.Second)
	f.hosts[1].process.signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	f.hosts[1].process.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	f.setPlatformFaults(`{"down": "refuse"}`)
	f.hosts[2].process.kill()
	time.Sleep(2 * time.Second)
	f.setPlatformFaults(`{"down": "up"}`)
	f.restartHost(f.hosts[2])
	time.Sleep(2 * time.Second)
	cancel()
	callers.Wait()
	for _, window := range []time.Duration{time.Second, 10 * time.Second} {
		bound := burst + int(rate*window.Seconds())
		most := a.maxWithin(window)
		t.Logf("window %v: at most %d, bound %d", window, most, bound)
		assert.Check(t, most <= bound)
	}
	t.Logf("%d admitted, %d refused", len(a.list), a.refused)
	assert.Assert(t, len(a.list) > 800, "the fleet admitted too little of the rate")
}

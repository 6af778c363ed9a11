package edge

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/linedb"
)

// mostInWindow returns the greatest number of the account's statements that ran within a time.
func mostInWindow(runs []linedb.Run, account, text string, window time.Duration) int {
	most := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.Account == account && r.Text == text && r.At.Sub(runs[i].At) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The limit of the account whose callers ask for more, and how long after its admission an operation may be
// sent.
const (
	lowRate       = 40.0
	lowBurst      = 20.0
	admitLifetime = 500 * time.Millisecond
)

func lowerLimit(f *fleet) {
	f.config.Tenants[1].RatePerS = lowRate
	f.config.Tenants[1].Burst = lowBurst
}

// TestRateHoldsAfterAnOutage guards against an account that exceeds its limit when its databases return
// (review/9): each host kept an operation for each caller that was waiting, beside the buckets that had filled.
func TestRateHoldsAfterAnOutage(t *testing.T) {
	f := startFleet(t, 3, lowerLimit)
	const outage = 4 * time.Second
	stop := time.Now().Add(time.Second + outage + 2*time.Second)
	var wait sync.WaitGroup
	for i := range 150 {
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
	time.Sleep(time.Second)
	for _, d := range f.databases {
		f.group.SetDown(d.ID(), true)
	}
	time.Sleep(outage)
	for _, d := range f.databases {
		f.group.SetDown(d.ID(), false)
	}
	wait.Wait()
	const window = 2 * time.Second
	most := mostInWindow(f.group.Runs(), "siparia", "READ news", window)
	bound := lowRate*(window+admitLifetime).Seconds() + lowBurst
	t.Logf("most in a window: %d, bound %.0f", most, bound)
	assert.Assert(t, float64(most) <= bound)
	assert.Assert(t, float64(most) >= 0.6*lowRate*window.Seconds(), "an account gets its rate")
}

// TestTransactionsHeldOpenKeepTheRate guards against callers that begin transactions one by one, within
// their account's rate, and send the first statements of all at once, which is when a database sees them.
func TestTransactionsHeldOpenKeepTheRate(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) {
		lowerLimit(f)
		f.config.Limits["TxIdleMs"] = 10000
	})
	var open []*client
	for i := range 120 {
		c, _ := connect(t, f.hosts[i%3], "board", "key-siparia")
		for c.do("BEGIN").code != "" {
			time.Sleep(20 * time.Millisecond)
		}
		open = append(open, c)
	}
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	for _, c := range open {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.do("READ news")
			c.do("ROLLBACK")
		}()
	}
	wait.Wait()
	const window = 500 * time.Millisecond
	most := mostInWindow(f.group.Runs(), "siparia", "READ news", window)
	bound := lowRate*(window+admitLifetime).Seconds() + lowBurst
	t.Logf("most in a window: %d of %d, bound %.0f", most, len(open), bound)
	assert.Assert(t, float64(most) <= bound)
	assert.Assert(t, most >= lowBurst/2, "an account gets its burst")
}

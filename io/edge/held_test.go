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

// The limit of the account whose callers press, and how long an operation may be held back after it was
// admitted.
const (
	pressedRate  = 40.0
	pressedBurst = 20.0
	heldFor      = 500 * time.Millisecond
)

func pressAccount(f *fleet) {
	f.config.Tenants[1].RatePerS = pressedRate
	f.config.Tenants[1].Burst = pressedBurst
}

// TestRateHoldsAfterAnOutage guards against an account that exceeds its limit when its databases return
// (review/9): each host had kept the operations that callers tried in vain meanwhile, as many as wait at a
// time, beside the buckets that had filled.
func TestRateHoldsAfterAnOutage(t *testing.T) {
	f := startFleet(t, 3, pressAccount)
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
	bound := pressedRate*(window+heldFor).Seconds() + pressedBurst
	t.Logf("most in a window: %d, bound %.0f", most, bound)
	assert.Assert(t, float64(most) <= bound)
	assert.Assert(t, float64(most) >= 0.6*pressedRate*window.Seconds(), "an account gets its rate")
}

// TestTransactionsHeldOpenKeepTheRate guards against callers that begin transactions one by one, within
// their account's rate, and send the first statements of all at once, which is when a database sees them.
func TestTransactionsHeldOpenKeepTheRate(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) {
		pressAccount(f)
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
	bound := pressedRate*(window+heldFor).Seconds() + pressedBurst
	t.Logf("most in a window: %d of %d, bound %.0f", most, len(open), bound)
	assert.Assert(t, float64(most) <= bound)
	assert.Assert(t, most >= pressedBurst/2, "an account gets its burst")
}

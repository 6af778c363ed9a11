package share

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// TestChangedRateNeverExceedsTheLarger applies new settings on the hosts up to 5 s
// apart, under load, and checks that the parts held never sum to more than the
// larger of the old and the new limit.
func TestChangedRateNeverExceedsTheLarger(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(100), testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		rates := []float64{100, 11, 13, 19, 12, 100}
		random := rand.New(rand.NewPCG(testSeed, 5))
		l := newWorkload(f, f.limits.Accounts[0], 3, testSeed)
		f.all.Go(func() { l.run(time.Duration(len(rates)-1) * 15 * time.Second) })
		for i := 1; i < len(rates); i++ {
			larger := max(rates[i-1], rates[i])
			limits := f.limits
			limits.Accounts = []coltsfootloft.Account{coltsfootloft.NewAccount("team/a1", rates[i], 2*rates[i])}
			for _, name := range f.names() {
				n := f.node(name)
				time.AfterFunc(time.Duration(random.IntN(5000))*time.Millisecond, func() { n.limiter.Configure(limits) })
			}
			var most, last loan.Part
			for range 1500 {
				time.Sleep(10 * time.Millisecond)
				last = f.held("team/a1")
				most = most.Max(last)
			}
			t.Logf("from %v to %v: at most %.2f/s and %.2f, at last %.2f/s", rates[i-1], rates[i], most.Rate(), most.Burst(), last.Rate())
			assert.Assert(t, most.Rate() <= larger*1.000001)
			assert.Assert(t, most.Burst() <= 2*larger*1.000001)
			assert.Assert(t, last.Rate() > 0.9*rates[i])
		}
		f.stop()
	})
}

// TestChangedSeatsAreNeverHeldTwice changes the number of seats of the domains; one
// host gets the new settings 30 s after the change.
func TestChangedSeatsAreNeverHeldTwice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(100), testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		f.checkParts(t)
		limits := f.limits
		limits.Domains = []Domain{{Name: "d1", Seats: 3}, {Name: "d2", Seats: 8}, {Name: "d3", Seats: 5}}
		for i, name := range f.names() {
			n := f.node(name)
			delay := time.Duration(i) * 300 * time.Millisecond
			if name == "d1h4" {
				delay = 30 * time.Second
			}
			time.AfterFunc(delay, func() { n.limiter.Configure(limits) })
		}
		time.Sleep(60 * time.Second)
		held := f.held("team/a1")
		close(f.done)
		assert.Assert(t, held.Rate() > 99, "only %.1f/s are in use after the change", held.Rate())
		f.stop()
	})
}

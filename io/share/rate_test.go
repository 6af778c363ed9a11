package share

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/loan"
)

const testSeed = 20261204

// unevenRates are the rates of the accounts in the tests of refusals.
var unevenRates = []float64{60, 30, 20, 10, 5}

// runWorkloads runs the workloads of all accounts concurrently while faults happen.
func runWorkloads(f *fleet, factor float64, d time.Duration, faults func()) []*workload {
	var loads []*workload
	var wakes []func(*node)
	var all sync.WaitGroup
	for i, a := range f.limits.Accounts {
		l := newWorkload(f, a, factor, uint64(testSeed+i))
		loads = append(loads, l)
		wakes = append(wakes, l.flood)
		all.Go(func() { l.run(d) })
	}
	if faults != nil {
		f.onWake = func(n *node) {
			for _, w := range wakes {
				w(n)
			}
		}
		faults()
	}
	all.Wait()
	return loads
}

// scenario runs a fleet through faults and returns the share of statements that were
// refused though within the rate, and the number admitted over the bound.
func scenario(t *testing.T, naive admitter, rates []float64, factor float64, d time.Duration, faults func(*fleet)) (wrongful, excess float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(rates...), testSeed)
		f.naive = naive
		f.start()
		time.Sleep(20 * time.Second)
		if naive == nil {
			f.checkParts(t)
		}
		loads := runWorkloads(f, factor, d, func() { faults(f) })
		wrongful, excess = report(t, loads)
		close(f.done)
		f.stop()
	})
	return wrongful, excess
}

// checkParts checks until done is closed that the parts of each account that hosts
// hold never sum to more than the whole.
func (f *fleet) checkParts(t *testing.T) {
	f.all.Go(func() {
		for {
			select {
			case <-f.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, a := range f.limits.Accounts {
				sum := f.held(a.Name())
				if sum.Rate() > a.Rate()*1.000001 || sum.Burst() > a.Burst()*1.000001 {
					t.Errorf("%v: %s: hosts hold %.2f/s and %.2f of %.2f/s and %.2f",
						time.Now(), a.Name(), sum.Rate(), sum.Burst(), a.Rate(), a.Burst())
					return
				}
			}
		}
	})
}

// held returns the sum of the parts of running hosts that are not paused.
func (f *fleet) held(account string) loan.Part {
	var sum loan.Part
	for _, name := range f.names() {
		if n := f.node(name); n != nil && !n.isPaused() {
			sum = sum.Plus(n.limiter.Held(account))
		}
	}
	return sum
}

func TestWithinRateIsAdmitted(t *testing.T) {
	t.Parallel()
	quiet := func(*fleet) {}
	wrongful, excess := scenario(t, nil, unevenRates, 0.9, 60*time.Second, quiet)
	assert.Assert(t, wrongful < 0.005)
	assert.Equal(t, excess, 0.0)
	naive, _ := scenario(t, &staticParts{hosts: 15}, unevenRates, 0.9, 60*time.Second, quiet)
	assert.Assert(t, naive > 20*wrongful, "static equal parts are no worse")
}

// TestRefusalsWhileHostsAreReplaced stops a host every 20 s and starts a replacement
// 2 s later; every second host leaves gracefully, the others are killed.
func TestRefusalsWhileHostsAreReplaced(t *testing.T) {
	t.Parallel()
	replace := func(f *fleet) {
		for i, name := range []string{"d1h1", "d2h3", "d3h2", "d1h4", "d2h5"} {
			if i%2 == 0 {
				f.kill(name)
			} else {
				f.leave(name)
			}
			time.Sleep(2 * time.Second)
			f.add(name+"x", name[:2])
			time.Sleep(18 * time.Second)
		}
	}
	wrongful, excess := scenario(t, nil, unevenRates, 0.9, 120*time.Second, replace)
	assert.Assert(t, wrongful < 0.005)
	assert.Equal(t, excess, 0.0)
}

// TestRefusalsThroughOutage makes the store unreachable for a minute.
func TestRefusalsThroughOutage(t *testing.T) {
	t.Parallel()
	outage := func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.store.setDown(true)
		time.Sleep(60 * time.Second)
		f.store.setDown(false)
	}
	wrongful, excess := scenario(t, nil, unevenRates, 0.9, 100*time.Second, outage)
	assert.Assert(t, wrongful < 0.02)
	assert.Equal(t, excess, 0.0)
}

// TestBoundHoldsUnderFaults sends three times the rate, concentrated on few hosts,
// while hosts, links and the store fail.
func TestBoundHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	rates := []float64{40, 10, 5}
	faults := func(f *fleet) {
		f.setLoss(0.02)
		f.store.setUncertain(0.1)
		injectFaults(f)
	}
	_, excess := scenario(t, nil, rates, 3, 110*time.Second, faults)
	assert.Equal(t, excess, 0.0)
	_, naive := scenario(t, &gossipedCounts{}, rates, 3, 110*time.Second, faults)
	assert.Assert(t, naive > 0, "gossiped counts keep the bound")
}

// injectFaults kills, pauses, cuts off and replaces hosts, and makes the store
// unreachable. A paused host gets a burst of every account as soon as it resumes.
func injectFaults(f *fleet) {
	time.Sleep(5 * time.Second)
	f.node("d1h2").pause()
	f.kill("d2h1")
	time.Sleep(8 * time.Second)
	f.add("d2h1x", "d2")
	time.Sleep(12 * time.Second)
	f.wake("d1h2")
	f.store.setDown(true)
	f.node("d3h1").pause()
	time.Sleep(5 * time.Second)
	f.kill("d1h3")
	f.add("d1h3x", "d1")
	time.Sleep(20 * time.Second)
	f.wake("d3h1")
	time.Sleep(10 * time.Second)
	f.store.setDown(false)
	f.cutDomain("d3", true)
	f.node("d3h2").pause()
	f.node("d2h2").pause()
	time.Sleep(30 * time.Second)
	f.wake("d2h2")
	f.cutDomain("d3", false)
	f.leave("d2h4")
	f.add("d2h4x", "d2")
	f.wake("d3h2")
	time.Sleep(10 * time.Second)
}

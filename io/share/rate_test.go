package share

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const testSeed = 20261204

// drive runs loads for all accounts side by side while the faults happen.
func drive(f *fleet, factor float64, d time.Duration, faults func()) []*offer {
	var loads []*offer
	var all sync.WaitGroup
	for i, a := range f.plan.Accounts {
		l := newOffer(f, a, factor, uint64(testSeed+i))
		loads = append(loads, l)
		all.Go(func() { l.run(d) })
	}
	if faults != nil {
		faults()
	}
	all.Wait()
	return loads
}

func TestWithinRateIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, caroni(), testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		loads := drive(f, 0.9, 60*time.Second, nil)
		wrongful, excess := report(t, loads)
		t.Logf("messages per second and host: %.1f, bytes %.0f", float64(f.messages)/80/15, float64(f.bytes)/80/15)
		f.stop()
		assert.Assert(t, wrongful < 0.005)
		assert.Equal(t, excess, 0.0)
	})
}

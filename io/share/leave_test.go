package share

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingHostHandsItsSeatBack compares how long a seat is out of use after its
// host has left and after it has died.
func TestLeavingHostHandsItsSeatBack(t *testing.T) {
	t.Parallel()
	out := func(end func(f *fleet, name string)) time.Duration {
		var gone time.Duration
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, testPlan(100), testSeed)
			f.start()
			time.Sleep(20 * time.Second)
			start := time.Now()
			end(f, "d1h1")
			for f.held("team/a1").Rate() < 99.9 && time.Since(start) < 30*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			gone = time.Since(start)
			f.stop()
		})
		return gone
	}
	left := out(func(f *fleet, name string) { f.leave(name) })
	died := out(func(f *fleet, name string) { f.kill(name) })
	t.Logf("seat out of use: host left %v, host died %v", left, died)
	assert.Assert(t, left < time.Second)
	assert.Assert(t, died < 15*time.Second)
}

// TestSeatIsHeldUntilConnectionsAreClosed stops a host with an open connection,
// which is closed a second later, and checks that the seat is held until then.
func TestSeatIsHeldUntilConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(100), testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		d := homeOf(f, "g1db1")
		release, err := d.limiter.AcquireConnection(context.Background(), "g1db1")
		assert.NilError(t, err)
		time.AfterFunc(time.Second, release)
		start := time.Now()
		f.leave(d.record.Name())
		took := time.Since(start)
		t.Logf("left after %v", took)
		assert.Assert(t, took >= time.Second && took < 2*time.Second)
		f.stop()
	})
}

// homeOf returns a host that owns rights of a database.
func homeOf(f *fleet, name string) *node {
	for _, h := range f.names() {
		n := f.node(h)
		d := load(&n.limiter.databases)[name]
		d.mutex.Lock()
		own := d.rights.Owned(time.Now())
		d.mutex.Unlock()
		if own > 0 {
			return n
		}
	}
	return nil
}

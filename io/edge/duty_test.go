package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/stand/keyval"
)

// holderOf returns the host that the store names as the holder of the duty to change primaries.
func (f *fleet) holderOf() *testHost {
	i, ok := f.store.Get("coltsfootloft/" + mirror.DutyKey("steward"))
	for _, h := range f.hosts {
		if ok && string(i.Value) == h.settings.Name {
			return h
		}
	}
	return nil
}

// awaitDutyHeld waits until a host holds the duty in an era of the store.
func (f *fleet) awaitDutyHeld(era uint64, limit time.Duration) {
	f.t.Helper()
	f.await("a host that holds the duty", limit, func() bool {
		h := f.holderOf()
		if h == nil {
			return false
		}
		fence, ok := h.edge.failover.Duty.Holds()
		return ok && coltsfootloft.EraOf(fence) == era
	})
}

// TestDutyWrittenLateIsHeld guards against a duty that nobody performs: the answers to all attempts to
// acquire it were lost, one took effect later, and the host that its key names does not know.
func TestDutyWrittenLateIsHeld(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.awaitDutyHeld(1, time.Second)
	holder := f.holderOf()
	f.store.SetFaults(keyval.Faults{
		LoseAnswers: true,
		ApplyDelay:  500 * time.Millisecond,
	})
	holder.stop()
	assert.NilError(t, <-holder.ended)
	holder.ended <- nil
	f.await("another holder in the store", 4*time.Second, func() bool {
		h := f.holderOf()
		return h != nil && h != holder
	})
	f.store.SetFaults(keyval.Faults{})
	f.awaitDutyHeld(1, 2*lease.TTL)
}

// TestDutyOfBackupIsTakenOver guards against a duty that nobody performs until a lease of the past
// ends: its key came back with a backup of the store and names a host that has a new lease.
func TestDutyOfBackupIsTakenOver(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.awaitDutyHeld(1, time.Second)
	f.restore(f.store.Backup(), f.announceAll)
	restored := time.Now()
	f.awaitDutyHeld(2, lease.TTL-time.Since(restored))
}

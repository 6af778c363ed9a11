// Package horiz tracks how old the operators' settings on a host may be.
//
// When the store answers a request with "still current", the host knows that at
// the time it sent the request it had all settings that the store had
// acknowledged. That time is the horizon. A request authenticated by a key may
// run only if, at the moment it is admitted, the age of the horizon is below the
// time within which a withdrawn key must stop working. The age is taken from a
// clock that also counts suspensions of the host.
package horiz

import (
	"sync/atomic"
	"time"
)

// Horizon is the newest moment up to which all acknowledged settings are known.
// In the zero value there is no such moment. It is safe for concurrent use.
type Horizon struct {
	asOf  atomic.Int64
	known atomic.Bool
}

// Advance records that everything acknowledged before sent is known. It has no
// effect if sent is before the horizon.
func (h *Horizon) Advance(sent time.Duration) {
	for {
		old := h.asOf.Load()
		if h.known.Load() && old >= int64(sent) {
			return
		}
		if h.asOf.CompareAndSwap(old, int64(sent)) {
			h.known.Store(true)
			return
		}
	}
}

// Age returns the time since the horizon; ok is false if there is no horizon yet.
func (h *Horizon) Age(now time.Duration) (age time.Duration, ok bool) {
	if !h.known.Load() {
		return 0, false
	}
	return now - time.Duration(h.asOf.Load()), true
}

// Covers reports whether the horizon is younger than limit.
func (h *Horizon) Covers(now, limit time.Duration) bool {
	age, ok := h.Age(now)
	return ok && age < limit
}

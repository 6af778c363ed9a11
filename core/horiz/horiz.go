// Package horiz keeps how old a host's knowledge of the operators' settings may be.
//
// A question to the store that was answered "still current" proves that the host
// knew, when it sent the question, all that the store had acknowledged. That
// moment is the horizon. A request of a key may run only while the horizon is
// younger than the time within which a withdrawn key must stop working, read by a
// clock that counts suspensions, at the very moment the request is taken.
package horiz

import (
	"sync/atomic"
	"time"
)

// Horizon is the newest moment up to which all is known. The zero value knows
// nothing. It is safe for concurrent use.
type Horizon struct {
	asOf  atomic.Int64
	known atomic.Bool
}

// Advance records that everything acknowledged before sent is known. A moment
// before the horizon changes nothing.
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

// Age returns how old the knowledge is; ok is false if there is none yet.
func (h *Horizon) Age(now time.Duration) (age time.Duration, ok bool) {
	if !h.known.Load() {
		return 0, false
	}
	return now - time.Duration(h.asOf.Load()), true
}

// Covers reports whether the knowledge is younger than limit.
func (h *Horizon) Covers(now, limit time.Duration) bool {
	age, ok := h.Age(now)
	return ok && age < limit
}

// Package boot reads the clock that leases, horizons and grants go by.
//
// The kernel's boot-time clock counts the time that a host was suspended, which the
// monotonic clock of the runtime does not, and never jumps, as the time of day does.
// It is read at each use, also after a wait.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the boot-time clock. It implements coltsfootloft.Clock.
type Clock struct{}

// Elapsed is the time since the host was started.
func (Clock) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}

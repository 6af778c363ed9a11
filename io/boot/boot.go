// Package boot reads the kernel's boot-time clock, which leases, horizons and grants are
// measured with.
//
// This clock includes the time that the host was suspended, unlike the monotonic clock of
// the Go runtime, and it never jumps, unlike the wall clock. It is read again at each use,
// also after a wait.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the boot-time clock. It implements [coltsfootloft.Clock].
type Clock struct{}

// Elapsed returns the time since the host was booted.
func (Clock) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}

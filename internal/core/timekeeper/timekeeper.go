// Package timekeeper reads a clock that goes on while the VM is suspended.
//
// The steady clock of the runtime does not count a suspension, so that a belief
// dated by it would seem young after a long one.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM started, suspensions included.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it every belief is old.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}

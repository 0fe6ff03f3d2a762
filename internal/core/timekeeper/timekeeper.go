// Package timekeeper reads a clock that goes on while the VM is suspended, and waits.
//
// The steady clock of the runtime does not count a suspension, so that a belief
// dated by it would seem young after a long one.
package timekeeper

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started, including suspensions.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it every belief is old.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}

// Sleep waits and reports whether ctx lasted that long.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

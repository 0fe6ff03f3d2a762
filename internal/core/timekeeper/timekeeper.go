// Package timekeeper reads a clock that continues while the VM is suspended, and
// provides a cancellable sleep.
//
// The runtime's monotonic clock stops during a suspension, so information that is
// timestamped by it would look recent after a long one.
package timekeeper

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, including suspensions.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, the greatest value makes
		// all information count as outdated.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}

// Sleep returns true after d, or false as soon as ctx is done.
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

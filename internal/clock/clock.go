// Package clock gives the time since a process started.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time since the node's start. It never goes back, and it
// counts the time for which the VM was suspended, which Go's monotonic clock
// doesn't: a node that was replaced meanwhile must not take itself for fresh
// (clock_gettime(2), CLOCK_BOOTTIME).
type Clock func() time.Duration

// New returns a Clock that starts now.
func New() Clock {
	start, err := sinceBoot()
	if err != nil {
		began := time.Now()
		return func() time.Duration { return time.Since(began) }
	}
	return func() time.Duration {
		// It has answered before, and has no way to fail later.
		now, _ := sinceBoot()
		return now - start
	}
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

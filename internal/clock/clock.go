// Package clock provides the time since the process started.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the node started. It never goes back. Unlike Go's
// monotonic clock it includes the time during which the VM was suspended
// (clock_gettime(2), CLOCK_BOOTTIME), so that a node which was replaced during a
// suspension does not treat its state as current.
type Clock func() time.Duration

// New returns a Clock that starts now.
func New() Clock {
	start, err := sinceBoot()
	if err != nil {
		began := time.Now()
		return func() time.Duration { return time.Since(began) }
	}
	return func() time.Duration {
		// The first call succeeded; later calls can't fail.
		now, _ := sinceBoot()
		return now - start
	}
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

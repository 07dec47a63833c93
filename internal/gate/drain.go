package gate

import "time"

// averageWeight is the inverse weight of a new sample in a moving average.
const averageWeight = 8

// drainRate measures how fast a queue drains: the interval between two requests that
// complete while others wait.
type drainRate struct {
	// serviceTime is a moving average of the time a slot is held; 0 means not measured.
	serviceTime time.Duration
	// interval is a moving average of the time between two completions; 0 means not
	// measured.
	interval time.Duration
	// last is when the last request completed while the slots were full, or zero.
	last time.Time
}

// completed records a request that completes. busy is true if all slots were in use or
// requests waited.
func (d *drainRate) completed(now time.Time, took time.Duration, busy bool) {
	if d.serviceTime == 0 {
		d.serviceTime = took
	}
	d.serviceTime += (took - d.serviceTime) / averageWeight
	if !busy {
		d.last = time.Time{}
		return
	}
	if !d.last.IsZero() {
		sample := now.Sub(d.last)
		if d.interval == 0 {
			d.interval = sample
		}
		d.interval += (sample - d.interval) / averageWeight
	}
	d.last = now
}

// idle discards the time of the last completion, as the interval across an idle period
// doesn't measure the rate.
func (d *drainRate) idle() { d.last = time.Time{} }

// wait estimates how long the n-th request in the queue waits. If the time since the last
// completion is longer than the estimate, the server has become slower since it was
// measured, and the wait is estimated to be at least that time again.
func (d *drainRate) wait(now time.Time, n, limit int) time.Duration {
	if limit == 0 {
		return time.Second
	}
	interval := d.interval
	if interval == 0 {
		interval = d.serviceTime / time.Duration(limit)
	}
	wait := interval * time.Duration(n)
	if !d.last.IsZero() {
		wait = max(wait, now.Sub(d.last))
	}
	return wait
}

package gate

import "time"

// averageWeight is the inverse weight of a new sample in a moving average.
const averageWeight = 8

// drain measures how fast a queue drains: the time between two requests that
// leave while others wait.
type drain struct {
	// service is a moving average of the time a slot is held; 0 is not measured.
	service time.Duration
	// pause is a moving average of the time between two that leave; 0 is not measured.
	pause time.Duration
	// last is when the last one left while the slots were full, zero if none did.
	last time.Time
}

// left takes one that leaves; busy says that the slots were full or somebody waited.
func (d *drain) left(now time.Time, took time.Duration, busy bool) {
	if d.service == 0 {
		d.service = took
	}
	d.service += (took - d.service) / averageWeight
	if !busy {
		d.last = time.Time{}
		return
	}
	if !d.last.IsZero() {
		sample := now.Sub(d.last)
		if d.pause == 0 {
			d.pause = sample
		}
		d.pause += (sample - d.pause) / averageWeight
	}
	d.last = now
}

// idle forgets when the last one left: the time until the next says nothing.
func (d *drain) idle() { d.last = time.Time{} }

// wait estimates how long the n-th in the queue waits. When nobody has left for
// longer than that, the server has slowed since it was measured, and the wait is
// at least as long as that again.
func (d *drain) wait(now time.Time, n, limit int) time.Duration {
	if limit == 0 {
		return time.Second
	}
	pause := d.pause
	if pause == 0 {
		pause = d.service / time.Duration(limit)
	}
	wait := pause * time.Duration(n)
	if !d.last.IsZero() {
		wait = max(wait, now.Sub(d.last))
	}
	return wait
}

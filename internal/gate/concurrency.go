package gate

import "time"

const (
	// A measurement window ends after both windowSamples requests and windowDuration.
	windowSamples  = 10
	windowDuration = 50 * time.Millisecond
	// tolerance is the ratio to the baseline service time from which the limit falls.
	tolerance = 2.0
	// headroom is added in each window, so that the limit rises again and tests
	// whether more requests can run.
	headroom = 1.0
	// baselineWeight is the inverse weight of a slower window in the baseline. A server
	// that stays slow for some 200 windows counts as slow in general, and its limit rises
	// again: running fewer requests would only reduce its throughput.
	baselineWeight = 100
	// minLimitDivisor bounds the limit from below at 1/minLimitDivisor of the slots.
	minLimitDivisor = 2
)

// adaptiveLimit adapts the number of concurrent requests to the measured service time. A
// server that becomes slow without notice, because a neighbour uses its processor, would
// become slower still with as many concurrent requests as before; with fewer, each is
// faster and the others are sent elsewhere. The limit follows the ratio of the baseline to
// the present service time, as TCP Vegas does with round trips (Brakmo and Peterson, IEEE
// JSAC 1995) and Netflix's concurrency-limits with requests (the gradient algorithm, 2018).
type adaptiveLimit struct {
	slots int
	limit float64
	// baseline is a slow-moving average of the service time; a faster window replaces it.
	baseline time.Duration
	// The state of the present window; limitReached is true if the limit was reached in it.
	windowStart  time.Time
	sum          time.Duration
	samples      int
	limitReached bool
}

func (c *adaptiveLimit) reset(slots int) {
	*c = adaptiveLimit{slots: slots, limit: float64(slots)}
}

// current returns the limit in force, which is at least 1 if there are slots.
func (c *adaptiveLimit) current() int { return int(c.limit) }

// record records the service time of a request. running is the number of requests that
// ran, including it.
func (c *adaptiveLimit) record(now time.Time, took time.Duration, running int) {
	if c.samples == 0 {
		c.windowStart = now
	}
	c.samples++
	c.sum += took
	// A window in which the limit wasn't reached is no reason to reduce the limit.
	c.limitReached = c.limitReached || running >= c.current()
	if c.samples < windowSamples || now.Sub(c.windowStart) < windowDuration {
		return
	}
	c.adapt(c.sum / time.Duration(c.samples))
	c.samples, c.sum, c.limitReached = 0, 0, false
}

func (c *adaptiveLimit) adapt(present time.Duration) {
	if c.baseline == 0 || present < c.baseline {
		c.baseline = present
	} else {
		c.baseline += (present - c.baseline) / baselineWeight
	}
	gradient := tolerance * float64(c.baseline) / float64(max(present, 1))
	if gradient >= 1 {
		c.limit += headroom
	} else if c.limitReached {
		c.limit = c.limit*max(gradient, 0.5) + headroom
	}
	slots := float64(c.slots)
	c.limit = min(max(c.limit, slots/minLimitDivisor, 1), slots)
}

package gate

import "time"

const (
	// windowSamples and windowTime end a window of measurement.
	windowSamples = 10
	windowTime    = 50 * time.Millisecond
	// tolerance is how many times the usual time may be taken before the limit falls.
	tolerance = 2.0
	// headroom is added in each window, so that the limit rises again and probes
	// whether more can be run.
	headroom = 1.0
	// usualWeight is the inverse weight of a slower window in the usual time. A
	// server that stays slow for some 200 windows is slow as a rule, and gets its slots
	// back: fewer would only lower what it can do.
	usualWeight = 100
	// floorShare is the least part of the slots, 1/floorShare, that the limit falls to.
	floorShare = 2
)

// concurrency adapts how many requests run at once to how the backend server
// takes them. A server that slows down without warning, because a neighbour
// takes its processor, is slowed down further by running as many requests as
// before; with fewer, each is faster and the rest go elsewhere. The limit follows the
// ratio of the usual to the present time of a request, as TCP Vegas does with
// round trips (Brakmo and Peterson, IEEE JSAC 1995) and Netflix's
// concurrency-limits with requests (the gradient algorithm, 2018).
type concurrency struct {
	slots int
	limit float64
	// usual is the slow average of the time a slot is held.
	usual time.Duration
	// of the present window:
	began time.Time
	sum   time.Duration
	n     int
	full  bool
}

func (c *concurrency) reset(slots int) {
	*c = concurrency{slots: slots, limit: float64(slots)}
}

// now gives the limit in force, at least one where there are slots.
func (c *concurrency) now() int { return int(c.limit) }

// sample takes the time of one request that ran beside others, itself counted.
func (c *concurrency) sample(now time.Time, took time.Duration, running int) {
	if c.n == 0 {
		c.began = now
	}
	c.n++
	c.sum += took
	// The limit says nothing when it isn't reached.
	c.full = c.full || running >= c.now()
	if c.n < windowSamples || now.Sub(c.began) < windowTime {
		return
	}
	c.adapt(c.sum / time.Duration(c.n))
	c.n, c.sum, c.full = 0, 0, false
}

func (c *concurrency) adapt(present time.Duration) {
	if c.usual == 0 || present < c.usual {
		c.usual = present
	} else {
		c.usual += (present - c.usual) / usualWeight
	}
	gradient := tolerance * float64(c.usual) / float64(max(present, 1))
	if gradient >= 1 {
		c.limit += headroom
	} else if c.full {
		c.limit = c.limit*max(gradient, 0.5) + headroom
	}
	slots := float64(c.slots)
	c.limit = min(max(c.limit, slots/floorShare, 1), slots)
}

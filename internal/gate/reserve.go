package gate

import (
	"math"
	"math/bits"
	"time"
)

const (
	// arrivalWindow is the window over which the arrivals of a rank are counted. Nothing is kept free
	// for a rank of which none arrived in two windows.
	arrivalWindow = time.Second
	// maxReservedShare is the share of the slots that may be kept free for higher ranks.
	maxReservedShare = 0.5
	// protectedRatio is the ratio of the time that a request holds a slot, to the time that a higher rank
	// may wait and to the time for which it holds one itself, from which the higher rank is protected.
	protectedRatio = 2
	// minDemand is the number of slots from which a rank's demand is rounded up in any case. A slot kept
	// for less stays unused most of the time, which costs more requests than it serves unless slots
	// become free too rarely for the rank: with six slots at 0.9 of their load, 0.03 of all worth.
	minDemand = 0.5
	// reservedCheckInterval is how often requests that wait beside reserved slots are considered again,
	// as the reservation ends with time if no more requests of the rank arrive.
	reservedCheckInterval = 50 * time.Millisecond
)

// demand is what is known of the arrivals of one rank that can be in time.
type demand struct {
	// windowStart is the start of the present window; current and previous count the arrivals in it and
	// in the one before.
	windowStart       time.Time
	current, previous float64
	// timeInSlot and slack are moving averages of the time that requests hold a slot and may wait for it.
	timeInSlot, slack time.Duration
}

// arrived records an arrival.
func (d *demand) arrived(now time.Time, timeInSlot, slack time.Duration) {
	if d.advance(now); d.timeInSlot == 0 {
		d.timeInSlot, d.slack = timeInSlot, slack
	}
	d.current++
	d.timeInSlot += (timeInSlot - d.timeInSlot) / averageWeight
	d.slack += (slack - d.slack) / averageWeight
}

// advance begins a new window if the present one has ended.
func (d *demand) advance(now time.Time) {
	switch age := now.Sub(d.windowStart); {
	case age >= 2*arrivalWindow:
		d.windowStart, d.previous, d.current = now, 0, 0
	case age >= arrivalWindow:
		d.windowStart, d.previous, d.current = d.windowStart.Add(arrivalWindow), d.current, 0
	}
}

// slots returns the number of slots that the rank is expected to use.
func (d *demand) slots(now time.Time) float64 {
	age := now.Sub(d.windowStart)
	if age >= 2*arrivalWindow {
		return 0
	}
	previous, current := d.previous, d.current
	if age >= arrivalWindow {
		age, previous, current = age-arrivalWindow, current, 0
	}
	perSecond := (previous*float64(arrivalWindow-age)/float64(arrivalWindow) + current) / arrivalWindow.Seconds()
	return perSecond * d.timeInSlot.Seconds()
}

// reservation is the number of free slots that are kept for one rank.
type reservation struct {
	level uint8
	slots int
	// maxTime is the longest time that a request of a lower rank may hold such a slot.
	maxTime time.Duration
}

// reservations are those of all ranks.
type reservations struct {
	list  [levels]reservation
	count int
	// free is the number of free slots, and most how many may be kept.
	free, most int
}

// withholds reports whether the free slots are all reserved for higher ranks than that of a request, and
// protected from it by the time that it would hold one. A lower level is a higher rank.
func (r *reservations) withholds(level uint8, timeInSlot time.Duration) bool {
	kept := 0
	for _, x := range r.list[:r.count] {
		if x.level < level && timeInSlot > x.maxTime {
			kept += x.slots
		}
	}
	return kept > 0 && r.free <= min(kept, r.most)
}

// slotsOf returns the number of free slots that are kept for a level.
func (r *reservations) slotsOf(level uint8) int {
	for _, x := range r.list[:r.count] {
		if x.level == level {
			return x.slots
		}
	}
	return 0
}

// demands are those of all levels. known has a bit for each level with arrivals.
type demands struct {
	known  uint32
	levels [levels]demand
}

// arrived records the arrival of a request. One that can't be in time needs no free slot.
func (d *demands) arrived(level uint8, now time.Time, limits WaitLimits) {
	slack := limits.StartByObjective.Sub(now)
	if limits.StartByObjective.IsZero() || limits.TimeInSlot <= 0 || slack <= 0 {
		return
	}
	d.known |= 1 << level
	d.levels[level].arrived(now, limits.TimeInSlot, slack)
}

// reservations returns the slots to keep free, given how many requests may run and how many of each level
// do.
func (d *demands) reservations(now time.Time, limit int, running *[levels]int, total int) (r reservations) {
	r.free, r.most = limit-total, int(maxReservedShare*float64(limit))
	for m := d.known; m != 0; m &= m - 1 {
		l := bits.TrailingZeros32(m)
		needed, slack := d.levels[l].slots(now), d.levels[l].slack
		n := min(int(math.Ceil(needed)), r.most) - running[l]
		if n <= 0 {
			continue
		}
		// A rank that holds slots for as long as others isn't short urgent work: it has little slack because
		// its own work takes most of its objective.
		maxTime := protectedRatio * max(slack, d.levels[l].timeInSlot)
		if needed < minDemand {
			// Of requests that hold all slots for this time, one ends within the time that the rank may wait.
			maxTime = max(maxTime, slack*time.Duration(limit))
		}
		r.list[r.count] = reservation{uint8(l), n, maxTime}
		r.count++
	}
	return r
}

// reservations returns the slots that are kept free at present. The mutex is held.
func (g *Gate) reservations(now time.Time) reservations {
	s := &g.scheduler
	return s.demands.reservations(now, g.limit(now), &s.running, g.running)
}

package pick

import (
	"sync/atomic"
	"time"
)

const (
	// spillEvery is the interval between two steps of the share of requests that leave
	// the region.
	spillEvery = 50 * time.Millisecond
	// spillUnit is the fixed-point value of all requests, spillStep the size of a step.
	spillUnit = 1000
	spillStep = 50
	// spillMargin is the ratio of the own region's delay to the other region's above
	// which the share grows. Between 1 and this ratio the share stays as it is.
	spillMargin = 1.25
)

// spill controls the share of requests that leave the own region. Every entry sees
// the same overload at about the same time. If each moved all of its requests at
// once, the other region would be overloaded, all would move back, and so on. So the
// share changes by small steps, and not at all within a margin: the effect of a step
// is seen before many more are made.
type spill struct {
	share   atomic.Int32
	stepped atomic.Int64
}

// leaves reports whether a request leaves the region, where home and far are the
// shortest delays in nanoseconds, including the round trips.
func (s *spill) leaves(a *Selection, home, far float64) bool {
	s.step(a.Now, home, far)
	share := s.share.Load()
	if share == 0 {
		return false
	}
	if a.Remaining > 0 && far > float64(a.Remaining) {
		return false
	}
	return a.Rand.Int32N(spillUnit) < share
}

// due reports whether a step is due.
func (s *spill) due(now time.Duration) bool {
	return int64(now)-s.stepped.Load() >= int64(spillEvery)
}

func (s *spill) step(now time.Duration, home, far float64) {
	last := s.stepped.Load()
	if !s.due(now) || !s.stepped.CompareAndSwap(last, int64(now)) {
		return
	}
	share := s.share.Load()
	switch {
	case home > far*spillMargin:
		share = min(share+spillStep, spillUnit)
	case home < far:
		share = max(share-spillStep, 0)
	}
	s.share.Store(share)
}

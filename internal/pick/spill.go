package pick

import (
	"sync/atomic"
	"time"
)

const (
	// spillEvery is the pause between two steps of the share that leaves the region.
	spillEvery = 50 * time.Millisecond
	// spillUnit is the whole of requests; a step is spillStep of it.
	spillUnit = 1000
	spillStep = 50
	// spillMargin: home must cost more than this many times the other region
	// before more requests leave. Between once and this many times, the share stays.
	spillMargin = 1.25
)

// spill decides which share of requests leaves the own region. Every entry
// sees the same overload at about the same time; if each moved all of its
// requests at once, the other region would be swamped, all would move
// back, and so on. So the share moves by small steps, and not at all within a
// margin: the feedback of a step arrives before many more are made.
type spill struct {
	share   atomic.Int32
	stepped atomic.Int64
}

// leaves says whether a request leaves the region, where home and far are the
// shortest delays, in nanoseconds, with the round trips in them.
func (s *spill) leaves(a *Ask, home, far float64) bool {
	s.step(a.Now, home, far)
	share := s.share.Load()
	if share == 0 {
		return false
	}
	if a.Left > 0 && far > float64(a.Left) {
		return false
	}
	return a.Rand.Int32N(spillUnit) < share
}

// due says whether a step is due.
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

package pick

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectAfter is the share of failures, in 1/failScale, that ejects a target.
	ejectAfter = failScale / 2
	// failScale is the scale of the moving average of failures.
	failScale = 1024
	// failWeight is the inverse weight of one outcome in it: five failures in a
	// row take a healthy target over ejectAfter.
	failWeight = 8
	// firstEject and maxEject bound how long a target is left alone; each
	// ejection that follows another doubles it.
	firstEject = time.Second
	maxEject   = 30 * time.Second
	// rampFor is how long a target that comes back, or starts, takes to its
	// whole share, and rampFloor is the share that it starts with.
	rampFor   = 5 * time.Second
	rampFloor = 0.1
	// avoidRefused is how long a target that refused is passed over.
	avoidRefused = 20 * time.Millisecond
)

// phase is the state of a target that isn't simply healthy.
type phase uint8

const (
	// ejected: it answers, but too many of its answers are failures.
	ejected phase = iota
	// unreachable: no connection could be opened.
	unreachable
	// ramping: it is new or has come back, and gets a growing share.
	ramping
)

// unset marks a ramp that starts when it is first looked at.
const unset time.Duration = -1

// health is the state of a target with trouble; nil is healthy. Immutable.
type health struct {
	phase phase
	// until is the end of an ejection; after it, one request at a time goes
	// there until one succeeds.
	until time.Duration
	// since is the start of a ramp.
	since time.Duration
	// strikes counts ejections in a row.
	strikes int
}

// judge moves the target's state by what became of a request.
func (s *Stat) judge(now time.Duration, o Outcome, rnd *rand.Rand) {
	h := s.health.Load()
	switch o {
	case Neutral, Late, Outrun:
	case Good:
		s.count(now, 0)
		s.succeeded(h, now)
	case Refused:
		// A refusal comes back fast and leaves nothing in flight: without a pause
		// the busiest target would look the least busy.
		s.Avoid(now + avoidRefused)
	case Unreachable:
		s.eject(h, now, unreachable, rnd)
	case Failed:
		s.count(now, failScale)
		if s.failing.Load() > ejectAfter || h != nil && h.phase != ramping {
			s.eject(h, now, ejected, rnd)
		}
	}
}

// count adds an outcome to the average of failures.
func (s *Stat) count(now time.Duration, sample int32) {
	old := s.failing.Load()
	if sample == 0 {
		old = int32(s.failures(now) * failScale)
	}
	step := (sample - old) / failWeight
	if step == 0 {
		// Else the rest of the division would stay for good, and cost more than a
		// round trip to another region.
		step = sample - old
	}
	s.failing.Store(old + step)
	s.counted.Store(int64(now))
}

// failures is the share of recent answers that failed, 0 to 1. It falls as it
// grows old: a target that failed once gets no requests while others cost less
// than a failure, so no success could ever lower it. An ejection goes by the
// average without its age, so that a target which fails whenever it is tried
// is ejected for longer and longer.
func (s *Stat) failures(now time.Duration) float64 {
	failing := s.failing.Load()
	if failing == 0 {
		return 0
	}
	left := forgetAfter - max(now-time.Duration(s.counted.Load()), 0)
	return max(float64(failing)/failScale*float64(left)/float64(forgetAfter), 0)
}

// eject leaves the target alone for a time that doubles and is spread, so that
// entries don't come back at the same moment. Requests that were in flight
// when it was ejected change nothing.
func (s *Stat) eject(h *health, now time.Duration, p phase, rnd *rand.Rand) {
	strikes := 0
	if h != nil {
		if h.phase != ramping && now < h.until {
			return
		}
		strikes = h.strikes + 1
	}
	pause := min(firstEject<<min(strikes, 10), maxEject)
	pause += time.Duration(rnd.Int64N(int64(pause) / 4))
	s.health.CompareAndSwap(h, &health{phase: p, until: now + pause, strikes: strikes})
}

// succeeded takes a success: a target on probation ramps, a ramp that is over ends.
func (s *Stat) succeeded(h *health, now time.Duration) {
	switch {
	case h == nil:
	case h.phase == ramping:
		if h.since != unset && now-h.since >= rampFor {
			s.health.CompareAndSwap(h, nil)
		}
	case now >= h.until:
		s.failing.Store(0)
		s.health.CompareAndSwap(h, &health{phase: ramping, since: now, strikes: h.strikes})
	}
}

// PassedOver says whether the target is passed over at now, for a refusal,
// for failures, or because it can't be reached.
func (s *Stat) PassedOver(now time.Duration) bool {
	h := s.health.Load()
	return s.Avoided(now) || h != nil && h.phase != ramping && now < h.until
}

// standing is whether a target may be chosen now.
type standing uint8

const (
	usable standing = iota
	// avoided: it refused a moment ago.
	avoided
	// warming: its ramp leaves this request to others.
	warming
	// outlier: ejected for failures; usable when too many are.
	outlier
	// gone: unreachable; usable only if nothing else is.
	gone
	// leaving: by hearsay. Whether it still leaves only its own guard knows,
	// which refuses if so; this node may not have heard of its restart.
	leaving
)

func (s *Stat) standing(now time.Duration, rnd *rand.Rand) standing {
	if s.Avoided(now) {
		return avoided
	}
	h := s.health.Load()
	if h == nil {
		return usable
	}
	return s.troubled(h, now, rnd)
}

func (s *Stat) troubled(h *health, now time.Duration, rnd *rand.Rand) standing {
	switch {
	case h.phase == ramping && h.since == unset:
		s.health.CompareAndSwap(h, &health{phase: ramping, since: now, strikes: h.strikes})
		return warming
	case h.phase == ramping:
		if rnd.Float64() >= max(rampFloor, float64(now-h.since)/float64(rampFor)) {
			return warming
		}
		return usable
	case now >= h.until && s.InFlight.Load() == 0:
		return usable
	case h.phase == ejected:
		return outlier
	}
	return gone
}

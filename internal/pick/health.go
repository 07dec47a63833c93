package pick

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectAfter is the share of failures, in units of 1/failScale, above which a
	// target is ejected.
	ejectAfter = failScale / 2
	// failScale is the fixed-point scale of the moving average of failures.
	failScale = 1024
	// failWeight is the inverse weight of one outcome in it: five failures in a row
	// raise the average of a healthy target above ejectAfter.
	failWeight = 8
	// firstEject and maxEject bound the duration of an ejection; each consecutive
	// ejection doubles it.
	firstEject = time.Second
	maxEject   = 30 * time.Second
	// rampFor is the time in which a target that recovers or starts reaches its full
	// share of requests, and rampFloor is the fraction of it that it starts with.
	rampFor   = 5 * time.Second
	rampFloor = 0.1
	// avoidRefused is how long a target is avoided after it refused a request.
	avoidRefused = 20 * time.Millisecond
)

// phase is the state of a target that isn't healthy.
type phase uint8

const (
	// ejected means that too many of the target's answers are failures.
	ejected phase = iota
	// unreachable means that no connection could be opened.
	unreachable
	// ramping means that the target is new or has recovered, and gets a growing share.
	ramping
)

// unset is the start of a ramp that begins when the target is next considered.
const unset time.Duration = -1

// health is the state of a target that isn't healthy; nil is healthy. It is immutable.
type health struct {
	phase phase
	// until is the end of an ejection. After it, the target gets one request at a
	// time until one succeeds.
	until time.Duration
	// since is the start of a ramp.
	since time.Duration
	// ejections counts consecutive ejections.
	ejections int
}

// recordOutcome updates the target's state by the outcome of a request.
func (s *Stat) recordOutcome(now time.Duration, o Outcome, rnd *rand.Rand) {
	h := s.health.Load()
	switch o {
	case Neutral, Late, Superseded:
	case Good:
		s.countFailure(now, 0)
		s.recordSuccess(h, now)
	case Refused:
		// A refusal is answered fast and leaves nothing in flight. Without a pause
		// the most loaded target would look the least loaded.
		s.Avoid(now + avoidRefused)
	case Unreachable:
		s.eject(h, now, unreachable, rnd)
	case Failed:
		s.countFailure(now, failScale)
		if s.failing.Load() > ejectAfter || h != nil && h.phase != ramping {
			s.eject(h, now, ejected, rnd)
		}
	}
}

// countFailure adds an outcome to the moving average of failures; sample is 0 for
// a success and failScale for a failure.
func (s *Stat) countFailure(now time.Duration, sample int32) {
	old := s.failing.Load()
	if sample == 0 {
		old = int32(s.failures(now) * failScale)
	}
	step := (sample - old) / failWeight
	if step == 0 {
		// Otherwise the remainder of the division would never decay, and would cost
		// more than a round trip to another region.
		step = sample - old
	}
	s.failing.Store(old + step)
	s.counted.Store(int64(now))
}

// failures returns the share of recent answers that failed, 0 to 1. It decays with
// age: a target that failed once gets no requests while others cost less than a
// failure, so no success could ever lower it. Ejections use the average without the
// decay, so that a target that fails whenever it is tried is ejected for longer
// each time.
func (s *Stat) failures(now time.Duration) float64 {
	failing := s.failing.Load()
	if failing == 0 {
		return 0
	}
	remaining := forgetAfter - max(now-time.Duration(s.counted.Load()), 0)
	return max(float64(failing)/failScale*float64(remaining)/float64(forgetAfter), 0)
}

// eject excludes the target for a time that doubles with each consecutive ejection.
// The time has jitter, so that entries don't return at the same moment. Outcomes of
// requests that were in flight at an ejection don't extend it.
func (s *Stat) eject(h *health, now time.Duration, p phase, rnd *rand.Rand) {
	ejections := 0
	if h != nil {
		if h.phase != ramping && now < h.until {
			return
		}
		ejections = h.ejections + 1
	}
	pause := min(firstEject<<min(ejections, 10), maxEject)
	pause += time.Duration(rnd.Int64N(int64(pause) / 4))
	s.health.CompareAndSwap(h, &health{phase: p, until: now + pause, ejections: ejections})
}

// recordSuccess records a success. It starts the ramp of a target whose ejection
// has expired, and ends a completed ramp.
func (s *Stat) recordSuccess(h *health, now time.Duration) {
	switch {
	case h == nil:
	case h.phase == ramping:
		if h.since != unset && now-h.since >= rampFor {
			s.health.CompareAndSwap(h, nil)
		}
	case now >= h.until:
		s.failing.Store(0)
		s.health.CompareAndSwap(h, &health{phase: ramping, since: now, ejections: h.ejections})
	}
}

// Excluded reports whether the target is excluded at now, because of a refusal,
// failures, or because it is unreachable.
func (s *Stat) Excluded(now time.Duration) bool {
	h := s.health.Load()
	return s.Avoided(now) || h != nil && h.phase != ramping && now < h.until
}

// eligibility is whether a target may be chosen now, from best to worst.
type eligibility uint8

const (
	usable eligibility = iota
	// avoided: it recently refused a request.
	avoided
	// warming: it is ramping, and this request is outside its current share.
	warming
	// outlier: ejected for failures; used if too many targets are ejected.
	outlier
	// disconnected: unreachable; used only if there is no better target.
	disconnected
	// leaving: reported as leaving. The report may be stale, since this node may
	// not have received the target's restart. The target's own guard knows for sure,
	// and refuses if it is leaving.
	leaving
)

func (s *Stat) eligibility(now time.Duration, rnd *rand.Rand) eligibility {
	if s.Avoided(now) {
		return avoided
	}
	h := s.health.Load()
	if h == nil {
		return usable
	}
	return s.unhealthyEligibility(h, now, rnd)
}

func (s *Stat) unhealthyEligibility(h *health, now time.Duration, rnd *rand.Rand) eligibility {
	switch {
	case h.phase == ramping && h.since == unset:
		s.health.CompareAndSwap(h, &health{phase: ramping, since: now, ejections: h.ejections})
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
	return disconnected
}

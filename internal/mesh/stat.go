package mesh

import (
	"math"
	"sync"
	"time"
)

const (
	// failWeight is the inverse weight of a new outcome in the moving average of
	// failures: a target that fails half of its requests shows after three or four.
	failWeight = 4
	// forgetFailures is the time constant in which failures without newer evidence
	// fade, so that a target which was bad is tried again.
	forgetFailures = 3 * time.Second
	// slowdownMemory is the time constant in which a lasting slowdown is forgotten
	// without newer reports.
	slowdownMemory = time.Second
)

// Stat is what a node knows of a target from traffic. It outlives Views. Safe
// for concurrent use.
type Stat struct {
	mu sync.Mutex
	// load is the last report, at loadAt; sent counts the node's own requests that
	// were sent to the target since.
	load     Load
	loadAt   time.Duration
	reported bool
	sent     int
	inFlight int
	failing  float64
	failedAt time.Duration
	// avoidUntil is until when the target is passed over.
	avoidUntil time.Duration
	// answered is when the target last answered anything.
	answered time.Duration
}

// Estimate is what a node expects of a target.
type Estimate struct {
	// Known says that there was a report; Age is how old it is.
	Known bool
	Age   time.Duration
	// Busy is how many requests run or wait there, Slots how many run at once.
	Busy, Slots int
	// Service is how long a slot is held.
	Service time.Duration
	// Slowdown is the expected slowdown, by report and age, and Standing what of it is
	// expected to be left after CalmIn.
	Slowdown, Standing float64
	CalmIn             time.Duration
	// Failing is the share of requests that fail, faded by age.
	Failing float64
	// Avoid says that the target is to be passed over, Leaving that it told so.
	Avoid, Leaving bool
}

// Report keeps what the target's guard told.
func (s *Stat) Report(l Load, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.reported, s.sent = l, now, true, 0
}

// Begin counts a request on its way.
func (s *Stat) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sent++
}

// End takes the outcome of one: whether it counts as a failure of the target,
// if it says anything about it.
func (s *Stat) End(now time.Duration, failed, telling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.sent > 0 {
		s.sent--
	}
	if !telling {
		return
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failing = s.faded(now)
	s.failing += (sample - s.failing) / failWeight
	s.failedAt = now
	if !failed {
		s.answered = now
	}
}

// Avoid passes the target over until a time since the node's start.
func (s *Stat) Avoid(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = max(s.avoidUntil, until)
}

// InFlight gives the node's own requests at the target.
func (s *Stat) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// faded gives the failures with their age taken off. The mutex is held.
func (s *Stat) faded(now time.Duration) float64 {
	return s.failing * fade(now-s.failedAt, forgetFailures)
}

// fade gives what is left of a value after some time.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}

// Estimate tells what to expect at now.
func (s *Stat) Estimate(now time.Duration) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Estimate{
		Known: s.reported, Age: now - s.loadAt, Slowdown: 1, Standing: 1, Busy: s.inFlight,
		Failing: s.faded(now), Avoid: now < s.avoidUntil,
	}
	if !s.reported {
		return e
	}
	e.Slots, e.Service, e.Leaving = s.load.Slots, s.load.Service, s.load.Leaving
	e.Busy = max(s.load.Running+s.load.Waiting+s.sent, s.inFlight)
	standing := max(s.load.Standing, 1)
	if s.load.CalmIn == 0 {
		standing = max(s.load.Slowdown, 1)
	}
	e.Standing = 1 + (standing-1)*fade(e.Age, slowdownMemory)
	e.Slowdown = e.Standing
	if s.load.CalmIn > e.Age {
		e.Slowdown, e.CalmIn = max(s.load.Slowdown, e.Standing), s.load.CalmIn-e.Age
	}
	return e
}

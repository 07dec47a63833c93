package mesh

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureWeight is the inverse weight of a new outcome in the moving average of failures:
	// a target that fails half of its requests is recognised after three or four.
	failureWeight = 4
	// failureMemory is the time constant with which the failure rate decays without new
	// outcomes, so that a target that failed is tried again.
	failureMemory = 3 * time.Second
	// slowdownMemory is the time constant with which a sustained slowdown decays without new
	// reports.
	slowdownMemory = time.Second
)

// Stat holds what a node knows of a target from load reports and its own requests. It is kept
// when a new View is built. Safe for concurrent use.
type Stat struct {
	mu sync.Mutex
	// load is the last report, received at reportedAt; sent counts the node's own requests
	// that were sent to the target since then.
	load          Load
	reportedAt    time.Duration
	reported      bool
	sent          int
	inFlight      int
	failureRate   float64
	failureRateAt time.Duration
	// avoidUntil is the time until which no requests should go to the target.
	avoidUntil time.Duration
	// lastSuccess is the time of the target's last successful answer.
	lastSuccess time.Duration
	// calls is how nested calls fare as of the last report, or nil if all succeed, and callsAt is when that
	// was received; 0 is never. They are read without the mutex, as an entry reads those of all targets at once.
	calls   atomic.Pointer[callReport]
	callsAt atomic.Int64
}

// callReport is the part of a load report about nested calls.
type callReport struct {
	service string
	success float64
}

// Estimate is the expected state of a target.
type Estimate struct {
	// Known is true if the target has reported its load; Age is the age of the last report.
	Known bool
	Age   time.Duration
	// Busy is how many requests run or wait at the target, Slots how many run at once.
	Busy, Slots int
	// ServiceTime is the average time for which a slot is held.
	ServiceTime time.Duration `json:"Service"`
	// Slowdown is the expected slowdown, from the last report and its age. SustainedSlowdown is the
	// part that is expected to be sustained after RecoversIn.
	Slowdown          float64
	SustainedSlowdown float64       `json:"Standing"`
	RecoversIn        time.Duration `json:"CalmIn"`
	// AcceptsIn is the time until a target that limits its requests takes another one.
	AcceptsIn time.Duration
	// LinkRate is the rate of the target's link in bytes per second, and LinkBacklog the time that it
	// needs for the bytes that wait; LinkRate is 0 unless the target schedules its link.
	LinkRate    float64
	LinkBacklog time.Duration
	// FailureRate is the share of requests that fail, decayed by age.
	FailureRate float64 `json:"Failing"`
	// Avoid is true if no requests should go to the target for the time being, Leaving if the
	// target reported that it accepts no new ones.
	Avoid, Leaving bool
}

// Report records a load report of the target's guard.
func (s *Stat) Report(l Load, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.CallsTo != s.load.CallsTo || l.CallSuccess != s.load.CallSuccess {
		s.calls.Store(newCallReport(l))
	}
	s.load, s.reportedAt, s.reported, s.sent = l, now, true, 0
	s.callsAt.Store(max(int64(now), 1))
}

func newCallReport(l Load) *callReport {
	if l.CallsTo == "" {
		return nil
	}
	return &callReport{l.CallsTo, l.CallSuccess}
}

// maxCallReportAge is the age up to which a report says how calls of the target's backend server fare now.
const maxCallReportAge = 1500 * time.Millisecond

// CallSuccess returns the share of the backend server's calls to a service that succeed, as of its last
// report, and the age of that. known is false without a recent report. The share is 1 if the report
// names no service or another one, to which calls succeed less often.
func (s *Stat) CallSuccess(service string, now time.Duration) (share float64, age time.Duration, known bool) {
	at := s.callsAt.Load()
	age = max(now-time.Duration(at), 0)
	if at == 0 || age > maxCallReportAge {
		return 0, 0, false
	}
	if r := s.calls.Load(); r != nil && r.service == service {
		return r.success, age, true
	}
	return 1, age, true
}

// Begin counts a request that is about to be sent to the target.
func (s *Stat) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sent++
}

// End records the end of a request counted by Begin. failed is true if it counts as a failure
// of the target; the outcome is ignored if conclusive is false, as it then doesn't show
// whether the target works.
func (s *Stat) End(now time.Duration, failed, conclusive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.sent > 0 {
		s.sent--
	}
	if !conclusive {
		return
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate = s.decayedFailureRate(now)
	s.failureRate += (sample - s.failureRate) / failureWeight
	s.failureRateAt = now
	if !failed {
		s.lastSuccess = now
	}
}

// Avoid marks the target as to be avoided until the given time since the node's start.
func (s *Stat) Avoid(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = max(s.avoidUntil, until)
}

// InFlight returns the number of the node's own requests at the target.
func (s *Stat) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// decayedFailureRate returns the failure rate, decayed by its age. The mutex must be held.
func (s *Stat) decayedFailureRate(now time.Duration) float64 {
	return s.failureRate * decay(now-s.failureRateAt, failureMemory)
}

// decay returns the fraction of a value that remains after age, by exponential decay.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}

// Estimate returns the expected state of the target at now.
func (s *Stat) Estimate(now time.Duration) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Estimate{
		Known: s.reported, Age: now - s.reportedAt, Slowdown: 1, SustainedSlowdown: 1, Busy: s.inFlight,
		FailureRate: s.decayedFailureRate(now), Avoid: now < s.avoidUntil,
	}
	if !s.reported {
		return e
	}
	e.Slots, e.ServiceTime, e.Leaving = s.load.Slots, s.load.ServiceTime, s.load.Leaving
	e.Busy = max(s.load.Running+s.load.Waiting+s.sent, s.inFlight)
	if s.load.LinkRate > 0 {
		e.LinkRate, e.LinkBacklog = s.load.LinkRate, max(s.load.LinkBacklog-e.Age, 0)
	}
	if s.load.RequestInterval > 0 {
		e.AcceptsIn = max(s.load.AcceptsIn-e.Age, 0) + s.load.RequestInterval*time.Duration(s.sent)
	}
	sustained := max(s.load.SustainedSlowdown, 1)
	if s.load.RecoversIn == 0 {
		sustained = max(s.load.Slowdown, 1)
	}
	e.SustainedSlowdown = 1 + (sustained-1)*decay(e.Age, slowdownMemory)
	e.Slowdown = e.SustainedSlowdown
	if s.load.RecoversIn > e.Age {
		e.Slowdown, e.RecoversIn = max(s.load.Slowdown, e.SustainedSlowdown), s.load.RecoversIn-e.Age
	}
	return e
}

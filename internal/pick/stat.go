package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// trackedStarts is the number of a target's requests in flight whose start is recorded.
// Further requests are counted, but their age is unknown.
const trackedStarts = 4

// Stat holds a node's own measurements of a target. It is kept from one View to the
// next and is safe for concurrent use. Averages are updated without a lock: of two
// concurrent samples one may be lost, which changes an average only slightly.
type Stat struct {
	// The fields that every choice reads come first, so that they share a cache line.

	// InFlight counts the node's own requests at the target.
	InFlight atomic.Int32
	// failing is a moving average of failures, in units of 1/failScale.
	failing atomic.Int32
	// avoidUntil is the time since start, in nanoseconds, until which the target is
	// avoided because it refused.
	avoidUntil atomic.Int64
	health     atomic.Pointer[health]
	// load is the number of other nodes' requests in the last report and its time,
	// packed by loadOf.
	load atomic.Uint64
	// latency is a moving average of the time to an answer without the round trip,
	// and sampled is the time of its last sample, both in nanoseconds.
	latency, sampled atomic.Int64
	// rtt is the measured round trip in nanoseconds, 0 if it was not measured.
	rtt atomic.Int64
	// hints is the number of reported idle slots that were not used yet.
	hints atomic.Int32
	// counted is when an outcome was last counted in failing, in nanoseconds.
	counted atomic.Int64
	// starts holds the start times of requests in flight, in nanoseconds; 0 is free.
	starts   [trackedStarts]atomic.Int64
	identity atomic.Pointer[Identity]
	report   atomic.Pointer[Report]
}

// Identity returns the last reported identity, or nil.
func (s *Stat) Identity() *Identity { return s.identity.Load() }

// UpdateIdentity stores an identity that the guard itself reported. A new incarnation
// starts cold, so its share of requests is ramped up.
func (s *Stat) UpdateIdentity(id Identity) {
	for {
		old := s.identity.Load()
		if old != nil && old.Incarnation == id.Incarnation && old.Tick >= id.Tick {
			return
		}
		if !s.identity.CompareAndSwap(old, &id) {
			continue
		}
		if old != nil && old.Incarnation != id.Incarnation {
			s.health.Store(&health{phase: ramping, since: unset})
		}
		return
	}
}

// Avoid excludes the target from choices until a time since start.
func (s *Stat) Avoid(until time.Duration) { s.avoidUntil.Store(int64(until)) }

// Avoided reports whether the target is avoided at now.
func (s *Stat) Avoided(now time.Duration) bool { return int64(now) < s.avoidUntil.Load() }

// Outcome is the outcome of one request at a target, as evidence about the target.
type Outcome uint8

// The outcomes.
const (
	// Neutral is no evidence about the target: the caller canceled the request.
	Neutral Outcome = iota
	// Good is an answer of the backend server with a status below 500.
	Good
	// Failed is an answer with status 500 or above, or an exchange that was cut off.
	Failed
	// Unreachable means that no connection to the target could be opened.
	Unreachable
	// Late is a deadline that expired before an answer arrived. A deadline may be too
	// short for any server, so it counts as a failure only if the request took many
	// times the typical time.
	Late
	// Refused means that the guard refused the request.
	Refused
	// Superseded is an exchange canceled because a copy at another target answered
	// first. Its time is a lower bound of the time that the target would have taken.
	Superseded
)

// Attempt is one request in flight at a target. It must be ended exactly once.
type Attempt struct {
	start time.Duration
	place int8
}

const untracked = -1

// Elapsed returns the time since the request began.
func (m Attempt) Elapsed(now time.Duration) time.Duration { return max(now-m.start, 0) }

// lateFactor is the multiple of the typical time above which a late request counts
// as a failure.
const lateFactor = 10

// Begin counts a request as in flight. A request that streams a body isn't timed:
// its duration depends on the caller and is no evidence about the target.
func (t *Target) Begin(now time.Duration, timed bool) Attempt {
	s := t.Stat
	s.InFlight.Add(1)
	m := Attempt{start: now, place: untracked}
	if !timed {
		return m
	}
	for i := range s.starts {
		if s.starts[i].CompareAndSwap(0, max(1, int64(now))) {
			m.place = int8(i)
			break
		}
	}
	return m
}

// RecordOutcome records the outcome of a request when the first byte of the answer
// arrives or the attempt fails.
func (t *Target) RecordOutcome(m Attempt, now time.Duration, o Outcome, rnd *rand.Rand) {
	s := t.Stat
	took := m.Elapsed(now) - t.RTT()
	if o == Late && int64(took) > lateFactor*t.shared.typical.Load() {
		o = Failed
	}
	if m.place != untracked {
		s.starts[m.place].Store(0)
		switch {
		case o == Good, o == Failed, o == Late:
			t.sample(now, took)
		case o == Superseded && took > t.serverTime(now):
			// A shorter time is no evidence: the request was canceled before the
			// target could answer.
			t.sample(now, took)
		}
	}
	s.recordOutcome(now, o, rnd)
}

// End removes the request from those in flight once its answer has been read.
func (t *Target) End() { t.Stat.InFlight.Add(-1) }

const (
	// ownWeight and sharedWeight are the inverse weights of a new sample in the
	// averages of one target and of the service.
	ownWeight    = 4
	sharedWeight = 64
)

// sample records the time of a request without the round trip.
func (t *Target) sample(now, took time.Duration) {
	took = max(took, 0)
	s := t.Stat
	average(&s.latency, int64(t.serverTime(now)), int64(took), ownWeight)
	s.sampled.Store(int64(now))
	base := t.shared.typical.Load()
	if base == 0 {
		base = int64(took)
	}
	average(&t.shared.typical, base, int64(took), sharedWeight)
}

func average(a *atomic.Int64, old, sample, weight int64) {
	a.Store(old + (sample-old)/weight)
}

// RTT returns the measured round trip to the target, or the default for its distance.
func (t *Target) RTT() time.Duration {
	if rtt := t.Stat.rtt.Load(); rtt > 0 {
		return time.Duration(rtt)
	}
	return defaultRTT[t.Distance]
}

// RecordRTT records the round trip of an exchange.
func (t *Target) RecordRTT(took time.Duration) {
	if took <= 0 {
		return
	}
	old := t.Stat.rtt.Load()
	if old == 0 {
		old = int64(took)
	}
	average(&t.Stat.rtt, old, int64(took), ownWeight)
}

// oldest returns the age of the oldest timed request in flight, or zero if there is
// none.
func (s *Stat) oldest(now time.Duration) time.Duration {
	if s.InFlight.Load() == 0 {
		return 0
	}
	first := int64(now)
	for i := range s.starts {
		if at := s.starts[i].Load(); at != 0 && at < first {
			first = at
		}
	}
	return now - time.Duration(first)
}

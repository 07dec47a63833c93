package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// tracked is how many of a target's requests in flight have their start kept.
// More of them are counted, but their age is not known.
const tracked = 4

// Stat is what a node itself has seen of a target. It outlives Views.
// It is safe for concurrent use. Averages are updated without a lock: of two
// samples at the same moment one may be lost, which changes nothing that matters.
type Stat struct {
	// What every choice reads comes first, so that it shares a cache line.

	// InFlight counts the node's own requests at the target.
	InFlight atomic.Int32
	// failing is a moving average of failures, in 1/failScale.
	failing atomic.Int32
	// avoidUntil is the time since start, in nanoseconds, until which the
	// target is passed over because it refused.
	avoidUntil atomic.Int64
	health     atomic.Pointer[health]
	// load is what the last report says of other nodes' requests, see loadOf.
	load atomic.Uint64
	// latency is a moving average of the time to an answer without the round
	// trip, and sampled is when its last sample came, both in nanoseconds.
	latency, sampled atomic.Int64
	// rtt is the measured round trip in nanoseconds; 0 is not measured.
	rtt atomic.Int64
	// hints are idle slots that were reported and not used yet.
	hints atomic.Int32
	// counted is when an outcome was last counted in failing, in nanoseconds.
	counted atomic.Int64
	// starts holds when requests in flight began, in nanoseconds; 0 is free.
	starts   [tracked]atomic.Int64
	identity atomic.Pointer[Identity]
	report   atomic.Pointer[Report]
}

// Identity gives what was last learnt, or nil.
func (s *Stat) Identity() *Identity { return s.identity.Load() }

// Learn keeps an identity that the guard itself told. Another incarnation than
// the one before starts cold, so its share of requests rises slowly.
func (s *Stat) Learn(id Identity) {
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

// Avoid passes the target over until a time since start.
func (s *Stat) Avoid(until time.Duration) { s.avoidUntil.Store(int64(until)) }

// Avoided says whether the target is passed over at now.
func (s *Stat) Avoided(now time.Duration) bool { return int64(now) < s.avoidUntil.Load() }

// Outcome is what became of one request at a target, as evidence about the target.
type Outcome uint8

// The outcomes.
const (
	// Neutral says nothing about the target: the caller went away.
	Neutral Outcome = iota
	// Good is an answer of the backend server below 500.
	Good
	// Failed is an answer of 500 or more, or an exchange that broke off.
	Failed
	// Unreachable is a target that no connection could be opened to.
	Unreachable
	// Late is a deadline that passed before an answer came. A deadline may be
	// too short for any server, so it is a failure only if the time was many
	// times what is typical.
	Late
	// Refused is a guard that turned the request away.
	Refused
	// Outrun is an exchange given up because a copy at another target answered
	// first. Its time is a lower bound of what the target would have taken.
	Outrun
)

// Mark stands for one request in flight. It must be ended exactly once.
type Mark struct {
	start time.Duration
	place int8
}

const untracked = -1

// Took gives the time since the request began.
func (m Mark) Took(now time.Duration) time.Duration { return max(now-m.start, 0) }

// lateFactor is how many times the typical time a late answer counts as a failure.
const lateFactor = 10

// Begin counts a request in flight. A request that streams a body isn't timed:
// how long it takes is the caller's doing and says nothing about the target.
func (t *Target) Begin(now time.Duration, timed bool) Mark {
	s := t.Stat
	s.InFlight.Add(1)
	m := Mark{start: now, place: untracked}
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

// Headers takes the evidence of an answer's first byte, or of what came instead.
func (t *Target) Headers(m Mark, now time.Duration, o Outcome, rnd *rand.Rand) {
	s := t.Stat
	took := m.Took(now) - t.RTT()
	if o == Late && int64(took) > lateFactor*t.shared.typical.Load() {
		o = Failed
	}
	if m.place != untracked {
		s.starts[m.place].Store(0)
		switch {
		case o == Good, o == Failed, o == Late:
			t.sample(now, took)
		case o == Outrun && took > t.serverTime(now):
			// Shorter than usual it says nothing: the target wasn't let finish.
			t.sample(now, took)
		}
	}
	s.judge(now, o, rnd)
}

// End counts the request out once its answer has been read.
func (t *Target) End() { t.Stat.InFlight.Add(-1) }

const (
	// ownWeight and sharedWeight are inverse weights of a new sample.
	ownWeight    = 4
	sharedWeight = 64
)

// sample adds the time a request took, without the round trip.
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

// RTT gives the round trip to the target, measured or assumed by its distance.
func (t *Target) RTT() time.Duration {
	if rtt := t.Stat.rtt.Load(); rtt > 0 {
		return time.Duration(rtt)
	}
	return defaultRTT[t.Distance]
}

// MeasuredRTT takes the time that an exchange spent on the way.
func (t *Target) MeasuredRTT(took time.Duration) {
	if took <= 0 {
		return
	}
	old := t.Stat.rtt.Load()
	if old == 0 {
		old = int64(took)
	}
	average(&t.Stat.rtt, old, int64(took), ownWeight)
}

// oldest is the age of the oldest timed request in flight, zero if there is none.
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

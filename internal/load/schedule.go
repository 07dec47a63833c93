package load

import (
	"math/rand/v2"
	"time"
)

// Call is one scheduled call.
type Call struct {
	// No is the number of the call in the run, from 0.
	No int
	// At is the scheduled time since the start of the run.
	At time.Duration
	// Kind is the index in Plan.Kinds.
	Kind int
	// To is the destination address.
	To string
}

// schedule generates the calls of a plan in order. It depends only on the plan, not
// on answers.
type schedule struct {
	plan        Plan
	rnd         *rand.Rand
	totalWeight int
	no          int
	at          time.Duration
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rnd: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, k := range p.Kinds {
		s.totalWeight += k.Weight
	}
	return s
}

// next returns the next call, or false after the end of the plan's duration.
func (s *schedule) next() (Call, bool) {
	gap := float64(time.Second) / s.rate()
	if s.plan.Arrivals == Poisson {
		gap *= s.rnd.ExpFloat64()
	}
	s.at += time.Duration(gap)
	if s.at >= s.plan.Duration {
		return Call{}, false
	}
	kind := s.drawKind()
	to := s.plan.addressesOf(s.plan.Kinds[kind])
	c := Call{No: s.no, At: s.at, Kind: kind, To: to[s.rnd.IntN(len(to))]}
	s.no++
	return c, true
}

// rate returns the arrival rate at the current time of the schedule.
func (s *schedule) rate() float64 {
	for _, surge := range s.plan.Surges {
		if s.at >= surge.From && s.at < surge.To {
			return s.plan.Rate * surge.Factor
		}
	}
	return s.plan.Rate
}

func (s *schedule) drawKind() int {
	n := s.rnd.IntN(s.totalWeight)
	for i, k := range s.plan.Kinds {
		n -= k.Weight
		if n < 0 {
			return i
		}
	}
	return len(s.plan.Kinds) - 1
}

package load

import (
	"math/rand/v2"
	"time"
)

// Call is one scheduled call.
type Call struct {
	// No counts the calls of a run from 0.
	No int
	// At is the time it is due, since the start of the run.
	At time.Duration
	// Kind is the index of the plan's kind.
	Kind int
	// To is the address it goes to.
	To string
}

// schedule gives the calls of a plan in order. It depends on the plan alone,
// never on answers.
type schedule struct {
	plan    Plan
	rnd     *rand.Rand
	weights int
	no      int
	at      time.Duration
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rnd: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, k := range p.Kinds {
		s.weights += k.Weight
	}
	return s
}

// next gives the next call, or false when the plan's duration is over.
func (s *schedule) next() (Call, bool) {
	gap := float64(time.Second) / s.rate()
	if s.plan.Arrivals == Poisson {
		gap *= s.rnd.ExpFloat64()
	}
	s.at += time.Duration(gap)
	if s.at >= s.plan.Duration {
		return Call{}, false
	}
	kind := s.kind()
	to := s.plan.to(s.plan.Kinds[kind])
	c := Call{No: s.no, At: s.at, Kind: kind, To: to[s.rnd.IntN(len(to))]}
	s.no++
	return c, true
}

// rate gives the rate now.
func (s *schedule) rate() float64 {
	for _, surge := range s.plan.Surges {
		if s.at >= surge.From && s.at < surge.To {
			return s.plan.Rate * surge.Factor
		}
	}
	return s.plan.Rate
}

func (s *schedule) kind() int {
	n := s.rnd.IntN(s.weights)
	for i, k := range s.plan.Kinds {
		n -= k.Weight
		if n < 0 {
			return i
		}
	}
	return len(s.plan.Kinds) - 1
}

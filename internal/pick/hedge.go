package pick

import "time"

// hedgeFloor is the shortest wait before a copy is sent. A caller doesn't
// notice less, and it would cost a run.
const hedgeFloor = 2 * time.Millisecond

// HedgeAfter gives how long a request may go without an answer before a copy
// of it is sent to another target: the 95th percentile of what this entry's
// exchanges took lately, or 0 while it isn't known.
func (s *Service) HedgeAfter() time.Duration {
	high := s.shared.took.high()
	if high == 0 {
		return 0
	}
	return max(high, hedgeFloor)
}

// Took takes the time of an exchange that came to a whole answer.
func (s *Service) Took(took time.Duration) { s.shared.took.add(took) }

// TookOver takes the time after which an exchange was given up. Its answer
// would have taken longer, so it counts as one of the slow ones. Were these left out, the
// quantile would fall with every copy that wins, and more copies be sent.
func (s *Service) TookOver(took time.Duration) {
	if took >= s.HedgeAfter() {
		s.shared.took.add(took)
	}
}

// ChooseHedge chooses the target of a second copy, or nil. a.Tried holds the
// first's. Other than a retry, a copy may be left unsent: so it goes only to a target
// that is well and has a slot free, by all that is known, and leaves the region only if
// that has no other one. One that refused a moment ago shows overload, in which
// copies do harm.
func (s *Service) ChooseHedge(a *Ask) *Target {
	g := &a.candidates
	g.judge(s, a)
	if g.takeHome(s, a, usable); len(g.home) > 0 {
		return s.policy.Choose(a.Draw, g.nearest(a.Now)).ifFree(a.Now)
	}
	if g.takeHome(s, a, warming); len(g.home) > 0 {
		return nil
	}
	if g.takeFar(s, a, usable); len(g.far) > 0 {
		return s.policy.Choose(a.Draw, g.far).ifFree(a.Now)
	}
	return nil
}

// ifFree gives the target if one more request needn't wait there, else nil. A
// copy that waits is late itself, and keeps others waiting.
func (t *Target) ifFree(now time.Duration) *Target {
	if busy := float64(t.Stat.InFlight.Load()) + t.others(now); busy+1 > float64(t.Slots) {
		return nil
	}
	return t
}

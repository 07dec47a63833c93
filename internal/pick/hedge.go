package pick

import "time"

// minHedgeDelay is the shortest wait before a copy is sent. Callers don't notice
// shorter delays, and each copy costs a run.
const minHedgeDelay = 2 * time.Millisecond

// HedgeDelay returns how long a request may be unanswered before a copy of it is
// sent to another target: the 95th percentile of the durations of this entry's
// recent exchanges, or 0 while it isn't known.
func (s *Service) HedgeDelay() time.Duration {
	high := s.shared.exchangeTimes.percentile95()
	if high == 0 {
		return 0
	}
	return max(high, minHedgeDelay)
}

// RecordDuration records the duration of an exchange with a complete answer.
func (s *Service) RecordDuration(took time.Duration) { s.shared.exchangeTimes.add(took) }

// RecordCanceled records the time after which an exchange was canceled. Its answer
// would have taken longer, so it counts as a slow one. Without these samples the
// percentile would fall with every copy that wins, and more copies would be sent.
func (s *Service) RecordCanceled(took time.Duration) {
	if took >= s.HedgeDelay() {
		s.shared.exchangeTimes.add(took)
	}
}

// ChooseHedge chooses the target of a second copy, or nil. a.Tried holds the first
// copy's target. Unlike a retry, a copy is optional: it is sent only to a target that
// is healthy and appears to have a free slot, and to another region only if the own
// one has no other target. A recent refusal shows overload, in which copies do harm.
func (s *Service) ChooseHedge(a *Selection) *Target {
	g := &a.candidates
	g.classify(s, a)
	if g.collectHome(s, a, usable); len(g.home) > 0 {
		return s.policy.Choose(a.Draw, g.nearest(a.Now)).ifSlotFree(a.Now)
	}
	if g.collectHome(s, a, warming); len(g.home) > 0 {
		return nil
	}
	if g.collectFar(s, a, usable); len(g.far) > 0 {
		return s.policy.Choose(a.Draw, g.far).ifSlotFree(a.Now)
	}
	return nil
}

// ifSlotFree returns the target if one more request needn't wait there, else nil. A
// copy that waits is late itself and delays other requests.
func (t *Target) ifSlotFree(now time.Duration) *Target {
	if busy := float64(t.Stat.InFlight.Load()) + t.others(now); busy+1 > float64(t.Slots) {
		return nil
	}
	return t
}

package pick

import "time"

const (
	// probeFresh is how long the answer to a probe may be used.
	probeFresh = time.Second
	// hotShare is the share of slots in use from which a target counts as hot.
	hotShare = 0.8
)

// probe chooses by the answers to probes, with the rule "hot-cold
// lexicographic": the fastest of the targets that aren't hot, else the one with
// the fewest requests (Wydrowski et al., "Load is not what you should balance:
// Introducing Prequal", NSDI 2024). That paper sends some probes for each
// request; here the measuring budget decides how many there are, and where
// fewer than two answers are fresh two random targets are compared instead.
type probe struct{}

func (probe) Choose(d Draw, among []*Target) *Target {
	var cold, calm *Target
	var fastest, fewest float64
	fresh := 0
	for _, t := range among {
		r := t.Reported()
		if r == nil || d.Now-r.At > probeFresh {
			continue
		}
		fresh++
		load := t.reportedLoad(r, d.Now)
		if calm == nil || load < fewest {
			calm, fewest = t, load
		}
		if took := float64(t.RTT() + r.Service); load < hotShare && (cold == nil || took < fastest) {
			cold, fastest = t, took
		}
	}
	switch {
	case fresh < 2:
		return twoChoices{}.Choose(d, among)
	case cold != nil:
		return cold
	}
	return calm
}

// reportedLoad is the share of slots in use by a report, with what the node
// itself has sent since added: an answer that is used again must not draw
// every request to one target.
func (t *Target) reportedLoad(r *Report, now time.Duration) float64 {
	since := max(int(t.Stat.InFlight.Load())-r.own, 0)
	return float64(r.Running+r.Waiting+since)/float64(max(r.Slots, 1)) + t.Stat.failures(now)
}

// AskedWithin says whether a target was chosen by probes not longer than d ago.
func (s *Service) AskedWithin(now, d time.Duration) bool {
	at := s.shared.asked.Load()
	return at != 0 && now-time.Duration(at) <= d
}

// Stalest gives the target to probe next: of two random ones that with the
// older report. It is nil if there are no targets.
func (s *Service) Stalest(d Draw) *Target {
	if len(s.Targets) == 0 {
		return nil
	}
	a, b := twoOf(d.Rand, s.Targets)
	ra, rb := a.Reported(), b.Reported()
	if ra != nil && (rb == nil || rb.At < ra.At) {
		a = b
	}
	if !a.offered(nil) {
		return nil
	}
	return a
}

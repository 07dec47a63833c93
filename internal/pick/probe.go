package pick

import "time"

const (
	// probeFresh is how long the answer to a probe is used.
	probeFresh = time.Second
	// hotShare is the share of slots in use from which a target is hot.
	hotShare = 0.8
)

// probe chooses by the answers to probes, with the rule "hot-cold
// lexicographic": the fastest of the targets that aren't hot, else the one with the
// least load (Wydrowski et al., "Load is not what you should balance:
// Introducing Prequal", NSDI 2024). That paper sends several probes for each
// request; here the measuring budget limits the probes, and if fewer than two answers
// are fresh, two random targets are compared instead.
type probe struct{}

func (probe) Choose(d Draw, among []*Target) *Target {
	var cold, leastLoaded *Target
	var fastest, fewest float64
	fresh := 0
	for _, t := range among {
		r := t.LastReport()
		if r == nil || d.Now-r.At > probeFresh {
			continue
		}
		fresh++
		load := t.reportedLoad(r, d.Now)
		if leastLoaded == nil || load < fewest {
			leastLoaded, fewest = t, load
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
	return leastLoaded
}

// reportedLoad returns the share of slots in use by a report, including the requests
// that the node itself has sent since. Otherwise a reused answer would attract every
// request to one target.
func (t *Target) reportedLoad(r *Report, now time.Duration) float64 {
	since := max(int(t.Stat.InFlight.Load())-r.own, 0)
	return float64(r.Running+r.Waiting+since)/float64(max(r.Slots, 1)) + t.Stat.failures(now)
}

// ChosenWithin reports whether a target was chosen by probes within the last d.
func (s *Service) ChosenWithin(now, d time.Duration) bool {
	at := s.shared.lastChosen.Load()
	return at != 0 && now-time.Duration(at) <= d
}

// ProbeTarget returns the target to probe next: of two random ones the one with the
// older report. It returns nil if that one has no address or there are no targets.
func (s *Service) ProbeTarget(d Draw) *Target {
	if len(s.Targets) == 0 {
		return nil
	}
	a, b := twoOf(d.Rand, s.Targets)
	ra, rb := a.LastReport(), b.LastReport()
	if ra != nil && (rb == nil || rb.At < ra.At) {
		a = b
	}
	if !a.mayTry(nil) {
		return nil
	}
	return a
}

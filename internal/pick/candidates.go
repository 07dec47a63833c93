package pick

// maxEjected is the inverse of the share of targets that may be ejected as
// outliers. When more fail, they probably share a cause, and ejecting them would
// only overload the rest (a panic threshold).
const maxEjected = 2

// candidateSet holds the candidates of one choice, in buffers of its own.
type candidateSet struct {
	// home holds the candidates of the own region; the first inZone of them are in
	// the own zone.
	home        []*Target
	inZone      int
	far         []*Target
	eligibility []eligibility
	// worst is the worst eligibility that candidates may have.
	worst eligibility

	homeBuf        [maxNear]*Target
	farBuf         [maxFar]*Target
	eligibilityBuf [maxNear + maxFar]eligibility
}

// reset empties the set.
func (g *candidateSet) reset() {
	g.home, g.inZone, g.far, g.eligibility = g.homeBuf[:0], 0, g.farBuf[:0], g.eligibilityBuf[:0]
}

// classify determines every target's eligibility and the worst one that candidates
// may have.
func (g *candidateSet) classify(s *Service, a *Selection) {
	g.reset()
	outliers := 0
	for _, t := range s.Targets {
		status := t.eligibility(a)
		if status == outlier {
			outliers++
		}
		g.eligibility = append(g.eligibility, status)
	}
	g.worst = usable
	if outliers*maxEjected > len(s.Targets) {
		g.worst = outlier
	}
}

func (t *Target) eligibility(a *Selection) eligibility {
	if t.Leaving {
		return leaving
	}
	return t.Stat.eligibility(a.Now, a.Rand)
}

// collect collects the targets that may be chosen, by region. When none is usable,
// it falls back to the best of the others: an attempt may succeed, while without a
// target the request is refused for certain.
func (g *candidateSet) collect(s *Service, a *Selection) {
	g.classify(s, a)
	for worst := g.worst; worst <= leaving; worst++ {
		g.collectHome(s, a, worst)
		if len(g.home) == 0 && worst == usable {
			// A recent refusal is no reason to leave the region: that is decided by
			// estimated delays, in small steps.
			g.collectHome(s, a, avoided)
		}
		g.far = g.far[:0]
		if len(g.home) > 0 {
			return
		}
		if g.collectFar(s, a, worst); len(g.far) > 0 {
			return
		}
	}
}

// collectFar collects the other regions' targets that are not worse than worst.
func (g *candidateSet) collectFar(s *Service, a *Selection, worst eligibility) {
	g.far = g.far[:0]
	for i := s.InRegion; i < len(s.Targets); i++ {
		if g.eligibility[i] <= worst && s.Targets[i].mayTry(a.Tried) {
			g.far = append(g.far, s.Targets[i])
		}
	}
}

// collectHome collects the own region's targets that are not worse than worst.
func (g *candidateSet) collectHome(s *Service, a *Selection, worst eligibility) {
	g.home, g.inZone = g.home[:0], 0
	for i, t := range s.Targets[:s.InRegion] {
		if g.eligibility[i] > worst || !t.mayTry(a.Tried) {
			continue
		}
		g.home = append(g.home, t)
		if i < s.inZone {
			g.inZone++
		}
	}
}

// mayTry reports whether the target may be tried for a request that was already
// attempted at tried.
func (t *Target) mayTry(tried []*Target) bool {
	if t.Guard == "" {
		return false
	}
	for _, one := range tried {
		if one.Place.VM == t.Place.VM {
			return false
		}
	}
	return true
}

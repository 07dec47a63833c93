package pick

// maxEjected is the share of targets, 1/maxEjected, that may be ejected as
// outliers. When more fail, the fault is hardly theirs, and leaving them out
// would only crowd the rest (the panic threshold of the field).
const maxEjected = 2

// gathering holds the candidates of one choice, in room of its own.
type gathering struct {
	// home are the candidates of the own region, inZone of them in the own zone, first.
	home   []*Target
	inZone int
	far    []*Target
	stands []standing
	// worst is the standing up to which targets are candidates.
	worst standing

	homeRoom   [maxNear]*Target
	farRoom    [maxFar]*Target
	standsRoom [maxNear + maxFar]standing
}

// reset empties the gathering.
func (g *gathering) reset() {
	g.home, g.inZone, g.far, g.stands = g.homeRoom[:0], 0, g.farRoom[:0], g.standsRoom[:0]
}

// judge notes how every target stands, and which standing is bad enough to be
// left out.
func (g *gathering) judge(s *Service, a *Ask) {
	g.reset()
	outliers := 0
	for _, t := range s.Targets {
		stands := t.standing(a)
		if stands == outlier {
			outliers++
		}
		g.stands = append(g.stands, stands)
	}
	g.worst = usable
	if outliers*maxEjected > len(s.Targets) {
		g.worst = outlier
	}
}

func (t *Target) standing(a *Ask) standing {
	if t.Leaving {
		return leaving
	}
	return t.Stat.standing(a.Now, a.Rand)
}

// gather sorts the targets that may be chosen by where they stand. When none is
// usable, the best of the others are taken: one more try beats a certain refusal.
func (g *gathering) gather(s *Service, a *Ask) {
	g.judge(s, a)
	for worst := g.worst; worst <= leaving; worst++ {
		g.takeHome(s, a, worst)
		if len(g.home) == 0 && worst == usable {
			// A refusal a moment ago is no reason to leave the region: that is
			// decided by cost, in small steps.
			g.takeHome(s, a, avoided)
		}
		g.far = g.far[:0]
		if len(g.home) > 0 {
			return
		}
		if g.takeFar(s, a, worst); len(g.far) > 0 {
			return
		}
	}
}

// takeFar gathers the other regions' targets up to a standing.
func (g *gathering) takeFar(s *Service, a *Ask, worst standing) {
	g.far = g.far[:0]
	for i := s.InRegion; i < len(s.Targets); i++ {
		if g.stands[i] <= worst && s.Targets[i].offered(a.Tried) {
			g.far = append(g.far, s.Targets[i])
		}
	}
}

// takeHome gathers the own region's targets up to a standing.
func (g *gathering) takeHome(s *Service, a *Ask, worst standing) {
	g.home, g.inZone = g.home[:0], 0
	for i, t := range s.Targets[:s.InRegion] {
		if g.stands[i] > worst || !t.offered(a.Tried) {
			continue
		}
		g.home = append(g.home, t)
		if i < s.inZone {
			g.inZone++
		}
	}
}

// offered says whether the target may be offered a request that was tried elsewhere.
func (t *Target) offered(tried []*Target) bool {
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

package pick

// maxEjected is the share of targets, 1/maxEjected, that may be ejected as
// outliers. When more fail, the fault is hardly theirs, and leaving them out
// would only crowd the rest (the panic threshold of the field).
const maxEjected = 2

// gathering holds the candidates of one choice. Its slices are used again, so
// that a choice doesn't allocate.
type gathering struct {
	zone, region, far []*Target
	stands            []standing
}

// gather sorts the targets that may be chosen by where they stand. When none is
// usable, the best of the others are taken: one more try beats a certain refusal.
func (g *gathering) gather(s *Service, a Ask) {
	g.stands = g.stands[:0]
	outliers := 0
	for _, t := range s.Targets {
		stands := t.Stat.standing(a.Now, a.Rand)
		if stands == outlier {
			outliers++
		}
		g.stands = append(g.stands, stands)
	}
	worst := usable
	if outliers*maxEjected > len(s.Targets) {
		worst = outlier
	}
	for ; worst <= gone; worst++ {
		g.take(s, a, worst)
		if len(g.zone)+len(g.region) == 0 && worst == usable {
			// A refusal a moment ago is no reason to leave the region: that is
			// decided by cost, in small steps.
			g.takeHome(s, a, avoided)
		}
		if len(g.zone)+len(g.region)+len(g.far) > 0 {
			return
		}
	}
}

// take gathers the targets up to a standing.
func (g *gathering) take(s *Service, a Ask, worst standing) {
	g.takeHome(s, a, worst)
	g.far = g.far[:0]
	for i := s.InRegion; i < len(s.Targets); i++ {
		if g.stands[i] <= worst && s.Targets[i].offered(a.Tried) {
			g.far = append(g.far, s.Targets[i])
		}
	}
}

// takeHome gathers the own region's targets up to a standing.
func (g *gathering) takeHome(s *Service, a Ask, worst standing) {
	g.zone, g.region = g.zone[:0], g.region[:0]
	for i, t := range s.Targets[:s.InRegion] {
		if g.stands[i] > worst || !t.offered(a.Tried) {
			continue
		}
		if i < s.inZone {
			g.zone = append(g.zone, t)
		} else {
			g.region = append(g.region, t)
		}
	}
}

// offered says whether the target may be offered a request that was tried elsewhere.
func (t *Target) offered(tried []*Target) bool {
	if t.Leaving || t.Guard == "" {
		return false
	}
	for _, one := range tried {
		if one.Place.VM == t.Place.VM {
			return false
		}
	}
	return true
}

package directory

// zoneEvacuation is the last known change of an availability zone's evacuation.
type zoneEvacuation struct {
	// revision is the store revision of the change.
	revision uint64
	active   bool
}

// Evacuate records that operators evacuated a zone at a revision. It reports whether that was
// new.
func (s *State) Evacuate(zone string, revision uint64) bool {
	return s.setEvacuation(zone, zoneEvacuation{revision, true})
}

// EndEvacuation records that a zone's evacuation ended at a revision. It reports whether that was
// new.
func (s *State) EndEvacuation(zone string, revision uint64) bool {
	return s.setEvacuation(zone, zoneEvacuation{revision, false})
}

// ReplaceEvacuations replaces all evacuations with those read at a revision, which maps zones to
// the revisions at which they were evacuated. Changes after that revision are kept.
func (s *State) ReplaceEvacuations(revision uint64, zones map[string]uint64) {
	for zone, last := range s.evacuations {
		if _, listed := zones[zone]; !listed && last.active && last.revision <= revision {
			s.EndEvacuation(zone, revision)
		}
	}
	for zone, at := range zones {
		s.Evacuate(zone, at)
	}
}

// setEvacuation records a change unless a newer one is known.
func (s *State) setEvacuation(zone string, change zoneEvacuation) bool {
	s.revision = max(s.revision, change.revision)
	last := s.evacuations[zone]
	if change.revision < last.revision {
		return false
	}
	s.evacuations[zone] = change
	if change.active == last.active {
		return false
	}
	s.dirty = true
	return true
}

// evacuatedZones returns the zones that are evacuated.
func (s *State) evacuatedZones() map[string]bool {
	zones := make(map[string]bool, len(s.evacuations))
	for zone, last := range s.evacuations {
		if last.active {
			zones[zone] = true
		}
	}
	return zones
}

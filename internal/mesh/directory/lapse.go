package directory

import (
	"maps"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// lapseGrace is how long a target stays in use that was found missing when the
// store came back: registrations that ran out during the outage are renewed by
// their targets within two seconds of its end, and to drop them at once would
// empty whole services while all their targets run.
const lapseGrace = 2 * time.Second

// reviveWithin is how long a registration that ended is remembered. Those of targets
// that were cut off from the store together run out within one and a half heartbeats.
const reviveWithin = 4 * time.Second

// endedRow is a row and when it was dropped.
type endedRow struct {
	*row
	at time.Duration
}

// Remove takes the end of a registration. While the store is away, and for a
// moment after, it may have run out only because it couldn't be renewed.
func (s *State) Remove(now time.Duration, revision uint64, id string) {
	s.revision = max(s.revision, revision)
	one := s.rows[id]
	if one == nil || one.Revision > revision {
		return
	}
	s.dirty = true
	one.endedAt = revision
	if one.State == mesh.Ready && s.lapsing(now) {
		if one.dropAt == 0 {
			one.dropAt = s.overdueAt(now)
		}
		if s.lost && one.Addr == s.own {
			s.revive(now)
		}
		return
	}
	s.drop(now, id)
}

// drop takes a target out of use.
func (s *State) drop(now time.Duration, id string) {
	if one := s.rows[id]; one.State == mesh.Ready {
		one.dropAt = 0
		s.ended[id] = endedRow{one, now}
	}
	delete(s.rows, id)
	s.dirty = true
}

// overdueAt is when a registration that ended now would be back if it had only run out.
// While the store is away nobody knows; Regained sets it anew.
func (s *State) overdueAt(now time.Duration) time.Duration {
	if s.lost {
		return now + lapseGrace
	}
	return s.regainedAt + lapseGrace
}

func (s *State) lapsing(now time.Duration) bool {
	return s.lost || now < s.regainedAt+lapseGrace
}

// Lost notes that the store doesn't answer; it returns false if that was known.
//
// A node that takes its news from others may learn that the registration of its own
// backend server ended before it learns that both are cut off from the store, which is
// why it ended, or at about the same time. Its callers would then find one target less, and the other nodes that
// were cut off as well, though all of them run. So what ended together with the own
// registration is used again until the store answers.
func (s *State) Lost(now time.Duration) bool {
	was := s.lost
	s.lost = true
	if !was && s.OwnEnded() {
		s.revive(now)
	}
	return !was
}

func (s *State) revive(now time.Duration) {
	for id, one := range s.ended {
		delete(s.ended, id)
		if now-one.at > reviveWithin {
			continue
		}
		one.dropAt = now + lapseGrace
		s.rows[id] = one.row
		s.dirty = true
	}
}

// Answered notes that the store has answered this node as of a revision. What ended until
// then didn't end because the node is cut off from the store, and stays ended.
func (s *State) Answered(revision uint64) {
	maps.DeleteFunc(s.ended, func(_ string, one endedRow) bool { return one.endedAt <= revision })
}

// OwnEnded says whether the registration of the own backend server ended lately.
func (s *State) OwnEnded() bool {
	for _, one := range s.ended {
		if one.Addr == s.own {
			return true
		}
	}
	return false
}

// Regained notes that the store answers; it returns false if it did before.
func (s *State) Regained(now time.Duration) bool {
	was := s.lost
	if was {
		s.lost, s.regainedAt = false, now
		for _, one := range s.rows {
			if one.dropAt != 0 {
				one.dropAt = now + lapseGrace
			}
		}
	}
	return was
}

// OutageEnded takes another node's word that the store came back some time ago. A
// node that takes its news from others may not have noticed the outage, and would
// drop at once what had run out meanwhile.
func (s *State) OutageEnded(at time.Duration) { s.regainedAt = max(s.regainedAt, at) }

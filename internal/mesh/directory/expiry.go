package directory

import (
	"maps"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// expiryGrace is how long a target stays in use whose registration is missing when the
// store recovers. Targets renew registrations that expired during an outage within two
// seconds of its end, and dropping them at once would empty whole services whose targets
// all run.
const expiryGrace = 2 * time.Second

// restoreWindow is how long an ended registration is remembered. The registrations of
// targets that are cut off from the store together expire within one and a half heartbeats.
const restoreWindow = 4 * time.Second

// endedRecord is a dropped record and the time of the drop.
type endedRecord struct {
	*targetRecord
	at time.Duration
}

// Remove handles the end of a registration. During an outage of the store and for a grace
// period after it, the registration may have expired only because it couldn't be renewed.
func (s *State) Remove(now time.Duration, revision uint64, id string) {
	s.revision = max(s.revision, revision)
	rec := s.records[id]
	if rec == nil || rec.Revision > revision {
		return
	}
	s.dirty = true
	rec.endedAt = revision
	if rec.State == mesh.Ready && s.inGracePeriod(now) {
		if rec.dropAt == 0 {
			rec.dropAt = s.graceEnd(now)
		}
		if s.unavailable && rec.Addr == s.own {
			s.restoreEnded(now)
		}
		return
	}
	s.drop(now, id)
}

// drop removes a target from use.
func (s *State) drop(now time.Duration, id string) {
	if rec := s.records[id]; rec.State == mesh.Ready {
		rec.dropAt = 0
		s.ended[id] = endedRecord{rec, now}
	}
	delete(s.records, id)
	s.dirty = true
}

// graceEnd returns when a registration that ends now would have been renewed if it had only
// expired. During an outage this is provisional; MarkAvailable sets it again.
func (s *State) graceEnd(now time.Duration) time.Duration {
	if s.unavailable {
		return now + expiryGrace
	}
	return s.recoveredAt + expiryGrace
}

func (s *State) inGracePeriod(now time.Duration) bool {
	return s.unavailable || now < s.recoveredAt+expiryGrace
}

// MarkUnavailable records that the store doesn't answer. It returns false if that was known.
//
// A node that follows others may learn that the registration of its own backend server ended
// before it learns the cause, which is that both are cut off from the store. Its callers
// would then lose that target and those of the other nodes that are cut off, although all of
// them run. Therefore the targets whose registrations ended together with its own are
// restored until the store answers.
func (s *State) MarkUnavailable(now time.Duration) bool {
	wasUnavailable := s.unavailable
	s.unavailable = true
	if !wasUnavailable && s.OwnRegistrationEnded() {
		s.restoreEnded(now)
	}
	return !wasUnavailable
}

func (s *State) restoreEnded(now time.Duration) {
	for id, rec := range s.ended {
		delete(s.ended, id)
		if now-rec.at > restoreWindow {
			continue
		}
		rec.dropAt = now + expiryGrace
		s.records[id] = rec.targetRecord
		s.dirty = true
	}
}

// ConfirmEnds records that the store has answered this node at a revision. Registrations that
// ended up to then did not end because the node is cut off, and are not restored.
func (s *State) ConfirmEnds(revision uint64) {
	maps.DeleteFunc(s.ended, func(_ string, rec endedRecord) bool { return rec.endedAt <= revision })
}

// OwnRegistrationEnded reports whether the registration of the local backend server ended
// within the restore window and the store has not confirmed it.
func (s *State) OwnRegistrationEnded() bool {
	for _, rec := range s.ended {
		if rec.Addr == s.own {
			return true
		}
	}
	return false
}

// MarkAvailable records that the store answers. It returns false if that was known.
func (s *State) MarkAvailable(now time.Duration) bool {
	wasUnavailable := s.unavailable
	if wasUnavailable {
		s.unavailable, s.recoveredAt = false, now
		for _, rec := range s.records {
			if rec.dropAt != 0 {
				rec.dropAt = now + expiryGrace
			}
		}
	}
	return wasUnavailable
}

// RecordOutageEnd records when an outage of the store ended, as reported by another node. A
// node that follows others may not have noticed the outage, and would drop registrations
// that expired during it at once.
func (s *State) RecordOutageEnd(at time.Duration) { s.recoveredAt = max(s.recoveredAt, at) }

package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/suspect"
)

// suspectsPerGossip is the maximum number of suspects in one message.
const suspectsPerGossip = 4

// DeathObserved is a request that was in flight when a backend server died.
type DeathObserved struct {
	Fingerprint uint64
	Death       suspect.Death
}

func (e DeathObserved) apply(s *State, now time.Duration, _ *commands) {
	s.suspects.RecordDeath(e.Fingerprint, e.Death, now)
}

// SuspectCleared is a suspect request that completed.
type SuspectCleared struct{ Fingerprint uint64 }

func (e SuspectCleared) apply(s *State, _ time.Duration, _ *commands) {
	s.suspects.Clear(e.Fingerprint)
}

// runSuspects removes expired rows and publishes changes to the goroutines that handle
// requests. A request that crashes backend servers is retried at once, often on another
// node, so changes are pushed without waiting for the next gossip round.
func (s *State) runSuspects(now time.Duration, out *commands) {
	s.suspects.Expire(now)
	if set, changed := s.suspects.Changed(); changed {
		s.suspectSet, s.dirty = set, true
		s.push(out)
	}
}

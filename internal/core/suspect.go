package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/suspect"
)

// suspectsPerGossip bounds the suspects in one message, and so its bytes.
const suspectsPerGossip = 4

// SuspectDied is a request that was in flight when a backend server died.
type SuspectDied struct {
	Fingerprint uint64
	Death       suspect.Death
}

func (e SuspectDied) apply(s *State, now time.Duration, _ *commands) {
	s.suspects.Died(e.Fingerprint, e.Death, now)
}

// SuspectCleared is a suspect that has run to its end.
type SuspectCleared struct{ Fingerprint uint64 }

func (e SuspectCleared) apply(s *State, _ time.Duration, _ *commands) {
	s.suspects.Clear(e.Fingerprint)
}

// runSuspects forgets old rows and puts what changed before the traffic side.
// A killing request is sent again at once, often to another node, so its news
// can't wait for the next round of gossip.
func (s *State) runSuspects(now time.Duration, out *commands) {
	s.suspects.Expire(now)
	if set, changed := s.suspects.Changed(); changed {
		s.suspectSet, s.dirty = set, true
		s.push(out)
	}
}

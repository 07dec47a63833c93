package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// joinTimeout is how long a new node waits for enough serving peers if at least one
	// serving peer, or any peer of another zone, has answered.
	joinTimeout = 2 * time.Second
	// isolatedJoinTimeout is how long it waits if there is no such answer.
	isolatedJoinTimeout = 10 * time.Second
	// joinPeers is how many serving peers must answer before a new node serves.
	joinPeers = 3
)

// startServing lets a new node serve once that is safe. The node has no earlier state
// and the platform may be stale, so it could put an older configuration in force. It
// therefore first contacts the platform and several peers, and doesn't serve until it
// has the newest configuration that a peer has in force.
func (s *State) startServing(now time.Duration, out *commands) {
	t := &s.config
	if s.joined || t.active == nil || !t.reads.done || t.peerHasNewer() || !s.enoughAnswers(now) {
		return
	}
	s.joined, s.dirty = true, true
	t.since = now
	out.log("serving", "revision", t.version().Revision, "digest", t.version().Digest, "peers", len(t.answered))
}

// inForce returns the version under which requests are handled. It is zero before the
// node serves, because the active configuration may until then be older than the one in
// force before a restart.
func (s *State) inForce() config.Version {
	if !s.joined {
		return config.Version{}
	}
	return s.config.version()
}

// peerHasNewer reports whether a peer has a newer version in force than this node.
// Versions seen only on the platform don't count, because they may be partially
// published and never become complete.
func (t *configTable) peerHasNewer() bool {
	return t.needs(t.newestHeld)
}

// enoughAnswers reports whether enough peers have answered. Only serving peers count;
// the others have just started too and may only know the state of a stale platform.
// They shorten the wait only if the whole fleet is starting, which is assumed if peers
// of other zones answer.
func (s *State) enoughAnswers(now time.Duration) bool {
	serving, outside := 0, s.knownPeers() == len(s.zonePeers())
	for vm, serves := range s.config.answered {
		if serves {
			serving++
		}
		outside = outside || s.zoneOf(vm) != s.self.Zone
	}
	switch {
	case serving >= min(joinPeers, s.knownPeers()) && s.vms.known:
		return true
	case serving > 0 || outside && len(s.config.answered) > 0:
		return now >= joinTimeout
	}
	return now >= isolatedJoinTimeout
}

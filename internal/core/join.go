package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// joinPatience is how long a new node waits for enough peers that serve, once
	// one of them, or any of another zone, has answered.
	joinPatience = 2 * time.Second
	// lonelyPatience is how long it waits when none does.
	lonelyPatience = 10 * time.Second
	// joinPeers is how many peers a new node wants to hear before it serves.
	joinPeers = 3
)

// join decides when a node that has just started may serve. It has no memory
// and the platform may be stale: an older configuration would be in force here.
// So it hears the platform and several peers first, and whatever a peer has in
// force must be in force here before anything is served.
func (s *State) join(now time.Duration, out *commands) {
	t := &s.config
	if s.joined || t.active == nil || !t.reads.done || t.heldElsewhere() || !s.heardEnough(now) {
		return
	}
	s.joined, s.dirty = true, true
	t.since = now
	out.log("serving", "revision", t.version().Revision, "digest", t.version().Digest, "peers", len(t.heardFrom))
}

// inForce is the version that requests are handled by; zero before the node
// serves, because what is held until then may be older than what the node had
// in force before its restart.
func (s *State) inForce() config.Version {
	if !s.joined {
		return config.Version{}
	}
	return s.config.version()
}

// heldElsewhere says that a peer has a newer version in force that isn't here
// yet. What was only seen on the platform doesn't count: it may be
// half-published and never become whole.
func (t *configTable) heldElsewhere() bool {
	return t.wants(t.held)
}

// heardEnough says whether enough peers were heard. Those that serve count;
// others have started just now as well, and may know no more than a stale
// platform told them. They shorten the wait only when a whole fleet starts, which
// shows in answers from other zones.
func (s *State) heardEnough(now time.Duration) bool {
	serving, outside := 0, s.knownPeers() == len(s.zonePeers())
	for vm, serves := range s.config.heardFrom {
		if serves {
			serving++
		}
		outside = outside || s.zoneOf(vm) != s.self.Zone
	}
	switch {
	case serving >= min(joinPeers, s.knownPeers()) && s.vms.known:
		return true
	case serving > 0 || outside && len(s.config.heardFrom) > 0:
		return now >= joinPatience
	}
	return now >= lonelyPatience
}

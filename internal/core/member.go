package core

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

var errOtherFleet = eris.New("index belongs to another fleet")

const (
	// suspectAfter is the number of consecutive failed exchanges after which a peer is
	// suspected.
	suspectAfter = 3
	// memberTTL is how long a member that isn't listed is kept after its last update.
	memberTTL = 10 * time.Minute
	// sweepInterval is the pause between two removals of such members.
	sweepInterval = time.Second
	// clashPause is the minimum time between two increases of a node's order above that
	// of another process with its name.
	clashPause = 10 * time.Second
)

// member is the state of a node, from peers' updates and this node's own exchanges.
type member struct {
	update   wire.Member
	lastSeen time.Duration
	failures int
	// seenByOthers is true if other nodes received updates from the node after this one
	// failed to reach it, as with a link that fails in one direction. This node doesn't
	// suspect it again until it has reached it.
	seenByOthers bool
	// urgentSends is how many more times the update is sent as urgent.
	urgentSends int
}

// memberTable holds the known nodes.
type memberTable struct {
	rows    map[string]*member
	names   []string
	sweepAt time.Duration
	clashAt time.Duration
}

// mergeMember merges an update about one node. A higher order wins, then a higher beat,
// then a later MemberState.
func (s *State) mergeMember(update wire.Member, now time.Duration) {
	m := s.members.rows[update.VM]
	first := m == nil
	if first {
		if !s.expected(update.VM) {
			return
		}
		m = &member{}
		s.members.rows[update.VM] = m
		s.members.names = append(s.members.names, update.VM)
	} else if !newer(update, m.update) {
		return
	}
	old := m.update
	m.update, m.lastSeen = update, now
	s.stat(update.VM).UpdateIdentity(pick.Identity{Incarnation: update.Incarnation, Tick: update.Tick})
	switch {
	case old.Incarnation != update.Incarnation:
		m.failures, m.seenByOthers = 0, false
	case update.State != wire.MemberSuspect && update.Beat > old.Beat && m.failures >= suspectAfter:
		m.failures, m.seenByOthers = 0, true
	}
	if old.State == update.State && (first || old.Incarnation == update.Incarnation) {
		return
	}
	s.spreadUpdate(update.VM)
	if isLeaving(old.State) != isLeaving(update.State) {
		s.dirty = true
		s.scheduleUrgent(now)
	}
}

// isLeaving reports whether a node in the given state accepts no new work.
func isLeaving(state wire.MemberState) bool {
	return state == wire.MemberLeaving || state == wire.MemberListed
}

func newer(a, b wire.Member) bool {
	if a.Order != b.Order {
		return a.Order > b.Order
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.State > b.State
}

// mergeSelf processes an update about this VM. An update with a higher order comes from
// a predecessor whose clock was ahead, or from an old VM that resumed after its
// replacement started. Peers would keep preferring that update, so the node raises its
// own order above it, at most once per clashPause so that two running processes with
// one name don't race. list is the version of the sender's VM list.
func (s *State) mergeSelf(update wire.Member, list uint64, now time.Duration, out *commands) {
	if update.State == wire.MemberListed && list > s.vms.version {
		s.backend.reportedUntil = now + leavingReportTTL
		s.backend.reportedVersion = max(s.backend.reportedVersion, list)
	}
	if update.Incarnation == s.self.Incarnation || update.Order < s.order || now < s.members.clashAt {
		return
	}
	s.members.clashAt = now + clashPause
	s.order = update.Order + 1
	s.counters.NameClashes++
	out.log("another process under this VM's name", "incarnation", update.Incarnation, "own", s.self.Incarnation)
}

// expected reports whether a VM is listed or declared. Other VMs aren't stored, so that
// wrong updates can't fill the table. Before any configuration is known, every VM is
// expected.
func (s *State) expected(vm string) bool {
	if _, listed := s.vms.rows[vm]; listed || s.config.active == nil {
		return true
	}
	return s.zoneOf(vm) != ""
}

// spreadUpdate marks the update about a VM as urgent, for enough sends to reach every
// node with high probability: a small multiple of the logarithm of the fleet's size
// (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
func (s *State) spreadUpdate(vm string) {
	const times = 2
	if m := s.members.rows[vm]; m != nil {
		m.urgentSends = times * bits.Len(uint(len(s.vms.names)))
	}
}

func (s *State) stat(vm string) *pick.Stat {
	st := s.stats[vm]
	if st == nil {
		st = &pick.Stat{}
		s.stats[vm] = st
	}
	return st
}

// exchangeFailed counts a failed exchange. After suspectAfter consecutive failures the
// peer is suspected and other nodes are notified. The peer's next beat, received from
// any node, refutes the suspicion.
func (s *State) exchangeFailed(vm string) {
	m := s.members.rows[vm]
	if m == nil || m.seenByOthers {
		return
	}
	m.failures++
	if m.failures != suspectAfter || m.update.State != wire.MemberAlive {
		return
	}
	s.counters.Suspicions++
	m.update.State = wire.MemberSuspect
	s.spreadUpdate(vm)
}

func (s *State) suspected(vm string) bool {
	m := s.members.rows[vm]
	return m != nil && (m.failures >= suspectAfter || m.update.State == wire.MemberSuspect)
}

// runMembers removes members that aren't listed and whose last update is older than
// memberTTL.
func (s *State) runMembers(now time.Duration) {
	t := &s.members
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	t.names = slices.DeleteFunc(t.names, func(name string) bool {
		_, listed := s.vms.rows[name]
		gone := !listed && now-t.rows[name].lastSeen > memberTTL
		if gone {
			delete(t.rows, name)
		}
		return gone
	})
}

func rendezvous(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// Welcome reports whether a dialing node may send control messages. It must belong to
// this fleet and, once a configuration is known, be declared or listed.
func (s *State) Welcome(h *wire.Hello) bool {
	return h.Fleet == s.self.Fleet && s.expected(h.VM)
}

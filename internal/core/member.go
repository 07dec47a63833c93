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

var errOtherFleet = eris.New("the index is of another fleet")

const (
	// suspectAfter failed exchanges in a row a node suspects a peer.
	suspectAfter = 3
	// forgetAfter drops members that are neither listed nor heard of.
	forgetAfter = 10 * time.Minute
	// sweepEvery is the pause between two looks for such members.
	sweepEvery = time.Second
	// clashPause bounds how often a node goes above another of its name.
	clashPause = 10 * time.Second
)

// member is what peers say of a node, and what this node saw itself.
type member struct {
	news     wire.Member
	heard    time.Duration
	failures int
	// vouched says that others heard the node after this one failed to reach it,
	// as with a link cut in one direction: it isn't suspected again from here
	// until this node has reached it.
	vouched bool
	// spread is how often the news is still sent ahead of its turn.
	spread int
}

// memberTable holds the nodes heard of.
type memberTable struct {
	rows    map[string]*member
	names   []string
	sweepAt time.Duration
	clashAt time.Duration
}

// hear merges news of one node: a higher order wins, then a higher beat, then
// the graver state.
func (s *State) hear(news wire.Member, now time.Duration) {
	m := s.members.rows[news.VM]
	first := m == nil
	if first {
		if !s.expected(news.VM) {
			return
		}
		m = &member{}
		s.members.rows[news.VM] = m
		s.members.names = append(s.members.names, news.VM)
	} else if !newer(news, m.news) {
		return
	}
	old := m.news
	m.news, m.heard = news, now
	s.stat(news.VM).Learn(pick.Identity{Incarnation: news.Incarnation, Tick: news.Tick})
	switch {
	case old.Incarnation != news.Incarnation:
		m.failures, m.vouched = 0, false
	case news.State != wire.MemberSuspect && news.Beat > old.Beat && m.failures >= suspectAfter:
		m.failures, m.vouched = 0, true
	}
	if old.State == news.State && (first || old.Incarnation == news.Incarnation) {
		return
	}
	s.spread(news.VM)
	if leaves(old.State) != leaves(news.State) {
		s.dirty = true
		s.hurry(now)
	}
}

// leaves says whether a node in a state takes no new work.
func leaves(state wire.MemberState) bool {
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

// hearSelf takes what others say of this VM. News of it under a higher order
// come from a predecessor whose clock was ahead, or from a zombie VM beside its
// replacement. Peers would go on believing them, so the node goes above them,
// rarely enough that two living processes of one name don't race. list is the
// version of the sender's VM list.
func (s *State) hearSelf(news wire.Member, list uint64, now time.Duration, out *commands) {
	if news.State == wire.MemberListed && list > s.vms.version {
		s.backend.toldUntil = now + toldFor
		s.backend.toldOf = max(s.backend.toldOf, list)
	}
	if news.Incarnation == s.self.Incarnation || news.Order < s.order || now < s.members.clashAt {
		return
	}
	s.members.clashAt = now + clashPause
	s.order = news.Order + 1
	s.counters.NameClashes++
	out.log("another process under this VM's name", "incarnation", news.Incarnation, "own", s.self.Incarnation)
}

// expected says whether a VM is listed or declared. Others aren't remembered,
// so that wrong news can't fill the table. Before anything is known, all are.
func (s *State) expected(vm string) bool {
	if _, listed := s.vms.rows[vm]; listed || s.config.active == nil {
		return true
	}
	return s.zoneOf(vm) != ""
}

// spread has news of a VM sent ahead of their turn, often enough to reach
// every node with high probability: a few times the logarithm of the fleet's size
// (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
func (s *State) spread(vm string) {
	const times = 2
	if m := s.members.rows[vm]; m != nil {
		m.spread = times * bits.Len(uint(len(s.vms.names)))
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

// failed counts an exchange that failed. After a few in a row the peer is
// suspected and others are told; its next beat, heard by any way, refutes it.
func (s *State) failed(vm string) {
	m := s.members.rows[vm]
	if m == nil || m.vouched {
		return
	}
	m.failures++
	if m.failures != suspectAfter || m.news.State != wire.MemberAlive {
		return
	}
	s.counters.Suspicions++
	m.news.State = wire.MemberSuspect
	s.spread(vm)
}

func (s *State) suspected(vm string) bool {
	m := s.members.rows[vm]
	return m != nil && (m.failures >= suspectAfter || m.news.State == wire.MemberSuspect)
}

// runMembers drops what is neither listed nor heard of.
func (s *State) runMembers(now time.Duration) {
	t := &s.members
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepEvery
	t.names = slices.DeleteFunc(t.names, func(name string) bool {
		_, listed := s.vms.rows[name]
		gone := !listed && now-t.rows[name].heard > forgetAfter
		if gone {
			delete(t.rows, name)
		}
		return gone
	})
}

func rendezvous(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// Welcome says whether a node that dialled may send control messages: it must
// be of this fleet and, once anything is known of its VMs, declared or listed.
func (s *State) Welcome(h *wire.Hello) bool {
	return h.Fleet == s.self.Fleet && s.expected(h.VM)
}

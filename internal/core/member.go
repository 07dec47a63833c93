package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

var errOtherFleet = eris.New("the index is of another fleet")

const (
	// gossipEvery is the pause between two exchanges that a node starts.
	gossipEvery = 500 * time.Millisecond
	// News that can't wait is told to hurriedPeers peers at once, in each of
	// hurriedRounds rounds gossipHurry apart. Each node that hears it does the
	// same, so it spreads in a few rounds.
	gossipHurry   = 10 * time.Millisecond
	hurriedRounds = 2
	hurriedPeers  = 4
	// newsPerGossip bounds the members in one message, and so its bytes.
	newsPerGossip = 8
	// suspectAfter failed exchanges in a row a node suspects a peer.
	suspectAfter = 3
	// forgetAfter drops members that are neither listed nor heard of.
	forgetAfter = 10 * time.Minute
)

// vmTable is the platform's list of VMs as last read.
type vmTable struct {
	rows     map[string]platform.VM
	version  uint64
	watching bool
	retryAt  time.Duration
	known    bool
}

// member is what peers say of a node, and what this node saw itself.
type member struct {
	news     wire.Member
	heard    time.Duration
	failures int
}

type gossipRound struct {
	nextAt time.Duration
	// hurry is how many more exchanges follow each other at gossipHurry.
	hurry int
	beat  uint64
	turn  int
}

// VMsRead is the result of a WatchVMs.
type VMsRead struct {
	List platform.VMList
	Err  error
}

func (e VMsRead) apply(s *State, now time.Duration, _ *commands) {
	t := &s.vms
	t.watching = false
	if e.Err != nil {
		t.retryAt = now + s.jitter(retryPause)
		return
	}
	t.known = true
	if e.List.Version == t.version {
		return
	}
	t.version = e.List.Version
	t.rows = make(map[string]platform.VM, len(e.List.VMs))
	for _, vm := range e.List.VMs {
		t.rows[vm.Name] = vm
	}
	s.dirty = true
}

func (s *State) runVMs(now time.Duration, out *commands) {
	t := &s.vms
	if t.watching || now < t.retryAt {
		return
	}
	t.watching = true
	out.add(WatchVMs{After: t.version})
}

// GossipHeard is news that a peer sent, in a message or an answer.
type GossipHeard struct {
	News *wire.Gossip
	// Addr is the peer's control address if this node dialled it.
	Addr string
}

func (e GossipHeard) apply(s *State, now time.Duration, out *commands) {
	for _, one := range e.News.Suspects {
		s.suspects.Merge(one, now)
	}
	for _, m := range e.News.Members {
		s.hear(m, now)
	}
	if m := s.members[e.News.From]; m != nil {
		m.failures = 0
		m.heard = now
	}
	if e.Addr == "" {
		return
	}
	s.config.peers++
	if e.News.Revision > s.config.newest().Revision ||
		e.News.Revision == s.config.newest().Revision && e.News.Digest > s.config.newest().Digest {
		out.add(FetchIndex{Digest: e.News.Digest, Peer: e.Addr})
	}
}

// hear merges news of one node: a higher incarnation wins, then a higher beat.
func (s *State) hear(news wire.Member, now time.Duration) {
	if news.VM == s.self.VM {
		return
	}
	m := s.members[news.VM]
	if m == nil {
		m = &member{}
		s.members[news.VM] = m
		m.news = news
		m.heard = now
		s.learn(news)
		s.dirty = true
		return
	}
	old := m.news
	newer := news.Incarnation > old.Incarnation ||
		news.Incarnation == old.Incarnation && (news.Beat > old.Beat || news.Beat == old.Beat && news.State > old.State)
	if !newer {
		return
	}
	m.news = news
	m.heard = now
	s.learn(news)
	if old.State != news.State {
		s.dirty = true
	}
}

func (s *State) learn(news wire.Member) {
	s.stat(news.VM).Learn(pick.Identity{Incarnation: news.Incarnation, Tick: news.Tick})
}

func (s *State) stat(vm string) *pick.Stat {
	st := s.stats[vm]
	if st == nil {
		st = &pick.Stat{}
		s.stats[vm] = st
	}
	return st
}

// hurry makes the next few exchanges follow each other quickly.
func (s *State) hurry(now time.Duration) {
	s.round.hurry = hurriedRounds
	s.round.nextAt = now
}

// GossipFailed says that a peer could not be reached for an exchange.
type GossipFailed struct{ VM string }

func (e GossipFailed) apply(s *State, _ time.Duration, _ *commands) {
	if m := s.members[e.VM]; m != nil {
		m.failures++
	}
}

func (s *State) suspected(vm string) bool {
	m := s.members[vm]
	return m != nil && (m.failures >= suspectAfter || m.news.State == wire.MemberSuspect)
}

// runMembers drops what is neither listed nor heard of.
func (s *State) runMembers(now time.Duration, _ *commands) {
	for name, m := range s.members {
		if _, listed := s.vms.rows[name]; !listed && now-m.heard > forgetAfter {
			delete(s.members, name)
		}
	}
}

// runGossip starts an exchange with one random peer when it is due.
func (s *State) runGossip(now time.Duration, out *commands) {
	if now < s.round.nextAt {
		return
	}
	s.round.nextAt = now + gossipEvery
	peers := 1
	if s.round.hurry > 0 {
		s.round.hurry--
		s.round.nextAt = now + gossipHurry
		peers = hurriedPeers
	}
	if !s.joined {
		s.round.nextAt = now + gossipEvery/10
	}
	for range peers {
		s.startExchange(out)
	}
}

func (s *State) startExchange(out *commands) {
	s.round.beat++
	vm, addr := s.peer()
	if addr == "" {
		return
	}
	out.add(SendGossip{VM: vm, Addr: addr, News: s.news()})
}

// peer chooses a random peer; while the VM list is unknown, a seed.
func (s *State) peer() (vm, addr string) {
	names := s.peerNames()
	if len(names) == 0 {
		if len(s.self.Seeds) == 0 {
			return "", ""
		}
		return "", s.self.Seeds[s.rnd.IntN(len(s.self.Seeds))]
	}
	vm = names[s.rnd.IntN(len(names))]
	return vm, s.controlAddr(vm)
}

func (s *State) knownPeers() int { return len(s.peerNames()) }

// news is what this node tells in one exchange: itself, and a few others in turn.
func (s *State) news() *wire.Gossip {
	v := s.config.version()
	g := &wire.Gossip{From: s.self.VM, Revision: v.Revision, Digest: v.Digest}
	g.Members = append(g.Members, s.selfNews())
	names := s.memberNames()
	for range min(newsPerGossip-1, len(names)) {
		s.round.turn++
		g.Members = append(g.Members, s.members[names[s.round.turn%len(names)]].news)
	}
	g.Suspects = s.suspects.News(suspectsPerGossip, s.now)
	return g
}

func (s *State) selfNews() wire.Member {
	state := wire.MemberAlive
	if s.backend.leaving() {
		state = wire.MemberLeaving
	}
	return wire.Member{
		VM: s.self.VM, Incarnation: s.self.Incarnation, State: state,
		Tick: s.backend.tick, Beat: s.round.beat,
	}
}

// News gives what to answer to a peer's gossip.
func (s *State) News() *wire.Gossip { return s.news() }

func rendezvous(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// Welcome says whether a node that dialled may send control messages: it must
// be of this fleet and, once anything is known of its VMs, declared or listed.
func (s *State) Welcome(h *wire.Hello) bool {
	if h.Fleet != s.self.Fleet {
		return false
	}
	if s.config.active == nil {
		return true
	}
	if _, listed := s.vms.rows[h.VM]; listed {
		return true
	}
	_, t := s.config.active.Target(h.VM)
	return t != nil
}

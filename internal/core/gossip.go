package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// gossipEvery is the pause between two exchanges that a node starts. With
	// newsPerGossip it bounds the control bytes, whatever the fleet's size.
	gossipEvery = time.Second
	// joiningEvery is the same for a node that doesn't serve yet.
	joiningEvery = 100 * time.Millisecond
	// urgentEvery is the same for urgentRounds after news that change who is chosen.
	urgentEvery  = 200 * time.Millisecond
	urgentRounds = 4
	// newsPerGossip bounds the members in one message, the sender among them.
	newsPerGossip = 8
	// urgentPerGossip is the same while there are news ahead of their turn: a
	// restarted zone is 81 changes at once, and its nodes should be known within
	// half a minute. Longer messages cost more for that time only.
	urgentPerGossip = 18
	// pushTo is how many peers are told at once of a change that is in force here.
	pushTo = 3
	// exchangesAtOnce bounds the exchanges under way that this node started.
	exchangesAtOnce = 8
)

// gossipRound paces the exchanges that this node starts.
type gossipRound struct {
	nextAt time.Duration
	beat   uint64
	// turn is the place in the members' names up to which news were sent.
	turn int
	// urgent is how many exchanges are still due at the shorter pause.
	urgent   int
	underWay int
	// again is a peer that failed and is asked once more before others.
	again string
	// heard is when a peer was last heard.
	heard time.Duration
}

// GossipHeard is news that a peer sent, in a message or an answer.
type GossipHeard struct {
	News *wire.Gossip
	// Addr is the peer's control address if this node dialled it.
	Addr string
	// Prompt says that the answer came within moments of the question, so that
	// what it says of ages is true now.
	Prompt bool
}

func (e GossipHeard) apply(s *State, now time.Duration, out *commands) {
	from, addr := e.News.From, e.Addr
	if addr != "" {
		s.round.underWay--
		s.config.heardFrom[from] = e.News.Serving
	} else {
		addr = s.controlAddr(from)
	}
	s.round.heard = now
	for _, one := range e.News.Suspects {
		s.suspects.Merge(one, now)
	}
	for _, m := range e.News.Members {
		if m.VM == s.self.VM {
			s.hearSelf(m, e.News.VMs, now, out)
			continue
		}
		s.hear(m, now)
	}
	if m := s.members.rows[from]; m != nil {
		m.heard = now
		if e.Addr != "" {
			m.failures, m.vouched = 0, false
		}
	}
	s.heardVersion(config.Version{Revision: e.News.Revision, Digest: e.News.Digest}, addr, now, out)
	if e.Prompt {
		s.vms.heardAge(e.News.VMs, e.News.VMsAge, now)
	}
	s.heardVMs(e.News.VMs, from, addr, now, out)
}

// GossipFailed says that a peer could not be reached for an exchange.
type GossipFailed struct{ VM string }

func (e GossipFailed) apply(s *State, _ time.Duration, _ *commands) {
	s.round.underWay--
	s.failed(e.VM)
	if m := s.members.rows[e.VM]; m != nil && m.failures < suspectAfter {
		s.round.again = e.VM
	}
}

// runGossip starts an exchange with one peer when it is due.
func (s *State) runGossip(now time.Duration, out *commands) {
	if now < s.round.nextAt {
		return
	}
	every := gossipEvery
	switch {
	case !s.joined:
		every = joiningEvery
	case s.round.urgent > 0:
		s.round.urgent--
		every = urgentEvery
	}
	// A random part keeps nodes that started together from going in step.
	s.round.nextAt = now + every*3/4 + time.Duration(s.rnd.Int64N(int64(every)/2))
	s.round.beat++
	vm, addr := s.peer()
	s.send(vm, addr, out)
}

// hurry has the next exchanges follow sooner.
func (s *State) hurry(now time.Duration) {
	s.round.urgent = urgentRounds
	s.round.nextAt = min(s.round.nextAt, now+urgentEvery)
}

// send starts an exchange, unless too many are under way.
func (s *State) send(vm, addr string, out *commands) {
	if addr == "" || s.round.underWay >= exchangesAtOnce {
		return
	}
	s.round.underWay++
	out.add(SendGossip{VM: vm, Addr: addr, News: s.news()})
}

// peer chooses whom to ask: one that just failed, else a random peer, every
// other time of the own zone. While the VM list is unknown, a seed.
func (s *State) peer() (vm, addr string) {
	if vm = s.round.again; vm != "" {
		s.round.again = ""
		if addr = s.controlAddr(vm); addr != "" {
			return vm, addr
		}
	}
	if s.round.beat%2 == 0 {
		if vm = s.randomPeer(s.zonePeers()); vm != "" {
			return vm, s.controlAddr(vm)
		}
	}
	if vm = s.randomPeer(s.vms.names); vm != "" {
		return vm, s.controlAddr(vm)
	}
	if len(s.self.Seeds) == 0 {
		return "", ""
	}
	return "", s.self.Seeds[s.rnd.IntN(len(s.self.Seeds))]
}

// randomPeer chooses one of the names that isn't the own VM, or "".
func (s *State) randomPeer(names []string) string {
	if len(names) == 0 {
		return ""
	}
	at := s.rnd.IntN(len(names))
	if names[at] == s.self.VM {
		at = (at + 1) % len(names)
	}
	if names[at] == s.self.VM {
		return ""
	}
	return names[at]
}

// push tells a few random peers at once that something new is in force here.
// Each that didn't know it does the same, so all hear of it within a few
// exchanges rather than a few rounds.
func (s *State) push(out *commands) { s.pushAmong(s.vms.names, out) }

// pushZone does the same within the zone, for the VM list.
func (s *State) pushZone(out *commands) { s.pushAmong(s.zonePeers(), out) }

func (s *State) pushAmong(names []string, out *commands) {
	for range pushTo {
		if vm := s.randomPeer(names); vm != "" {
			s.send(vm, s.controlAddr(vm), out)
		}
	}
}

// knownPeers counts the listed VMs but the own one.
func (s *State) knownPeers() int {
	n := len(s.vms.names)
	if _, listed := s.vms.rows[s.self.VM]; listed {
		n--
	}
	return n
}

// news is what this node tells in one exchange: itself, news that are to
// spread, and the others in turn.
func (s *State) news() *wire.Gossip {
	v := s.config.version()
	g := &wire.Gossip{From: s.self.VM, Revision: v.Revision, Digest: v.Digest, Serving: s.joined, VMs: s.vms.version, VMsAge: s.vms.age(s.now)}
	g.Members = append(g.Members, s.selfNews())
	g.Suspects = s.suspects.News(suspectsPerGossip, s.now)
	names := s.members.names
	for _, name := range s.spreading(urgentPerGossip - len(g.Members)) {
		s.members.rows[name].spread--
		g.Members = append(g.Members, s.reported(name))
	}
	for range names {
		if len(g.Members) >= newsPerGossip {
			break
		}
		s.round.turn = (s.round.turn + 1) % len(names)
		name := names[s.round.turn]
		if !slices.ContainsFunc(g.Members, func(m wire.Member) bool { return m.VM == name }) {
			g.Members = append(g.Members, s.reported(name))
		}
	}
	return g
}

// spreading gives up to n members whose news go ahead of their turn, those that
// were sent least first and in random order among equals. In the order of their names, the
// first few would fill every message until they are spread, all nodes would send
// the same ones, and a restarted zone's last would be known after minutes.
func (s *State) spreading(n int) []string {
	var hot []string
	for _, name := range s.members.names {
		if s.members.rows[name].spread > 0 {
			hot = append(hot, name)
		}
	}
	s.rnd.Shuffle(len(hot), func(i, j int) { hot[i], hot[j] = hot[j], hot[i] })
	slices.SortStableFunc(hot, func(a, b string) int {
		return cmp.Compare(s.members.rows[b].spread, s.members.rows[a].spread)
	})
	return hot[:min(n, len(hot))]
}

// reported is the news of a member; one that the VM list shows leaving is told so.
func (s *State) reported(vm string) wire.Member {
	news := s.members.rows[vm].news
	if s.listedLeaving(vm) {
		news.State = wire.MemberListed
	}
	return news
}

func (s *State) selfNews() wire.Member {
	state := wire.MemberAlive
	if s.backend.leaving() {
		state = wire.MemberLeaving
	}
	return wire.Member{
		VM: s.self.VM, Incarnation: s.self.Incarnation, State: state,
		Tick: s.backend.tick, Order: s.order, Beat: s.round.beat,
	}
}

// News gives what to answer to a peer's gossip.
func (s *State) News() *wire.Gossip { return s.news() }

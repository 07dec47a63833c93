package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// gossipInterval is the pause between two exchanges that a node starts. Together with
	// membersPerGossip it limits the control traffic independently of the fleet's size.
	gossipInterval = time.Second
	// joiningInterval is the same for a node that doesn't serve yet.
	joiningInterval = 100 * time.Millisecond
	// urgentInterval is the same for urgentRounds exchanges after an update that changes
	// which targets are chosen.
	urgentInterval = 200 * time.Millisecond
	urgentRounds   = 4
	// membersPerGossip is the maximum number of members in one message, including the
	// sender.
	membersPerGossip = 8
	// urgentMembersPerGossip is the same while there are urgent updates. A restarted zone
	// causes 81 changes at once, and its nodes should be known within half a minute.
	// Messages are longer only during that time.
	urgentMembersPerGossip = 18
	// pushPeers is the number of peers notified immediately of a change in force here.
	pushPeers = 3
	// maxExchanges is the maximum number of concurrent exchanges started by this node.
	maxExchanges = 8
)

// gossipRound schedules the exchanges that this node starts.
type gossipRound struct {
	nextAt time.Duration
	beat   uint64
	// nextName is the index of the last member name sent in turn.
	nextName int
	// urgentRemaining is the number of exchanges left at urgentInterval.
	urgentRemaining int
	inFlight        int
	// retryPeer is a peer whose exchange failed and that is contacted again first.
	retryPeer string
	// lastReceived is when a message from a peer was last received.
	lastReceived time.Duration
}

// GossipReceived is a gossip message or reply from a peer.
type GossipReceived struct {
	Message *wire.Gossip
	// Addr is the peer's control address if this node dialled it.
	Addr string
	// Prompt is true if the reply arrived shortly after the request, so that the ages in
	// it are still accurate.
	Prompt bool
}

func (e GossipReceived) apply(s *State, now time.Duration, out *commands) {
	from, addr := e.Message.From, e.Addr
	if addr != "" {
		s.round.inFlight--
		s.config.answered[from] = e.Message.Serving
	} else {
		addr = s.controlAddr(from)
	}
	s.round.lastReceived = now
	for _, suspect := range e.Message.Suspects {
		s.suspects.Merge(suspect, now)
	}
	for _, m := range e.Message.Members {
		if m.VM == s.self.VM {
			s.mergeSelf(m, e.Message.VMs, now, out)
			continue
		}
		s.mergeMember(m, now)
	}
	if m := s.members.rows[from]; m != nil {
		m.lastSeen = now
		if e.Addr != "" {
			m.failures, m.seenByOthers = 0, false
		}
	}
	s.handleVersion(config.Version{Revision: e.Message.Revision, Digest: e.Message.Digest}, addr, now, out)
	if e.Prompt {
		s.vms.confirmByPeer(e.Message.VMs, e.Message.VMsAge, now)
	}
	s.handleVMsVersion(e.Message.VMs, from, addr, now, out)
}

// GossipFailed reports a failed exchange with a peer.
type GossipFailed struct{ VM string }

func (e GossipFailed) apply(s *State, _ time.Duration, _ *commands) {
	s.round.inFlight--
	s.exchangeFailed(e.VM)
	if m := s.members.rows[e.VM]; m != nil && m.failures < suspectAfter {
		s.round.retryPeer = e.VM
	}
}

// runGossip starts an exchange with one peer when it is due.
func (s *State) runGossip(now time.Duration, out *commands) {
	if now < s.round.nextAt {
		return
	}
	every := gossipInterval
	switch {
	case !s.joined:
		every = joiningInterval
	case s.round.urgentRemaining > 0:
		s.round.urgentRemaining--
		every = urgentInterval
	}
	// The jitter keeps nodes that started together from synchronizing.
	s.round.nextAt = now + every*3/4 + time.Duration(s.rnd.Int64N(int64(every)/2))
	s.round.beat++
	vm, addr := s.choosePeer()
	s.send(vm, addr, out)
}

// scheduleUrgent shortens the pauses before the next exchanges.
func (s *State) scheduleUrgent(now time.Duration) {
	s.round.urgentRemaining = urgentRounds
	s.round.nextAt = min(s.round.nextAt, now+urgentInterval)
}

// send starts an exchange unless too many are in flight.
func (s *State) send(vm, addr string, out *commands) {
	if addr == "" || s.round.inFlight >= maxExchanges {
		return
	}
	s.round.inFlight++
	out.add(SendGossip{VM: vm, Addr: addr, Message: s.gossipMessage()})
}

// choosePeer chooses the peer for the next exchange: a peer whose last exchange failed,
// or else a random peer, every other time from the own zone. It uses a seed while the
// VM list is unknown.
func (s *State) choosePeer() (vm, addr string) {
	if vm = s.round.retryPeer; vm != "" {
		s.round.retryPeer = ""
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

// randomPeer returns a random name other than the own VM's, or "" if there is none.
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

// push immediately sends an update to a few random peers. Each peer that didn't know it
// does the same, so that it reaches all nodes within a few exchanges rather than a few
// rounds.
func (s *State) push(out *commands) { s.pushAmong(s.vms.names, out) }

// pushZone is like push within the own zone, for the VM list.
func (s *State) pushZone(out *commands) { s.pushAmong(s.zonePeers(), out) }

func (s *State) pushAmong(names []string, out *commands) {
	for range pushPeers {
		if vm := s.randomPeer(names); vm != "" {
			s.send(vm, s.controlAddr(vm), out)
		}
	}
}

// knownPeers returns the number of listed VMs other than the own one.
func (s *State) knownPeers() int {
	n := len(s.vms.names)
	if _, listed := s.vms.rows[s.self.VM]; listed {
		n--
	}
	return n
}

// gossipMessage builds the message for one exchange: the node's own update, the urgent
// updates, and then the other members in turn.
func (s *State) gossipMessage() *wire.Gossip {
	v := s.config.version()
	g := &wire.Gossip{From: s.self.VM, Revision: v.Revision, Digest: v.Digest, Serving: s.joined, VMs: s.vms.version, VMsAge: s.vms.age(s.now)}
	g.Members = append(g.Members, s.selfUpdate())
	g.Suspects = s.suspects.NextBatch(suspectsPerGossip, s.now)
	names := s.members.names
	for _, name := range s.urgentMembers(urgentMembersPerGossip - len(g.Members)) {
		s.members.rows[name].urgentSends--
		g.Members = append(g.Members, s.memberUpdate(name))
	}
	for range names {
		if len(g.Members) >= membersPerGossip {
			break
		}
		s.round.nextName = (s.round.nextName + 1) % len(names)
		name := names[s.round.nextName]
		if !slices.ContainsFunc(g.Members, func(m wire.Member) bool { return m.VM == name }) {
			g.Members = append(g.Members, s.memberUpdate(name))
		}
	}
	return g
}

// urgentMembers returns up to n members with urgent updates, those sent least often
// first and in random order among equals. In name order, the first few would fill every
// message until they are spread and all nodes would send the same ones, so that the
// last nodes of a restarted zone would be known only after minutes.
func (s *State) urgentMembers(n int) []string {
	var urgent []string
	for _, name := range s.members.names {
		if s.members.rows[name].urgentSends > 0 {
			urgent = append(urgent, name)
		}
	}
	s.rnd.Shuffle(len(urgent), func(i, j int) { urgent[i], urgent[j] = urgent[j], urgent[i] })
	slices.SortStableFunc(urgent, func(a, b string) int {
		return cmp.Compare(s.members.rows[b].urgentSends, s.members.rows[a].urgentSends)
	})
	return urgent[:min(n, len(urgent))]
}

// memberUpdate returns the update to send about a member, with state MemberListed if
// the VM list shows it as leaving.
func (s *State) memberUpdate(vm string) wire.Member {
	update := s.members.rows[vm].update
	if s.listedLeaving(vm) {
		update.State = wire.MemberListed
	}
	return update
}

func (s *State) selfUpdate() wire.Member {
	state := wire.MemberAlive
	if s.backend.leaving() {
		state = wire.MemberLeaving
	}
	return wire.Member{
		VM: s.self.VM, Incarnation: s.self.Incarnation, State: state,
		Tick: s.backend.tick, Order: s.order, Beat: s.round.beat,
	}
}

// GossipMessage returns the reply to a peer's gossip.
func (s *State) GossipMessage() *wire.Gossip { return s.gossipMessage() }

// Package core holds a node's control state as tables of entities, and the systems that
// process them on each tick. Time, randomness and events are passed in. The package
// starts no goroutines and does no I/O; it returns typed commands for the caller to
// execute. A State must only be used from one goroutine.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Self describes the node itself, from its settings and its start.
type Self struct {
	pick.Place
	Fleet       string
	Incarnation uint64
	Seeds       []string
}

// State is the control state of one node.
type State struct {
	self    Self
	rnd     *rand.Rand
	config  configTable
	vms     vmTable
	members memberTable
	stats   map[string]*pick.Stat
	shared  map[string]*pick.Shared
	subsets subsetTable
	backend backendTable
	joined  bool
	// leaving is true if the own backend server was leaving at the last tick.
	leaving bool
	dirty   bool
	round   gossipRound
	// order ranks this node's updates among all updates about its VM name.
	order    uint64
	counters Counters
	// suspects are requests suspected of crashing backend servers.
	suspects   *suspect.Table
	suspectSet suspect.Set
	// keeper stores the key tables of peers that stopped recently.
	keeper *handover.Keeper
	// now is the time of the last tick.
	now time.Duration
}

// Counters count events of the control state since the start.
type Counters struct {
	// Revision is the revision in force.
	Revision uint64 `json:"revision"`
	// Applied and Refused count the configurations that were applied and refused.
	Applied uint64 `json:"applied"`
	Refused uint64 `json:"refused"`
	// OlderIndexes counts reads of the platform that returned an older revision.
	OlderIndexes uint64 `json:"older_indexes"`
	// Behind counts requests that revealed a peer with another configuration.
	Behind uint64 `json:"behind"`
	// Suspicions counts how often this node began to suspect a peer.
	Suspicions uint64 `json:"suspicions"`
	// NameClashes counts updates about another process under this VM's name.
	NameClashes uint64 `json:"name_clashes"`
	// Keys counts the key tables stored for peers.
	Keys handover.Counts `json:"keys"`
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters {
	c := s.counters
	c.Revision = s.inForce().Revision
	c.Keys = s.keeper.Counts
	return c
}

// Input is the input of one tick.
type Input struct {
	// Now is the time since the node's start, on a monotonic clock.
	Now    time.Duration
	Events []Event
}

// New returns the initial state of a node.
func New(self Self, seed uint64) *State {
	rnd := rand.New(rand.NewPCG(seed, self.Incarnation))
	return &State{
		self:     self,
		rnd:      rnd,
		keeper:   handover.NewKeeper(rnd.Uint64),
		config:   newConfigTable(),
		vms:      vmTable{rows: map[string]platform.VM{}},
		order:    self.Incarnation,
		members:  memberTable{rows: map[string]*member{}},
		stats:    map[string]*pick.Stat{},
		shared:   map[string]*pick.Shared{},
		dirty:    true,
		suspects: suspect.NewTable(),
	}
}

// Tick applies the events since the last tick, runs every system once, and returns the
// commands to execute.
func (s *State) Tick(in Input) []Command {
	out := &commands{}
	s.now = in.Now
	for _, e := range in.Events {
		e.apply(s, in.Now, out)
	}
	s.runVMs(in.Now, out)
	s.runConfig(in.Now, out)
	s.runMembers(in.Now)
	s.runSuspects(in.Now, out)
	s.runGossip(in.Now, out)
	s.runBackend(in.Now, out)
	s.runView(out)
	return out.list
}

// Event is something that happened outside the core.
type Event interface {
	apply(s *State, now time.Duration, out *commands)
}

// Command is an action requested by the core. Its result is returned as an Event.
type Command interface{ command() }

type commands struct{ list []Command }

func (c *commands) add(cmd Command) { c.list = append(c.list, cmd) }

// Commands of the core.
type (
	// ReadIndex reads the index from the platform; with Watch it waits for a
	// platform version other than After. Answered by IndexRead.
	ReadIndex struct {
		Watch bool
		After uint64
	}
	// WatchVMs waits for a VM list version other than After; with an After of
	// zero it reads the list at once. Answered by VMsRead.
	WatchVMs struct{ After uint64 }
	// FetchVMs fetches the VM list from the peer at address Peer. Answered by VMsRead.
	FetchVMs struct{ Peer string }
	// FetchDocument fetches a document from the peer at address Peer, or from the
	// platform if Peer is empty. Answered by DocumentRead.
	FetchDocument struct {
		Entry config.Entry
		Peer  string
	}
	// FetchIndex fetches an index from the peer at address Peer; an empty Digest requests
	// the index in force there. Answered by IndexRead.
	FetchIndex struct{ Digest, Peer string }
	// SendGossip sends a gossip message to a peer. Answered by GossipReceived or
	// GossipFailed.
	SendGossip struct {
		VM, Addr string
		Message  *wire.Gossip
	}
	// Publish makes a new View available to the goroutines that handle requests.
	Publish struct{ View *pick.View }
	// Log logs a state change.
	Log struct {
		Message string
		Pairs   []any
	}
)

func (ReadIndex) command()     {}
func (WatchVMs) command()      {}
func (FetchVMs) command()      {}
func (FetchDocument) command() {}
func (FetchIndex) command()    {}
func (SendGossip) command()    {}
func (Publish) command()       {}
func (Log) command()           {}

func (c *commands) log(message string, pairs ...any) {
	c.add(Log{Message: message, Pairs: pairs})
}

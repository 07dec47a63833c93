// Package core holds a node's control state as tables of entities, and the
// systems that run over them each tick. It takes time, randomness and events as
// arguments, starts no goroutine and does no I/O: it returns typed commands for
// others to carry out. A State belongs to one goroutine.
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

// Self is what a node knows of itself from its settings and its start.
type Self struct {
	pick.Place
	Fleet       string
	Incarnation uint64
	Seeds       []string
}

// State is the control state of one node: its tables.
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
	// leaving is whether the own backend server leaves, as of the last tick.
	leaving bool
	dirty   bool
	round   gossipRound
	// order is what this node's news are ordered by among those of its VM's name.
	order    uint64
	counters Counters
	// suspects are requests that may crash backend servers.
	suspects   *suspect.Table
	suspectSet suspect.Set
	// keeper has key tables of peers that stopped moments ago.
	keeper *handover.Keeper
	// now is the time of the last tick.
	now time.Duration
}

// Counters count what happened to the control state since the start.
type Counters struct {
	// Revision is the one in force.
	Revision uint64 `json:"revision"`
	// Applied and Refused count configurations put in force and refused.
	Applied uint64 `json:"applied"`
	Refused uint64 `json:"refused"`
	// OlderIndexes counts reads of the platform that gave an older revision.
	OlderIndexes uint64 `json:"older_indexes"`
	// Behind counts requests that showed a peer under another configuration.
	Behind uint64 `json:"behind"`
	// Suspicions counts peers that this node came to suspect.
	Suspicions uint64 `json:"suspicions"`
	// NameClashes counts news of another process under this VM's name.
	NameClashes uint64 `json:"name_clashes"`
	// Keys counts peers' key tables that this node kept.
	Keys handover.Counts `json:"keys"`
}

// Counters gives a copy of the counters.
func (s *State) Counters() Counters {
	c := s.counters
	c.Revision = s.inForce().Revision
	c.Keys = s.keeper.Counts
	return c
}

// Input is what one tick gets from outside.
type Input struct {
	// Now is the time since the node's start, of a monotonic clock.
	Now    time.Duration
	Events []Event
}

// New returns the state of a node that has just started.
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

// Tick takes the events since the last tick, runs every system once, and
// returns what is to be done.
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

// Event is something that happened outside of the core.
type Event interface {
	apply(s *State, now time.Duration, out *commands)
}

// Command is something the core wants done. The result comes back as an Event.
type Command interface{ command() }

type commands struct{ list []Command }

func (c *commands) add(cmd Command) { c.list = append(c.list, cmd) }

// The commands of the core.
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
	// FetchVMs gets the VM list from the peer at Peer. Answered by VMsRead.
	FetchVMs struct{ Peer string }
	// FetchDocument gets a document from the platform, or from the peer at Peer
	// if that isn't empty. Answered by DocumentRead.
	FetchDocument struct {
		Entry config.Entry
		Peer  string
	}
	// FetchIndex gets an index from the peer at Peer; an empty Digest is the one
	// in force there. Answered by IndexRead.
	FetchIndex struct{ Digest, Peer string }
	// SendGossip sends news to a peer. Answered by GossipHeard
	// or GossipFailed.
	SendGossip struct {
		VM, Addr string
		News     *wire.Gossip
	}
	// Publish puts a new View before the traffic goroutines.
	Publish struct{ View *pick.View }
	// Log reports a change of state.
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

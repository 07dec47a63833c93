// Package core holds a node's control state as tables of entities, and the
// systems that run over them each tick. It takes time, randomness and events as
// arguments, starts no goroutine and does no I/O: it returns typed commands for
// others to carry out. A State belongs to one goroutine.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
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
	members map[string]*member
	stats   map[string]*pick.Stat
	shared  map[string]*pick.Shared
	backend backendTable
	joined  bool
	dirty   bool
	round   gossipRound
}

// Input is what one tick gets from outside.
type Input struct {
	// Now is the time since the node's start, of a monotonic clock.
	Now    time.Duration
	Events []Event
}

// New returns the state of a node that has just started.
func New(self Self, seed uint64) *State {
	return &State{
		self:    self,
		rnd:     rand.New(rand.NewPCG(seed, self.Incarnation)),
		config:  newConfigTable(),
		vms:     vmTable{rows: map[string]platform.VM{}},
		members: map[string]*member{},
		stats:   map[string]*pick.Stat{},
		shared:  map[string]*pick.Shared{},
		dirty:   true,
	}
}

// Tick takes the events since the last tick, runs every system once, and
// returns what is to be done.
func (s *State) Tick(in Input) []Command {
	out := &commands{}
	for _, e := range in.Events {
		e.apply(s, in.Now, out)
	}
	s.runVMs(in.Now, out)
	s.runConfig(in.Now, out)
	s.runMembers(in.Now, out)
	s.runGossip(in.Now, out)
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
	// WatchVMs waits for a VM list version other than After. Answered by VMsRead.
	WatchVMs struct{ After uint64 }
	// FetchDocument gets a document from the platform, or from the peer at Peer
	// if that isn't empty. Answered by DocumentRead.
	FetchDocument struct {
		Entry config.Entry
		Peer  string
	}
	// FetchIndex gets an index from the peer at Peer. Answered by IndexRead.
	FetchIndex struct{ Digest, Peer string }
	// SendGossip sends news to a peer. Answered by GossipDone.
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
func (FetchDocument) command() {}
func (FetchIndex) command()    {}
func (SendGossip) command()    {}
func (Publish) command()       {}
func (Log) command()           {}

func (c *commands) log(message string, pairs ...any) {
	c.add(Log{Message: message, Pairs: pairs})
}

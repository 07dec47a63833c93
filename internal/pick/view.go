// Package pick chooses the target of a request. A View is built by the control
// goroutine, never changes, and is read by any number of traffic goroutines;
// only the Stats it points to move, each by atomic operations.
package pick

import (
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// View is what traffic goroutines know of the fleet. It is immutable.
type View struct {
	Config   *config.Config
	Services map[string]*Service
	// Here is the node's own place.
	Here Place
	// Suspects are requests that may crash backend servers, by fingerprint.
	Suspects suspect.Set
}

// Place says where a VM stands.
type Place struct {
	VM, Zone, Region string
}

// Service is one service with its usable targets, nearest first.
type Service struct {
	*config.Service
	// Stamp goes with requests to guards, and says how they were routed.
	Stamp string
	// Targets are ordered by distance: own zone, own region, other regions.
	Targets []*Target
	// InRegion counts the targets of the own region, which come first.
	InRegion int
	// Homes are all targets as declared, by which a key's home is found.
	Homes  []*Target
	policy policy
	turn   *atomic.Uint32
}

// Target is one target as a View shows it.
type Target struct {
	Place
	fleet.Target
	// Guard and Control are its node's addresses, IP:PORT; empty while unknown.
	Guard, Control string
	// Leaving says that the VM list or its node says that it leaves.
	Leaving bool
	Stat    *Stat
}

// Local says whether the target stands on the same VM as the node.
func (v *View) Local(t *Target) bool { return t.Place.VM == v.Here.VM }

// Stat is what a node itself has seen of a target. It outlives Views.
// All fields are safe for concurrent use.
type Stat struct {
	// InFlight counts the node's own requests at the target.
	InFlight atomic.Int32
	// avoidUntil is the time since start, in nanoseconds, until which the
	// target is passed over because it could not be reached or refused.
	avoidUntil atomic.Int64
	identity   atomic.Pointer[Identity]
}

// Identity is what an at-most-once attempt must name to run at a target.
type Identity struct {
	Incarnation uint64
	// Tick is the guard's own coarse tick, learnt earlier.
	Tick uint64
}

// Identity gives what was last learnt, or nil.
func (s *Stat) Identity() *Identity { return s.identity.Load() }

// Learn keeps an identity that the guard itself told.
func (s *Stat) Learn(id Identity) {
	for {
		old := s.identity.Load()
		if old != nil && old.Incarnation == id.Incarnation && old.Tick >= id.Tick {
			return
		}
		if s.identity.CompareAndSwap(old, &id) {
			return
		}
	}
}

// Avoid passes the target over until a time since start.
func (s *Stat) Avoid(until time.Duration) { s.avoidUntil.Store(int64(until)) }

// Avoided says whether the target is passed over at now.
func (s *Stat) Avoided(now time.Duration) bool { return int64(now) < s.avoidUntil.Load() }

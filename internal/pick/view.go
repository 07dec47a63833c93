// Package pick chooses the target of a request. A View is built by the control
// goroutine, never changes, and is read by any number of traffic goroutines;
// only the Stats it points to move, each by atomic operations.
package pick

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// View is what traffic goroutines know of the fleet. It is immutable.
type View struct {
	Config   *config.Config
	Services map[string]*Service
	// Here is the node's own place.
	Here Place
	// Nodes is how many nodes there are, and so entries.
	Nodes int
	// Suspects are requests that may crash backend servers, by fingerprint.
	Suspects suspect.Set
}

// Place says where a VM stands.
type Place struct {
	VM, Zone, Region string
}

// The round trips assumed until one has been measured.
const (
	zoneRTT   = 3 * time.Millisecond
	regionRTT = 16 * time.Millisecond
	nearRTT   = 200 * time.Microsecond
)

// defaultRTT is the round trip assumed for each Distance.
var defaultRTT = [...]time.Duration{place.SameVM: 0, place.SameZone: nearRTT, place.SameRegion: zoneRTT, place.OtherRegion: regionRTT}

// DistanceTo tells how far other stands from p.
func (p Place) DistanceTo(other Place) place.Distance {
	return place.Between(p.VM == other.VM, p.Zone == other.Zone, p.Region == other.Region)
}

// Target is one target as a View shows it.
type Target struct {
	Place
	// Slots and Connections are the capacity as declared.
	Slots, Connections int
	// Guard and Control are its node's addresses, IP:PORT; empty while unknown.
	Guard, Control string
	// Leaving says that the VM list or its node says that it leaves.
	Leaving bool
	// Distance is how far the target stands from the node.
	Distance place.Distance
	Stat     *Stat
	// shared is the state of the target's service.
	shared *Shared
}

// Local says whether the target stands on the same VM as the node.
func (v *View) Local(t *Target) bool { return t.Place.VM == v.Here.VM }

// Identity is what an at-most-once attempt must name to run at a target.
type Identity struct {
	Incarnation uint64
	// Tick is the guard's own coarse tick, learnt earlier.
	Tick uint64
}

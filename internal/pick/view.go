// Package pick chooses the target of a request. A View is built by the control
// goroutine, is immutable, and is read by any number of traffic goroutines. Only the
// Stats that it points to change, by atomic operations.
package pick

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// View is the state of the fleet for traffic goroutines. It is immutable.
type View struct {
	Config   *config.Config
	Services map[string]*Service
	// Here is the node's own location.
	Here Place
	// Nodes is the number of nodes, and so of entries.
	Nodes int
	// Suspects holds requests that may crash backend servers, by fingerprint.
	Suspects suspect.Set
}

// Place is the location of a VM.
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

// DistanceTo returns the distance from p to other.
func (p Place) DistanceTo(other Place) place.Distance {
	return place.Between(p.VM == other.VM, p.Zone == other.Zone, p.Region == other.Region)
}

// Target is one target in a View.
type Target struct {
	Place
	// Slots and Connections are the declared capacity.
	Slots, Connections int
	// Guard and Control are its node's addresses, IP:PORT; empty while unknown.
	Guard, Control string
	// Leaving is true if the VM list or the target's node reports that it leaves.
	Leaving bool
	// Distance is the distance of the target from the node.
	Distance place.Distance
	Stat     *Stat
	// shared is the state of the target's service.
	shared *Shared
}

// Local reports whether the target is on the same VM as the node.
func (v *View) Local(t *Target) bool { return t.Place.VM == v.Here.VM }

// Identity is what an at-most-once attempt must name to run at a target.
type Identity struct {
	Incarnation uint64
	// Tick is the guard's own coarse tick, as last reported.
	Tick uint64
}

package mesh

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/place"
)

// TargetState is what a target says of itself.
type TargetState uint8

// The states.
const (
	// Ready takes requests.
	Ready TargetState = iota
	// Draining finishes what it has and takes no more.
	Draining
)

// Target is one backend server as it registered itself.
type Target struct {
	// ID names one incarnation, or, if the server keeps it over restarts, the server.
	ID      string
	Service string
	// Addr is the backend server's own address, which only its VM reaches, and
	// Peer that of the node beside it.
	Addr, Peer string
	Zone       string
	// Slots is how many requests it runs at once.
	Slots int
	State TargetState
	// WarmAt is when it is no longer slow from its start.
	WarmAt   time.Duration
	Distance place.Distance
	Stat     *Stat
}

// Place says where a node stands.
type Place struct {
	VM, IP, Zone, Region string
	// Service is the service of the backend server beside it.
	Service string
}

// DistanceTo tells how far a target stands from p.
func (p Place) DistanceTo(ip, zone, region string) place.Distance {
	return place.Between(ip == p.IP, zone == p.Zone, region == p.Region)
}

// View is what traffic goroutines know of the deployment. It is immutable.
type View struct {
	Config *Config
	// Revision is the store's revision that the View was built from.
	Revision uint64
	// Targets are the usable targets of each service, nearest first.
	Targets map[string][]*Target
	// Own is the target beside the node, or nil while it isn't registered.
	Own *Target
	// Peers are all other nodes, by the address at which they take requests of nodes.
	Peers map[string]Peer
}

// Peer says where another node stands.
type Peer struct {
	Zone     string
	Distance place.Distance
}

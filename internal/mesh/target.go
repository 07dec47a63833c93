package mesh

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/place"
)

// TargetState is the state that a target reports about itself.
type TargetState uint8

// States of a target.
const (
	// Ready means that the target accepts requests.
	Ready TargetState = iota
	// Draining means that the target completes its requests and accepts no new ones.
	Draining
)

// Target is one registered backend server.
type Target struct {
	// ID identifies one incarnation of the server, or the server itself if it keeps its id
	// over restarts.
	ID      string
	Service string
	// Addr is the address of the backend server, reachable only from its own VM. Peer is the
	// address of the node beside it.
	Addr, Peer string
	Zone       string
	// Region is the region of Zone; empty if it is unknown.
	Region string
	// Slots is how many requests the target runs at once.
	Slots int
	State TargetState
	// WarmAt is when the slowdown after its start ends, and ColdPerSecond how many requests per
	// second it tolerates until then; 0 means any number.
	WarmAt        time.Duration
	ColdPerSecond float64
	Distance      place.Distance
	Stat          *Stat
}

// Place is the location of a node.
type Place struct {
	VM, IP, Zone, Region string
	// Service is the service of the backend server beside the node.
	Service string
}

// DistanceTo returns the distance from p to a target with the given address and location.
func (p Place) DistanceTo(ip, zone, region string) place.Distance {
	return place.Between(ip == p.IP, zone == p.Zone, region == p.Region)
}

// View is an immutable snapshot of the deployment, as used to handle requests.
type View struct {
	Config *Config
	// Revision is the store revision from which the View was built.
	Revision uint64
	// Targets are the targets of each service that aren't draining, nearest first.
	Targets map[string][]*Target
	// EvacuatedZones are the availability zones whose targets must get no new requests.
	EvacuatedZones map[string]bool
	// LocalTarget is the target beside the node, or nil while it isn't registered.
	LocalTarget *Target
	// OverloadScheduling and LinkScheduling are whether these features are in force.
	OverloadScheduling, LinkScheduling bool
	// LinkRate is the rate of the VM's link in bytes per second; 0 unless LinkScheduling is true.
	LinkRate float64
	// Peers are all other nodes, by the address at which they accept requests from nodes.
	Peers map[string]Peer
}

// Peer is the location of another node.
type Peer struct {
	Zone     string
	Distance place.Distance
}

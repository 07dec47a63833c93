// Package directory maintains a node's view of the deployment: the configuration in force
// and the registered targets. A State reads no clock: the time is an argument. It belongs to
// one goroutine.
package directory

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
)

// Registration is a target's entry in the store.
type Registration struct {
	ID            string
	Started       time.Time
	Service, Addr string
	Zone          string
	Slots         int
	State         mesh.TargetState
	// ColdFor is the remaining time for which the target is slow after its start.
	ColdFor time.Duration
	// Revision is the store revision at which the registration was written.
	Revision uint64
}

// Peer returns the address at which the node beside the target accepts requests of other
// nodes, using the port common to all nodes, and its distance from here.
func (r Registration) Peer(here mesh.Place, regions map[string]string, port string) (string, place.Distance, error) {
	host, _, err := net.SplitHostPort(r.Addr)
	if err != nil {
		return "", 0, err
	}
	return net.JoinHostPort(host, port), here.DistanceTo(host, r.Zone, regions[r.Zone]), nil
}

// targetRecord is a registered target.
type targetRecord struct {
	Registration
	stat   *mesh.Stat
	warmAt time.Duration
	// endedAt is the store revision at which the registration ended; 0 if it has not.
	endedAt uint64
	// dropAt is when a target whose registration has ended is dropped; 0 if it is not due.
	dropAt time.Duration
}

// State is a node's view of the deployment. It belongs to one goroutine.
type State struct {
	here     mesh.Place
	own      string
	regions  map[string]string
	peerPort string
	config   *mesh.Config
	weights  map[string]*mesh.Splitter
	records  map[string]*targetRecord
	// ended are the records of targets that were in use until their registration ended.
	ended map[string]endedRecord
	// evacuations holds the last change of each zone's evacuation.
	evacuations map[string]zoneEvacuation
	// hasTargets is true once the list of targets has been read completely.
	hasTargets bool
	revision   uint64
	// unavailable is true while the store doesn't answer; recoveredAt is when it last
	// became available again.
	unavailable bool
	recoveredAt time.Duration
	dirty       bool
}

// New returns an empty State. own is the address of the backend server beside the node,
// regions maps availability zones to regions, and peerPort is the port at which every node
// accepts requests of other nodes.
func New(here mesh.Place, own string, regions map[string]string, peerPort string) *State {
	return &State{
		here: here, own: own, regions: regions, peerPort: peerPort,
		weights: map[string]*mesh.Splitter{}, records: map[string]*targetRecord{}, ended: map[string]endedRecord{},
		evacuations: map[string]zoneEvacuation{}, recoveredAt: -expiryGrace,
	}
}

// Configure puts a configuration in force if it is newer than the current one, and reports
// whether it was.
func (s *State) Configure(c *mesh.Config, revision uint64) bool {
	s.revision = max(s.revision, revision)
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	for _, r := range c.Routes() {
		w := s.weights[r.Name]
		if w == nil {
			w = &mesh.Splitter{}
			s.weights[r.Name] = w
		}
		r.Splitter = w
	}
	s.config, s.dirty = c, true
	return true
}

// Replace replaces the list of targets with the one read at a revision. Registrations
// written after that revision are kept.
func (s *State) Replace(now time.Duration, revision uint64, list []Registration) {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		s.Put(now, r)
	}
	for id, rec := range s.records {
		if !listed[id] && rec.Revision <= revision {
			s.Remove(now, revision, id)
		}
	}
	s.hasTargets, s.dirty = true, true
	s.revision = max(s.revision, revision)
}

// Put adds or updates one registration. It ignores one that is older than the current one.
func (s *State) Put(now time.Duration, r Registration) {
	s.revision = max(s.revision, r.Revision)
	old := s.records[r.ID]
	if old != nil && r.Revision < old.Revision {
		return
	}
	rec := &targetRecord{Registration: r, warmAt: now + r.ColdFor}
	if old != nil && old.Started.Equal(r.Started) {
		rec.stat = old.stat
	} else {
		rec.stat = &mesh.Stat{}
	}
	s.records[r.ID] = rec
	delete(s.ended, r.ID)
	s.dirty = true
}

// Tick drops targets that are due. It returns a new View if anything has changed and both a
// configuration and the targets are known, or else nil.
func (s *State) Tick(now time.Duration) *mesh.View {
	for id, rec := range s.records {
		if rec.dropAt != 0 && now >= rec.dropAt && !s.unavailable {
			s.drop(now, id)
		}
	}
	for id, rec := range s.ended {
		if now-rec.at > restoreWindow {
			delete(s.ended, id)
		}
	}
	if !s.dirty || s.config == nil || !s.hasTargets {
		return nil
	}
	s.dirty = false
	return s.view()
}

// NextDrop returns the time of the next drop in Tick, or 0 if there is none.
func (s *State) NextDrop() time.Duration {
	due := time.Duration(0)
	for _, rec := range s.records {
		if rec.dropAt != 0 && (due == 0 || rec.dropAt < due) {
			due = rec.dropAt
		}
	}
	return due
}

// Ready reports whether a configuration and a list of targets are in force.
func (s *State) Ready() bool { return s.config != nil && s.hasTargets }

func (s *State) view() *mesh.View {
	v := &mesh.View{
		Config: s.config, Revision: s.revision, EvacuatedZones: s.evacuatedZones(),
		Targets: map[string][]*mesh.Target{}, Peers: map[string]mesh.Peer{},
	}
	for _, rec := range s.current() {
		t := s.target(rec)
		if t == nil {
			continue
		}
		if rec.Addr == s.own {
			v.LocalTarget = t
		} else {
			v.Peers[t.Peer] = mesh.Peer{Zone: t.Zone, Distance: t.Distance}
		}
		if t.State == mesh.Ready {
			v.Targets[t.Service] = append(v.Targets[t.Service], t)
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *mesh.Target) int {
			return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.ID, b.ID))
		})
	}
	return v
}

// current returns one record for each address. If an address has been reused, it is the
// record of the target that started last.
func (s *State) current() map[string]*targetRecord {
	byAddr := make(map[string]*targetRecord, len(s.records))
	for _, rec := range s.records {
		other := byAddr[rec.Addr]
		if other == nil || rec.Started.After(other.Started) {
			byAddr[rec.Addr] = rec
		}
	}
	return byAddr
}

func (s *State) target(rec *targetRecord) *mesh.Target {
	peer, distance, err := rec.Peer(s.here, s.regions, s.peerPort)
	if err != nil {
		return nil
	}
	return &mesh.Target{
		ID: rec.ID, Service: rec.Service, Addr: rec.Addr,
		Peer: peer, Zone: rec.Zone, Region: s.regions[rec.Zone], Slots: rec.Slots,
		State: rec.State, WarmAt: rec.warmAt, ColdPerSecond: s.coldPerSecond(rec.Service),
		Stat: rec.stat, Distance: distance,
	}
}

// coldPerSecond returns how many requests per second the cold targets of a service tolerate; 0
// means any number.
func (s *State) coldPerSecond(service string) float64 {
	if declared := s.config.Services[service]; declared != nil {
		return declared.ColdPerSecond
	}
	return 0
}

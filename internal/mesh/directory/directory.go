// Package directory keeps what a node believes about the deployment: the
// configuration in force and the targets that registered themselves. A State is
// pure: time is an argument, and it belongs to one goroutine.
package directory

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
)

// Registration is what a target says of itself in the store.
type Registration struct {
	ID            string
	Started       time.Time
	Service, Addr string
	Zone          string
	Slots         int
	State         mesh.TargetState
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
	// Revision is the store's at which this was written.
	Revision uint64
}

// Peer gives the address at which the node beside the target takes requests of other nodes,
// at the port that all nodes use for that, and how far it stands from a place.
func (r Registration) Peer(here mesh.Place, regions map[string]string, port string) (string, place.Distance, error) {
	host, _, err := net.SplitHostPort(r.Addr)
	if err != nil {
		return "", 0, err
	}
	return net.JoinHostPort(host, port), here.DistanceTo(host, r.Zone, regions[r.Zone]), nil
}

// row is a registered target.
type row struct {
	Registration
	stat   *mesh.Stat
	warmAt time.Duration
	// endedAt is the store's revision at which the registration ended; 0 is never.
	endedAt uint64
	// dropAt is when a target that is missing is dropped; 0 is never.
	dropAt time.Duration
}

// State is what a node believes. It belongs to one goroutine.
type State struct {
	here     mesh.Place
	own      string
	regions  map[string]string
	peerPort string
	config   *mesh.Config
	weights  map[string]*mesh.Weights
	rows     map[string]*row
	// ended are rows of targets that were in use until their registration ended.
	ended map[string]endedRow
	// known says that the list of targets has been read whole once.
	known    bool
	revision uint64
	// lost says that the store doesn't answer; regainedAt is when it last did again.
	lost       bool
	regainedAt time.Duration
	dirty      bool
}

// New returns an empty State. own is the address of the backend server beside
// the node, regions finds the region of an availability zone, and peerPort is the
// port at which every node takes requests of others.
func New(here mesh.Place, own string, regions map[string]string, peerPort string) *State {
	return &State{
		here: here, own: own, regions: regions, peerPort: peerPort,
		weights: map[string]*mesh.Weights{}, rows: map[string]*row{}, ended: map[string]endedRow{}, regainedAt: -lapseGrace,
	}
}

// Configure puts a configuration in force if it is newer than the one that is,
// and says whether it was.
func (s *State) Configure(c *mesh.Config, revision uint64) bool {
	s.revision = max(s.revision, revision)
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	for _, r := range c.Routes() {
		w := s.weights[r.Name]
		if w == nil {
			w = &mesh.Weights{}
			s.weights[r.Name] = w
		}
		r.Weights = w
	}
	s.config, s.dirty = c, true
	return true
}

// Replace takes the whole list of targets as of a revision.
func (s *State) Replace(now time.Duration, revision uint64, list []Registration) {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		s.Put(now, r)
	}
	for id, one := range s.rows {
		if !listed[id] && one.Revision <= revision {
			s.Remove(now, revision, id)
		}
	}
	s.known, s.dirty = true, true
	s.revision = max(s.revision, revision)
}

// Put takes one registration; an older one than is known changes nothing.
func (s *State) Put(now time.Duration, r Registration) {
	s.revision = max(s.revision, r.Revision)
	old := s.rows[r.ID]
	if old != nil && r.Revision < old.Revision {
		return
	}
	one := &row{Registration: r, warmAt: now + r.ColdFor}
	if old != nil && old.Started.Equal(r.Started) {
		one.stat = old.stat
	} else {
		one.stat = &mesh.Stat{}
	}
	s.rows[r.ID] = one
	delete(s.ended, r.ID)
	s.dirty = true
}

// Tick drops what is due, and gives a new View if anything has changed and
// enough is known for one; else nil.
func (s *State) Tick(now time.Duration) *mesh.View {
	for id, one := range s.rows {
		if one.dropAt != 0 && now >= one.dropAt && !s.lost {
			s.drop(now, id)
		}
	}
	for id, one := range s.ended {
		if now-one.at > reviveWithin {
			delete(s.ended, id)
		}
	}
	if !s.dirty || s.config == nil || !s.known {
		return nil
	}
	s.dirty = false
	return s.view()
}

// Due gives when the next Tick has something to drop, or 0.
func (s *State) Due() time.Duration {
	due := time.Duration(0)
	for _, one := range s.rows {
		if one.dropAt != 0 && (due == 0 || one.dropAt < due) {
			due = one.dropAt
		}
	}
	return due
}

// Ready says whether a configuration and a list of targets are in force.
func (s *State) Ready() bool { return s.config != nil && s.known }

func (s *State) view() *mesh.View {
	v := &mesh.View{
		Config: s.config, Revision: s.revision,
		Targets: map[string][]*mesh.Target{}, Peers: map[string]mesh.Peer{},
	}
	for _, one := range s.current() {
		t := s.target(one)
		if t == nil {
			continue
		}
		if one.Addr == s.own {
			v.Own = t
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

// current gives one row for each address: where an address was given to another
// target, the one that started last has it.
func (s *State) current() map[string]*row {
	byAddr := make(map[string]*row, len(s.rows))
	for _, one := range s.rows {
		other := byAddr[one.Addr]
		if other == nil || one.Started.After(other.Started) {
			byAddr[one.Addr] = one
		}
	}
	return byAddr
}

func (s *State) target(one *row) *mesh.Target {
	peer, distance, err := one.Peer(s.here, s.regions, s.peerPort)
	if err != nil {
		return nil
	}
	return &mesh.Target{
		ID: one.ID, Service: one.Service, Addr: one.Addr,
		Peer: peer, Zone: one.Zone, Slots: one.Slots,
		State: one.State, WarmAt: one.warmAt, Stat: one.stat, Distance: distance,
	}
}

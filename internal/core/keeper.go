package core

import (
	"cmp"
	"slices"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// maxKeepers is the number of peers that may store a stopping node's key table. The
// stopping node and its successor derive the same peers from the configuration.
const maxKeepers = 4

// Peer is a peer node and its control address.
type Peer struct{ VM, Addr string }

// Keepers returns the peers that may store this VM's key table, best first: peers in
// other availability zones of the own region, because zones are often restarted as a
// whole, then peers of the own zone, then peers of other regions.
func (s *State) Keepers() []Peer {
	active := s.config.active
	if active == nil || !s.joined {
		return nil
	}
	var all []string
	for _, name := range s.vms.names {
		if name != s.self.VM && s.zoneOf(name) != "" {
			all = append(all, name)
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(s.keeperRank(active, a), s.keeperRank(active, b)),
			cmp.Compare(rendezvous(s.self.VM, a), rendezvous(s.self.VM, b)),
			cmp.Compare(a, b))
	})
	var out []Peer
	for _, name := range all[:min(maxKeepers, len(all))] {
		out = append(out, Peer{VM: name, Addr: s.controlAddr(name)})
	}
	return out
}

func (s *State) keeperRank(active *config.Config, vm string) int {
	zone := s.zoneOf(vm)
	switch {
	case active.Regions[zone] != s.self.Region:
		return 2
	case zone == s.self.Zone:
		return 1
	}
	return 0
}

// AvailableKeepers returns the Keepers that are neither leaving nor suspected.
func (s *State) AvailableKeepers() []Peer {
	return slices.DeleteFunc(s.Keepers(), func(p Peer) bool {
		m := s.members.rows[p.VM]
		return s.vms.rows[p.VM].State == platform.VMLeaving || s.suspected(p.VM) || m != nil && isLeaving(m.update.State)
	})
}

// OfferKeys returns the reply to a stopping peer that is looking for a keeper.
func (s *State) OfferKeys(from string, m *wire.KeysOffer, now handover.Moment) *wire.KeysGrant {
	if from != m.VM || !s.joined || s.leaving {
		return &wire.KeysGrant{}
	}
	return s.keeper.Offer(m, s.newestIncarnation(m.VM), now)
}

// StoreKeys stores a part of a stopping peer's key table.
func (s *State) StoreKeys(from string, m *wire.KeysPart, now handover.Moment) *wire.KeysAck {
	return s.keeper.Put(from, m, now)
}

// ServeKeys returns a part of the predecessor's key table to a peer.
func (s *State) ServeKeys(from string, m *wire.KeysRequest, now handover.Moment) *wire.KeysPart {
	if from != m.VM {
		return &wire.KeysPart{}
	}
	return s.keeper.ServePart(m, s.newestIncarnation(m.VM), now)
}

// newestIncarnation returns the newest known incarnation of a VM, or 0 if none is
// known.
func (s *State) newestIncarnation(vm string) uint64 {
	if m := s.members.rows[vm]; m != nil {
		return m.update.Incarnation
	}
	return 0
}

// VM returns the name of this node's VM.
func (s *State) VM() string { return s.self.VM }

// Incarnation returns the incarnation of this process.
func (s *State) Incarnation() uint64 { return s.self.Incarnation }

package core

import (
	"cmp"
	"slices"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// keepers is how many peers a stopping node may choose its keeper from, and its
// successor asks: the same ones, as both work them out from what is declared.
const keepers = 4

// Peer is a node that may be asked.
type Peer struct{ VM, Addr string }

// Keepers gives the peers that may keep this VM's key table, best first: of the
// own region but another availability zone, as zones are often restarted as a
// whole, then of the own zone, then of others.
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
	for _, name := range all[:min(keepers, len(all))] {
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

// StayingKeepers leaves out those that are leaving too or can't be reached.
func (s *State) StayingKeepers() []Peer {
	return slices.DeleteFunc(s.Keepers(), func(p Peer) bool {
		m := s.members.rows[p.VM]
		return s.vms.rows[p.VM].State == platform.VMLeaving || s.suspected(p.VM) || m != nil && leaves(m.news.State)
	})
}

// OfferKeys answers a peer that stops and looks for a keeper.
func (s *State) OfferKeys(from string, m *wire.KeysOffer, now handover.Moment) *wire.KeysGrant {
	if from != m.VM || !s.joined || s.leaving {
		return &wire.KeysGrant{}
	}
	return s.keeper.Offer(m, s.newest(m.VM), now)
}

// PutKeys takes a part of a stopping peer's table.
func (s *State) PutKeys(from string, m *wire.KeysPart, now handover.Moment) *wire.KeysKept {
	return s.keeper.Put(from, m, now)
}

// GiveKeys answers a peer that asks for its predecessor's table.
func (s *State) GiveKeys(from string, m *wire.KeysAsk, now handover.Moment) *wire.KeysPart {
	if from != m.VM {
		return &wire.KeysPart{}
	}
	return s.keeper.Give(m, s.newest(m.VM), now)
}

// newest is the newest incarnation of a VM that was heard of, 0 if none was.
func (s *State) newest(vm string) uint64 {
	if m := s.members.rows[vm]; m != nil {
		return m.news.Incarnation
	}
	return 0
}

// VM is the name of this node's VM.
func (s *State) VM() string { return s.self.VM }

// Incarnation is this process's own.
func (s *State) Incarnation() uint64 { return s.self.Incarnation }

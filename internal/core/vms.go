package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/platform"
)

const (
	// pullPausePerVM times the listed VMs is the least time between two lists
	// fetched from peers: a list grows with the fleet, its bytes a second don't.
	pullPausePerVM = 20 * time.Millisecond
	// tellAtOnce bounds the VMs that one change of the list tells directly.
	tellAtOnce = 4
	// toldFor is how long a peer's word holds that the list shows this VM leaving.
	toldFor = time.Minute
)

// vmTable is the platform's list of VMs as last read. It lags and may be wrong.
type vmTable struct {
	rows map[string]platform.VM
	// names are the keys of rows in order.
	names []string
	// zone are those of the own zone, as the configuration zoneAs declares them;
	// before are those of them that watch the platform before this node does.
	zone    []string
	before  []string
	zoneAs  *config.Config
	version uint64
	known   bool
	reads   platformReads
	pulling bool
	pullAt  time.Duration
	// shown is when the platform is known to have shown this version, to this
	// node or to a peer that told it; it counts only if dated is set.
	shown time.Duration
	dated bool
}

// VMsRead is the result of a WatchVMs or, with Peer set, of a FetchVMs.
type VMsRead struct {
	List platform.VMList
	Peer string
	Err  error
}

func (e VMsRead) apply(s *State, now time.Duration, out *commands) {
	t := &s.vms
	if e.Peer != "" {
		t.pulling = false
		t.pullAt = now + time.Duration(len(t.names)+1)*pullPausePerVM
	} else {
		t.reads.ended(s, now, e.List.Version, e.Err)
		if e.Err == nil {
			defer t.date(now)
		}
	}
	if e.Err != nil || t.known && e.List.Version == t.version {
		return
	}
	// A peer's list counts only if it is newer. The platform's own word always
	// does: its versions start again when it is restored.
	if e.Peer != "" && t.known && e.List.Version < t.version {
		return
	}
	s.replaceVMs(e.List, out)
}

func (s *State) replaceVMs(list platform.VMList, out *commands) {
	t := &s.vms
	old := t.rows
	t.known, t.version, t.dated = true, list.Version, false
	t.rows = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		t.rows[vm.Name] = vm
	}
	t.names, t.zoneAs = slices.Sorted(maps.Keys(t.rows)), nil
	if list.Version >= s.backend.toldOf {
		s.backend.toldUntil = 0
	}
	s.dirty = true
	told := 0
	for _, name := range t.names {
		if t.rows[name].State != platform.VMLeaving || old[name].State == platform.VMLeaving {
			continue
		}
		s.spread(name)
		// The VM itself must hear of it first: its guard then refuses new work,
		// whatever the others still believe.
		if name != s.self.VM && told < tellAtOnce && s.watches() {
			told++
			s.send(name, s.controlAddr(name), out)
		}
	}
	if s.watches() {
		s.pushZone(out)
	}
}

func (s *State) runVMs(now time.Duration, out *commands) {
	r := &s.vms.reads
	if r.busy || !s.due(r, now) {
		return
	}
	r.busy = true
	after := s.vms.version
	if !s.watches() {
		after = 0
	}
	out.add(WatchVMs{After: after})
}

// heardVMs fetches the VM list from a peer of the own zone that has a newer
// one. Other zones may reach the VMs by other addresses.
func (s *State) heardVMs(version uint64, vm, addr string, now time.Duration, out *commands) {
	t := &s.vms
	if addr == "" || version <= t.version || t.pulling || now < t.pullAt || s.zoneOf(vm) != s.self.Zone {
		return
	}
	t.pulling = true
	out.add(FetchVMs{Peer: addr})
}

// zonePeers are the listed VMs of the own zone but the own one, in order. They
// are found again only when the list or the configuration has changed.
func (s *State) zonePeers() []string {
	t := &s.vms
	if t.zoneAs != nil && t.zoneAs == s.config.active {
		return t.zone
	}
	t.zone, t.before = nil, nil
	mine := rendezvous(s.self.Zone, s.self.VM)
	for _, name := range t.names {
		if name == s.self.VM || s.zoneOf(name) != s.self.Zone {
			continue
		}
		t.zone = append(t.zone, name)
		if rendezvous(s.self.Zone, name) > mine {
			t.before = append(t.before, name)
		}
	}
	t.zoneAs = s.config.active
	return t.zone
}

// listedLeaving says whether the VM list shows a VM as leaving.
func (s *State) listedLeaving(vm string) bool {
	return s.vms.rows[vm].State == platform.VMLeaving
}

// VMs gives the VM list as this node has it, for peers of its zone.
func (s *State) VMs() platform.VMList {
	list := platform.VMList{Version: s.vms.version}
	for _, name := range s.vms.names {
		list.VMs = append(list.VMs, s.vms.rows[name])
	}
	return list
}

// date notes that the platform showed the list as it stands.
func (t *vmTable) date(at time.Duration) {
	t.shown = max(at, t.shown)
	if !t.dated {
		t.shown, t.dated = at, true
	}
}

// age gives how long ago the platform showed the list, in milliseconds, at
// least 1; 0 is unknown.
func (t *vmTable) age(now time.Duration) uint32 {
	if !t.dated {
		return 0
	}
	return uint32(min((now-t.shown).Milliseconds()+1, math.MaxUint32))
}

// heardAge takes a peer's word for when the platform showed the list that this
// node has as well. So all homes of keys know themselves confirmed while only a
// few nodes read the platform.
func (t *vmTable) heardAge(version uint64, ms uint32, now time.Duration) {
	if ms > 0 && t.known && version == t.version {
		t.date(now - time.Duration(ms)*time.Millisecond)
	}
}

// Listed gives the own VM's address in the list, and when the platform last
// showed it there.
func (s *State) Listed() (addr string, at time.Duration, ok bool) {
	row, ok := s.vms.rows[s.self.VM]
	return row.IP, s.vms.shown, ok && s.vms.dated
}

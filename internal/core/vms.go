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
	// fetchPausePerVM times the number of listed VMs is the minimum time between two
	// fetches of the list from peers. The list grows with the fleet, but its traffic per
	// second doesn't.
	fetchPausePerVM = 20 * time.Millisecond
	// maxDirectNotices is the maximum number of VMs notified directly of one list change.
	maxDirectNotices = 4
	// leavingReportTTL is how long a peer's report that the list shows this VM as leaving
	// is valid.
	leavingReportTTL = time.Minute
)

// vmTable is the platform's VM list as last read. It may be stale or wrong.
type vmTable struct {
	rows map[string]platform.VM
	// names are the sorted keys of rows.
	names []string
	// zone are the other names of the own zone according to the configuration zoneConfig.
	// zoneBefore are those that rank before this node as watchers of the platform.
	zone       []string
	zoneBefore []string
	zoneConfig *config.Config
	version    uint64
	known      bool
	reads      platformReads
	fetching   bool
	nextFetch  time.Duration
	// confirmedAt is when the platform last returned this version, to this node or to a
	// peer that reported it. It is valid only if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
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
		t.fetching = false
		t.nextFetch = now + time.Duration(len(t.names)+1)*fetchPausePerVM
	} else {
		t.reads.finish(s, now, e.List.Version, e.Err)
		if e.Err == nil {
			defer t.confirm(now)
		}
	}
	if e.Err != nil || t.known && e.List.Version == t.version {
		return
	}
	// A peer's list is used only if it is newer. The platform's list is always used,
	// because its versions restart when the platform is restored.
	if e.Peer != "" && t.known && e.List.Version < t.version {
		return
	}
	s.replaceVMs(e.List, out)
}

func (s *State) replaceVMs(list platform.VMList, out *commands) {
	t := &s.vms
	old := t.rows
	t.known, t.version, t.confirmed = true, list.Version, false
	t.rows = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		t.rows[vm.Name] = vm
	}
	t.names, t.zoneConfig = slices.Sorted(maps.Keys(t.rows)), nil
	if list.Version >= s.backend.reportedVersion {
		s.backend.reportedUntil = 0
	}
	s.dirty = true
	notified := 0
	for _, name := range t.names {
		if t.rows[name].State != platform.VMLeaving || old[name].State == platform.VMLeaving {
			continue
		}
		s.spreadUpdate(name)
		// Notify the VM itself first. Its guard then refuses new work even if other nodes
		// don't know of the change yet.
		if name != s.self.VM && notified < maxDirectNotices && s.watches() {
			notified++
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

// handleVMsVersion fetches the VM list from a peer of the own zone if it is newer.
// Other zones may reach the VMs at other addresses.
func (s *State) handleVMsVersion(version uint64, vm, addr string, now time.Duration, out *commands) {
	t := &s.vms
	if addr == "" || version <= t.version || t.fetching || now < t.nextFetch || s.zoneOf(vm) != s.self.Zone {
		return
	}
	t.fetching = true
	out.add(FetchVMs{Peer: addr})
}

// zonePeers returns the other listed VMs of the own zone, sorted. The result is cached
// until the list or the configuration changes.
func (s *State) zonePeers() []string {
	t := &s.vms
	if t.zoneConfig != nil && t.zoneConfig == s.config.active {
		return t.zone
	}
	t.zone, t.zoneBefore = nil, nil
	mine := rendezvous(s.self.Zone, s.self.VM)
	for _, name := range t.names {
		if name == s.self.VM || s.zoneOf(name) != s.self.Zone {
			continue
		}
		t.zone = append(t.zone, name)
		if rendezvous(s.self.Zone, name) > mine {
			t.zoneBefore = append(t.zoneBefore, name)
		}
	}
	t.zoneConfig = s.config.active
	return t.zone
}

// listedLeaving reports whether the VM list shows a VM as leaving.
func (s *State) listedLeaving(vm string) bool {
	return s.vms.rows[vm].State == platform.VMLeaving
}

// VMs returns this node's VM list, for peers of its zone.
func (s *State) VMs() platform.VMList {
	list := platform.VMList{Version: s.vms.version}
	for _, name := range s.vms.names {
		list.VMs = append(list.VMs, s.vms.rows[name])
	}
	return list
}

// confirm records that the platform returned the current list at the given time.
func (t *vmTable) confirm(at time.Duration) {
	t.confirmedAt = max(at, t.confirmedAt)
	if !t.confirmed {
		t.confirmedAt, t.confirmed = at, true
	}
}

// age returns the time since the platform last returned this list, in milliseconds and
// at least 1, or 0 if it is unknown.
func (t *vmTable) age(now time.Duration) uint32 {
	if !t.confirmed {
		return 0
	}
	return uint32(min((now-t.confirmedAt).Milliseconds()+1, math.MaxUint32))
}

// confirmByPeer confirms the list by a peer's report of when the platform returned the
// same version. This confirms the VMs of all key homes while only a few nodes read the
// platform.
func (t *vmTable) confirmByPeer(version uint64, ms uint32, now time.Duration) {
	if ms > 0 && t.known && version == t.version {
		t.confirm(now - time.Duration(ms)*time.Millisecond)
	}
}

// Listed returns the own VM's address in the list, and when the platform last returned
// that list.
func (s *State) Listed() (addr string, at time.Duration, ok bool) {
	row, ok := s.vms.rows[s.self.VM]
	return row.IP, s.vms.confirmedAt, ok && s.vms.confirmed
}

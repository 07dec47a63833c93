package core

import (
	"net"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
)

// BackendState is the state of the own backend server.
type BackendState uint8

// Backend server states.
const (
	BackendLive BackendState = iota
	// BackendDraining means that the backend server reports that it accepts no new work.
	BackendDraining
	// BackendStarting means that the backend server reports that it isn't ready yet.
	BackendStarting
	// BackendDown means that the backend server refuses connections.
	BackendDown
)

var backendStates = [...]string{"live", "draining", "starting", "down"}

// String returns the name of the state.
func (b BackendState) String() string { return backendStates[b] }

// backendTable is the state of the own backend server and of the node.
type backendTable struct {
	tick     uint64
	state    BackendState
	stopping bool
	listed   bool
	// reportedUntil is until when a peer's report that the VM list shows this VM as
	// leaving is valid. The own copy of the list may be older than the peer's.
	reportedUntil time.Duration
	// reportedVersion is the newest list version that such a report was based on.
	reportedVersion uint64
	reported        bool
}

func (t *backendTable) leaving() bool {
	return t.state != BackendLive || t.stopping || t.listed || t.reported
}

// BackendStatus is the status of the guard, the backend server and the node at this
// tick.
type BackendStatus struct {
	// Tick is the guard's coarse tick.
	Tick uint64
	// State is the backend server's state. Stopping is true if the node is stopping.
	State    BackendState
	Stopping bool
}

func (e BackendStatus) apply(s *State, _ time.Duration, _ *commands) {
	s.backend.tick, s.backend.state, s.backend.stopping = e.Tick, e.State, e.Stopping
}

// runBackend determines whether the own backend server is leaving, from any of the
// sources, and immediately notifies peers of a change.
func (s *State) runBackend(now time.Duration, out *commands) {
	t := &s.backend
	was := s.leaving
	t.listed = s.listedLeaving(s.self.VM)
	t.reported = now < t.reportedUntil
	s.leaving = t.leaving()
	if s.leaving == was {
		return
	}
	s.dirty = true
	s.round.beat++
	out.log("leaving changed", "leaving", s.leaving, "backend", t.state.String(), "stopping", t.stopping, "listed", t.listed || t.reported)
	s.scheduleUrgent(now)
	s.push(out)
}

// Leaving reports whether the own backend server is leaving.
func (s *State) Leaving() bool { return s.leaving }

// runView publishes a new View if anything in it has changed.
func (s *State) runView(out *commands) {
	if !s.dirty || !s.joined {
		return
	}
	s.dirty = false
	out.add(Publish{View: s.view()})
}

func (s *State) view() *pick.View {
	active := s.config.active
	s.subsets.update(active)
	v := &pick.View{
		Nodes:  len(s.vms.rows),
		Config: active, Here: s.self.Place, Suspects: s.suspectSet, Services: make(map[string]*pick.Service, len(active.Services)),
	}
	for name, svc := range active.Services {
		v.Services[name] = s.viewService(active, svc)
	}
	return v
}

func (s *State) viewService(active *config.Config, svc *config.Service) *pick.Service {
	homes := make([]*pick.Target, 0, len(svc.Targets))
	for _, declared := range svc.Targets {
		homes = append(homes, s.viewTarget(active, declared))
	}
	targets, inRegion := s.subsets.of(s.self.Place, svc, homes)
	out := pick.NewService(svc, targets, homes, inRegion, s.serviceState(svc.Name))
	out.Stamp = active.Stamp(svc, s.self.VM).String()
	return out
}

// serviceState returns the state of a service that is shared by successive Views.
func (s *State) serviceState(name string) *pick.Shared {
	state := s.shared[name]
	if state == nil {
		state = &pick.Shared{}
		s.shared[name] = state
	}
	return state
}

func (s *State) viewTarget(active *config.Config, declared fleet.Target) *pick.Target {
	t := &pick.Target{
		Place: pick.Place{VM: declared.VM, Zone: declared.Zone, Region: active.Regions[declared.Zone]},
		Slots: declared.Slots, Connections: declared.Connections,
		Stat: s.stat(declared.VM),
	}
	t.Distance = s.self.DistanceTo(t.Place)
	if vm, ok := s.vms.rows[declared.VM]; ok {
		t.Guard = hostPort(vm.IP, active.Index.Fleet.Ports.Guard)
		t.Control = hostPort(vm.IP, active.Index.Fleet.Ports.Control)
		t.Leaving = vm.State == platform.VMLeaving
	}
	if m := s.members.rows[declared.VM]; m != nil && isLeaving(m.update.State) {
		t.Leaving = true
	}
	if declared.VM == s.self.VM {
		t.Leaving = s.leaving
	}
	return t
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// controlAddr returns a peer's control address, or "" if the peer isn't listed. It uses
// the default port until a configuration is known.
func (s *State) controlAddr(vm string) string {
	row, ok := s.vms.rows[vm]
	if !ok {
		return ""
	}
	port := fleet.DefaultControlPort
	if s.config.active != nil {
		port = s.config.active.Index.Fleet.Ports.Control
	}
	return hostPort(row.IP, port)
}

func (s *State) zoneOf(vm string) string {
	if s.config.active == nil {
		return ""
	}
	if _, t := s.config.active.Target(vm); t != nil {
		return t.Zone
	}
	return ""
}

package core

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// backendTable is what the guard says of the own backend server and of itself.
type backendTable struct {
	tick     uint64
	draining bool
	stopping bool
	listed   bool
}

func (t *backendTable) leaving() bool { return t.draining || t.stopping || t.listed }

// BackendSeen is the guard's state as it stands at this tick.
type BackendSeen struct {
	// Tick is the guard's coarse tick.
	Tick uint64
	// Draining is the backend server's own word, Stopping that of the node.
	Draining, Stopping bool
}

func (e BackendSeen) apply(s *State, _ time.Duration, out *commands) {
	was := s.backend.leaving()
	s.backend.tick, s.backend.draining, s.backend.stopping = e.Tick, e.Draining, e.Stopping
	s.backend.listed = s.vms.rows[s.self.VM].State == platform.VMLeaving
	if now := s.backend.leaving(); now != was {
		s.dirty = true
		out.log("leaving changed", "leaving", now, "draining", e.Draining, "stopping", e.Stopping, "listed", s.backend.listed)
	}
}

// Leaving says whether the own backend server is leaving, for the guard.
func (s *State) Leaving() bool { return s.backend.leaving() }

// runView builds a new View when something in it has changed.
func (s *State) runView(out *commands) {
	if !s.dirty || !s.joined {
		return
	}
	s.dirty = false
	out.add(Publish{View: s.view()})
}

func (s *State) view() *pick.View {
	active := s.config.active
	v := &pick.View{Config: active, Here: s.self.Place, Services: make(map[string]*pick.Service, len(active.Services))}
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
	targets, inRegion := pick.Subset(s.self.Place, homes, len(s.vms.rows))
	return pick.NewService(svc, targets, homes, inRegion, s.serviceState(svc.Name))
}

// serviceState is what traffic goroutines keep of a service from View to View.
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
		t.Guard = join(vm.IP, active.Index.Fleet.Ports.Guard)
		t.Control = join(vm.IP, active.Index.Fleet.Ports.Control)
		t.Leaving = vm.State == platform.VMLeaving
	}
	if m := s.members[declared.VM]; m != nil && m.news.State == wire.MemberLeaving {
		t.Leaving = true
	}
	if declared.VM == s.self.VM {
		t.Leaving = s.backend.leaving()
	}
	return t
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// peerNames are the listed VMs but the own one, in order.
func (s *State) peerNames() []string {
	names := make([]string, 0, len(s.vms.rows))
	for name := range s.vms.rows {
		if name != s.self.VM && s.controlAddr(name) != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *State) memberNames() []string {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// controlAddr gives a peer's control address. Before any configuration is
// known, the default port is assumed.
func (s *State) controlAddr(vm string) string {
	row, ok := s.vms.rows[vm]
	if !ok {
		return ""
	}
	port := fleet.DefaultControlPort
	if s.config.active != nil {
		port = s.config.active.Index.Fleet.Ports.Control
	}
	return join(row.IP, port)
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

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
	v := &pick.View{Config: active, Here: s.self.Place, Suspects: s.accused, Services: make(map[string]*pick.Service, len(active.Services))}
	for name, svc := range active.Services {
		v.Services[name] = s.viewService(active, svc)
	}
	return v
}

func (s *State) viewService(active *config.Config, svc *config.Service) *pick.Service {
	var near, far, homes []*pick.Target
	for _, declared := range svc.Targets {
		t := s.viewTarget(active, declared)
		homes = append(homes, t)
		if t.Region == s.self.Region {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	slices.SortStableFunc(near, func(a, b *pick.Target) int {
		return s.distance(a) - s.distance(b)
	})
	return pick.NewService(svc, append(near, far...), homes, len(near))
}

func (s *State) distance(t *pick.Target) int {
	if t.Place.Zone == s.self.Zone {
		return 0
	}
	return 1
}

func (s *State) viewTarget(active *config.Config, declared fleet.Target) *pick.Target {
	t := &pick.Target{
		Place:  pick.Place{VM: declared.VM, Zone: declared.Zone, Region: active.Regions[declared.Zone]},
		Target: declared,
		Stat:   s.stat(declared.VM),
	}
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

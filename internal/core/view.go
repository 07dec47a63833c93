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

// BackendState is how the own backend server is, as far as it tells.
type BackendState uint8

// The states of a backend server.
const (
	BackendLive BackendState = iota
	// BackendDraining takes no new work, by its own word.
	BackendDraining
	// BackendStarting doesn't take work yet, by its own word.
	BackendStarting
	// BackendDown refuses connections.
	BackendDown
)

var backendStates = [...]string{"live", "draining", "starting", "down"}

// String gives the state's name.
func (b BackendState) String() string { return backendStates[b] }

// backendTable is what the guard says of the own backend server and of itself.
type backendTable struct {
	tick     uint64
	state    BackendState
	stopping bool
	listed   bool
	// toldUntil is until when a peer's word holds that the VM list shows this
	// VM leaving; the own copy of the list may lag behind the peer's.
	toldUntil time.Duration
	// toldOf is the newest list that a peer's word was about.
	toldOf uint64
	told   bool
}

func (t *backendTable) leaving() bool {
	return t.state != BackendLive || t.stopping || t.listed || t.told
}

// BackendSeen is the guard's state as it stands at this tick.
type BackendSeen struct {
	// Tick is the guard's coarse tick.
	Tick uint64
	// State is that of the backend server, Stopping that of the node.
	State    BackendState
	Stopping bool
}

func (e BackendSeen) apply(s *State, _ time.Duration, _ *commands) {
	s.backend.tick, s.backend.state, s.backend.stopping = e.Tick, e.State, e.Stopping
}

// runBackend decides whether the own backend server takes new work, by whichever
// sign comes first, and tells peers at once of a change.
func (s *State) runBackend(now time.Duration, out *commands) {
	t := &s.backend
	was := s.leaving
	t.listed = s.listedLeaving(s.self.VM)
	t.told = now < t.toldUntil
	s.leaving = t.leaving()
	if s.leaving == was {
		return
	}
	s.dirty = true
	s.round.beat++
	out.log("leaving changed", "leaving", s.leaving, "backend", t.state.String(), "stopping", t.stopping, "listed", t.listed || t.told)
	s.hurry(now)
	s.push(out)
}

// Leaving says whether the own backend server is leaving, for the guard.
func (s *State) Leaving() bool { return s.leaving }

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
	if m := s.members.rows[declared.VM]; m != nil && leaves(m.news.State) {
		t.Leaving = true
	}
	if declared.VM == s.self.VM {
		t.Leaving = s.leaving
	}
	return t
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

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

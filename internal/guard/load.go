package guard

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// reporter tells entries the load of the backend server, as the guard itself
// counts it. The backend server's load endpoint isn't asked: it may lag or lie, and the
// guard's counts are exact. What is told costs bytes, so the measuring budget
// decides whether it is told.
type reporter struct {
	budget   atomic.Pointer[budget.Measuring]
	audience atomic.Pointer[audience]
}

// audience is who reads load reports under one configuration.
type audience struct {
	here string
	// regions finds the region of an entry by its VM.
	regions map[string]string
	// onReplies says that the service's policy uses load on replies.
	onReplies bool
}

// SetMeasuring sets the budget under which load is told. Without one it isn't.
func (g *Guard) SetMeasuring(b *budget.Measuring) { g.reporter.budget.Store(b) }

// setView puts the budget and the places of entries in force.
func (p *reporter) setView(v *pick.View) {
	a := &audience{here: v.Here.Region, regions: map[string]string{}}
	for _, s := range v.Config.Services {
		for _, t := range s.Targets {
			a.regions[t.VM] = v.Config.Regions[t.Zone]
		}
	}
	if svc, _ := v.Config.Target(v.Here.VM); svc != nil {
		a.onReplies = usesReports(svc.Policy)
	}
	p.audience.Store(a)
	if b := p.budget.Load(); b != nil {
		b.SetBudget(v.Config.Index.Fleet.Budget)
	}
}

// usesReports says whether entries choose by the load on replies.
func usesReports(policy string) bool {
	return policy == fleet.PolicyLeastLoad || policy == fleet.PolicyTwoLoad || policy == fleet.PolicyIdleHints
}

// crosses says whether an answer to the entry on a VM leaves the region. One
// whose region isn't known is taken to, for that budget is the stricter.
func (a *audience) crosses(vm string) bool { return a.regions[vm] != a.here }

// addLoad puts the load on a reply to an entry, if the budget has room for the
// header as it is on the wire.
func (g *Guard) addLoad(h http.Header, r *http.Request, arrived time.Duration) {
	// Only the guard may speak of load, whatever a backend server sends.
	delete(h, headers.Load)
	b, a := g.reporter.budget.Load(), g.reporter.audience.Load()
	if b == nil || a == nil || !a.onReplies {
		return
	}
	load := g.gate.Load()
	value := headers.LoadReport{
		Running: load.InUse, Waiting: load.Waiting, Slots: load.Limit,
		Service: load.Service, Held: g.now() - arrived,
	}.String()
	if b.Allow(headers.LineSize(headers.Load, value), a.crosses(senderOf(r))) {
		h.Set(headers.Load, value)
	}
}

// senderOf gives the VM of the entry that sent a request, which its stamp ends with.
func senderOf(r *http.Request) string {
	stamp := r.Header.Get(headers.Config)
	return stamp[strings.LastIndexByte(stamp, ' ')+1:]
}

// rankOf gives what a request goes by when others must give way to it under
// overload: the class of its route, and how deep in a call chain it is.
func rankOf(r *http.Request, class int) gate.Rank {
	// What isn't a number counts as a first call; the entry sends numbers, and 1
	// for a first call.
	depth, _ := strconv.Atoi(r.Header.Get(headers.Depth))
	return gate.Rank{Class: class, Depth: max(depth-1, 0)}
}

// Probed answers a probe of the node on a VM, or gives nil if the budget has no
// room for the answer: the node that asked then does without.
func (g *Guard) Probed(from string) *wire.Load {
	b, a := g.reporter.budget.Load(), g.reporter.audience.Load()
	if b == nil || a == nil {
		return nil
	}
	load := g.gate.Load()
	m := &wire.Load{
		Running: uint32(load.InUse), Waiting: uint32(load.Waiting), Slots: uint32(load.Limit),
		ServiceUs: uint32(load.Service.Microseconds()),
	}
	if !b.Allow(wire.Size(m), a.crosses(from)) {
		return nil
	}
	return m
}

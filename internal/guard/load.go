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

// reporter reports the load of the backend server to entries, as counted by the guard.
// The backend server's own load endpoint isn't used: it may lag or be wrong, while the
// guard's counts are exact. Load reports add bytes to the traffic, so they are sent
// only within the measuring budget.
type reporter struct {
	budget  atomic.Pointer[budget.Measuring]
	readers atomic.Pointer[loadReaders]
}

// loadReaders describes the entries that read load reports under one configuration.
type loadReaders struct {
	here string
	// regions maps the VM of an entry to its region.
	regions map[string]string
	// usesReplies is true if the service's policy uses load on replies.
	usesReplies bool
}

// SetMeasuring sets the budget for load reports. Without one no load is reported.
func (g *Guard) SetMeasuring(b *budget.Measuring) { g.reporter.budget.Store(b) }

// setView applies the budget and the regions of the entries.
func (p *reporter) setView(v *pick.View) {
	a := &loadReaders{here: v.Here.Region, regions: map[string]string{}}
	for _, s := range v.Config.Services {
		for _, t := range s.Targets {
			a.regions[t.VM] = v.Config.Regions[t.Zone]
		}
	}
	if svc, _ := v.Config.Target(v.Here.VM); svc != nil {
		a.usesReplies = usesReports(svc.Policy)
	}
	p.readers.Store(a)
	if b := p.budget.Load(); b != nil {
		b.SetBudget(v.Config.Index.Fleet.Budget)
	}
}

// usesReports reports whether entries with this policy choose by the load on replies.
func usesReports(policy string) bool {
	return policy == fleet.PolicyLeastLoad || policy == fleet.PolicyTwoLoad || policy == fleet.PolicyIdleHints
}

// crossesRegion reports whether an answer to the entry on a VM leaves the region. An
// unknown VM counts as another region, because that budget is stricter.
func (a *loadReaders) crossesRegion(vm string) bool { return a.regions[vm] != a.here }

// addLoad adds the load to a reply to an entry, if the budget allows the bytes of the
// header on the wire.
func (g *Guard) addLoad(h http.Header, r *http.Request, arrived time.Duration) {
	// Only the guard reports load; a header set by the backend server is removed.
	delete(h, headers.Load)
	b, a := g.reporter.budget.Load(), g.reporter.readers.Load()
	if b == nil || a == nil || !a.usesReplies {
		return
	}
	load := g.gate.Load()
	value := headers.LoadReport{
		Running: load.InUse, Waiting: load.Waiting, Slots: load.Limit,
		ServiceTime: load.ServiceTime, GuardTime: g.now() - arrived,
	}.String()
	if b.Allow(headers.LineSize(headers.Load, value), a.crossesRegion(senderOf(r))) {
		h.Set(headers.Load, value)
	}
}

// senderOf returns the VM of the entry that sent a request. The stamp ends with it.
func senderOf(r *http.Request) string {
	stamp := r.Header.Get(headers.Config)
	return stamp[strings.LastIndexByte(stamp, ' ')+1:]
}

// rankOf returns the rank by which requests are refused under overload: the class of
// the route and the depth in the call chain.
func rankOf(r *http.Request, class int) gate.Rank {
	// A value that isn't a number counts as a first call. Entries send numbers, and 1
	// for a first call.
	depth, _ := strconv.Atoi(r.Header.Get(headers.Depth))
	return gate.Rank{Class: class, Depth: max(depth-1, 0)}
}

// AnswerProbe returns the answer to a probe of the node on a VM, or nil if the budget
// doesn't allow it. The node that asked then continues without it.
func (g *Guard) AnswerProbe(from string) *wire.Load {
	b, a := g.reporter.budget.Load(), g.reporter.readers.Load()
	if b == nil || a == nil {
		return nil
	}
	load := g.gate.Load()
	m := &wire.Load{
		Running: uint32(load.InUse), Waiting: uint32(load.Waiting), Slots: uint32(load.Limit),
		ServiceUs: uint32(load.ServiceTime.Microseconds()),
	}
	if !b.Allow(wire.Size(m), a.crossesRegion(from)) {
		return nil
	}
	return m
}

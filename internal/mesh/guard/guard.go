// Package guard implements admission for the backend server beside the node and makes
// the exchanges with it. The guard alone counts the requests that run there, and it
// alone decides whether another one may start.
package guard

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/limpetdock/limpetdock/internal/contention"
	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/coldstart"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
	"github.com/limpetdock/limpetdock/internal/mesh/ratelimit"
	"github.com/limpetdock/limpetdock/internal/stopping"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Backend makes exchanges with the backend server. It calls allow immediately before
// it sends the first byte, and doesn't send if allow returns false.
type Backend interface {
	Do(ctx context.Context, m *exchange.Message, allow func() bool) (*mesh.Answer, *exchange.Failure)
	// Investigate finds out whether the backend server's process has died with the request of a failed
	// exchange in flight. serves asks the backend server whether it serves requests.
	Investigate(ctx context.Context, f *exchange.Failure, serves func(context.Context) bool) death.Finding
}

// Config holds the parts and settings of a Guard.
type Config struct {
	Here    mesh.Place
	Dialect mesh.Dialect
	Backend Backend
	// Now returns the time since the node's start. Its clock must include the time
	// during which the VM was suspended.
	Now func() time.Duration
	Log *decision.Log
	// Suspects is the node's table of requests that may crash backend servers.
	Suspects Suspects
	// Lineage learns what the backend server runs, and which calls that makes. It may be nil.
	Lineage *lineage.Tracker
	// ColdStart limits the rate of requests while the backend server is cold.
	ColdStart coldstart.Policy
	// LoadChanged is called after a change of the load that must be sent to the entries.
	LoadChanged func(urgent bool)
}

// Guard is the guard role of a node. Safe for concurrent use.
type Guard struct {
	Config
	gate     *gate.Gate
	view     atomic.Pointer[mesh.View]
	leaving  atomic.Bool
	stopping atomic.Bool
	// announcedLeaving is true if the backend server says in its answers that it leaves, and
	// registeredAs the id of its last registration; only SetView uses that.
	announcedLeaving atomic.Bool
	registeredAs     string
	// heard is true once the backend server has answered since the start, or is not waited for.
	heard     atomic.Bool
	admission *admission
	isolation suspect.Isolation
	// served holds when requests were last answered, by fingerprint.
	served   *lru.Cache[uint64, time.Duration]
	slowdown slowdownTracker
	// slotTimes is used only with goodput scheduling.
	slotTimes *slotTimes
	// slow is true if the backend server is slow without reporting it, as last logged.
	slow atomic.Bool
	cold coldstart.Limiter
	// limit is the one that the backend server names.
	limit ratelimit.Limiter
	// reportedAt is when the backend server last reported its load, and probing is true
	// while a probe is in progress.
	reportedAt atomic.Int64
	probing    atomic.Bool
	// slotShare is the share of the declared slots that is used, as the bits of a
	// float64; at 0 the limit is learned from measured service times.
	slotShare atomic.Uint64
	// lastRequestAt is when the last request arrived, in nanoseconds since the start.
	lastRequestAt atomic.Int64
	probes        atomic.Uint64
	sent          atomic.Uint64
	active        atomic.Int64
	// deathIDs draws the ids of deaths, lastDeath is that of the backend server's last one, and deaths
	// counts them.
	deathIDs  *death.IDs
	lastDeath atomic.Uint64
	deaths    atomic.Uint64
	// statements counts what answers of the backend server say about whether requests ran.
	statements [mesh.UnprovenPromise + 1]atomic.Uint64
	// breaks counts the exchanges that broke off and those that were answered.
	breaks suspect.Breaks
	// downUntil is until when the backend server is taken to be down after a death, in nanoseconds since
	// the start, or 0 once it has answered.
	downUntil atomic.Int64
}

// New returns a Guard that refuses all requests until SetView is called.
func New(c Config) *Guard {
	g := &Guard{Config: c, gate: gate.New(), admission: newAdmission(), slotTimes: newSlotTimes(), deathIDs: death.NewIDs(rand.Uint64())}
	if g.Lineage == nil {
		g.Lineage = lineage.New(c.Now)
	}
	// An error would mean that maxServed isn't positive.
	g.served, _ = lru.New[uint64, time.Duration](maxServed)
	g.gate.SetPacer(&pacer{g: g})
	return g
}

// SetSlotShare sets the share of the declared slots that is used. With 0 the guard learns
// the number of concurrent requests at which the backend server has the most throughput.
func (g *Guard) SetSlotShare(share float64) {
	g.slotShare.Store(math.Float64bits(share))
	if v := g.view.Load(); v != nil {
		g.updateLimits(v)
	}
}

// queuePerSlot is how many requests may wait for each slot. Queue timeouts and
// deadlines bound the wait; this bounds the memory.
const queuePerSlot = 8

// SetView applies a new View.
func (g *Guard) SetView(v *mesh.View) {
	g.view.Store(v)
	own := v.LocalTarget
	g.followRegistration(own)
	leaving := eligibility.Check(v, own) != eligibility.Eligible
	g.setColdRate(v)
	g.updateLimits(v)
	g.measureSlownessIn(v)
	if own != nil {
		g.slowdown.setWarmAt(own.WarmAt)
	}
	if g.leaving.Swap(leaving) != leaving {
		g.admission.update(g.accepts)
		g.LoadChanged(true)
	}
}

func (g *Guard) updateLimits(v *mesh.View) {
	if v.LocalTarget == nil {
		return
	}
	limits := gate.Limits{Slots: v.LocalTarget.Slots, Order: orderFor(v), LearnedLimit: true}
	if share := math.Float64frombits(g.slotShare.Load()); share > 0 {
		limits.Slots = max(int(float64(v.LocalTarget.Slots)*share+roundingSlack), 1)
		limits.LearnedLimit = false
	}
	limits.Queue = queuePerSlot * limits.Slots
	g.gate.SetLimits(limits)
}

// roundingSlack compensates for floating-point error: a product that is mathematically a
// whole number must not be truncated to the number below.
const roundingSlack = 1e-6

// Stop makes the guard refuse new and waiting requests because the node stops.
func (g *Guard) Stop() {
	g.stopping.Store(true)
	g.admission.update(g.accepts)
	g.LoadChanged(true)
}

// Active returns the number of requests that wait or run.
func (g *Guard) Active() int { return int(g.active.Load()) }

// Counts returns the number of requests sent to the backend server, and of probes.
func (g *Guard) Counts() (sent, probes uint64) { return g.sent.Load(), g.probes.Load() }

// Deaths returns how often the backend server has died with requests in flight.
func (g *Guard) Deaths() uint64 { return g.deaths.Load() }

// Statements returns how many answers of the backend server had a statement about whether the request ran.
func (g *Guard) Statements(s mesh.Statement) uint64 { return g.statements[s].Load() }

// Load returns the load to report to entries.
func (g *Guard) Load() mesh.Load {
	l := g.gate.Load()
	slowdown := g.slowdown.state(g.Now())
	load := mesh.Load{
		Running: l.InUse, Waiting: l.WaitingInTime, Slots: g.reportedSlots(l.Limit, l.ServiceTime), ServiceTime: l.ServiceTime,
		Slowdown: slowdown.current, SustainedSlowdown: slowdown.sustained, RecoversIn: slowdown.recoversIn, Leaving: !g.accepts(),
	}
	if interval := g.limit.Interval(); interval > 0 {
		load.RequestInterval = interval
		load.AcceptsIn = g.limit.NextPermit(g.Now()) + interval*time.Duration(l.WaitingInTime)
	}
	if v := g.view.Load(); v != nil {
		load.Revision = v.Revision
	}
	return load
}

// Run runs a request on the backend server, or refuses it. ctx must be cancelled once
// nobody waits for the response any more.
func (g *Guard) Run(ctx context.Context, r *mesh.Request) (answer *mesh.Answer, e *kind.Error) {
	g.active.Add(1)
	defer g.active.Add(-1)
	defer func() {
		if cause := recover(); cause != nil {
			answer, e = nil, mesh.PanicError(g.Log, r.ID, cause)
		}
	}()
	start := g.Now()
	g.lastRequestAt.Store(int64(start))
	s := &requestState{request: r, start: start}
	answer, e = g.run(ctx, s)
	g.record(s, answer, e)
	return answer, e
}

func (g *Guard) run(ctx context.Context, s *requestState) (*mesh.Answer, *kind.Error) {
	r := s.request
	if e := g.checkAccepts(s); e != nil {
		return nil, e
	}
	g.awaitFirstAnswer(ctx)
	if e := g.checkAccepts(s); e != nil {
		return nil, e
	}
	deadline := s.start + r.Remaining
	g.classify(s)
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	slot, e := g.awaitTurn(ctx, s, deadline)
	if e != nil {
		return nil, e
	}
	defer slot.Release()
	x, e := g.isolate(ctx, s)
	if e != nil {
		return nil, e
	}
	defer x.Leave()
	if e := g.checkRestarted(); e != nil {
		return nil, e
	}
	if e := confirm(ctx, r); e != nil {
		return nil, e
	}
	s.waited = g.Now() - s.start
	g.captureSlowdown(s)
	if e := g.checkAccepts(s); e != nil {
		return nil, e
	}
	if deadline-g.Now() < s.minRemaining() {
		return nil, kind.New(kind.DeadlineNotRun, "the remaining time is too short for the backend server to respond")
	}
	if e := g.awaitPermit(ctx, s, deadline); e != nil {
		return nil, e
	}
	s.concurrency, s.contention = slot.Concurrency(), slot.ContentionFactor()
	sent := g.Now()
	answer, e := g.exchange(ctx, s, deadline)
	s.backendTime = g.Now() - sent
	e = g.recordSuspicion(s, x, answer, e)
	g.recordBackendTime(s, slot, answer, e)
	return answer, e
}

// awaitTurn waits until the request may be sent, for as long as the guard accepts requests.
func (g *Guard) awaitTurn(ctx context.Context, s *requestState, deadline time.Duration) (gate.Slot, *kind.Error) {
	admitted, cancel := g.admission.bound(ctx)
	defer cancel()
	slot, e := g.awaitSlot(admitted, s, deadline)
	leaving := ctx.Err() == nil || stopping.Ended(ctx)
	if e != nil && admitted.Err() != nil && leaving {
		e = g.leavingError()
	}
	return slot, e
}

// awaitSlot waits for a slot and for the end of a transient slowdown before and after that.
func (g *Guard) awaitSlot(ctx context.Context, s *requestState, deadline time.Duration) (gate.Slot, *kind.Error) {
	if e := g.awaitRecovery(ctx, s); e != nil {
		return gate.Slot{}, e
	}
	slot, e := g.gate.AcquireWithin(ctx, rankOf(s.request), g.waitLimits(s, deadline))
	s.permittedAt = g.Now()
	s.waited = s.permittedAt - s.start
	if e != nil {
		return gate.Slot{}, e
	}
	if e := g.awaitRecovery(ctx, s); e != nil {
		slot.Release()
		return gate.Slot{}, e
	}
	s.slotAt = g.Now()
	return slot, nil
}

// confirm asks the entry whether the request may run, if the request requires it.
func confirm(ctx context.Context, r *mesh.Request) *kind.Error {
	if r.Confirm == nil {
		return nil
	}
	if err := r.Confirm(ctx); err != nil {
		return kind.New(kind.DeadlineNotRun, "the entry did not confirm that it still waits for the request").WithProof(kind.Unconfirmed).WithCause(err)
	}
	return nil
}

// classify sets the class of a request, which is its route, and its base service time.
func (g *Guard) classify(s *requestState) {
	assumed := time.Duration(0)
	if route := s.route(g.view.Load()); route != nil {
		s.class, assumed = route.Name, route.AssumedBaseServiceTime()
	}
	s.baseService = cmp.Or(g.gate.BaseServiceTime(s.class), s.request.BaseServiceTime, assumed)
}

// recordBackendTime records how long the backend server took for a request, for the
// learned limit and base service times.
func (g *Guard) recordBackendTime(s *requestState, slot gate.Slot, answer *mesh.Answer, e *kind.Error) {
	served := answer != nil && answer.Status < http.StatusInternalServerError && s.statement == mesh.NoStatement
	// A request that was cut off at its deadline would have taken longer still. Without
	// these, an overloaded backend server would be measured by its fast requests only.
	late := e != nil && e.Kind == kind.DeadlineUnknown || answer != nil && answer.Status == http.StatusGatewayTimeout
	if !served && !late {
		return
	}
	g.recordSlotTime(s)
	m := g.measureSlowness(s, late)
	slot.RecordSample(contention.Sample{
		Class: s.class, ServiceTime: m.healthyTime(float64(s.backendTime) / s.slowdown.reported()), ReportedBaseTime: s.request.BaseServiceTime, Aborted: late,
	})
	if served {
		answer.BaseServiceTime = m.reportedBase(g.gate.BaseServiceTime(s.class))
	}
}

// checkAccepts returns a refusal if the guard currently accepts no requests, or none of
// the request's service or route.
func (g *Guard) checkAccepts(s *requestState) *kind.Error {
	v := g.view.Load()
	switch {
	case v == nil:
		return kind.New(kind.NotReady, "no configuration is in force yet")
	case s.request.Service != g.Here.Service:
		return kind.New(kind.StaleConfig, "this node doesn't serve the service")
	case !g.accepts():
		return g.leavingError()
	}
	if reason := eligibility.Check(v, v.LocalTarget, s.route(v)); reason != eligibility.Eligible {
		return kind.New(kind.StaleConfig, "the backend server must not run the request: %s", reason)
	}
	return nil
}

// maxPriority is the largest distinct priority value, which is the least urgent; larger
// values are treated the same.
const maxPriority = gate.Priorities - 1

// rankOf returns the rank for a request's priority. The gate runs the highest depth
// first, so the most urgent priority, 0, gets the highest depth.
func rankOf(r *mesh.Request) gate.Rank {
	return gate.Rank{Depth: maxPriority - min(max(r.Priority, 0), maxPriority), Nested: r.Nested}
}

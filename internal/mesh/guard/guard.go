// Package guard admits requests to the backend server beside the node and makes
// the exchange. Only it knows how many run there, and only it decides that one
// more does.
package guard

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/crowd"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// Backend makes exchanges with the backend server. allow is asked right before the first
// byte goes out.
type Backend interface {
	Do(ctx context.Context, m *exchange.Message, allow func() bool) (*mesh.Answer, *exchange.Failure)
}

// Config is what a Guard is made of.
type Config struct {
	Here    mesh.Place
	Dialect mesh.Dialect
	Backend Backend
	// Now gives the time since the node's start by a clock that counts the time
	// for which the VM was suspended.
	Now func() time.Duration
	Log *decision.Log
	// Changed is called when the load changed in a way that entries should know.
	Changed func(urgent bool)
}

// Guard is the guard role of a node. Safe for concurrent use.
type Guard struct {
	Config
	gate     *gate.Gate
	view     atomic.Pointer[mesh.View]
	leaving  atomic.Bool
	stopping atomic.Bool
	pulse    pulse
	// toldAt is when the backend server last told its load, and probing says that it
	// is being asked.
	toldAt  atomic.Int64
	probing atomic.Bool
	// fill is the share of the declared slots that is filled, as the bits of a float64; 0
	// is learnt.
	fill atomic.Uint64
	// askedAt is when a request last came, in nanoseconds since the start.
	askedAt atomic.Int64
	probes  atomic.Uint64
	ran     atomic.Uint64
	active  atomic.Int64
}

// New returns a Guard that refuses everything until it has a View.
func New(c Config) *Guard {
	return &Guard{Config: c, gate: gate.New()}
}

// SetFill changes the share of the declared slots that is filled; 0 lets as many run as
// the backend server shows to be best.
func (g *Guard) SetFill(share float64) {
	g.fill.Store(math.Float64bits(share))
	if v := g.view.Load(); v != nil {
		g.setSlots(v)
	}
}

// queuePerSlot is how many requests may wait for each slot. Patience and
// deadlines bound the wait; this bounds the memory.
const queuePerSlot = 8

// SetView puts a new View in force.
func (g *Guard) SetView(v *mesh.View) {
	g.view.Store(v)
	own := v.Own
	leaving := own == nil || own.State == mesh.Draining
	g.setSlots(v)
	if own != nil {
		g.pulse.startsCold(own.WarmAt)
	}
	if g.leaving.Swap(leaving) != leaving {
		g.Changed(true)
	}
}

func (g *Guard) setSlots(v *mesh.View) {
	if v.Own == nil {
		return
	}
	limits := gate.Limits{Slots: v.Own.Slots, Order: gate.OrderInTime, Learnt: true}
	if share := math.Float64frombits(g.fill.Load()); share > 0 {
		limits.Slots = max(int(float64(v.Own.Slots)*share+roundUp), 1)
		limits.Learnt = false
	}
	limits.Queue = queuePerSlot * limits.Slots
	g.gate.SetLimits(limits)
}

// roundUp keeps an exact product from being rounded down by its last bit.
const roundUp = 1e-6

// Stop makes the guard refuse new requests because the node stops.
func (g *Guard) Stop() {
	g.stopping.Store(true)
	g.Changed(true)
}

// Active gives how many requests wait or run.
func (g *Guard) Active() int { return int(g.active.Load()) }

// Counts gives how many requests were sent to the backend server, and probes.
func (g *Guard) Counts() (ran, probes uint64) { return g.ran.Load(), g.probes.Load() }

// Load gives the load to tell entries.
func (g *Guard) Load() mesh.Load {
	l := g.gate.Load()
	slowed := g.pulse.state(g.Now())
	load := mesh.Load{
		Running: l.InUse, Waiting: l.Due, Slots: l.Limit, Service: l.Service,
		Slowdown: slowed.now, Standing: slowed.standing, CalmIn: slowed.calmIn, Leaving: g.leaving.Load() || g.stopping.Load(),
	}
	if v := g.view.Load(); v != nil {
		load.Revision = v.Revision
	}
	return load
}

// Run runs a request or refuses it. ctx ends when nobody waits for it any more.
func (g *Guard) Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	g.active.Add(1)
	defer g.active.Add(-1)
	start := g.Now()
	g.askedAt.Store(int64(start))
	v := &visit{request: r, start: start}
	answer, e := g.run(ctx, v)
	g.record(v, answer, e)
	return answer, e
}

func (g *Guard) run(ctx context.Context, v *visit) (*mesh.Answer, *kind.Error) {
	r := v.request
	if e := g.takes(r); e != nil {
		return nil, e
	}
	deadline := v.start + r.Left
	g.know(v)
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	if e := g.awaitCalm(ctx, v); e != nil {
		return nil, e
	}
	slot, e := g.gate.EnterWithin(ctx, rankOf(r), gate.Wait{
		Patience: max(r.Patience-(g.Now()-v.start), time.Millisecond),
		StartBy:  time.Now().Add(r.AimLeft - v.work), Last: time.Now().Add(deadline - g.Now() - v.least()),
	})
	v.waited = g.Now() - v.start
	if e != nil {
		return nil, e
	}
	defer slot.Leave()
	if e := g.awaitCalm(ctx, v); e != nil {
		return nil, e
	}
	if e := confirm(ctx, r); e != nil {
		return nil, e
	}
	v.waited = g.Now() - v.start
	g.note(v)
	if e := g.takes(r); e != nil {
		return nil, e
	}
	if deadline-g.Now() < v.least() {
		return nil, kind.New(kind.DeadlineNotRun, "too little time is left for the backend server to answer")
	}
	v.beside, v.crowding = slot.Beside(), slot.Factor()
	sent := g.Now()
	answer, e := g.exchange(ctx, r, deadline)
	v.own = g.Now() - sent
	g.took(v, slot, answer, e)
	return answer, e
}

// confirm asks the entry whether a request may run, where that is wanted.
func confirm(ctx context.Context, r *mesh.Request) *kind.Error {
	if r.Confirm == nil {
		return nil
	}
	if err := r.Confirm(ctx); err != nil {
		return kind.New(kind.DeadlineNotRun, "the entry no longer waits for the request").Because(err)
	}
	return nil
}

// know fills in what is known of a request's like, that is of its route.
func (g *Guard) know(v *visit) {
	path, _, _ := strings.Cut(v.request.URI, "?")
	assumed := time.Duration(0)
	if route := g.view.Load().Config.Match(v.request.Host, path); route != nil {
		v.class, assumed = route.Name, route.AssumedWork()
	}
	v.work = cmp.Or(g.gate.Work(v.class), v.request.Work, assumed)
}

// took learns from how long the backend server had a request.
func (g *Guard) took(v *visit, slot gate.Slot, answer *mesh.Answer, e *kind.Error) {
	served := answer != nil && answer.Status < http.StatusInternalServerError
	// One that was cut off at its deadline would have taken longer still. Left out, a
	// backend server with too much to do would show only the requests that were fast.
	late := e != nil && e.Kind == kind.DeadlineUnknown || answer != nil && answer.Status == http.StatusGatewayTimeout
	if !served && !late {
		return
	}
	slot.Learn(crowd.Sample{
		Class: v.class, Took: time.Duration(float64(v.own) / v.slowdown.now), Told: v.request.Work, AtLeast: late,
	})
	if served {
		answer.Work = g.gate.Work(v.class)
	}
}

// takes says whether the guard takes new requests at all.
func (g *Guard) takes(r *mesh.Request) *kind.Error {
	switch {
	case g.view.Load() == nil:
		return kind.New(kind.NotReady, "no configuration is in force yet")
	case r.Service != g.Here.Service:
		return kind.New(kind.StaleConfig, "this node doesn't serve the service")
	case g.leaving.Load():
		return kind.New(kind.Leaving, "the backend server is leaving")
	case g.stopping.Load():
		return kind.New(kind.Leaving, "the node is stopping")
	}
	return nil
}

// maxPriority is the lowest rank that is told apart.
const maxPriority = 15

// rankOf orders by the route's priority, as the gate runs the highest depth first.
func rankOf(r *mesh.Request) gate.Rank {
	return gate.Rank{Depth: maxPriority - min(max(r.Priority, 0), maxPriority)}
}

// Package entry takes whole requests of callers, chooses a target for each,
// offers it there, and decides what follows when that fails.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guard runs requests at the own backend server.
type Guard interface {
	Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
	Load() mesh.Load
}

// Peers runs requests at other nodes' backend servers.
type Peers interface {
	Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error)
}

// Observer is told what each request came to. Safe for concurrent use.
type Observer interface {
	Answered(service string, k kind.Kind, took time.Duration)
	Hopped(service string, k kind.Kind)
	// Forecast is told how long an offer that was answered was expected to take, and how
	// long it took.
	Forecast(service string, expected, took time.Duration)
}

// Prices turn bytes that leave the zone into time: how much longer a request may
// take near home before it is worth sending away.
type Prices struct {
	// ZonePerKB and RegionPerKB are for each kilobyte of a request and its answer.
	ZonePerKB, RegionPerKB time.Duration
}

// Repeats bounds how often requests may be run again, over all nodes.
type Repeats struct {
	// Ratio is repeats for each request within Window, Slack how many more the
	// whole deployment may make.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Config is what an Entry is made of.
type Config struct {
	Here     mesh.Place
	Guard    Guard
	Peers    Peers
	Repeats  Repeats
	Observer Observer
	Log      *decision.Log
	// Now gives the time since the node's start by a clock that counts the time
	// for which the VM was suspended.
	Now func() time.Duration
}

// Entry is the entry role of a node. Safe for concurrent use.
type Entry struct {
	Config
	view   atomic.Pointer[mesh.View]
	prices atomic.Pointer[Prices]
	mu     sync.Mutex
	rows   map[string]*budget.Window
	routes sync.Map // route name to *routeStat
	active atomic.Int64
	// stop is set once the node stops.
	stop atomic.Pointer[stop]
}

// stop is when the node began to stop and when the process ends, since its start.
type stop struct{ began, ends time.Duration }

// New returns an Entry that refuses everything until it has a View.
func New(c Config) *Entry {
	e := &Entry{Config: c, rows: map[string]*budget.Window{}}
	e.SetPrices(Prices{})
	return e
}

// SetPrices changes the prices of bytes; without any, bytes are free.
func (e *Entry) SetPrices(p Prices) { e.prices.Store(&p) }

// SetView puts a new View in force.
func (e *Entry) SetView(v *mesh.View) { e.view.Store(v) }

// View gives the View in force, or nil.
func (e *Entry) View() *mesh.View { return e.view.Load() }

// Active gives how many requests are being served.
func (e *Entry) Active() int { return int(e.active.Load()) }

// Stop tells that the process ends at a time since its start. Requests that may
// not be over by then are refused from a moment on.
func (e *Entry) Stop(ends time.Duration) { e.stop.Store(&stop{e.Now(), ends}) }

const (
	// stopTakes is how long after the signal to stop every request is still taken:
	// callers learn only then that they should go elsewhere.
	stopTakes = 2900 * time.Millisecond
	// stopRetry is when a caller that is refused because the node stops should come
	// back, to another node.
	stopRetry = 50 * time.Millisecond
)

// refuseLate refuses a request that may outlast the process. A caller that keeps
// its connection sends on it until the process is gone; taken, its booking
// would be cut off midway and nobody could tell whether it ran. Refused at once,
// it goes to another node.
func (t *trip) refuseLate() *kind.Error {
	s := t.entry.stop.Load()
	if s == nil || t.in.Arrived < s.began+stopTakes || t.deadline < s.ends {
		return nil
	}
	e := kind.New(kind.Leaving, "the node stops before the request may be over")
	e.RetryAfter = stopRetry
	return e
}

// Inbound is one request as a caller sent it, read whole.
type Inbound struct {
	ID, Method, URI, Path, Host string
	Header                      http.Header
	Body                        []byte
	// Timeout is how long the caller waits, 0 if it didn't say.
	Timeout time.Duration
	// Arrived is when its last byte was read, since the node's start.
	Arrived time.Duration
}

// trip is one request on its way through the entry.
type trip struct {
	entry   *Entry
	in      *Inbound
	view    *mesh.View
	route   *mesh.Route
	stat    *routeStat
	service string
	// deadline is when the caller or the route gives up, and aim when the answer
	// loses most of its worth.
	deadline, aim time.Duration
	offers        []offer
	// sent counts the targets that may have run the request.
	sent int
	// refusals are what guards said of their wait, by target.
	refusals map[string]time.Duration
}

// offer is one target that the request was offered to.
type offer struct {
	target *mesh.Target
	took   time.Duration
	kind   kind.Kind
	// expected is how long it was expected to take.
	expected time.Duration
}

// Serve answers a request. ctx ends when the caller leaves.
func (e *Entry) Serve(ctx context.Context, in *Inbound) (*mesh.Answer, *kind.Error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	t, err := e.plan(in)
	if err != nil {
		e.record(t, nil, err)
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, t.deadline-e.Now())
	defer cancel()
	answer, err := t.run(wait)
	if err != nil && ctx.Err() != nil {
		err = kind.New(kind.OutcomeUnknown, "the caller left").Because(ctx.Err())
	}
	e.record(t, answer, err)
	return answer, err
}

// plan finds the route of a request and what holds for it.
func (e *Entry) plan(in *Inbound) (*trip, *kind.Error) {
	t := &trip{entry: e, in: in, view: e.view.Load(), refusals: map[string]time.Duration{}}
	if t.view == nil {
		// It comes within moments from the store, or from a neighbour if that is away.
		refusal := kind.New(kind.NotReady, "no configuration is in force yet")
		refusal.RetryAfter = spread(comeBackLeast)
		return t, refusal
	}
	t.route = t.view.Config.Match(in.Host, in.Path)
	if t.route == nil {
		return t, kind.New(kind.UnknownService, "no route for %s%s", kind.Clip(in.Host), kind.Clip(in.Path))
	}
	t.stat = e.routeStat(t.route.Name)
	t.service = t.route.Weights.Next(t.route.Shares)
	timeout := t.route.Timeout
	if in.Timeout > 0 && (timeout == 0 || in.Timeout < timeout) {
		timeout = in.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	t.deadline = in.Arrived + timeout
	t.aim = in.Arrived + min(t.route.Aim, timeout)
	if t.route.Aim == 0 {
		t.aim = t.deadline
	}
	if refusal := t.refuseLate(); refusal != nil {
		return t, refusal
	}
	e.repeats(t.service).Request(e.Now())
	return t, nil
}

// defaultTimeout holds where neither the caller nor the route says anything. It
// is what most HTTP clients use.
const defaultTimeout = 30 * time.Second

// nodeMargin is what a node's share of the slack is divided by besides the number
// of nodes: one that was killed and started again begins a new share, and both
// may fall into one window.
const nodeMargin = 2

// ratioMargin keeps the node's repeats under the ratio where the requests that
// it has counted are judged by windows that begin elsewhere.
const ratioMargin = 0.7

// repeats gives the budget of a service.
func (e *Entry) repeats(service string) *budget.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.rows[service]
	if w == nil {
		w = budget.NewWindow(e.Repeats.Window, 0, 0)
		e.rows[service] = w
	}
	nodes := 1
	if v := e.view.Load(); v != nil {
		nodes += len(v.Peers)
	}
	w.Set(e.Repeats.Ratio*ratioMargin, e.Repeats.Slack/float64(nodeMargin*nodes))
	return w
}

// record writes what became of a request.
func (e *Entry) record(t *trip, a *mesh.Answer, err *kind.Error) {
	took := e.Now() - t.in.Arrived
	k := kind.Kind("")
	if err != nil {
		k = err.Kind
	}
	e.Observer.Answered(t.service, k, took)
	e.Log.Decide("request ended", t.describe(a, err, took)...)
}

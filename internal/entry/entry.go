// Package entry takes callers' requests, chooses a target for each, retries
// what may be retried, and tells the outcome.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Caller asks peers' control sides what became of an attempt.
type Caller interface {
	// CallNew sends a message over a new connection and gives the answer.
	CallNew(ctx context.Context, addr string, m wire.Message) (wire.Message, error)
	// Call may use a kept connection.
	Call(ctx context.Context, addr string, m wire.Message) (wire.Message, error)
	// Cost bounds the bytes that a Call of m sends.
	Cost(m wire.Message) int
}

// SuspectReporter is told of requests that may crash backend servers. Safe for
// concurrent use.
type SuspectReporter interface {
	// Died reports a request that was in flight when a backend server died.
	Died(fingerprint uint64, d suspect.Death)
	// Cleared reports a suspect that has run to its end.
	Cleared(fingerprint uint64)
}

// Observer is told what each request came to. Safe for concurrent use.
type Observer interface {
	// Answered reports a request that was answered, by the backend server
	// (with an empty kind) or by the system.
	Answered(service string, k kind.Kind, took time.Duration)
	// Hopped reports a target that was given up for another one, and why.
	Hopped(service string, k kind.Kind)
}

// Entry is the entry role of a node: an http.Handler for callers. Safe for
// concurrent use.
type Entry struct {
	view      pick.Current
	local     http.RoundTripper
	remote    *transports
	seal      func(*wire.Seal) *wire.Sealed
	peers     Caller
	observer  Observer
	reporter  atomic.Pointer[SuspectReporter]
	behind    atomic.Pointer[func(vm string)]
	now       func() time.Duration
	load      func() gate.Load
	limits    *limit.Table
	measuring *budget.Measuring
	accounts  accounts
	heartbeat heartbeat
	counters  Counters
	// name is unique to this process; exchanges counts the ids made with it.
	name      string
	exchanges atomic.Uint64
	// copies counts second copies under way.
	copies sync.WaitGroup
	hedges sync.Pool
}

// Counters count what an entry does about exchanges that went wrong. Safe for
// concurrent use.
type Counters struct {
	// Checks counts questions about exchanges in which nothing moved.
	Checks atomic.Uint64
	// Silent counts connections given up because they had gone silent.
	Silent atomic.Uint64
	// Resolved counts attempts whose fate had to be asked for.
	Resolved atomic.Uint64
}

// Config is what an Entry is made of.
type Config struct {
	// Local is the guard of the own node, and Seal asks it about attempts.
	Local http.RoundTripper
	Seal  func(*wire.Seal) *wire.Sealed
	Peers Caller
	// Load gives the load of the own backend server; nil if it isn't known.
	Load func() gate.Load
	// Limits bounds what is in flight.
	Limits *limit.Table
	// Measuring is the budget for probes; nil means none are sent.
	Measuring *budget.Measuring
	// Observer is told of every answer.
	Observer Observer
	// Now gives the time since the node's start, of a monotonic clock.
	Now func() time.Duration
}

// New returns an Entry that answers not-ready until it has a View.
func New(c Config) *Entry {
	e := &Entry{
		local: c.Local, remote: newTransports(), seal: c.Seal,
		peers: c.Peers, observer: c.Observer, now: c.Now, name: uuid.NewString(),
		load: c.Load, limits: c.Limits, measuring: c.Measuring,
	}
	e.hedges.New = newHedge
	if e.limits == nil {
		e.limits = limit.New()
	}
	return e
}

// SetView puts a new View in force. Only one goroutine may call it.
func (e *Entry) SetView(v *pick.View) {
	e.limits.SetConfig(v.Config)
	e.accounts.setView(v)
	e.view.Store(v)
	inUse := map[string]bool{}
	for _, s := range v.Services {
		for _, t := range s.Homes {
			inUse[t.Guard] = true
		}
	}
	e.remote.Keep(inUse)
	e.remote.Bound(connectionsOf(v))
}

// Beat must be called often; a late call shows that the process was paused.
func (e *Entry) Beat() { e.heartbeat.Beat(time.Now()) }

// Counters gives what has been counted so far.
func (e *Entry) Counters() *Counters { return &e.counters }

// OnBehind sets what is called, without waiting, when the guard on a VM refuses
// a request because its configuration is another.
func (e *Entry) OnBehind(f func(vm string)) { e.behind.Store(&f) }

// View gives the View in force, or nil.
func (e *Entry) View() *pick.View { return e.view.Load() }

// Close drops the idle connections to guards.
func (e *Entry) Close() { e.remote.CloseIdleConnections() }

// ServeHTTP answers one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := e.now()
	service := ""
	err := e.serve(w, r, &service)
	k := kind.Kind("")
	if err != nil {
		k = err.Kind
		kind.Write(w, err)
	}
	e.observer.Answered(service, k, e.now()-start)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, service *string) *kind.Error {
	v := e.view.Load()
	if v == nil {
		e := kind.New(kind.NotReady, "no configuration is in force yet")
		if r.Header.Get(headers.IdempotencyKey) != "" {
			e.Outcome = kind.Unknown
		}
		return e
	}
	x, err := parse(v, r)
	if err == nil {
		*service = x.service.Name
		err = e.admit(w, v, x)
	}
	return x.ofEveryCopy(err)
}

// admit checks limits and serves a request that has been understood.
func (e *Entry) admit(w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	r := x.in
	hold, err := e.limits.Admit(x.service.Name, x.route)
	if err != nil {
		return err
	}
	defer hold.Release()
	x.account = e.accounts.of(x.service.Name)
	if x.chain.Fresh() {
		x.account.Request()
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.timeout)
	defer cancel()
	x.cancel = cancel
	if r.Header.Get(headers.Ticket) != "" {
		return e.issue(ctx, w, x)
	}
	if err := x.holdBody(); err != nil {
		return err
	}
	x.arrived = time.Now()
	if err := x.checkSuspect(v, e.now()); err != nil {
		return err
	}
	if x.once {
		err = e.serveOnce(ctx, w, v, x)
	} else {
		err = e.serveIdempotent(ctx, w, v, x)
	}
	if err != nil {
		err = e.reroute(ctx, w, v, x, err)
	}
	return err
}

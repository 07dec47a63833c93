// Package entry accepts callers' requests, chooses a target for each, retries those that may
// be retried, and reports the outcome.
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

// Caller sends control messages to peers, such as a query for the outcome of an attempt.
type Caller interface {
	// CallNew sends a message over a new connection and returns the answer.
	CallNew(ctx context.Context, addr string, m wire.Message) (wire.Message, error)
	// Call is like CallNew but may use an existing connection.
	Call(ctx context.Context, addr string, m wire.Message) (wire.Message, error)
	// Cost returns an upper bound of the bytes that a Call of m sends.
	Cost(m wire.Message) int
}

// SuspectReporter is notified of requests that may crash backend servers. Safe for concurrent
// use.
type SuspectReporter interface {
	// Died reports a request that was in flight when a backend server died.
	Died(fingerprint uint64, d suspect.Death)
	// Cleared reports a suspect that completed without a crash.
	Cleared(fingerprint uint64)
}

// Observer is notified of the outcome of each request. Safe for concurrent use.
type Observer interface {
	// Answered reports a request that was answered, by the backend server
	// (with an empty kind) or by the system.
	Answered(service string, k kind.Kind, took time.Duration)
	// Hopped reports that a request moves on from a target to another one, and why.
	Hopped(service string, k kind.Kind)
}

// Entry is the entry role of a node: an http.Handler for callers. Safe for
// concurrent use.
type Entry struct {
	view          pick.Current
	local         http.RoundTripper
	remote        *transports
	seal          func(*wire.Seal) *wire.Sealed
	peers         Caller
	observer      Observer
	reporter      atomic.Pointer[SuspectReporter]
	onStaleConfig atomic.Pointer[func(vm string)]
	now           func() time.Duration
	load          func() gate.Load
	limits        *limit.Table
	measuring     *budget.Measuring
	retryBudgets  retryBudgets
	heartbeat     heartbeat
	counters      Counters
	// trialDelay is after which time a request whose block has ended may run again.
	trialDelay suspect.TrialDelay
	// name is unique to this process; exchanges counts the ids derived from it.
	name      string
	exchanges atomic.Uint64
	// runningHedges counts second copies in progress.
	runningHedges sync.WaitGroup
	hedges        sync.Pool
}

// Counters count failed exchanges and what the entry did about them. Safe for concurrent use.
type Counters struct {
	// ProgressChecks counts queries about exchanges that made no progress.
	ProgressChecks atomic.Uint64
	// UnresponsiveConnections counts connections that were closed because they were
	// unresponsive.
	UnresponsiveConnections atomic.Uint64
	// Resolved counts attempts whose outcome had to be queried.
	Resolved atomic.Uint64
}

// Config configures an Entry.
type Config struct {
	// Local is the guard of this node, and Seal queries it about attempts.
	Local http.RoundTripper
	Seal  func(*wire.Seal) *wire.Sealed
	Peers Caller
	// Load returns the load of the local backend server; nil if it isn't known.
	Load func() gate.Load
	// Limits bounds the requests in flight.
	Limits *limit.Table
	// Measuring is the budget for probes; nil means none are sent.
	Measuring *budget.Measuring
	// Observer is notified of every answer.
	Observer Observer
	// Now returns the monotonic time since the node's start.
	Now func() time.Duration
}

// New returns an Entry that answers not-ready until it has a View.
func New(c Config) *Entry {
	e := &Entry{
		local: c.Local, remote: newTransports(), seal: c.Seal,
		peers: c.Peers, observer: c.Observer, now: c.Now, name: uuid.NewString(),
		load: c.Load, limits: c.Limits, measuring: c.Measuring, trialDelay: suspect.NewTrialDelay(),
	}
	e.hedges.New = newHedge
	if e.limits == nil {
		e.limits = limit.New()
	}
	return e
}

// SetView replaces the View in force. Only one goroutine may call it.
func (e *Entry) SetView(v *pick.View) {
	e.limits.SetConfig(v.Config)
	e.retryBudgets.setView(v)
	e.view.Store(v)
	inUse := map[string]bool{}
	for _, s := range v.Services {
		for _, t := range s.Homes {
			inUse[t.Guard] = true
		}
	}
	e.remote.RetainOnly(inUse)
	e.remote.SetLimits(connectionLimitsFor(v))
}

// Beat must be called often; a late call shows that the process was paused.
func (e *Entry) Beat() { e.heartbeat.Beat(time.Now()) }

// Counters returns the entry's counters.
func (e *Entry) Counters() *Counters { return &e.counters }

// OnStaleConfig sets a function that is called when the guard on a VM refuses a request
// because its configuration differs. f must not block.
func (e *Entry) OnStaleConfig(f func(vm string)) { e.onStaleConfig.Store(&f) }

// View returns the View in force, or nil.
func (e *Entry) View() *pick.View { return e.view.Load() }

// Close closes the idle connections to guards.
func (e *Entry) Close() { e.remote.CloseIdleConnections() }

// ServeHTTP answers one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := e.now()
	aborted := true
	defer func() {
		if aborted && !r.ProtoAtLeast(1, 1) {
			// Answers of HTTP/1.0 have no chunks: one without a length ends with its connection.
			resetOnClose(r)
		}
	}()
	service := ""
	err := e.serve(w, r, &service)
	aborted = false
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
	return x.coverAllCopies(err)
}

// admit checks limits and serves a parsed request.
func (e *Entry) admit(w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	r := x.in
	hold, err := e.limits.Admit(x.service.Name, x.route)
	if err != nil {
		return err
	}
	defer hold.Release()
	x.retryBudget = e.retryBudgets.forService(x.service.Name)
	if x.chain.Unused() {
		x.retryBudget.Request()
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.timeout)
	defer cancel()
	x.cancel = cancel
	return endError(r.Context(), e.serveAdmitted(ctx, w, v, x))
}

func (e *Entry) serveAdmitted(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	if x.in.Header.Get(headers.Ticket) != "" {
		return e.issueTicket(ctx, w, x)
	}
	if err := x.bufferBody(); err != nil {
		return err
	}
	x.arrived = time.Now()
	if err := x.checkSuspect(v, e.trialDelay, e.now()); err != nil {
		return err
	}
	var err *kind.Error
	if x.atMostOnce {
		err = e.serveOnce(ctx, w, v, x)
	} else {
		err = e.serveIdempotent(ctx, w, v, x)
	}
	if err != nil {
		err = e.retryWithNewConfig(ctx, w, v, x, err)
	}
	return err
}

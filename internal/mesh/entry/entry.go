// Package entry accepts complete requests from callers, chooses a target for each, sends it
// there, and decides whether to try another target when that fails.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
	"github.com/limpetdock/limpetdock/internal/stopping"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Guard runs requests at the backend server beside the node.
type Guard interface {
	Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
	Load() mesh.Load
}

// Peers runs requests at the backend servers of other nodes.
type Peers interface {
	Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error)
}

// Suspects is the node's table of requests that may crash backend servers.
type Suspects interface {
	// Check returns how a request is to be treated.
	Check(fingerprint func() uint64) suspect.Entry
}

// Observer receives the outcomes of requests. Safe for concurrent use.
type Observer interface {
	Answered(service string, k kind.Kind, took time.Duration)
	Hopped(service string, k kind.Kind)
	// Ineligible counts a selection of targets in which some were left out for a reason.
	Ineligible(reason eligibility.Reason)
	// Forecast receives the expected and the actual time of an attempt that was answered.
	Forecast(service string, expected, took time.Duration)
}

// Prices are latency penalties for bytes that leave the zone: how much longer a request may
// take at a near target before a farther one is preferred.
type Prices struct {
	// ZonePerKB and RegionPerKB apply to each kilobyte of a request and its answer that is
	// sent to another zone or to another region.
	ZonePerKB, RegionPerKB time.Duration
}

// Config holds the dependencies and settings of an Entry.
type Config struct {
	Here     mesh.Place
	Guard    Guard
	Peers    Peers
	Suspects Suspects
	// Lineage knows what the backend server beside the node runs. With nil, all requests are taken for
	// callers' own.
	Lineage *lineage.Tracker
	// Calls receives the outcomes of nested calls. With nil, the Entry has a Recorder of its own.
	Calls    *calladmission.Recorder
	Repeats  Repeats
	Observer Observer
	Log      *decision.Log
	// Promises reports whether callers take a status for a promise that the request has not run. With nil, none
	// is.
	Promises func(status int) bool
	// Now returns the time since the node's start, by a clock that continues while the VM is
	// suspended.
	Now func() time.Duration
}

// Entry is the entry role of a node. Safe for concurrent use.
type Entry struct {
	Config
	view    atomic.Pointer[mesh.View]
	prices  atomic.Pointer[Prices]
	retries *retryBudgets
	// admissions are the shares of requests that are admitted by the calls that their runs make.
	admissions *calladmission.Controllers
	routes     sync.Map // route name to *routeStats
	active     atomic.Int64
	// trialDelay is after which time a request whose block has ended may run again.
	trialDelay suspect.TrialDelay
	// notRun counts the requests that were answered as not run.
	notRun proofCounters
	// stop is set when the node begins to stop.
	stop atomic.Pointer[stop]
}

// stop is when the node began to stop and when the process ends, since the node's start.
type stop struct{ began, ends time.Duration }

// New returns an Entry that refuses all requests until it has a View.
func New(c Config) *Entry {
	e := &Entry{
		Config: c, retries: newRetryBudgets(c.Repeats, c.Now), trialDelay: suspect.NewTrialDelay(),
		admissions: calladmission.NewControllers(),
	}
	if e.Calls == nil {
		e.Calls = calladmission.NewRecorder()
	}
	if e.Lineage == nil {
		e.Lineage = lineage.New(c.Now)
	}
	if e.Promises == nil {
		e.Promises = func(int) bool { return false }
	}
	e.SetPrices(Prices{})
	return e
}

// SetPrices changes the penalties for transferred bytes; the zero value has none.
func (e *Entry) SetPrices(p Prices) { e.prices.Store(&p) }

// SetView replaces the View.
func (e *Entry) SetView(v *mesh.View) {
	e.retries.setNodes(1 + len(v.Peers))
	e.view.Store(v)
}

// View returns the View in force, or nil.
func (e *Entry) View() *mesh.View { return e.view.Load() }

// Active returns the number of requests being served.
func (e *Entry) Active() int { return int(e.active.Load()) }

// Stop announces that the process ends at the given time since the node's start. Requests in
// flight are refused once they can't complete before then. After a grace period, new requests
// that might not complete before then are refused at once.
func (e *Entry) Stop(ends time.Duration) { e.stop.Store(&stop{e.Now(), ends}) }

const (
	// stopAcceptPeriod is how long all requests are still accepted after the signal to stop,
	// as callers need that time to learn that they should use another node.
	stopAcceptPeriod = 2900 * time.Millisecond
	// stopRetryAfter is when a caller that is refused because the node stops should retry, at
	// another node.
	stopRetryAfter = 50 * time.Millisecond
)

// refuseIfStopping refuses a request that may outlast the process. A caller that keeps its
// connection sends requests on it until the process ends. A request accepted late would be cut
// off while it runs, and its outcome would be unknown. Refused at once, it goes to another
// node.
func (t *transaction) refuseIfStopping() *kind.Error {
	s := t.entry.stop.Load()
	if s == nil || t.in.Arrived < s.began+stopAcceptPeriod || t.deadline < s.ends {
		return nil
	}
	e := kind.New(kind.Leaving, "the node stops before the request is certain to complete")
	e.RetryAfter = stopRetryAfter
	return e
}

// end returns until when the request can be answered: until its deadline, or the end of the
// process if that is earlier.
func (t *transaction) end() time.Duration {
	if s := t.entry.stop.Load(); s != nil {
		return min(t.deadline, s.ends)
	}
	return t.deadline
}

// endsWithProcess reports whether the process ends before the request's deadline.
func (t *transaction) endsWithProcess() bool { return t.end() < t.deadline }

// stopError returns the error for a request that can't complete before the process ends.
func (t *transaction) stopError() *kind.Error {
	if t.sent > 0 {
		return kind.New(kind.OutcomeUnknown, "the node stopped while a target may have been running the request")
	}
	e := kind.New(kind.Leaving, "the node stops before the request can complete")
	e.RetryAfter = stopRetryAfter
	return e
}

// endError returns the error for the caller of a request that failed with err: if the caller left
// or the node can't wait any longer, that is the reason.
func (t *transaction) endError(ctx context.Context, err *kind.Error) *kind.Error {
	outOfTime := t.endsWithProcess() && t.entry.Now() >= t.end()-answerMargin
	switch {
	case outOfTime, stopping.Ended(ctx):
		return t.stopError()
	case ctx.Err() != nil:
		return mesh.CancelledError(ctx)
	}
	return err
}

// Inbound is one complete request as a caller sent it.
type Inbound struct {
	ID, Method, URI, Path, Host string
	Header                      http.Header
	Body                        []byte
	// Timeout is how long the caller waits, or 0 if it didn't specify a time.
	Timeout time.Duration
	// Arrived is when its last byte was read, since the node's start.
	Arrived time.Duration
}

// transaction is the state of one request while the entry handles it.
type transaction struct {
	entry   *Entry
	in      *Inbound
	view    *mesh.View
	route   *mesh.Route
	stats   *routeStats
	service string
	// deadline is when the caller's or the route's timeout expires, and objective when the
	// route's latency objective passes.
	deadline, objective time.Duration
	origin              *lineage.Origin
	// nested is true if the request is taken for a nested call.
	nested bool
	// admission is the smallest admitted share among the services that runs of the route call.
	admission callAdmission
	attempts  []attempt
	// ineligible counts the targets that must not get the request, by reason, as of the last
	// selection.
	ineligible map[eligibility.Reason]int
	// sent counts the targets that may have run the request, and deaths those that died with it in
	// flight.
	sent, deaths int
	// level is whether the request may crash backend servers, and onTrial whether it was blocked
	// before, both as of the last attempt.
	level   suspect.Level
	onTrial bool
	// retryDeniedBy is the service whose budget didn't allow the last retry, or empty.
	retryDeniedBy string
	// refusals holds the wait to assume at targets that refused the request for overload, by
	// target id.
	refusals map[string]time.Duration
}

// attempt is one try to run the request at a target.
type attempt struct {
	target *mesh.Target
	took   time.Duration
	kind   kind.Kind
	// outcome is that of an attempt that failed.
	outcome kind.Outcome
	// proof is what shows that it didn't run, and evidence what that was taken from.
	proof    kind.Proof
	evidence string
	// expected is how long the attempt was expected to take.
	expected time.Duration
}

// Serve handles a request and returns its answer. ctx ends with the cause mesh.ErrCallerLeft once
// nobody reads the answer, and with stopping.Err when the node can't wait any longer.
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
	if err != nil {
		err = t.endError(ctx, err)
	}
	e.record(t, answer, err)
	return answer, err
}

// plan finds the route of a request and sets its service, deadline and latency objective.
func (e *Entry) plan(in *Inbound) (*transaction, *kind.Error) {
	t := &transaction{entry: e, in: in, view: e.view.Load(), refusals: map[string]time.Duration{}}
	if t.view == nil {
		// The View arrives shortly from the store, or from another node if the store is
		// unavailable.
		refusal := kind.New(kind.NotReady, "no configuration is in force yet")
		refusal.RetryAfter = randomize(minRetryAfter)
		return t, refusal
	}
	t.route = t.view.Config.Match(in.Host, in.Path)
	if t.route == nil {
		return t, kind.New(kind.UnknownService, "no route for %s%s", kind.Clip(in.Host), kind.Clip(in.Path))
	}
	t.stats = e.routeStats(t.route.Name)
	t.service = t.route.Splitter.Next(t.route.Shares)
	timeout := t.route.Timeout
	if in.Timeout > 0 && (timeout == 0 || in.Timeout < timeout) {
		timeout = in.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	t.deadline = in.Arrived + timeout
	t.objective = in.Arrived + min(t.route.LatencyObjective, timeout)
	if t.route.LatencyObjective == 0 {
		t.objective = t.deadline
	}
	if refusal := t.refuseIfStopping(); refusal != nil {
		return t, refusal
	}
	t.origin = e.Lineage.Arrived(t.expires())
	t.detectNestedCall()
	if refusal := t.refuseForCalls(); refusal != nil {
		return t, refusal
	}
	if t.origin.Caller() {
		e.retries.request(t.service)
	} else {
		t.origin.AddCalls(mesh.Calls{t.service: 1})
	}
	return t, nil
}

// expires returns when the caller gives the request up, or 0 if it didn't specify a time.
func (t *transaction) expires() time.Duration {
	if t.in.Timeout == 0 {
		return 0
	}
	return t.in.Arrived + t.in.Timeout
}

// defaultTimeout applies where neither the caller nor the route specifies one. It is the
// default of most HTTP clients.
const defaultTimeout = 30 * time.Second

// record logs and counts the outcome of a request.
func (e *Entry) record(t *transaction, a *mesh.Answer, err *kind.Error) {
	took := e.Now() - t.in.Arrived
	k := kind.Kind("")
	if err != nil {
		k = err.Kind
	}
	e.Observer.Answered(t.service, k, took)
	if err != nil {
		e.notRun.count(err.ProofOfNotRun())
	}
	t.recordNestedCall(a, err)
	e.Log.InfoLimited("request ended", t.describe(a, err, took)...)
}

// Package guard implements admission to one backend server: only the guard decides
// that a request runs there. It accepts requests from entries, over HTTP or from the
// entry of its own node, and forwards them to the backend server.
package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/upstream"
)

// Guard is the guard role of a node. It is an http.RoundTripper, so that the node's
// own entry uses it without a network hop, and an http.Handler for the other entries.
// Safe for concurrent use.
type Guard struct {
	backend     *url.URL
	transport   *upstream.Transport
	incarnation uint64
	now         func() time.Duration
	gate        *gate.Gate
	view        pick.Current
	fence       fence
	leaving     atomic.Bool
	// startsEnded is true once no more requests may start, see EndStarts.
	startsEnded atomic.Bool
	mu          sync.Mutex
	attempts    *attempt.Table
	// vm and addr are the VM's own name and address, or empty.
	vm, addr string
	// listed is when the platform last listed this VM, since the node's start, listedAt
	// the same time on the wall clock, and listedAddr the address.
	listed     time.Duration
	listedAt   time.Time
	listedAddr string
	// hasKeyRules is true once the rules for callers' own keys are known.
	hasKeyRules bool
	// active counts requests from the queue to the end of their answers.
	active    activity
	isolation suspect.Isolation
	detector  *death.Detector
	deathIDs  *death.IDs
	// breaks counts the exchanges that broke off and those that were answered.
	breaks   suspect.Breaks
	reporter reporter
	// Counters counts the guard's decisions about attempts.
	Counters Counters
}

// New returns the guard of the backend server at base. now returns the time since the
// node's start on a monotonic clock.
func New(base *url.URL, incarnation uint64, now func() time.Duration) *Guard {
	g := &Guard{
		backend:     base,
		incarnation: incarnation,
		now:         now,
		gate:        gate.New(),
		attempts:    attempt.NewTable(incarnation),
	}
	g.detector = death.NewDetector(base.Host)
	g.deathIDs = death.NewIDs(incarnation)
	g.transport = newTransport(g.detector)
	return g
}

func newTransport(d *death.Detector) *upstream.Transport {
	return &upstream.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dialWatched(ctx, d, addr)
		}, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10, MaxResponseHeaderBytes: readlimit.MaxHead,
	}}
}

// SetAddr sets the VM's own address, as the platform should list it. It must be called
// before the first View is set.
func (g *Guard) SetAddr(ip string) { g.addr = ip }

// SetVM sets the VM's name, for updates that arrive before the first View.
func (g *Guard) SetVM(vm string) { g.vm = vm }

// SetView applies a new View and its declared limits.
func (g *Guard) SetView(v *pick.View) {
	g.view.Store(v)
	g.reporter.setView(v)
	svc, t := v.Config.Target(v.Here.VM)
	if t == nil {
		g.gate.SetLimits(gate.Limits{})
		return
	}
	g.gate.SetLimits(gate.Limits{Slots: t.Slots, Queue: svc.Queue, Order: svc.QueueOrder, Adaptive: svc.Adaptive, NoRefusal: svc.NoRefusal})
	g.setKeys(svc, v.Here.VM)
}

// SetLeaving makes the guard refuse new requests, or accept them again.
func (g *Guard) SetLeaving(leaving bool) { g.leaving.Store(leaving) }

// EndStarts makes the guard refuse all requests that haven't started. A stopping node calls it
// before it ends the contexts of requests one after the other: the first ones release their slots
// while those that wait for a slot still look as if they may run.
func (g *Guard) EndStarts() { g.startsEnded.Store(true) }

// Tick returns the guard's coarse tick.
func (g *Guard) Tick() uint64 { return attempt.Tick(g.now()) }

// Load returns the load of the backend server as counted by the guard.
func (g *Guard) Load() gate.Load { return g.gate.Load() }

// Wait blocks until no request waits or runs, or ctx ends; it returns the error of ctx then.
func (g *Guard) Wait(ctx context.Context) error { return g.active.wait(ctx) }

// Close closes the idle connections to the backend server.
func (g *Guard) Close() { g.transport.CloseIdleConnections() }

// ServeHTTP handles a request from another node's entry.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	resp, err := g.RoundTrip(r)
	if err != nil {
		kind.Write(w, kind.From(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	headers.Copy(w.Header(), resp.Header)
	g.addLoad(w.Header(), r, arrived)
	// The entry checks that this answers the request it sent on the connection.
	w.Header().Set(headers.Exchange, exchangeOf(r))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		// A truncated answer must be detectable: the connection is aborted, not closed
		// normally.
		panic(http.ErrAbortHandler)
	}
}

// RoundTrip runs a request, or refuses it with an answer made by the guard. The error
// is always nil; failures are reported as answers with a kind.
func (g *Guard) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, e := g.run(r)
	if e != nil {
		resp = g.refusal(r, e)
	}
	return resp, nil
}

func (g *Guard) run(r *http.Request) (*http.Response, *kind.Error) {
	if id := r.Header.Get(headers.Collect); id != "" {
		return g.collect(r, id)
	}
	if id := r.Header.Get(headers.Attempt); id != "" {
		return g.runOnce(r, id)
	}
	return g.runIdempotent(r)
}

// exchangeOf returns the id under which an entry sent a request.
func exchangeOf(r *http.Request) string {
	for _, name := range []string{headers.Collect, headers.Attempt, headers.Exchange} {
		if id := r.Header.Get(name); id != "" {
			return id
		}
	}
	return ""
}

func (g *Guard) runIdempotent(r *http.Request) (*http.Response, *kind.Error) {
	a, e := g.admit(r)
	if e != nil {
		return nil, e
	}
	id := r.Header.Get(headers.Exchange)
	g.addPresent(id)
	v, e := g.acquire(a, r)
	if e != nil {
		g.removePresent(id)
		a.cancel()
		return nil, e
	}
	end := func() {
		g.removePresent(id)
		a.cancel()
		v.leave()
	}
	deadline, _ := a.ctx.Deadline()
	p := newPermit(r, deadline)
	resp, err := g.forward(withPermit(a.ctx, p), r)
	if err != nil {
		// A suspect that waits to run alone must start only after the death is recorded.
		defer end()
		if p.revoke() {
			return nil, refusalAtStop(a.ctx, notSent(deadline, err))
		}
		return nil, g.backendError(a.ctx, p, v, err)
	}
	resp.Body = &endingBody{ReadCloser: resp.Body, end: sync.OnceFunc(end)}
	return resp, nil
}

// admission is a request that has passed the guard's first checks.
type admission struct {
	// ctx ends at the request's deadline; cancel releases its resources.
	ctx    context.Context
	cancel context.CancelFunc
	// class is the class of the request's route.
	class int
}

// admit checks whether the guard accepts the request.
func (g *Guard) admit(r *http.Request) (admission, *kind.Error) {
	v := g.view.Load()
	if v == nil {
		return admission{}, kind.New(kind.NotReady, "no configuration is in force yet")
	}
	if g.leaving.Load() {
		return admission{}, kind.New(kind.Leaving, "the backend server is leaving the service")
	}
	if noRoom(r.Context()) {
		return admission{}, kind.New(kind.Overloaded, "the target's connection limit is reached")
	}
	v, e := g.checkConfig(r, v)
	if e != nil {
		return admission{}, e
	}
	svc, _ := v.Config.Target(v.Here.VM)
	if svc == nil || svc.Name != r.Header.Get(headers.Service) {
		return admission{}, kind.New(kind.StaleConfig, "this node doesn't serve the service")
	}
	class, once := 0, true
	if route := svc.Match(r.Method, r.URL.Path); route != nil {
		class, once = route.Class, !route.Idempotent
	}
	if once && r.Header.Get(headers.Attempt) == "" {
		return admission{}, kind.New(kind.StaleConfig, "the route runs at most once here")
	}
	ms, err := strconv.ParseInt(r.Header.Get(headers.TimeoutMs), 10, 64)
	if err != nil || ms <= 0 {
		return admission{}, kind.New(kind.DeadlineNotRun, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return admission{ctx, cancel, class}, nil
}

// forward sends the request to the backend server.
func (g *Guard) forward(ctx context.Context, r *http.Request) (*http.Response, error) {
	out := r.Clone(ctx)
	out.URL.Scheme = g.backend.Scheme
	out.URL.Host = g.backend.Host
	out.RequestURI = ""
	headers.StripInternal(out.Header)
	headers.StripHopByHop(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(headers.TimeoutMs, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	out.Header.Del("Expect")
	headers.DisableReplay(out)
	resp, err := g.transport.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	g.breaks.Completed(g.now())
	headers.StripInternal(resp.Header)
	headers.StripHopByHop(resp.Header)
	return resp, nil
}

// refusal turns e into an answer with the guard's identity, so that the entry's next
// attempt names the right incarnation and tick.
func (g *Guard) refusal(r *http.Request, e *kind.Error) *http.Response {
	rec := newRecorder()
	kind.Write(rec, e)
	rec.header.Set(headers.Incarnation, strconv.FormatUint(g.incarnation, 16))
	rec.header.Set(headers.Tick, strconv.FormatUint(g.Tick(), 10))
	addDeathHeaders(rec.header, e)
	return rec.response(r)
}

// backendError classifies the failure of a request that was sent under p.
func (g *Guard) backendError(ctx context.Context, p *permit, v execution, err error) *kind.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.isolation.Abandon()
		return kind.New(kind.DeadlineUnknown, "the deadline passed while the backend server ran the request").WithCause(err)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller that cancelled doesn't wait for a probe of the backend server, and a
		// death found by it wouldn't be caused by this request.
		g.isolation.Abandon()
		return kind.New(kind.OutcomeUnknown, "the request was cancelled").WithCause(err)
	}
	e := g.connectionError(p, err)
	e.Alone = e.Death != 0 && v.alone()
	return e
}

// answerOf reads a complete answer of at most attempt.MaxAnswer bytes. For a longer
// one it returns what was read so far and whole is false.
func answerOf(resp *http.Response) (a *attempt.Answer, whole bool, err error) {
	var buf bytes.Buffer
	_, err = io.Copy(&buf, io.LimitReader(resp.Body, attempt.MaxAnswer+1))
	a = &attempt.Answer{Status: resp.StatusCode, Header: resp.Header, Body: buf.Bytes()}
	return a, buf.Len() <= attempt.MaxAnswer, err
}

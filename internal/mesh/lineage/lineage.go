// Package lineage tells the requests of callers from the calls that the backend server beside a node
// makes while it runs requests. Both arrive at the same port and look alike.
//
// Calls differ by their time: a call is made while its parent runs, and expires with its parent at the
// latest. So a request that expires later than all that the backend server runs is a caller's own. Of
// any other one it is unknown; it may be a call of each request that ends late enough.
package lineage

import (
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// maxDelay is how much later a call may seem to expire than its parent, as it is read some time after
// the backend server sent it.
const maxDelay = 100 * time.Millisecond

// Tracker knows what the backend server beside the node runs. Safe for concurrent use.
type Tracker struct {
	now  func() time.Duration
	mu   sync.Mutex
	runs map[*Run]struct{}
	// earlier is the latest time at which a request expires that an earlier process of the node has
	// sent to the backend server, or 0 if it is unknown. idle is true if the backend server was idle since
	// the node's start, so that all of these have ended.
	earlier time.Duration
	idle    bool
	// callees holds, for each route, the services that its runs certainly call.
	callees map[string]map[string]struct{}
}

// New returns a Tracker. now returns the time since the node's start.
func New(now func() time.Duration) *Tracker {
	return &Tracker{now: now, runs: map[*Run]struct{}{}, callees: map[string]map[string]struct{}{}}
}

// ExpectEarlierRuns sets the longest time that a request may take. For that long after the node's start the
// backend server may run requests that an earlier process of the node has sent.
func (t *Tracker) ExpectEarlierRuns(longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earlier = longest
}

// Run is a request that the backend server runs.
type Run struct {
	tracker *Tracker
	// route is the name of its route, or empty.
	route string
	// expires is when the backend server ends it at the latest.
	expires time.Duration
	// ended is true once its exchange has ended.
	ended bool
	// calls are the calls that it has made so far, and callFailed is true if one of them may have failed
	// for lack of room or time.
	calls      mesh.Calls
	callFailed bool
}

// Begin records that the backend server gets a request of a route, which expires at the given time since
// the node's start.
func (t *Tracker) Begin(route string, expires time.Duration) *Run {
	r := &Run{tracker: t, route: route, expires: expires, calls: mesh.Calls{}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetExpired()
	t.runs[r] = struct{}{}
	return r
}

// End records that the exchange has ended, and returns the calls that the request has made. If the
// backend server may run it on, it counts until it expires.
func (r *Run) End(mayContinue bool) mesh.Calls {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	if !mayContinue {
		delete(t.runs, r)
	}
	calls := mesh.Calls{}
	calls.Add(r.calls, 1)
	return calls
}

// CallFailed reports whether a call that the request may have made has failed for lack of room or time.
func (r *Run) CallFailed() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return r.callFailed
}

// ConfirmIdle records that the backend server runs nothing: what an earlier process has sent, and what it
// might have continued, has ended.
func (t *Tracker) ConfirmIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = true
	for r := range t.runs {
		if r.ended {
			delete(t.runs, r)
		}
	}
}

// forgetExpired drops the requests that have expired. The mutex must be held.
func (t *Tracker) forgetExpired() {
	now := t.now()
	for r := range t.runs {
		if r.expires+maxDelay < now {
			delete(t.runs, r)
		}
	}
}

// Origin is where a request may come from.
type Origin struct {
	tracker *Tracker
	// parents are the requests of which it may be a call.
	parents []*Run
	// orphan is true if it may be a call of a request that an earlier process of the node has sent.
	orphan bool
}

// Arrived returns the origin of a request that arrives now. expires is when it expires, as time since the
// node's start, or 0 if it doesn't say so.
func (t *Tracker) Arrived(expires time.Duration) *Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetExpired()
	o := &Origin{tracker: t, orphan: t.mayBeOrphan(expires)}
	for r := range t.runs {
		if expires <= r.expires+maxDelay {
			o.parents = append(o.parents, r)
		}
	}
	return o
}

// mayBeOrphan reports whether a request that arrives now may be a call of one that an earlier process has
// sent. The mutex must be held.
func (t *Tracker) mayBeOrphan(expires time.Duration) bool {
	latest := t.earlier + maxDelay
	return !t.idle && t.earlier > 0 && t.now() <= latest && expires <= latest
}

// Caller reports whether the request is certainly a caller's own.
func (o *Origin) Caller() bool { return len(o.parents) == 0 && !o.orphan }

// Orphan reports whether the request may be a call of one that an earlier process of the node has sent. No
// request is certainly a caller's own then.
func (o *Origin) Orphan() bool { return o.orphan }

// AddCalls records calls that the request consists of or has led to. They are divided among the requests
// that may have made them.
func (o *Origin) AddCalls(calls mesh.Calls) {
	o.tracker.mu.Lock()
	defer o.tracker.mu.Unlock()
	for _, r := range o.parents {
		r.calls.Add(calls, 1/float64(len(o.parents)))
	}
}

// maxRoutes bounds the routes whose calls are known, as configurations rename them.
const maxRoutes = 4096

// NoteCall records that the request is a nested call to a service. If all requests that may have made it
// are of one route, runs of that route certainly call the service. The average calls of a route don't show
// that: routes that make none are given a part of the calls of others that run beside them.
func (o *Origin) NoteCall(service string) {
	t := o.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.parents) == 0 || o.orphan {
		return
	}
	route := o.parents[0].route
	for _, r := range o.parents {
		if r.route == "" || r.route != route {
			return
		}
	}
	if t.callees[route] == nil {
		if len(t.callees) >= maxRoutes {
			clear(t.callees)
		}
		t.callees[route] = map[string]struct{}{}
	}
	t.callees[route][service] = struct{}{}
}

// Callee returns one of the services that runs of a route certainly call, a different one from time to
// time, or an empty string.
func (t *Tracker) Callee(route string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Maps are iterated in a random order.
	for service := range t.callees[route] {
		return service
	}
	return ""
}

// FailCall records that the request failed for lack of room or time. Any of the requests that may have made
// it may fail for that.
func (o *Origin) FailCall() {
	o.tracker.mu.Lock()
	defer o.tracker.mu.Unlock()
	for _, r := range o.parents {
		r.callFailed = true
	}
}

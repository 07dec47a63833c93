package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/place"
)

const (
	// minOrigins is how many requests of a route must have arrived before it may be taken for one that
	// only nested calls use.
	minOrigins = 8
	// minOwnOrigins is the same for routes of the service beside the node. That a service calls itself is
	// rare, but one of its requests with a long timeout makes all others seem to be calls while it runs.
	minOwnOrigins = originMemory
	// maxCallerShare is the largest share of callers' own requests on such a route. A call counts as one
	// if it arrives after its parent has ended.
	maxCallerShare = 0.02
	// originMemory is the number of requests over which the share is averaged. While the backend server
	// runs requests with longer timeouts than a route's own, no caller's request on that route is
	// certain to be one. Over fewer requests, the route would be taken for one of nested calls then.
	originMemory = 1024
)

// originStats is the share of requests of a route that are certainly callers' own. Safe for concurrent use.
type originStats struct {
	mu          sync.Mutex
	callerShare float64
	seen        int
}

// add records a request.
func (s *originStats) add(caller bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	sample := 0.0
	if caller {
		sample = 1
	}
	s.callerShare += (sample - s.callerShare) / float64(min(s.seen, originMemory))
}

// nestedOnly reports whether the route's requests at this node are nested calls, as far as a number of
// requests shows.
func (s *originStats) nestedOnly(needed int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen >= needed && s.callerShare <= maxCallerShare
}

// callAdmission is the admitted share of a request, and the called service because of which it is reduced.
type callAdmission struct {
	called string
	share  float64
}

// detectNestedCall decides whether the request is a nested call of the backend server beside the node.
func (t *transaction) detectNestedCall() {
	caller := t.origin.Caller()
	if t.in.Timeout == 0 {
		// Calls expire with their parents, so a request without a timeout is no evidence.
		return
	}
	if !t.origin.Orphan() {
		t.stats.origins.add(caller)
	}
	needed := minOrigins
	if t.service == t.entry.Here.Service {
		needed = minOwnOrigins
	}
	t.nested = t.view.OverloadScheduling && !caller && t.stats.origins.nestedOnly(needed)
	if t.nested {
		t.origin.NoteCall(t.service)
	}
}

const (
	// callsRetryAfter is the shortest time after which a caller is asked to retry whose request isn't
	// admitted, and callsRetryAfterSpread the longest random time that is added.
	callsRetryAfter       = 500 * time.Millisecond
	callsRetryAfterSpread = 500 * time.Millisecond
)

// refuseForCalls refuses a request whose run would make calls to a service that has no room for them. A
// nested call is never refused, as the work of its parent would be lost.
func (t *transaction) refuseForCalls() *kind.Error {
	if !t.view.OverloadScheduling || t.nested {
		return nil
	}
	e, now := t.entry, t.entry.Now()
	calls := t.stats.expectedCalls()
	t.admission.share = 1
	for called := range t.stats.certainCallees() {
		if calls[called] < minCalls {
			continue
		}
		share := e.admissions.Admitted(t.service, called, t.route.Priority, now, func() calladmission.Observation {
			return e.observeCalls(t.view, t.service, called, now)
		})
		if share < t.admission.share || t.admission.called == "" {
			t.admission = callAdmission{called, share}
		}
	}
	if t.admission.called == "" {
		return nil
	}
	admitted := calladmission.Admits(t.admission.share, rand.Float64())
	e.admissions.Count(t.service, t.admission.called, admitted)
	if admitted {
		return nil
	}
	refusal := kind.New(kind.Overloaded, "service %s has no room for the calls of the request", t.admission.called)
	refusal.RetryAfter = callsRetryAfter + rand.N(callsRetryAfterSpread)
	return refusal
}

// observeCalls pools what the targets of a service report of their calls to another one, and finds the
// lowest priority of the routes whose runs make such calls.
func (e *Entry) observeCalls(v *mesh.View, service, called string, now time.Duration) calladmission.Observation {
	var pool calladmission.Pool
	for _, target := range v.Targets[service] {
		if target.Distance == place.SameVM {
			pool.Add(e.Calls.Share(called, now), 0)
			continue
		}
		if share, age, known := target.Stat.CallSuccess(called, now); known {
			pool.Add(share, age)
		}
	}
	o := pool.Observation()
	for _, r := range v.Config.Routes() {
		s, ok := e.routes.Load(r.Name)
		if !ok || !servedBy(r, service) {
			continue
		}
		if _, calls := s.(*routeStats).certainCallees()[called]; !calls {
			continue
		}
		o.Lowest = max(o.Lowest, r.Priority)
	}
	return o
}

// servedBy reports whether a service serves a route.
func servedBy(r *mesh.Route, service string) bool {
	return slices.ContainsFunc(r.Shares, func(s mesh.Share) bool { return s.Service == service })
}

// recordNestedCall records the outcome of the request if it is a nested call.
func (t *transaction) recordNestedCall(a *mesh.Answer, err *kind.Error) {
	if !t.nested {
		return
	}
	outcome := t.callOutcome(a, err)
	t.entry.Calls.Record(t.service, outcome, t.entry.Now())
	if outcome == calladmission.Failed {
		t.origin.FailCall()
	}
}

// callOutcome classifies the outcome of a nested call. Failures that fewer requests wouldn't prevent are no
// lack of room, such as a backend server's own errors, or a call that was started and took too long: if
// they were, a service that fails a tenth of its calls would have nearly all requests refused.
func (t *transaction) callOutcome(a *mesh.Answer, err *kind.Error) calladmission.Outcome {
	if err == nil {
		switch {
		case a.Status < http.StatusInternalServerError:
			return calladmission.Answered
		case a.CallsFailed, a.Status == http.StatusServiceUnavailable:
			return calladmission.Failed
		}
		return calladmission.Other
	}
	switch err.Kind {
	case kind.Overloaded, kind.OverLimit, kind.DeadlineNotRun, kind.NoTarget, kind.Unreachable, kind.Leaving, kind.NotReady:
		return calladmission.Failed
	}
	return calladmission.Other
}

// CallAdmissions returns the shares of requests that are admitted by the calls that their runs make.
func (e *Entry) CallAdmissions() []calladmission.State { return e.admissions.States() }

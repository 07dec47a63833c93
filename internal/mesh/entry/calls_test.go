package entry_test

import (
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
)

// scheduleOverload puts call admission in force or not.
func (d *deployment) scheduleOverload(on bool) {
	v := *d.entry.View()
	v.OverloadScheduling = on
	d.entry.SetView(&v)
}

// callFrom makes the runs of all targets call services, the last one by name certainly.
func (d *deployment) callFrom(status int, failed bool, calls mesh.Calls) {
	callee := ""
	for service := range calls {
		callee = max(callee, service)
	}
	for _, target := range d.targets {
		d.answers[target.Peer] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: status, Header: http.Header{}, Calls: calls, CallsFailed: failed, Callee: callee}, nil
		}
	}
}

// refusedOf serves requests for six seconds, while all targets report how their calls to stock fare, and
// returns how many were refused, and the last refusal.
func (d *deployment) refusedOf(requests int, success float64) (refused int, last *kind.Error) {
	return d.refusedOfServed(requests, success, d.serve)
}

// refusedOfServed is like refusedOf, with requests that serve sends.
func (d *deployment) refusedOfServed(requests int, success float64, serve func() (*mesh.Answer, *kind.Error)) (refused int, last *kind.Error) {
	for i := range requests {
		if i%10 == 0 {
			for _, target := range d.targets[1:] {
				target.Stat.Report(mesh.Load{Slots: 6, Slowdown: 1, CallsTo: "stock", CallSuccess: success}, d.now)
			}
			d.entry.Calls.Record("stock", calladmission.Failed, d.now)
		}
		if _, err := serve(); err != nil {
			refused++
			last = err
		}
		d.now += 6 * time.Second / time.Duration(requests)
	}
	return refused, last
}

// Guards against runs that are started though their calls have no room, refusals that don't say why or when
// to return, and refusals of requests that make no such calls or while the part isn't in force.
func TestRequestWhoseCallsHaveNoRoomIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		on       bool
		calls    mesh.Calls
		min, max int
	}{
		"in force":     {true, mesh.Calls{"prices": 1, "stock": 0.7}, 200, 300},
		"few calls":    {true, mesh.Calls{"stock": 0.05}, 0, 0},
		"other calls":  {true, mesh.Calls{"prices": 1}, 0, 0},
		"not in force": {false, mesh.Calls{"stock": 0.7}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, true)
			d.scheduleOverload(c.on)
			d.callFrom(http.StatusOK, false, c.calls)
			refused, last := d.refusedOf(300, 0)
			t.Logf("%d of 300 refused", refused)
			require.GreaterOrEqual(t, refused, c.min)
			require.LessOrEqual(t, refused, c.max)
			require.Len(t, d.attempted, 300-refused, "a refused request isn't sent")
			if refused == 0 {
				return
			}
			require.Equal(t, kind.Overloaded, last.Kind)
			require.Equal(t, kind.NotRun, last.ReportedOutcome())
			require.Contains(t, last.Message, "stock")
			require.GreaterOrEqual(t, last.RetryAfter, 500*time.Millisecond)
			require.Less(t, last.RetryAfter, time.Second)
			states := d.entry.CallAdmissions()
			state := states[len(states)-1]
			require.Equal(t, "stock", state.Called)
			require.EqualValues(t, refused, state.Refused)
			require.Less(t, state.Share, 0.05)
		})
	}
}

// Guards against refusals that go on after the reports of an entry that is cut off have become old.
func TestOldReportsRefuseNothing(t *testing.T) {
	d := newDeployment(t, true)
	d.targets = d.targets[1:]
	d.publishView()
	d.scheduleOverload(true)
	d.callFrom(http.StatusOK, false, mesh.Calls{"stock": 1})
	refused, _ := d.refusedOf(300, 0)
	require.Positive(t, refused)
	for range 55 {
		_, _ = d.serve()
		d.now += 100 * time.Millisecond
	}
	_, err := d.serve()
	require.Nil(t, err)
	require.InDelta(t, 1, d.entry.CallAdmissions()[0].Share, 1e-9)
}

// serveCall serves a request that expires before the runs of a test.
func (d *deployment) serveCall() (*mesh.Answer, *kind.Error) {
	r := d.request(0)
	r.Timeout = 500 * time.Millisecond
	return d.entry.Serve(d.t.Context(), r)
}

// nested serves a request while the backend server beside the node runs one that it may be a call of.
func (d *deployment) nested(callers, calls int) (marked int) {
	run := d.entry.Lineage.Begin("", d.now+2*time.Second)
	defer run.End(false)
	for i := range callers + calls {
		r := d.request(0)
		r.Timeout = 500 * time.Millisecond
		if i < callers {
			r.Timeout = time.Minute
		}
		mark := func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
			if r.Nested {
				marked++
			}
			return answered(http.StatusOK)(r)
		}
		for _, target := range d.targets {
			d.answers[target.Peer] = mark
		}
		_, _ = d.entry.Serve(d.t.Context(), r)
	}
	return marked
}

// Guards against nested calls that guards don't know as such, and callers' requests that rank as calls.
func TestNestedCallsAreMarked(t *testing.T) {
	d := newDeployment(t, true)
	d.route.Timeout = time.Minute
	require.Zero(t, d.nested(0, 20), "not in force")
	d = newDeployment(t, true)
	d.scheduleOverload(true)
	require.Equal(t, 13, d.nested(0, 20), "from the eighth request on")
	d = newDeployment(t, true)
	d.route.Timeout = time.Minute
	d.scheduleOverload(true)
	require.Zero(t, d.nested(1, 40), "callers use the route, too")
	d = newDeployment(t, true)
	d.scheduleOverload(true)
	d.entry.Lineage.ExpectEarlierRuns(2 * d.now)
	require.Zero(t, d.nested(0, 40), "after a restart, any request may be a call")
	d = newDeployment(t, true)
	d.scheduleOverload(true)
	d.entry.Here.Service = "orders"
	require.Zero(t, d.nested(0, 40), "a request with a long timeout runs at the service beside the node")
}

// Guards against a nested call that is refused though its parent has run already.
func TestNestedCallIsNotRefused(t *testing.T) {
	d := newDeployment(t, true)
	d.scheduleOverload(true)
	d.callFrom(http.StatusOK, false, mesh.Calls{"stock": 1})
	run := d.entry.Lineage.Begin("", d.now+time.Hour)
	defer run.End(false)
	for range 10 {
		_, _ = d.serveCall()
	}
	refused, _ := d.refusedOfServed(300, 0, d.serveCall)
	require.Zero(t, refused)
}

// Guards against callers' requests without a timeout that are taken for calls of whatever runs meanwhile.
func TestRequestWithoutTimeoutIsNoNestedCall(t *testing.T) {
	d := newDeployment(t, true)
	d.scheduleOverload(true)
	run := d.entry.Lineage.Begin("shopping", d.now+time.Hour)
	defer run.End(false)
	for range 40 {
		_, _ = d.serve()
	}
	require.Empty(t, d.entry.Lineage.Callee("shopping"))
	for range 40 {
		_, _ = d.serveCall()
	}
	require.Equal(t, "orders", d.entry.Lineage.Callee("shopping"))
}

// Guards against a nested call whose failure isn't reported to entries or doesn't mark its parent, and
// against failures without relation to load that count as lack of room.
func TestOutcomeOfNestedCallIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*mesh.Request) (*mesh.Answer, *kind.Error)
		failed bool
		// took is how long the call takes.
		took time.Duration
	}{
		"answered":  {answered(http.StatusNotFound), false, 0},
		"own error": {answered(http.StatusInternalServerError), false, 0},
		"broken":    {failing(kind.OutcomeUnknown), false, 0},
		"given up":  {failing(kind.OutcomeUnknown), false, time.Second},
		"refused":   {failing(kind.Overloaded), true, 0},
		"deadline":  {failing(kind.DeadlineUnknown), false, 0},
		"dark":      {failing(kind.Unreachable), true, 0},
		"its own calls": {func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: 500, CallsFailed: true}, nil
		}, true, 0},
		"late in itself": {answered(http.StatusGatewayTimeout), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, true)
			d.scheduleOverload(true)
			require.Positive(t, d.nested(0, 20))
			run := d.entry.Lineage.Begin("", d.now+time.Hour)
			for _, target := range d.targets {
				d.answers[target.Peer] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
					d.now += c.took
					return c.answer(r)
				}
			}
			d.now += 10 * time.Second
			_, _ = d.serveCall()
			service, _ := d.entry.Calls.Lowest(d.now)
			require.Equal(t, c.failed, service == "orders")
			require.Equal(t, c.failed, run.CallFailed())
		})
	}
}

// Guards against runs that are repeated, and discarded again, while the service that they call is full.
func TestRunWhoseCallsFailedIsNotRepeated(t *testing.T) {
	for on, attempts := range map[bool]int{true: 1, false: 2} {
		d := newDeployment(t, true)
		d.scheduleOverload(on)
		d.callFrom(http.StatusInternalServerError, true, nil)
		answer, err := d.serve()
		require.Nil(t, err)
		require.Equal(t, http.StatusInternalServerError, answer.Status)
		require.Len(t, d.attempted, attempts, "in force: %v", on)
	}
}

// Guards against a priority that is ranked among routes of other services, or against none, so that urgent
// requests are refused like others.
func TestPrioritiesAreThoseOfRoutesThatCallTheService(t *testing.T) {
	var out logBuffer
	d := newDeployment(t, true)
	d.callFrom(http.StatusOK, false, mesh.Calls{"stock": 1})
	v := *d.entry.View()
	routes := []*mesh.Route{d.route}
	for i, service := range []string{"orders", "shop"} {
		r := *d.route
		r.Name, r.Prefix, r.Priority = service, "/"+service+"/", 1+i
		r.Shares = []mesh.Share{{Service: service, Weight: 1}}
		routes = append(routes, &r)
	}
	v.Config = mesh.NewConfig(1, v.Config.Services, routes, mesh.Limits{})
	v.Targets = map[string][]*mesh.Target{"orders": d.targets, "shop": d.targets}
	d.entry.SetView(&v)
	d.scheduleOverload(true)
	for _, r := range routes {
		in := d.request(0)
		in.Path = r.Prefix
		_, err := d.entry.Serve(t.Context(), in)
		require.Nil(t, err)
	}
	d.refusedOf(300, 0.5)
	d.entry.Log = decision.New(t.Context(), &out, slog.LevelInfo)
	_, _ = d.serve()
	state := d.entry.CallAdmissions()[0]
	require.Equal(t, "orders", state.Service)
	require.InDelta(t, math.Sqrt(state.Lowest), out.line(t)["admitted_share"], 1e-3)
}

// Guards against a log from which an operator can't tell why a request was refused.
func TestLogOfRefusedRequestHasCalledService(t *testing.T) {
	var out logBuffer
	d := newDeployment(t, true)
	d.scheduleOverload(true)
	d.callFrom(http.StatusOK, false, mesh.Calls{"stock": 1})
	_, _ = d.refusedOf(300, 0)
	d.entry.Log = decision.New(t.Context(), &out, slog.LevelInfo)
	_, _ = d.serve()
	line := out.line(t)
	require.Equal(t, "stock", line["calls_to"])
	require.Less(t, line["admitted_share"], 0.1)
}

// BenchmarkServeWithCalls measures a request whose route calls a service, by whether call admission is in
// force.
func BenchmarkServeWithCalls(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("admission=%v", on), func(b *testing.B) {
			d := benchmarkDeployment(62, nil)
			d.scheduleOverload(on)
			_, _ = d.entry.Serve(b.Context(), d.request(0))
			for b.Loop() {
				d.now += time.Millisecond
				if _, err := d.entry.Serve(b.Context(), d.request(0)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

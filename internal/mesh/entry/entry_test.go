package entry_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/place"
)

// deployment simulates nodes that answer by a function for each target.
type deployment struct {
	t     *testing.T
	entry *entry.Entry
	route *mesh.Route
	now   time.Duration
	mu    sync.Mutex
	// attempted lists the nodes that received requests, in order.
	attempted []string
	answers   map[string]func(r *mesh.Request) (*mesh.Answer, *kind.Error)
	targets   []*mesh.Target
	// load is the load that the local guard reports.
	load mesh.Load
	// evacuated are the evacuated zones.
	evacuated map[string]bool
	suspects  *quarantine.Tracker
	// linkRate is the rate of the local link.
	linkRate float64
}

const own = "own"

func (d *deployment) Run(_ context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	d.mu.Lock()
	d.attempted = append(d.attempted, addr)
	f := d.answers[addr]
	d.mu.Unlock()
	if f == nil {
		return answered(200)(r)
	}
	return f(r)
}

// guard is the local node's guard.
type guard struct{ *deployment }

func (g guard) Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	return g.deployment.Run(ctx, own, r)
}
func (g guard) Load() mesh.Load { return g.load }

type observer struct{}

func (observer) Answered(string, kind.Kind, time.Duration) {}
func (observer) Hopped(string, kind.Kind)                  {}
func (observer) Ineligible(eligibility.Reason)             {}
func (observer) Forecast(string, time.Duration, time.Duration) {
}

func answered(status int) func(*mesh.Request) (*mesh.Answer, *kind.Error) {
	return func(*mesh.Request) (*mesh.Answer, *kind.Error) {
		return &mesh.Answer{Status: status, Header: http.Header{}}, nil
	}
}

func failing(k kind.Kind) func(*mesh.Request) (*mesh.Answer, *kind.Error) {
	return func(*mesh.Request) (*mesh.Answer, *kind.Error) { return nil, kind.New(k, "test") }
}

// repeatsWindow is the length of the sliding window in which retries are limited.
const repeatsWindow = 10 * time.Second

// newDeployment returns a deployment with a target on the same VM, two in the region, of which
// the second has some load, and one in another region.
func newDeployment(t *testing.T, idempotent bool) *deployment {
	d := &deployment{t: t, now: time.Minute, load: mesh.Load{Slots: 6, Slowdown: 1}, answers: map[string]func(*mesh.Request) (*mesh.Answer, *kind.Error){}}
	d.suspects = quarantine.New(func() time.Duration { return d.now })
	d.entry = entry.New(entry.Config{
		Here: mesh.Place{VM: "vm", Service: "shop"}, Guard: guard{d}, Peers: d, Observer: observer{},
		Repeats:  entry.Repeats{Ratio: 0.2, Slack: 80, Window: repeatsWindow},
		Now:      func() time.Duration { return d.now },
		Suspects: d.suspects,
	})
	d.entry.SetPrices(entry.Prices{ZonePerKB: 2 * time.Millisecond, RegionPerKB: 20 * time.Millisecond})
	distances := map[string]place.Distance{own: place.SameVM, "zone": place.SameRegion, "region": place.SameRegion, "far": place.OtherRegion}
	for _, name := range []string{own, "zone", "region", "far"} {
		d.targets = append(d.targets, &mesh.Target{
			ID: "i-" + name, Service: "orders", Peer: name, Slots: 6, Distance: distances[name], Stat: &mesh.Stat{},
		})
	}
	d.targets[2].Stat.Report(mesh.Load{Running: 3, Slots: 6, ServiceTime: 80 * time.Millisecond, Slowdown: 1}, d.now)
	d.route = &mesh.Route{
		Name: "r", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}, Idempotent: idempotent,
		Timeout: time.Second, LatencyObjective: 300 * time.Millisecond, MaxTargets: 2, Splitter: &mesh.Splitter{},
	}
	// A node that knows the others for less than repeatsWindow has no share of the retries.
	now := d.now
	d.now -= repeatsWindow
	d.publishView()
	d.now = now
	return d
}

func (d *deployment) publishView() {
	services := map[string]*mesh.Service{"orders": {Name: "orders"}}
	d.entry.SetView(&mesh.View{
		Config:  mesh.NewConfig(1, services, []*mesh.Route{d.route}, mesh.Limits{}),
		Targets: map[string][]*mesh.Target{"orders": d.targets}, Peers: map[string]mesh.Peer{"zone": {Distance: 1}, "region": {Distance: 2}, "far": {Distance: 3}},
		EvacuatedZones: d.evacuated, LinkRate: d.linkRate,
	})
}

func (d *deployment) request(body int) *entry.Inbound {
	return &entry.Inbound{ID: "id", Method: "POST", URI: "/a", Path: "/a", Host: "h", Header: http.Header{}, Body: make([]byte, body), Arrived: d.now}
}

func (d *deployment) serve() (*mesh.Answer, *kind.Error) {
	return d.entry.Serve(d.t.Context(), d.request(0))
}

// setBusy makes targets report that all slots are used and some requests wait.
func (d *deployment) setBusy(waiting int, names ...string) {
	full := mesh.Load{Running: 6, Waiting: waiting, Slots: 6, ServiceTime: 100 * time.Millisecond, Slowdown: 1}
	for _, t := range d.targets {
		for _, name := range names {
			if t.Peer != name {
				continue
			}
			t.Stat.Report(full, d.now)
			if name == own {
				d.load = full
			}
		}
	}
}

// A node dies while a request that must run at most once is on its way to a backend server.
// Whether it ran is unknown, so it must not be sent to another target.
func TestNonIdempotentRequestWithUnknownOutcomeIsNotRetried(t *testing.T) {
	for _, k := range []kind.Kind{kind.OutcomeUnknown, kind.BackendBroken, kind.DeadlineUnknown} {
		d := newDeployment(t, false)
		d.answers[own] = failing(k)
		_, err := d.serve()
		require.Equal(t, kind.Unknown, err.ReportedOutcome(), k)
		require.Equal(t, []string{own}, d.attempted, k)
	}
}

func TestNonIdempotentRequestThatDidNotRunGoesToNextTarget(t *testing.T) {
	for _, k := range []kind.Kind{kind.Overloaded, kind.Leaving, kind.Unreachable, kind.StaleAttempt, kind.NotReady} {
		d := newDeployment(t, false)
		d.answers[own] = failing(k)
		answer, err := d.serve()
		require.Nil(t, err, k)
		require.Equal(t, 200, answer.Status)
		require.Equal(t, []string{own, "zone"}, d.attempted, k)
	}
}

// Once any target may have run the request, a later refusal must not turn the outcome into
// "not run".
func TestRefusalAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	d := newDeployment(t, true)
	d.answers[own] = failing(kind.BackendBroken)
	for _, name := range []string{"zone", "region", "far"} {
		d.answers[name] = failing(kind.Overloaded)
	}
	_, err := d.serve()
	require.Equal(t, kind.Unknown, err.ReportedOutcome())
}

func TestIdempotentRequestIsRetriedOnAnotherTarget(t *testing.T) {
	for name, f := range map[string]func(*mesh.Request) (*mesh.Answer, *kind.Error){
		"broken": failing(kind.BackendBroken), "own failure": answered(500),
	} {
		d := newDeployment(t, true)
		d.answers[own] = f
		answer, err := d.serve()
		require.Nil(t, err, name)
		require.Equal(t, 200, answer.Status, name)
		require.Len(t, d.attempted, 2)
	}
}

// All targets fail. An idempotent request is retried as often as its route allows, and the
// last failure is the answer.
func TestRequestRunsOnAtMostMaxTargets(t *testing.T) {
	d := newDeployment(t, true)
	for _, name := range []string{own, "zone", "region", "far"} {
		d.answers[name] = answered(500)
	}
	answer, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, 500, answer.Status)
	require.Len(t, d.attempted, d.route.MaxTargets)
}

// All backend servers fail during a burst. Retries must end when the node's share of the
// budget is used up, as they would otherwise double the load on servers that are down.
func TestRetriesEndWithBudget(t *testing.T) {
	d := newDeployment(t, true)
	for _, name := range []string{own, "zone", "region", "far"} {
		d.answers[name] = answered(500)
	}
	const requests = 200
	for range requests {
		_, _ = d.serve()
	}
	retries := len(d.attempted) - requests
	// The ratio's part, and a share of the slack: half of a quarter of 80.
	require.LessOrEqual(t, float64(retries), 0.2*requests+10)
	require.Greater(t, retries, 10)
}

// The target in the node's own zone has a queue. A small request may go to the next zone, but
// an upload of a megabyte must not go to another region.
func TestLargeUploadStaysInRegion(t *testing.T) {
	d := newDeployment(t, false)
	d.setBusy(6, own, "zone")
	_, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"region"}, d.attempted)
	d.setBusy(6, "region")
	d.attempted = nil
	_, err = d.entry.Serve(t.Context(), d.request(1<<20))
	require.Nil(t, err)
	require.NotContains(t, d.attempted, "far")
}

// Under load, requests wait for a slot longer than they then run. If the wait counted as
// service time, every request would seem to be late from the start, and the order in the
// guards' queues would be lost.
func TestQueueWaitIsNotServiceTime(t *testing.T) {
	d := newDeployment(t, true)
	var baseServiceTime time.Duration
	d.targets = d.targets[:1]
	d.publishView()
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		baseServiceTime = r.BaseServiceTime
		d.now += 400 * time.Millisecond
		return &mesh.Answer{Status: 200, Header: http.Header{}, BaseServiceTime: 100 * time.Millisecond}, nil
	}
	for range 20 {
		_, err := d.serve()
		require.Nil(t, err)
	}
	require.Equal(t, 100*time.Millisecond, baseServiceTime)
}

// A target reports that its neighbours slow it down. It must not be chosen for its free
// slots.
func TestSlowedTargetIsAvoided(t *testing.T) {
	d := newDeployment(t, true)
	d.targets = d.targets[1:3]
	d.targets[0].Stat.Report(mesh.Load{Slots: 6, Slowdown: 4}, d.now)
	d.targets[1].Stat.Report(mesh.Load{Running: 2, Slots: 6, Slowdown: 1}, d.now)
	d.publishView()
	_, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"region"}, d.attempted)
}

// A refusal reports how long the wait would be. A request that all targets refused must wait
// at the one with the shortest queue, as long as its deadline allows.
func TestRequestRefusedByAllWaitsInShortestQueue(t *testing.T) {
	d := newDeployment(t, false)
	waits := map[string]time.Duration{own: 400 * time.Millisecond, "zone": 100 * time.Millisecond, "region": 300 * time.Millisecond, "far": 500 * time.Millisecond}
	for name, wait := range waits {
		d.answers[name] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
			if r.QueueTimeout > wait {
				return answered(200)(r)
			}
			return nil, &kind.Error{Kind: kind.Overloaded, Wait: wait}
		}
	}
	answer, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, "zone", d.attempted[len(d.attempted)-1])
}

// The nearest target has a queue longer than the request can wait; one in another region has
// free slots. The penalty for bytes is high, but a refusal would be worse.
func TestRequestIsNotRefusedIfAnyTargetCanServeInTime(t *testing.T) {
	d := newDeployment(t, false)
	d.entry.SetPrices(entry.Prices{ZonePerKB: time.Second, RegionPerKB: 10 * time.Second})
	d.setBusy(200, own, "zone", "region")
	answer, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, []string{"far"}, d.attempted)
}

// Both targets answer before the deadline, but the nearer one has a long queue and probably
// answers after the latency objective. The penalty for bytes is lower than that for a late
// answer. If both answer in time, the request must stay near.
func TestRequestLeavesZoneOnlyForAnswerInTime(t *testing.T) {
	d := newDeployment(t, true)
	d.targets = []*mesh.Target{d.targets[0], d.targets[3]}
	d.publishView()
	d.entry.SetPrices(entry.Prices{ZonePerKB: 10 * time.Millisecond, RegionPerKB: 80 * time.Millisecond})
	d.load = mesh.Load{Running: 6, Waiting: 6, Slots: 6, ServiceTime: 100 * time.Millisecond, Slowdown: 1}
	d.route.LatencyObjective = 150 * time.Millisecond
	_, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"far"}, d.attempted)
	d.attempted, d.route.LatencyObjective = nil, 900*time.Millisecond
	_, err = d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{own}, d.attempted)
}

// Neighbours slow the local target down right after a request was sent to it. Bytes to the
// other target have a high penalty, so that the request would wait locally until its answer is
// late. It must wait only as long as its answer can still be in time, and then be free to go
// to the other target.
func TestQueueTimeoutEndsBeforeAnswerIsLate(t *testing.T) {
	d := newDeployment(t, true)
	d.targets = []*mesh.Target{d.targets[0], d.targets[3]}
	d.publishView()
	d.entry.SetPrices(entry.Prices{ZonePerKB: 10 * time.Millisecond, RegionPerKB: 200 * time.Millisecond})
	d.route.LatencyObjective, d.route.Timeout = 300*time.Millisecond, 5*time.Second
	var queueTimeout time.Duration
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		queueTimeout = r.QueueTimeout
		return answered(200)(r)
	}
	_, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{own}, d.attempted)
	require.Positive(t, queueTimeout)
	require.Less(t, queueTimeout, d.route.LatencyObjective)
}

// Every queue is longer than the request can wait. It must be refused at once, with the time
// after which a retry can succeed, and not be held until its deadline.
func TestRequestIsRefusedAtOnceIfAllQueuesAreTooLong(t *testing.T) {
	d := newDeployment(t, false)
	d.setBusy(200, own, "zone", "region", "far")
	for _, name := range []string{own, "zone", "region", "far"} {
		d.answers[name] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			return nil, &kind.Error{Kind: kind.Overloaded, Wait: 3 * time.Second}
		}
	}
	_, err := d.serve()
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Greater(t, err.RetryAfter, time.Second)
}

// A node got the signal to stop and its callers keep their connections. A request that must
// run at most once and is accepted shortly before the end would be cut off while it runs.
func TestRequestThatMayOutlastProcessIsRefused(t *testing.T) {
	d := newDeployment(t, false)
	d.entry.Stop(d.now + 5600*time.Millisecond)
	_, err := d.serve()
	require.Nil(t, err, "callers don't know yet that the node stops")
	d.now += 4 * time.Second
	_, err = d.serve()
	require.Nil(t, err, "the request completes before the process ends")
	d.now += time.Second
	d.attempted = nil
	_, err = d.serve()
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Empty(t, d.attempted)
}

// Many callers disconnect before they are answered. The targets that ran their requests must
// not be counted as failing.
func TestCallerDisconnectIsNotTargetFailure(t *testing.T) {
	d := newDeployment(t, true)
	d.targets = d.targets[:1]
	d.publishView()
	ctx, cancel := context.WithCancel(t.Context())
	d.answers[own] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
		cancel()
		return nil, kind.New(kind.OutcomeUnknown, "the caller left").WithCause(context.Canceled)
	}
	_, err := d.entry.Serve(ctx, d.request(0))
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
	estimate := d.targets[0].Stat.Estimate(d.now)
	require.Zero(t, estimate.FailureRate)
	require.Zero(t, estimate.Busy)
}

// A node restarts after a kill while the store is unavailable, and refuses requests until
// another node has sent it the configuration in force. With a Retry-After of 0, its callers
// retried hundreds of times in the second that this took.
func TestNodeWithoutConfigurationSendsRetryAfter(t *testing.T) {
	d := newDeployment(t, true)
	e := entry.New(entry.Config{Observer: observer{}, Now: func() time.Duration { return d.now }})
	_, err := e.Serve(t.Context(), d.request(0))
	require.Equal(t, kind.NotReady, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.GreaterOrEqual(t, err.RetryAfter, 100*time.Millisecond)
}

func TestRequestWithoutRouteOrConfigurationIsRefused(t *testing.T) {
	d := newDeployment(t, true)
	r := d.request(0)
	r.Host = "nowhere"
	_, err := d.entry.Serve(t.Context(), r)
	require.Equal(t, kind.UnknownService, err.Kind)
	empty := entry.New(entry.Config{Observer: observer{}, Now: func() time.Duration { return 0 }})
	_, err = empty.Serve(t.Context(), r)
	require.Equal(t, kind.NotReady, err.Kind)
}

func TestShorterOfCallerAndRouteTimeoutApplies(t *testing.T) {
	d := newDeployment(t, true)
	var remaining time.Duration
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		remaining = r.Remaining
		return answered(200)(r)
	}
	r := d.request(0)
	r.Timeout = 5 * time.Second
	_, err := d.entry.Serve(t.Context(), r)
	require.Nil(t, err)
	require.LessOrEqual(t, remaining, time.Second)
	r.Timeout = 200 * time.Millisecond
	_, err = d.entry.Serve(t.Context(), r)
	require.Nil(t, err)
	require.LessOrEqual(t, remaining, 200*time.Millisecond)
}

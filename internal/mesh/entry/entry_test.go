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
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/place"
)

// world is a deployment in which every target's node answers by a function.
type world struct {
	t     *testing.T
	entry *entry.Entry
	route *mesh.Route
	now   time.Duration
	mu    sync.Mutex
	// offered are the targets' nodes that requests were offered to, in order.
	offered []string
	answers map[string]func(r *mesh.Request) (*mesh.Answer, *kind.Error)
	targets []*mesh.Target
	// load is the own guard's.
	load mesh.Load
}

const own = "own"

func (w *world) Run(_ context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	w.mu.Lock()
	w.offered = append(w.offered, addr)
	f := w.answers[addr]
	w.mu.Unlock()
	if f == nil {
		return answered(200)(r)
	}
	return f(r)
}

// guard is the own node's guard.
type guard struct{ *world }

func (g guard) Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	return g.world.Run(ctx, own, r)
}
func (g guard) Load() mesh.Load { return g.load }

type observer struct{}

func (observer) Answered(string, kind.Kind, time.Duration) {}
func (observer) Hopped(string, kind.Kind)                  {}
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

// newWorld makes a deployment with a target on the own VM, two in the region, of
// which the second has work, and one in another region.
func newWorld(t *testing.T, idempotent bool) *world {
	w := &world{t: t, now: time.Minute, load: mesh.Load{Slots: 6, Slowdown: 1}, answers: map[string]func(*mesh.Request) (*mesh.Answer, *kind.Error){}}
	w.entry = entry.New(entry.Config{
		Here: mesh.Place{VM: "vm", Service: "shop"}, Guard: guard{w}, Peers: w, Observer: observer{},
		Repeats: entry.Repeats{Ratio: 0.2, Slack: 80, Window: 10 * time.Second},
		Now:     func() time.Duration { return w.now },
	})
	w.entry.SetPrices(entry.Prices{ZonePerKB: 2 * time.Millisecond, RegionPerKB: 20 * time.Millisecond})
	distances := map[string]place.Distance{own: place.SameVM, "zone": place.SameRegion, "region": place.SameRegion, "far": place.OtherRegion}
	for _, name := range []string{own, "zone", "region", "far"} {
		w.targets = append(w.targets, &mesh.Target{
			ID: "i-" + name, Service: "orders", Peer: name, Slots: 6, Distance: distances[name], Stat: &mesh.Stat{},
		})
	}
	w.targets[2].Stat.Report(mesh.Load{Running: 3, Slots: 6, Service: 80 * time.Millisecond, Slowdown: 1}, w.now)
	w.route = &mesh.Route{
		Name: "r", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}, Idempotent: idempotent,
		Timeout: time.Second, Aim: 300 * time.Millisecond, MaxTargets: 2, Weights: &mesh.Weights{},
	}
	w.publish()
	return w
}

func (w *world) publish() {
	services := map[string]*mesh.Service{"orders": {Name: "orders"}}
	w.entry.SetView(&mesh.View{
		Config:  mesh.NewConfig(1, services, []*mesh.Route{w.route}, mesh.Limits{}),
		Targets: map[string][]*mesh.Target{"orders": w.targets}, Peers: map[string]mesh.Peer{"zone": {Distance: 1}, "region": {Distance: 2}, "far": {Distance: 3}},
	})
}

func (w *world) request(body int) *entry.Inbound {
	return &entry.Inbound{ID: "id", Method: "POST", URI: "/a", Path: "/a", Host: "h", Header: http.Header{}, Body: make([]byte, body), Arrived: w.now}
}

func (w *world) serve() (*mesh.Answer, *kind.Error) {
	return w.entry.Serve(w.t.Context(), w.request(0))
}

// busy makes targets report that all slots are taken and some wait.
func (w *world) busy(waiting int, names ...string) {
	full := mesh.Load{Running: 6, Waiting: waiting, Slots: 6, Service: 100 * time.Millisecond, Slowdown: 1}
	for _, t := range w.targets {
		for _, name := range names {
			if t.Peer != name {
				continue
			}
			t.Stat.Report(full, w.now)
			if name == own {
				w.load = full
			}
		}
	}
}

// A node dies with a booking on its way to a backend server. Whether it ran can't
// be known, so it must not be offered to another one.
func TestABookingWhoseOutcomeIsOpenIsNotSentAgain(t *testing.T) {
	for _, k := range []kind.Kind{kind.OutcomeUnknown, kind.BackendBroken, kind.DeadlineUnknown} {
		w := newWorld(t, false)
		w.answers[own] = failing(k)
		_, err := w.serve()
		require.Equal(t, kind.Unknown, err.Said(), k)
		require.Equal(t, []string{own}, w.offered, k)
	}
}

func TestABookingGoesOnWithProofThatItDidNotRun(t *testing.T) {
	for _, k := range []kind.Kind{kind.Overloaded, kind.Leaving, kind.Unreachable, kind.StaleAttempt, kind.NotReady} {
		w := newWorld(t, false)
		w.answers[own] = failing(k)
		answer, err := w.serve()
		require.Nil(t, err, k)
		require.Equal(t, 200, answer.Status)
		require.Equal(t, []string{own, "zone"}, w.offered, k)
	}
}

// Once any target may have run it, no later refusal makes "not run" true.
func TestARefusalAfterAnOpenOutcomeStaysOpen(t *testing.T) {
	w := newWorld(t, true)
	w.answers[own] = failing(kind.BackendBroken)
	for _, name := range []string{"zone", "region", "far"} {
		w.answers[name] = failing(kind.Overloaded)
	}
	_, err := w.serve()
	require.Equal(t, kind.Unknown, err.Said())
}

func TestAReadIsRepeatedOnAnotherTarget(t *testing.T) {
	for name, f := range map[string]func(*mesh.Request) (*mesh.Answer, *kind.Error){
		"broken": failing(kind.BackendBroken), "own failure": answered(500),
	} {
		w := newWorld(t, true)
		w.answers[own] = f
		answer, err := w.serve()
		require.Nil(t, err, name)
		require.Equal(t, 200, answer.Status, name)
		require.Len(t, w.offered, 2)
	}
}

// All targets fail. A read is repeated as often as its route says, and the last
// failure is the answer.
func TestNoRequestRunsOnMoreTargetsThanItsRouteAllows(t *testing.T) {
	w := newWorld(t, true)
	for _, name := range []string{own, "zone", "region", "far"} {
		w.answers[name] = answered(500)
	}
	answer, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, 500, answer.Status)
	require.Len(t, w.offered, w.route.MaxTargets)
}

// Every backend server fails at a burst. Repeats must end when the node's share
// of the budget is used up, or they double the load on servers that are down.
func TestRepeatsEndWithTheBudget(t *testing.T) {
	w := newWorld(t, true)
	for _, name := range []string{own, "zone", "region", "far"} {
		w.answers[name] = answered(500)
	}
	const requests = 200
	for range requests {
		_, _ = w.serve()
	}
	repeats := len(w.offered) - requests
	// A share of the ratio, and half of a quarter of the slack.
	require.LessOrEqual(t, float64(repeats), 0.2*requests+10)
	require.Greater(t, repeats, 10)
}

// The own zone's target has a queue. A small request is worth its bytes to the
// next zone; an upload of a megabyte to another region never is.
func TestBytesKeepUploadsNearHome(t *testing.T) {
	w := newWorld(t, false)
	w.busy(6, own, "zone")
	_, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"region"}, w.offered)
	w.busy(6, "region")
	w.offered = nil
	_, err = w.entry.Serve(t.Context(), w.request(1<<20))
	require.Nil(t, err)
	require.NotContains(t, w.offered, "far")
}

// A target is slowed by its neighbours at this moment, and says so. Its free
// slots are no reason to choose it.
// Under load, requests wait for a slot for longer than they then take. Taken for work,
// the wait would make every request look late from the start, and the guards' queues would
// put none before another.
func TestTheWaitForASlotIsNoWork(t *testing.T) {
	w := newWorld(t, true)
	var told time.Duration
	w.targets = w.targets[:1]
	w.publish()
	w.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		told = r.Work
		w.now += 400 * time.Millisecond
		return &mesh.Answer{Status: 200, Header: http.Header{}, Work: 100 * time.Millisecond}, nil
	}
	for range 20 {
		_, err := w.serve()
		require.Nil(t, err)
	}
	require.Equal(t, 100*time.Millisecond, told)
}

func TestASlowedTargetIsPassedOver(t *testing.T) {
	w := newWorld(t, true)
	w.targets = w.targets[1:3]
	w.targets[0].Stat.Report(mesh.Load{Slots: 6, Slowdown: 4}, w.now)
	w.targets[1].Stat.Report(mesh.Load{Running: 2, Slots: 6, Slowdown: 1}, w.now)
	w.publish()
	_, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"region"}, w.offered)
}

// A refusal tells how long the wait would be. A request that found every target
// full waits at the one with the shortest queue, for as long as it has time.
func TestARequestThatAllRefusedWaitsWhereItIsShortest(t *testing.T) {
	w := newWorld(t, false)
	waits := map[string]time.Duration{own: 400 * time.Millisecond, "zone": 100 * time.Millisecond, "region": 300 * time.Millisecond, "far": 500 * time.Millisecond}
	for name, wait := range waits {
		w.answers[name] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
			if r.Patience > wait {
				return answered(200)(r)
			}
			return nil, &kind.Error{Kind: kind.Overloaded, Wait: wait}
		}
	}
	answer, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, "zone", w.offered[len(w.offered)-1])
}

// The nearest target has a queue longer than the request can wait, another region's has free
// slots. Bytes are dear, but refused for the queue at home the request would be lost.
func TestWhatAnyTargetCanServeInTimeIsNotRefused(t *testing.T) {
	w := newWorld(t, false)
	w.entry.SetPrices(entry.Prices{ZonePerKB: time.Second, RegionPerKB: 10 * time.Second})
	w.busy(200, own, "zone", "region")
	answer, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, []string{"far"}, w.offered)
}

// Both targets answer before the deadline, the nearer one most likely after the aim, as its
// queue is long. What the bytes cost is less than a late answer does; where both answer in
// time, the request stays near.
func TestARequestLeavesHomeOnlyForAnAnswerInTime(t *testing.T) {
	w := newWorld(t, true)
	w.targets = []*mesh.Target{w.targets[0], w.targets[3]}
	w.publish()
	w.entry.SetPrices(entry.Prices{ZonePerKB: 10 * time.Millisecond, RegionPerKB: 80 * time.Millisecond})
	w.load = mesh.Load{Running: 6, Waiting: 6, Slots: 6, Service: 100 * time.Millisecond, Slowdown: 1}
	w.route.Aim = 150 * time.Millisecond
	_, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, []string{"far"}, w.offered)
	w.offered, w.route.Aim = nil, 900*time.Millisecond
	_, err = w.serve()
	require.Nil(t, err)
	require.Equal(t, []string{own}, w.offered)
}

// A request goes to the target at home, whose neighbours slow it the next moment. Bytes to the
// other target are dear, and for the sake of them the request would wait at home until its
// answer is late. It waits for as long as it can still be in time, and then goes.
func TestNoRequestWaitsUntilItIsLateToSaveBytes(t *testing.T) {
	w := newWorld(t, true)
	w.targets = []*mesh.Target{w.targets[0], w.targets[3]}
	w.publish()
	w.entry.SetPrices(entry.Prices{ZonePerKB: 10 * time.Millisecond, RegionPerKB: 200 * time.Millisecond})
	w.route.Aim, w.route.Timeout = 300*time.Millisecond, 5*time.Second
	var patience time.Duration
	w.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		patience = r.Patience
		return answered(200)(r)
	}
	_, err := w.serve()
	require.Nil(t, err)
	require.Equal(t, []string{own}, w.offered)
	require.Positive(t, patience)
	require.Less(t, patience, w.route.Aim)
}

// Every queue is longer than the request can wait. It is refused at once, with the
// time after which asking again can help, and not held until its deadline.
func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, false)
	w.busy(200, own, "zone", "region", "far")
	for _, name := range []string{own, "zone", "region", "far"} {
		w.answers[name] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			return nil, &kind.Error{Kind: kind.Overloaded, Wait: 3 * time.Second}
		}
	}
	_, err := w.serve()
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Greater(t, err.RetryAfter, time.Second)
}

// A node got the signal to stop and its callers keep their connections. A booking
// taken shortly before the end would be cut off midway.
func TestARequestThatMayOutlastTheProcessIsRefused(t *testing.T) {
	w := newWorld(t, false)
	w.entry.Stop(w.now + 5600*time.Millisecond)
	_, err := w.serve()
	require.Nil(t, err, "callers don't know yet")
	w.now += 4 * time.Second
	_, err = w.serve()
	require.Nil(t, err, "it will be over in time")
	w.now += time.Second
	w.offered = nil
	_, err = w.serve()
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Empty(t, w.offered)
}

// Many callers leave before they are answered. The targets that ran their requests
// must not pass for failing because of it.
func TestACallerThatLeavesIsNoFailureOfTheTarget(t *testing.T) {
	w := newWorld(t, true)
	w.targets = w.targets[:1]
	w.publish()
	ctx, cancel := context.WithCancel(t.Context())
	w.answers[own] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
		cancel()
		return nil, kind.New(kind.OutcomeUnknown, "the caller left").Because(context.Canceled)
	}
	_, err := w.entry.Serve(ctx, w.request(0))
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
	estimate := w.targets[0].Stat.Estimate(w.now)
	require.Zero(t, estimate.Failing)
	require.Zero(t, estimate.Busy)
}

// A node was killed and starts while the store is away. It refuses what comes until a
// neighbour has told it what is in force. Told to come back after no time at all, its
// callers asked it hundreds of times in the second that it needed.
func TestANodeThatKnowsNothingSaysWhenToComeBack(t *testing.T) {
	w := newWorld(t, true)
	e := entry.New(entry.Config{Observer: observer{}, Now: func() time.Duration { return w.now }})
	_, err := e.Serve(t.Context(), w.request(0))
	require.Equal(t, kind.NotReady, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.GreaterOrEqual(t, err.RetryAfter, 100*time.Millisecond)
}

func TestWithoutARouteOrConfiguration(t *testing.T) {
	w := newWorld(t, true)
	r := w.request(0)
	r.Host = "nowhere"
	_, err := w.entry.Serve(t.Context(), r)
	require.Equal(t, kind.UnknownService, err.Kind)
	empty := entry.New(entry.Config{Observer: observer{}, Now: func() time.Duration { return 0 }})
	_, err = empty.Serve(t.Context(), r)
	require.Equal(t, kind.NotReady, err.Kind)
}

func TestTheShorterOfCallersAndRoutesTimeHolds(t *testing.T) {
	w := newWorld(t, true)
	var left time.Duration
	w.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		left = r.Left
		return answered(200)(r)
	}
	r := w.request(0)
	r.Timeout = 5 * time.Second
	_, err := w.entry.Serve(t.Context(), r)
	require.Nil(t, err)
	require.LessOrEqual(t, left, time.Second)
	r.Timeout = 200 * time.Millisecond
	_, err = w.entry.Serve(t.Context(), r)
	require.Nil(t, err)
	require.LessOrEqual(t, left, 200*time.Millisecond)
}

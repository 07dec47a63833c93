package calladmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
)

const (
	tick = 5 * time.Millisecond
	// callAfter is when a run makes its call, and failsAfter and answeredAfter when that ends.
	callAfter, failsAfter, answeredAfter = 100 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond
	// requestsPerTick is the demand at each node.
	requestsPerTick = 0.14
	callShare       = 0.7
)

// report is a load report as an entry has it.
type report struct {
	called string
	share  float64
	at     time.Duration
}

// fleet simulates nodes that each have an entry and a backend server of a service that calls another one.
type fleet struct {
	rnd         *rand.Rand
	now         time.Duration
	recorders   []*calladmission.Recorder
	controllers []*calladmission.Controllers
	// reports are those of each target at each entry, and due when the next one arrives.
	reports [][]report
	due     [][]time.Duration
	// room returns the calls that the called service takes for each tick.
	room   func(now time.Duration) float64
	tokens float64
	// failing is the share of calls that fail whatever the load is.
	failing float64
	// reporting is false while reports are lost.
	reporting bool
	// admitting is false if the entries admit everything.
	admitting bool
	// lowest is the lowest priority; all requests have priority 0.
	lowest   int
	calls    map[time.Duration][]int
	outcomes map[time.Duration][]func()
	// counts since the last reset.
	asked, ran, discarded int
}

func newFleet(nodes int) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(1, 2)), reporting: true, admitting: true, now: time.Minute,
		calls: map[time.Duration][]int{}, outcomes: map[time.Duration][]func(){},
	}
	for range nodes {
		f.recorders = append(f.recorders, calladmission.NewRecorder())
		f.controllers = append(f.controllers, calladmission.NewControllers())
		f.reports = append(f.reports, make([]report, nodes))
		f.due = append(f.due, make([]time.Duration, nodes))
	}
	f.room = func(time.Duration) float64 { return 1e9 }
	return f
}

// demand returns how many calls all admitted requests would make in a tick.
func (f *fleet) demand() float64 { return float64(len(f.recorders)) * requestsPerTick * callShare }

func (f *fleet) observe(entry int) calladmission.Observation {
	var pool calladmission.Pool
	for _, r := range f.reports[entry] {
		age := f.now - r.at
		switch {
		case r.at == 0 || age > 1500*time.Millisecond:
		case r.called == "":
			pool.Add(1, age)
		default:
			pool.Add(r.share, age)
		}
	}
	o := pool.Observation()
	o.Lowest = f.lowest
	return o
}

func (f *fleet) admitted(entry int) float64 {
	return f.controllers[entry].Admitted("views", "stock", 0, f.now, func() calladmission.Observation { return f.observe(entry) })
}

// mean returns the mean admitted share of all entries.
func (f *fleet) mean() (mean float64) {
	for i := range f.controllers {
		mean += f.admitted(i) / float64(len(f.controllers))
	}
	return mean
}

func (f *fleet) step() {
	f.now += tick
	f.tokens = min(f.tokens+f.room(f.now), max(20*f.room(f.now), 1))
	for _, target := range f.calls[f.now] {
		outcome, after := calladmission.Answered, answeredAfter
		if f.tokens < 1 || f.rnd.Float64() < f.failing {
			outcome, after = calladmission.Failed, failsAfter
			f.discarded++
		} else {
			f.tokens--
		}
		f.outcomes[f.now+after] = append(f.outcomes[f.now+after], func() { f.recorders[target].Record("stock", outcome, f.now) })
	}
	delete(f.calls, f.now)
	for _, end := range f.outcomes[f.now] {
		end()
	}
	delete(f.outcomes, f.now)
	for entry := range f.recorders {
		f.deliverReports(entry)
		if f.rnd.Float64() >= requestsPerTick {
			continue
		}
		f.asked++
		if f.admitting && !calladmission.Admits(f.admitted(entry), f.rnd.Float64()) {
			continue
		}
		f.ran++
		if f.rnd.Float64() < callShare {
			at := f.now + callAfter
			f.calls[at] = append(f.calls[at], f.rnd.IntN(len(f.recorders)))
		}
	}
}

func (f *fleet) deliverReports(entry int) {
	for target, r := range f.recorders {
		if f.now < f.due[entry][target] {
			continue
		}
		f.due[entry][target] = f.now + 60*time.Millisecond + time.Duration(f.rnd.Int64N(int64(940*time.Millisecond)))
		if f.reporting {
			called, share := r.Lowest(f.now)
			f.reports[entry][target] = report{called, share, f.now}
		}
	}
}

// run simulates a period and counts only its requests.
func (f *fleet) run(d time.Duration) {
	f.asked, f.ran, f.discarded = 0, 0, 0
	for range int(d / tick) {
		f.step()
	}
}

// discardedShare returns the share of runs whose work was discarded.
func (f *fleet) discardedShare() float64 { return float64(f.discarded) / float64(max(f.ran, 1)) }

// until simulates until the mean admitted share is as wanted, and returns how long that took.
func (f *fleet) until(limit time.Duration, wanted func(mean float64) bool) time.Duration {
	start := f.now
	for f.now-start < limit && !wanted(f.mean()) {
		f.step()
	}
	return f.now - start
}

// startFleet returns a fleet whose called service has room for a share of the calls since now.
func startFleet(nodes int, room float64) *fleet {
	f := newFleet(nodes)
	f.run(3 * time.Second)
	calls := f.demand()
	f.room = func(time.Duration) float64 { return room * calls }
	return f
}

// hasRoom gives the called service room for all calls.
func (f *fleet) hasRoom() { f.room = func(time.Duration) float64 { return 1e9 } }

// Guards against runs whose work is discarded while the called service takes a third of the calls, against
// an admitted share that oscillates, so that its room is unused, and one that stays reduced afterwards.
func TestRequestsAreAdmittedByTheRoomForTheirCalls(t *testing.T) {
	for _, nodes := range []int{18, 62} {
		without := startFleet(nodes, 1./3)
		without.admitting = false
		without.run(10 * time.Second)
		f := startFleet(nodes, 1./3)
		settled := f.until(10*time.Second, func(mean float64) bool { return mean < 0.45 })
		f.run(3 * time.Second)
		f.run(20 * time.Second)
		discarded, served := f.discardedShare(), float64(f.ran)/float64(f.asked)
		f.hasRoom()
		back := f.until(10*time.Second, func(mean float64) bool { return mean > 0.99 })
		t.Logf("%d nodes: discarded %.3f of runs (%.3f without admission), ran %.2f of requests, settled after %v, back after %v",
			nodes, discarded, without.discardedShare(), served, settled, back)
		require.Greater(t, without.discardedShare(), 0.4)
		require.Less(t, discarded, 0.1)
		require.InDelta(t, 0.36, served, 0.06)
		require.Less(t, settled, 2500*time.Millisecond)
		require.Less(t, back, 5*time.Second)
	}
}

// Guards against a service called mostly for requests of high priorities, which are admitted with roots of
// the share, so that their runs are discarded as if nothing were refused.
func TestAllRequestsHaveAHighPriority(t *testing.T) {
	f := startFleet(18, 1./3)
	f.lowest = 2
	f.run(4 * time.Second)
	f.run(20 * time.Second)
	t.Logf("discarded %.3f of runs", f.discardedShare())
	require.Less(t, f.discardedShare(), 0.1)
}

// Guards against entries that refuse requests because of reports that no longer arrive.
func TestLostReportsAgeOut(t *testing.T) {
	f := startFleet(18, 0)
	f.run(10 * time.Second)
	f.reporting = false
	require.Less(t, f.mean(), 0.15)
	back := f.until(10*time.Second, func(mean float64) bool { return mean >= 1 })
	t.Logf("back after %v", back)
	require.Less(t, back, 5500*time.Millisecond)
}

// Guards against a dark service whose callers run on, or which gets no calls any more by which its
// return could be seen.
func TestCalledServiceIsDark(t *testing.T) {
	f := startFleet(62, 0)
	fell := f.until(10*time.Second, func(mean float64) bool { return mean < 0.1 })
	f.run(2 * time.Second)
	f.run(20 * time.Second)
	ran := float64(f.ran) / float64(f.asked)
	f.hasRoom()
	back := f.until(10*time.Second, func(mean float64) bool { return mean > 0.99 })
	t.Logf("below 0.1 after %v, ran %.3f of requests, back after %v", fell, ran, back)
	require.Less(t, fell, 3*time.Second)
	require.Less(t, ran, 0.1)
	require.Positive(t, f.ran)
	require.Less(t, back, 6*time.Second)
}

// Guards against nearly all requests being refused for failures that fewer requests don't prevent.
func TestFailuresThatDoNotDependOnLoad(t *testing.T) {
	f := newFleet(18)
	f.failing = 0.1
	f.run(12 * time.Second)
	f.run(30 * time.Second)
	ran := float64(f.ran) / float64(f.asked)
	t.Logf("ran %.3f of requests", ran)
	require.Greater(t, ran, 0.85)
}

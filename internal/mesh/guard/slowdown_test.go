package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	period      = 200 * time.Millisecond
	baseService = 100 * time.Millisecond
	// factor is by how much a transient slowdown lengthens service times.
	factor = 4.0
)

// neighbours slow a backend server in periods that are drawn at random.
type neighbours struct{ slow []bool }

func newNeighbours(rnd *rand.Rand, periods int, share float64) *neighbours {
	n := &neighbours{slow: make([]bool, periods)}
	for i := range n.slow {
		n.slow[i] = rnd.Float64() < share
	}
	return n
}

func (n *neighbours) slowdown(at time.Duration) float64 {
	if n.slow[int(at/period)%len(n.slow)] {
		return factor
	}
	return 1
}

// Neighbours slow the server in a quarter of all periods, so that two slow periods may
// follow each other. A request that starts in either takes four times as long, which is
// too late for most, so it must wait for the end of the second one as well.
func TestTransientSlowdownIsWaitedOut(t *testing.T) {
	const requests = 4000
	rnd := rand.New(rand.NewPCG(7, 7))
	n := newNeighbours(rnd, 10_000, 0.25)
	tracker := &slowdownTracker{}
	startedSlow, waited := 0, time.Duration(0)
	for i := range requests {
		arrived := time.Duration(i)*150*time.Millisecond + rand.N(50*time.Millisecond)
		now := arrived
		for {
			tracker.report(now, n.slowdown(now))
			if wait, _ := tracker.wait(now, baseService); wait == 0 {
				break
			}
			now += recoveryCheckInterval
		}
		waited += now - arrived
		if n.slowdown(now) > 1 {
			startedSlow++
		}
	}
	t.Logf("of %d requests %d started during a slowdown, mean wait %v", requests, startedSlow, waited/requests)
	require.Less(t, startedSlow, requests/100)
	require.Less(t, waited/requests, baseService)
}

// A backend server has become slow permanently. Requests must not wait for its recovery,
// and entries must receive a sustained slowdown rather than an expected recovery.
func TestSustainedSlowdownIsNotWaitedFor(t *testing.T) {
	tracker := &slowdownTracker{}
	tracker.report(0, 1)
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		tracker.report(at, factor)
		s := tracker.state(at)
		require.InDelta(t, factor, s.current, 0)
		if at >= defaultSustainedAfter {
			require.Zero(t, s.recoversIn)
			require.InDelta(t, factor, s.sustained, 0)
		}
	}
	tracker.report(10*time.Second, 1)
	s := tracker.state(10 * time.Second)
	require.InDelta(t, 1, s.current, 0)
	require.Zero(t, s.recoversIn)
}

// The load is sampled, so that two slowdowns with a recovery between two samples look like
// one long slowdown. Before any slowdown was observed, one is expected to last as long again;
// afterwards never longer than the longest observed one.
func TestExpectedRecoveryIsBoundedByObservedDurations(t *testing.T) {
	tracker := &slowdownTracker{}
	tracker.report(0, 1)
	for at := time.Millisecond; at < defaultSustainedAfter; at += 10 * time.Millisecond {
		tracker.report(at, factor)
		s := tracker.state(at)
		require.Positive(t, s.recoversIn)
		require.LessOrEqual(t, s.recoversIn, max(at, time.Millisecond))
	}
	tracker = &slowdownTracker{}
	for n := range 8 {
		tracker.report(time.Duration(2*n)*period, 1)
		tracker.report(time.Duration(2*n+1)*period, factor)
	}
	tracker.report(16*period, 1)
	for elapsed := time.Duration(0); elapsed < period; elapsed += 10 * time.Millisecond {
		tracker.report(17*period+elapsed, factor)
		require.LessOrEqual(t, tracker.state(17*period+elapsed).recoversIn, period)
	}
}

// Slowdowns last 20 ms on one machine and two seconds on another. A request of 100 ms
// waits for the end of short ones, as starting at once would delay it by more. It starts at
// once in long ones, where waiting would delay it by more.
func TestDurationsOfTransientSlowdownsAreLearned(t *testing.T) {
	for duration, waits := range map[time.Duration]bool{20 * time.Millisecond: true, 250 * time.Millisecond: true, 2 * time.Second: false} {
		tracker := &slowdownTracker{}
		at := time.Duration(0)
		step := duration / 20
		for n := range 20 * 4 * 20 {
			slowdown := 1.0
			if n/20%4 == 3 {
				slowdown = factor
			}
			tracker.report(at, slowdown)
			at += step
		}
		tracker.report(at, 1)
		at += step
		tracker.report(at, factor)
		wait, _ := tracker.wait(at, baseService)
		require.Equal(t, waits, wait > 0, duration)
		require.InDelta(t, float64(duration), float64(tracker.state(at).recoversIn), 0.1*float64(duration))
	}
}

// A backend server has just started and is twice as slow for three seconds, with transient
// slowdowns caused by neighbours on top. If the cold start counted as transient, each
// request would wait, or be refused, for up to a second; only the slowdowns on top of
// it may be waited for.
func TestColdStartIsNotATransientSlowdown(t *testing.T) {
	tracker := &slowdownTracker{}
	tracker.setWarmAt(3 * time.Second)
	tracker.report(0, 2)
	waits := func(now time.Duration) bool {
		wait, _ := tracker.wait(now, baseService)
		return wait > 0
	}
	require.False(t, waits(0))
	tracker.report(period, 8)
	require.InDelta(t, 2, tracker.state(period+10*time.Millisecond).sustained, 0)
	require.True(t, waits(period+10*time.Millisecond))
	tracker.report(2*period, 2)
	require.False(t, waits(2*period))
	tracker.report(3*time.Second, 1)
	require.InDelta(t, 1, tracker.state(3*time.Second).current, 0)
	tracker.report(4*time.Second, 2)
	require.Positive(t, tracker.state(4*time.Second+time.Millisecond).recoversIn, "after the cold start it is transient")
}

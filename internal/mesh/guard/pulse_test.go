package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	turn = 200 * time.Millisecond
	work = 100 * time.Millisecond
	// times is how much longer work takes in a pulse.
	times = 4.0
)

// neighbours draw for each turn whether they slow a backend server.
type neighbours struct{ slow []bool }

func newNeighbours(rnd *rand.Rand, turns int, share float64) *neighbours {
	n := &neighbours{slow: make([]bool, turns)}
	for i := range n.slow {
		n.slow[i] = rnd.Float64() < share
	}
	return n
}

func (n *neighbours) slowdown(at time.Duration) float64 {
	if n.slow[int(at/turn)%len(n.slow)] {
		return times
	}
	return 1
}

// A neighbour's turns come one after the other, a quarter of them slow. A request waits
// while a pulse is expected to cost it more than its end takes, and how long it takes is
// decided when it starts. A pulse that goes on for a second turn must be waited out as well:
// started in it, a request takes four times as long, which is too late for most.
func TestAPulseThatGoesOnIsWaitedOut(t *testing.T) {
	const requests = 4000
	rnd := rand.New(rand.NewPCG(7, 7))
	n := newNeighbours(rnd, 10_000, 0.25)
	p := &pulse{}
	startedSlow, waited := 0, time.Duration(0)
	for i := range requests {
		arrived := time.Duration(i)*150*time.Millisecond + rand.N(50*time.Millisecond)
		now := arrived
		for {
			p.told(now, n.slowdown(now))
			if calmIn, _ := p.wait(now, work); calmIn == 0 {
				break
			}
			now += calmEvery
		}
		waited += now - arrived
		if n.slowdown(now) > 1 {
			startedSlow++
		}
	}
	t.Logf("of %d requests %d started in a pulse, waiting for %v on average", requests, startedSlow, waited/requests)
	require.Less(t, startedSlow, requests/100)
	require.Less(t, waited/requests, work)
}

// A backend server has become slow for good. Nobody can wait for the end of that, and
// entries must learn that it is slow, not that it will be calm in a moment.
func TestASlowdownThatStaysIsNotWaitedFor(t *testing.T) {
	p := &pulse{}
	p.told(0, 1)
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		p.told(at, times)
		s := p.state(at)
		require.InDelta(t, times, s.now, 0)
		if at >= lasting {
			require.Zero(t, s.calmIn)
			require.InDelta(t, times, s.standing, 0)
		}
	}
	p.told(10*time.Second, 1)
	s := p.state(10 * time.Second)
	require.InDelta(t, 1, s.now, 0)
	require.Zero(t, s.calmIn)
}

// The load of a backend server is looked at now and then, and a pulse that ended and began
// anew between two looks is one that lasts. With nothing to go by it is expected to last as
// long again, and never longer than the longest that was seen.
func TestTheExpectedEndIsNeverFurtherThanWhatWasSeen(t *testing.T) {
	p := &pulse{}
	p.told(0, 1)
	for at := time.Millisecond; at < lasting; at += 10 * time.Millisecond {
		p.told(at, times)
		s := p.state(at)
		require.Positive(t, s.calmIn)
		require.LessOrEqual(t, s.calmIn, max(at, time.Millisecond))
	}
	p = &pulse{}
	for n := range 8 {
		p.told(time.Duration(2*n)*turn, 1)
		p.told(time.Duration(2*n+1)*turn, times)
	}
	p.told(16*turn, 1)
	for lasted := time.Duration(0); lasted < turn; lasted += 10 * time.Millisecond {
		p.told(17*turn+lasted, times)
		require.LessOrEqual(t, p.state(17*turn+lasted).calmIn, turn)
	}
}

// Neighbours take turns of 20 ms on one machine and of two seconds on another. A request of
// 100 ms waits for the end of the short ones, which cost it less than they take of it, and
// starts at once in the long ones, which it can't outwait.
func TestTurnsOfAnyLengthAreLearnt(t *testing.T) {
	for length, waits := range map[time.Duration]bool{20 * time.Millisecond: true, 250 * time.Millisecond: true, 2 * time.Second: false} {
		p := &pulse{}
		at := time.Duration(0)
		step := length / 20
		for n := range 20 * 4 * 20 {
			slowdown := 1.0
			if n/20%4 == 3 {
				slowdown = times
			}
			p.told(at, slowdown)
			at += step
		}
		p.told(at, 1)
		at += step
		p.told(at, times)
		calmIn, _ := p.wait(at, work)
		require.Equal(t, waits, calmIn > 0, length)
		require.InDelta(t, float64(length), float64(p.state(at).calmIn), 0.1*float64(length))
	}
}

// A backend server has just started and is twice as slow for three seconds, with a pulse of
// its neighbours on top now and then. Taken for a pulse, the cold would make each request
// wait, or be refused, for up to a second; only the pulses are worth waiting for.
func TestAStartFromColdIsNoPulse(t *testing.T) {
	p := &pulse{}
	p.startsCold(3 * time.Second)
	p.told(0, 2)
	waits := func(now time.Duration) bool {
		calmIn, _ := p.wait(now, work)
		return calmIn > 0
	}
	require.False(t, waits(0))
	p.told(turn, 8)
	require.InDelta(t, 2, p.state(turn+10*time.Millisecond).standing, 0)
	require.True(t, waits(turn+10*time.Millisecond))
	p.told(2*turn, 2)
	require.False(t, waits(2*turn))
	p.told(3*time.Second, 1)
	require.InDelta(t, 1, p.state(3*time.Second).now, 0)
	p.told(4*time.Second, 2)
	require.Positive(t, p.state(4*time.Second+time.Millisecond).calmIn, "warm, it is one")
}

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
			if p.wait(now, work) == 0 {
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
		slowdown, calmIn := p.state(at)
		require.InDelta(t, times, slowdown, 0)
		if at >= lasting {
			require.Zero(t, calmIn)
		}
	}
	p.told(10*time.Second, 1)
	slowdown, calmIn := p.state(10 * time.Second)
	require.InDelta(t, 1, slowdown, 0)
	require.Zero(t, calmIn)
}

// The load of a backend server is looked at now and then, and a pulse that ended and began
// anew between two looks is one that lasts. What is expected stays within a turn.
func TestTheExpectedEndIsNeverFurtherThanATurn(t *testing.T) {
	p := &pulse{}
	for at := time.Duration(0); at < lasting; at += 10 * time.Millisecond {
		p.told(at, times)
		_, calmIn := p.state(at)
		require.Positive(t, calmIn)
		require.LessOrEqual(t, calmIn, mostPulse)
	}
}

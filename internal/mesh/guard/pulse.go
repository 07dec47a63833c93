package guard

import (
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	// slow is the slowdown from which it is worth to wait for its end.
	slow = 1.5
	// firstPulse is the length of a slowdown assumed until some were seen: neighbours
	// on shared machines were seen to take a fifth of a second at a time.
	firstPulse = 200 * time.Millisecond
	// leastPulse and mostPulse bound what is learnt.
	leastPulse = 30 * time.Millisecond
	mostPulse  = 400 * time.Millisecond
	// lasting is when a slowdown is taken to stay, and nobody waits for its end any
	// more. Neighbours draw their turns independently, so that one pulse in four goes on
	// for another turn, and one in a thousand for five of them.
	lasting = time.Second
	// pulseWeight is the inverse weight of a new length in the moving average.
	pulseWeight = 8
)

// pulse follows the slowdowns of a backend server whose neighbours take turns at
// the processor. How long a request takes is decided when it starts: one that
// starts in a pulse takes several times as long to its end, also when the pulse is
// over a moment later. Safe for concurrent use.
type pulse struct {
	mu       sync.Mutex
	slowdown float64
	// since is when the pulse began, or was first told of; ended when the last did.
	since time.Duration
	// length is a moving average of pulses' lengths.
	length time.Duration
}

// told takes a slowdown as the backend server told it, and says whether a pulse
// began or ended.
func (p *pulse) told(now time.Duration, slowdown float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was, is := p.slowdown >= slow, slowdown >= slow
	p.slowdown = slowdown
	if p.length == 0 {
		p.length = firstPulse
	}
	switch {
	case is && !was:
		p.since = now
	case was && !is:
		seen := min(max(now-p.since, leastPulse), mostPulse)
		p.length += (seen - p.length) / pulseWeight
	}
	return is != was
}

// state gives the slowdown, and when it is expected to end; 0 if there is none or
// it has lasted for so long that it is taken to stay. One that outlasts the usual is
// expected to go on for another turn of the neighbour. Taken to stay, it was the reason
// for nine of ten late answers on a calm day: requests started in the midst of it and
// took four times as long, while other targets were idle.
func (p *pulse) state(now time.Duration) (slowdown float64, calmIn time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slowdown < slow {
		return max(p.slowdown, 1), 0
	}
	lasted := now - p.since
	if lasted >= lasting {
		return p.slowdown, 0
	}
	return p.slowdown, p.length - lasted%p.length
}

// wait gives how long a request of so much work should wait for the end of the pulse; 0
// is that starting now costs no more.
func (p *pulse) wait(now, work time.Duration) time.Duration {
	slowdown, calmIn := p.state(now)
	if loss := time.Duration(float64(work) * (slowdown - 1)); loss <= calmIn {
		return 0
	}
	return calmIn
}

const (
	// freshLoad is the age up to which the last word of the backend server is
	// trusted when a request starts: a pulse begins within it in one of fifty.
	freshLoad = 30 * time.Millisecond
	// calmEvery is the pause between two looks whether a pulse is over.
	calmEvery = 15 * time.Millisecond
	// lookTimeout bounds one look. The backend server stands on the same VM.
	lookTimeout = 25 * time.Millisecond
)

// awaitCalm waits until a pulse is over, if that takes less time than the request
// would lose by it. One that may not wait for so long is refused, as another
// target is hardly slow at the same moment.
//
// Measured on reads of 90 ms with pulses of a fifth of a second in an eighth of
// the time: those late fell from 10 in 100 to 5, at one more question to the backend
// server for each two requests.
func (g *Guard) awaitCalm(ctx context.Context, v *visit) *kind.Error {
	r := v.request
	for {
		g.look(ctx)
		calmIn := g.pulse.wait(g.Now(), v.work)
		if calmIn == 0 {
			return nil
		}
		waited := g.Now() - v.start
		if waited+calmIn > r.Patience {
			e := kind.New(kind.Overloaded, "the backend server is slowed for a moment")
			e.Wait, e.RetryAfter = calmIn, calmIn
			return e
		}
		if !clock.Sleep(ctx, min(calmEvery, calmIn)) {
			return kind.New(kind.DeadlineNotRun, "the deadline passed while the backend server was slowed")
		}
	}
}

// look asks the backend server for its load if the last word is too old. It isn't
// asked if it never told of a slowdown.
func (g *Guard) look(ctx context.Context) {
	if g.Now()-time.Duration(g.toldAt.Load()) < freshLoad || !g.pulse.known() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	g.probe(ctx)
}

// known says whether the backend server ever told of a slowdown.
func (p *pulse) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length != 0
}

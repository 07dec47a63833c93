package guard

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	// slow is the slowdown beyond the standing one from which a pulse is told apart.
	slow = 1.5
	// pulsesKept is how many lengths of pulses are remembered.
	pulsesKept = 32
	// lasting is when a slowdown is taken to stay while no pulse has been seen, and
	// lastingTimes how many times the longest seen it must last otherwise.
	lasting      = time.Second
	lastingTimes = 3
	// longestGap is the longest pause between two words for which a change is taken to
	// lie in the middle: with nothing to do, a backend server isn't asked for seconds.
	longestGap = 2 * staleLoad
)

// pulse follows the slowdowns of a backend server whose neighbours take turns at
// the processor. How long a request takes is decided when it starts: one that
// starts in a pulse takes several times as long to its end, also when the pulse is
// over a moment later.
//
// What stays is no pulse: a start from cold, or a machine that has become slow. It is the
// standing slowdown, and pulses come on top of it. Safe for concurrent use.
type pulse struct {
	mu       sync.Mutex
	slowdown float64
	standing float64
	// warmAt is until when the backend server is slow from its start.
	warmAt time.Duration
	// within says that there is a pulse; since is when it began, or was first told of, and
	// lowest the least slowdown told since.
	within bool
	since  time.Duration
	lowest float64
	// toldAt is when a slowdown was last told.
	toldAt time.Duration
	// seen are the lengths of the last pulses, next where the next one goes.
	seen []time.Duration
	next int
}

// startsCold notes until when the backend server is slow from its start.
func (p *pulse) startsCold(warmAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmAt = warmAt
}

// told takes a slowdown as the backend server told it, and says whether a pulse
// began or ended.
func (p *pulse) told(now time.Duration, slowdown float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.within
	p.stand(now, slowdown)
	// What changed did so at any time since the last word.
	between := now - min(now-p.toldAt, longestGap)/2
	p.slowdown, p.toldAt = slowdown, now
	is := slowdown >= slow*p.standing
	switch {
	case is && !was:
		p.within, p.since, p.lowest = true, between, slowdown
	case is:
		p.lowest = min(p.lowest, slowdown)
	case was:
		p.remember(between - p.since)
		p.within = false
	}
	return is != was
}

// stand follows the standing slowdown. The mutex is held.
func (p *pulse) stand(now time.Duration, slowdown float64) {
	cold := now < p.warmAt
	switch {
	case p.standing == 0 && cold:
		// The first word may be told in a pulse; the next lower one will show.
		p.standing = max(slowdown, 1)
	case p.standing == 0:
		p.standing = 1
	case slowdown < p.standing:
		p.standing = max(slowdown, 1)
	case p.within && now-p.since >= p.lastsFrom():
		p.standing = p.lowest
	}
}

// lastsFrom gives the length from which a slowdown is taken to stay. The mutex is held.
func (p *pulse) lastsFrom() time.Duration {
	longest := time.Duration(0)
	for _, length := range p.seen {
		longest = max(longest, length)
	}
	if longest == 0 {
		return lasting
	}
	return lastingTimes * longest
}

// remember keeps the length of a pulse that is over. The mutex is held.
func (p *pulse) remember(length time.Duration) {
	if len(p.seen) < pulsesKept {
		p.seen = append(p.seen, length)
		return
	}
	p.seen[p.next] = length
	p.next = (p.next + 1) % pulsesKept
}

// remaining gives how much longer a pulse is expected to last: the mean over those seen
// that lasted longer. Where these are few, it is taken to go on for another turn of the
// neighbours, as long as the usual pulse. Before any was seen, it is expected to last as
// long again, so that a request waits no longer than it would have lost. The mutex is held.
func (p *pulse) remaining(lasted time.Duration) time.Duration {
	if len(p.seen) == 0 {
		return lasted
	}
	const few = 4
	var all, longer, n time.Duration
	for _, length := range p.seen {
		all += length
		if length > lasted {
			longer += length - lasted
			n++
		}
	}
	usual := all / time.Duration(len(p.seen))
	if n < few {
		return usual
	}
	return min(longer/n, usual)
}

// slowness is how a backend server is slowed.
type slowness struct {
	// now is how many times as long work takes at this moment, and standing what of it
	// is expected to stay.
	now, standing float64
	// calmIn is when the pulse is expected to be over; 0 is that there is none.
	calmIn time.Duration
}

// state gives the slowdown at now.
func (p *pulse) state(now time.Duration) slowness {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := slowness{now: max(p.slowdown, 1), standing: max(p.standing, 1)}
	if !p.within {
		s.standing = s.now
		return s
	}
	if lasted := now - p.since; lasted < p.lastsFrom() {
		s.calmIn = max(p.remaining(lasted), time.Millisecond)
		return s
	}
	s.standing = s.now
	return s
}

// wait gives how long a request of so much work should wait for the end of the pulse, and
// how much longer it takes if it starts now; 0 is that this costs no more.
func (p *pulse) wait(now, work time.Duration) (calmIn, loss time.Duration) {
	s := p.state(now)
	loss = time.Duration(float64(work) * (s.now - s.standing))
	if loss <= s.calmIn {
		return 0, loss
	}
	return s.calmIn, loss
}

const (
	// freshLoad is the age up to which the last word of the backend server is
	// trusted when a request starts: a small part of the usual turn of a neighbour.
	freshLoad = 30 * time.Millisecond
	// calmEvery is the pause between two looks whether a pulse is over.
	calmEvery = 15 * time.Millisecond
	// lookTimeout bounds one look. The backend server stands on the same VM.
	lookTimeout = 25 * time.Millisecond
)

// awaitCalm waits until a pulse is over, if that takes less time than the request
// would lose by it. One whose patience is shorter than both is refused: its patience is how
// much more another target costs, and that is hardly slow at the same moment.
func (g *Guard) awaitCalm(ctx context.Context, v *visit) *kind.Error {
	for {
		g.look(ctx)
		calmIn, loss := g.pulse.wait(g.Now(), v.work)
		patience := v.request.Patience - (g.Now() - v.start)
		if calmIn == 0 && loss <= max(patience, 0) {
			return nil
		}
		if calmIn == 0 || calmIn > patience {
			e := kind.New(kind.Overloaded, "the backend server is slowed for a moment")
			e.Wait = cmp.Or(calmIn, loss)
			e.RetryAfter = e.Wait
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
	return p.standing != 0
}

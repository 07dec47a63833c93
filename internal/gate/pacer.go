package gate

import "time"

// Pacer limits the rate at which a Gate admits requests, besides the number of slots. Its methods
// are called with the Gate's lock held and must not call the Gate. Safe for concurrent use.
type Pacer interface {
	// Permit takes a permit for one request that starts now, and reports whether there was one.
	Permit() bool
	// NextPermit returns the time until there is a permit; 0 means that there is one.
	NextPermit() time.Duration
	// ExpectedWait returns how long the n-th request from now is expected to wait for its permit.
	ExpectedWait(n int) time.Duration
}

// unpaced is the Pacer of a Gate without one.
type unpaced struct{}

func (unpaced) Permit() bool                   { return true }
func (unpaced) NextPermit() time.Duration      { return 0 }
func (unpaced) ExpectedWait(int) time.Duration { return 0 }

// SetPacer sets the Pacer. It must be called before the Gate is used.
func (g *Gate) SetPacer(p Pacer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer = p
}

// Dispatch admits waiting requests for which there are slots and permits. It must be called when
// the Pacer has more permits than NextPermit announced.
func (g *Gate) Dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// scheduleDispatch dispatches the queue again when more requests may be admitted without a
// completion or a report: during a slow start, as its bound rises with time, when the Pacer has the
// next permit, and while slots are reserved. The mutex is held.
func (g *Gate) scheduleDispatch() {
	if g.wakeScheduled || len(g.queue) == 0 {
		return
	}
	in := g.pacer.NextPermit()
	if g.start.active {
		in = doublingInterval
	}
	if in <= 0 && g.scheduler.inForce && g.scheduler.withheld {
		in = reservedCheckInterval
	}
	if in <= 0 {
		return
	}
	g.wakeScheduled = true
	time.AfterFunc(in, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wakeScheduled = false
		g.dispatch(time.Now())
	})
}

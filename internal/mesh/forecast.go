package mesh

import (
	"cmp"
	"time"
)

const (
	// assumedService is how long a slot is held where nothing has been measured.
	assumedService = 80 * time.Millisecond
	// coldFactor is how much longer work is taken to last at a target that has just
	// started and hasn't told how much.
	coldFactor = 2.0
)

// Forecast is what a request is expected to meet at a target. Each thing that delays it is
// counted once: the queue in Wait; in Work the neighbours, the start from cold, and nothing
// for the requests beside it, as a guard starts no more than run at full speed.
type Forecast struct {
	Estimate
	// Wait is the time until it gets a slot, and Work how long it then takes.
	Wait, Work time.Duration
}

// Forecast tells what to expect of a request, with so much work for a server that has
// nothing else to do, that is sent to the target now. 0 is work not known.
func (t *Target) Forecast(work, now time.Duration) Forecast {
	work = cmp.Or(work, assumedService)
	e := t.Stat.Estimate(now)
	if now < t.WarmAt && (!e.Known || e.Age > slowdownMemory) {
		e.Standing = max(e.Standing, coldFactor)
		e.Slowdown = max(e.Slowdown, e.Standing)
	}
	return Forecast{Estimate: e, Wait: e.wait(t.Slots), Work: work + e.Extra(work)}
}

// Extra is how much longer work takes for what slows the target: the work at its present
// speed, or the wait until that is over, whichever is less.
func (e Estimate) Extra(work time.Duration) time.Duration {
	extra := time.Duration(float64(work) * (e.Slowdown - 1))
	if e.CalmIn > 0 {
		extra = min(extra, e.CalmIn+time.Duration(float64(work)*(e.Standing-1)))
	}
	return max(extra, 0)
}

// wait estimates how long a request waits for a slot at a target that declares so many.
func (e Estimate) wait(declared int) time.Duration {
	slots := e.Slots
	if !e.Known {
		slots = declared
	}
	slots = max(slots, 1)
	ahead := e.Busy + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return cmp.Or(e.Service, assumedService) * time.Duration(ahead) / time.Duration(slots)
}

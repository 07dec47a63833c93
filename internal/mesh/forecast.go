package mesh

import (
	"cmp"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
)

const (
	// assumedServiceTime is how long a slot is assumed to be held while no measurement exists.
	assumedServiceTime = 80 * time.Millisecond
	// coldStartFactor is the assumed slowdown of a target that has just started and has not
	// reported its slowdown yet.
	coldStartFactor = 2.0
)

// Forecast is the expected delay of a request at a target. Each cause of delay is counted
// once. Wait covers the queue; ExpectedServiceTime covers interference by neighbours and the
// slowdown after a start. Contention among concurrent requests adds nothing, as a guard runs
// no more requests than the backend server handles at full speed.
type Forecast struct {
	Estimate
	// Wait is the expected time in the queue, and ExpectedServiceTime the time in the slot.
	Wait, ExpectedServiceTime time.Duration
	// LinkDelay is the expected delay of the answer by the links; 0 unless they are scheduled.
	LinkDelay time.Duration
}

// LinkDelayOf returns the delay of an answer by the links if both are scheduled: its size over the
// slower of the two, and the target's backlog, which a small answer overtakes. ownRate is the rate
// of the receiver's link.
func (e Estimate) LinkDelayOf(bytes int, ownRate float64) time.Duration {
	if e.LinkRate == 0 || ownRate == 0 {
		return 0
	}
	delay := time.Duration(float64(bytes) / min(e.LinkRate, ownRate) * float64(time.Second))
	if bytes > egress.SmallBytes {
		delay += e.LinkBacklog
	}
	return delay
}

// Forecast returns the expected delay of a request that is sent to the target now and has the
// given base service time; 0 means that it is unknown.
func (t *Target) Forecast(baseServiceTime, now time.Duration) Forecast {
	baseServiceTime = cmp.Or(baseServiceTime, assumedServiceTime)
	e := t.Stat.Estimate(now)
	if now < t.WarmAt && (!e.Known || e.Age > slowdownMemory) {
		e.SustainedSlowdown = max(e.SustainedSlowdown, coldStartFactor)
		e.Slowdown = max(e.Slowdown, e.SustainedSlowdown)
	}
	return Forecast{Estimate: e, Wait: max(e.wait(t.declaredSlots(baseServiceTime, now)), e.AcceptsIn), ExpectedServiceTime: baseServiceTime + e.SlowdownDelay(baseServiceTime)}
}

// declaredSlots returns the number of slots to assume until the target reports its load. One that
// has just started uses only as many as the rate that it tolerates keeps in use.
func (t *Target) declaredSlots(baseServiceTime, now time.Duration) int {
	if now >= t.WarmAt || t.ColdPerSecond == 0 {
		return t.Slots
	}
	usable := t.ColdPerSecond * coldStartFactor * baseServiceTime.Seconds()
	return max(min(t.Slots, int(usable)), 1)
}

// SlowdownDelay returns how much longer than its base service time a request takes because the
// target is slowed down: either it runs at the present speed throughout, or it runs after the
// recovery, whichever is shorter.
func (e Estimate) SlowdownDelay(baseServiceTime time.Duration) time.Duration {
	delay := time.Duration(float64(baseServiceTime) * (e.Slowdown - 1))
	if e.RecoversIn > 0 {
		delay = min(delay, e.RecoversIn+time.Duration(float64(baseServiceTime)*(e.SustainedSlowdown-1)))
	}
	return max(delay, 0)
}

// wait estimates the time in the queue of a target with the given declared number of slots,
// which is used until the target has reported its load.
func (e Estimate) wait(declaredSlots int) time.Duration {
	slots := e.Slots
	if !e.Known {
		slots = declaredSlots
	}
	slots = max(slots, 1)
	ahead := e.Busy + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return cmp.Or(e.ServiceTime, assumedServiceTime) * time.Duration(ahead) / time.Duration(slots)
}

package pick

import "time"

const (
	// forgetAfter is when a latency or a failure without newer evidence counts no
	// more, so that a target which was slow or failed is tried again.
	forgetAfter = 5 * time.Second
	// slowFactor is how many times the typical time a target's average must be to
	// count. Below that it is the noise of neighbours, gone before the next
	// request arrives, and to follow it is worse than to go by the requests in flight.
	slowFactor = 2
	// failureCost is what a request that surely fails is taken to cost: more
	// than any wait, so that failing fast never looks cheap.
	failureCost = float64(10 * time.Second)
	// failurePenalty is the same in requests in flight, for policies that count these.
	failurePenalty = 64
	// minServerTime keeps costs apart before anything was measured.
	minServerTime = float64(100 * time.Microsecond)
)

// Report is a target's load as its guard counted it.
type Report struct {
	Running, Waiting, Slots int
	// Service is the guard's moving average of the time a slot is held.
	Service time.Duration
	// At is when the report came, and own how many requests of the node itself
	// were in flight then, so that they aren't counted twice.
	At  time.Duration
	own int
}

// Report keeps a target's load. A free slot becomes one hint of idleness.
func (t *Target) Report(r Report) {
	r.own = int(t.Stat.InFlight.Load())
	t.Stat.report.Store(&r)
	t.Stat.load.Store(loadOf(r))
	t.shared.learnBusy(float64(max(r.Running+r.Waiting-r.own, 0)) / float64(max(r.Slots, 1)))
	if r.Waiting == 0 && r.Running < r.Slots {
		t.Stat.hints.Store(1)
		return
	}
	t.Stat.hints.Store(0)
}

// Reported gives the last report, or nil.
func (t *Target) Reported() *Report { return t.Stat.report.Load() }

// inFlight is the node's own requests at the target, as if failures were still running.
func (t *Target) inFlight(now time.Duration) int32 {
	return t.Stat.InFlight.Load() + int32(t.Stat.failures(now)*failurePenalty)
}

// serverTime is the average time to an answer, without the round trip; it
// returns to what is typical of the service as it grows old.
func (t *Target) serverTime(now time.Duration) time.Duration {
	typical := t.shared.typical.Load()
	latency := t.Stat.latency.Load()
	age := int64(now) - t.Stat.sampled.Load()
	if latency < slowFactor*typical || age >= int64(forgetAfter) {
		return time.Duration(typical)
	}
	left := float64(int64(forgetAfter)-max(age, 0)) / float64(forgetAfter)
	return time.Duration(typical + int64(float64(latency-typical)*left))
}

// idle is the time to an answer if nothing else ran at the target, by all that
// is known: on the way and at the server.
func (t *Target) idle(now time.Duration) (way, server float64) {
	way = float64(t.RTT())
	server = max(float64(t.serverTime(now)), minServerTime)
	// A request that is in flight for much longer than the average is evidence
	// before it ends: a server that stops answering is seen within two usual
	// answer times.
	if age := float64(t.Stat.oldest(now)) - way; age > slowFactor*server {
		server = age
	}
	return way, server
}

// Cost compares targets, in nanoseconds: the round trip, and the time at the
// server stretched by how full it is, so that of two that are free the emptier
// one is cheaper.
func (t *Target) Cost(now time.Duration) float64 {
	way, server := t.idle(now)
	busy := float64(t.Stat.InFlight.Load()) + t.others(now)
	return way + server*(1+busy/float64(max(t.Slots, 1))) + t.failureCost(now)
}

// delay estimates the time to an answer, in nanoseconds: only requests beyond
// the slots make others wait. By it the region is left or not; by Cost it would be
// left for an emptier one though nobody waits at home.
func (t *Target) delay(now time.Duration) float64 {
	way, server := t.idle(now)
	busy := float64(t.Stat.InFlight.Load()) + t.othersAtLeast(now)
	slots := float64(max(t.Slots, 1))
	return way + server*(1+max(busy+1-slots, 0)/slots) + t.failureCost(now)
}

func (t *Target) failureCost(now time.Duration) float64 {
	return t.Stat.failures(now) * failureCost
}

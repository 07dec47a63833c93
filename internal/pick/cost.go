package pick

import "time"

const (
	// forgetAfter is the age at which a latency or a failure without newer samples
	// no longer counts, so that a target that was slow or failed is tried again.
	forgetAfter = 5 * time.Second
	// slowFactor is the multiple of the typical time from which a target's average
	// counts. Smaller deviations are interference by neighbours that ends before the
	// next request arrives. Following them gives slower answers than comparing
	// requests in flight.
	slowFactor = 2
	// failureCost is the cost of a request that is certain to fail. It is greater
	// than any wait, so that a target that fails fast is never preferred.
	failureCost = float64(10 * time.Second)
	// failurePenalty is the equivalent in requests in flight, for policies that
	// compare these.
	failurePenalty = 64
	// minServerTime is the least server time in a cost, so that targets with
	// different load have different costs before anything was measured.
	minServerTime = float64(100 * time.Microsecond)
)

// Report is a target's load as reported by its guard.
type Report struct {
	Running, Waiting, Slots int
	// Service is the guard's moving average of the service time.
	Service time.Duration
	// At is when the report was received. own is the number of the node's own
	// requests in flight at that time, so that they aren't counted twice.
	At  time.Duration
	own int
}

// RecordReport stores a target's load. A free slot sets one idle hint.
func (t *Target) RecordReport(r Report) {
	r.own = int(t.Stat.InFlight.Load())
	t.Stat.report.Store(&r)
	t.Stat.load.Store(loadOf(r))
	t.shared.recordBusy(float64(max(r.Running+r.Waiting-r.own, 0)) / float64(max(r.Slots, 1)))
	if r.Waiting == 0 && r.Running < r.Slots {
		t.Stat.hints.Store(1)
		return
	}
	t.Stat.hints.Store(0)
}

// LastReport returns the last report, or nil.
func (t *Target) LastReport() *Report { return t.Stat.report.Load() }

// inFlight returns the node's own requests in flight at the target, plus a penalty
// for recent failures.
func (t *Target) inFlight(now time.Duration) int32 {
	return t.Stat.InFlight.Load() + int32(t.Stat.failures(now)*failurePenalty)
}

// serverTime returns the average time to an answer without the round trip. With
// the age of the last sample it returns to the typical time of the service.
func (t *Target) serverTime(now time.Duration) time.Duration {
	typical := t.shared.typical.Load()
	latency := t.Stat.latency.Load()
	age := int64(now) - t.Stat.sampled.Load()
	if latency < slowFactor*typical || age >= int64(forgetAfter) {
		return time.Duration(typical)
	}
	remaining := float64(int64(forgetAfter)-max(age, 0)) / float64(forgetAfter)
	return time.Duration(typical + int64(float64(latency-typical)*remaining))
}

// unloaded estimates the time to an answer if nothing else ran at the target, as
// the round trip and the server time.
func (t *Target) unloaded(now time.Duration) (rtt, server float64) {
	rtt = float64(t.RTT())
	server = max(float64(t.serverTime(now)), minServerTime)
	// A request in flight for much longer than the average counts before it ends,
	// so that a server that stops answering is detected within two usual answer
	// times.
	if age := float64(t.Stat.oldest(now)) - rtt; age > slowFactor*server {
		server = age
	}
	return rtt, server
}

// Cost returns the cost by which targets are compared, in nanoseconds: the round
// trip plus the server time scaled by the utilization, so that of two targets with
// free slots the less loaded one costs less.
func (t *Target) Cost(now time.Duration) float64 {
	rtt, server := t.unloaded(now)
	busy := float64(t.Stat.InFlight.Load()) + t.others(now)
	return rtt + server*(1+busy/float64(max(t.Slots, 1))) + t.failureCost(now)
}

// delay estimates the time to an answer, in nanoseconds. Only requests beyond the
// slots add a wait. Regions are compared by it: by Cost, requests would go to a less
// loaded region although none has to wait in the own one.
func (t *Target) delay(now time.Duration) float64 {
	rtt, server := t.unloaded(now)
	busy := float64(t.Stat.InFlight.Load()) + t.othersAtLeast(now)
	slots := float64(max(t.Slots, 1))
	return rtt + server*(1+max(busy+1-slots, 0)/slots) + t.failureCost(now)
}

func (t *Target) failureCost(now time.Duration) float64 {
	return t.Stat.failures(now) * failureCost
}

package entry

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
)

const (
	// assumedAnswerBytes is the assumed answer size until a route has had an answer.
	assumedAnswerBytes = 2 << 10
	// framingBytes is what frames and TCP add to a request and its answer.
	framingBytes = 600
	// failurePenalty is the penalty of a request that is certain to fail. It is longer than
	// any wait that is acceptable, so that a target that fails fast never has the best score.
	failurePenalty = 1500 * time.Millisecond
	// latePenalty is the penalty of an answer that is certain to be late: nearly that of no
	// answer.
	latePenalty = failurePenalty * 9 / 10
	// serviceTimeSigma is the standard deviation of the logarithm of the ratio of actual to
	// expected service time.
	serviceTimeSigma = 0.35
	// utilizationPenalty is the share of the service time that is added to the score of a
	// fully used target, besides its wait. Among targets with free slots the least used is
	// preferred, as its next requests are the least likely to wait.
	utilizationPenalty = 0.15
	// jitter spreads the requests of nodes that see the same loads over equally good targets.
	jitter = 3 * time.Millisecond
)

// rttTo is the round-trip time at each distance on typical links between zones and regions.
// Its exact values matter less than Prices, the penalties in time per kilobyte transferred.
var rttTo = [...]time.Duration{
	place.SameVM: 0, place.SameZone: 300 * time.Microsecond,
	place.SameRegion: 3 * time.Millisecond, place.OtherRegion: 16 * time.Millisecond,
}

// candidate is a target with the expected delay of a request there.
type candidate struct {
	target *mesh.Target
	// score orders candidates, the lowest first: the expected delay plus penalties for the
	// bytes transferred and for the risk of a late answer or a failure.
	score time.Duration
	// wait is the expected time in the queue: that of the forecast, or the wait with which the
	// target refused this request if that is longer. riskPenalty and lateProbability use only
	// that of the forecast.
	wait     time.Duration
	forecast mesh.Forecast
}

// routeStats are averages over a route's requests. Safe for concurrent use.
type routeStats struct {
	mu sync.Mutex
	// answerBytes is a moving average of the size of answers, baseServiceTime one of the base
	// service time in nanoseconds; seen counts the samples.
	answerBytes, baseServiceTime float64
	seen                         int
	// calls is a moving average of the calls that a run makes, and runs counts the samples.
	calls mesh.Calls
	// callees are the services that runs certainly call. It is replaced, not modified.
	callees map[string]struct{}
	runs    int
	// origins tells whether only nested calls use the route.
	origins originStats
}

// maxAverageSamples is the number of samples from which the averages are moving averages, in
// which a new sample has a weight of 1/maxAverageSamples. Up to it they are plain means.
const maxAverageSamples = 16

func (s *routeStats) add(bytes int, baseServiceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	divisor := float64(min(s.seen, maxAverageSamples))
	s.answerBytes += (float64(bytes) - s.answerBytes) / divisor
	s.baseServiceTime += (float64(baseServiceTime) - s.baseServiceTime) / divisor
}

func (s *routeStats) expected() (bytes float64, baseServiceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == 0 {
		return assumedAnswerBytes, 0
	}
	return s.answerBytes, time.Duration(s.baseServiceTime)
}

// addRun records the calls that a run has made.
func (s *routeStats) addRun(calls mesh.Calls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	weight := 1 / float64(min(s.runs, maxAverageSamples))
	averages := mesh.Calls{}
	averages.Add(s.calls, 1-weight)
	averages.Add(calls, weight)
	s.calls = averages
}

// addCallee records a service that runs certainly call.
func (s *routeStats) addCallee(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.callees[service]; known || service == "" {
		return
	}
	callees := maps.Clone(s.callees)
	if callees == nil {
		callees = map[string]struct{}{}
	}
	callees[service] = struct{}{}
	s.callees = callees
}

// certainCallees returns the services that runs certainly call. They must not be modified.
func (s *routeStats) certainCallees() map[string]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callees
}

// expectedCalls returns the average calls of a run. They must not be modified.
func (s *routeStats) expectedCalls() mesh.Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// recordCalls records the calls that the run of the request has made.
func (t *transaction) recordCalls(a *mesh.Answer) {
	t.stats.addRun(a.Calls)
	t.stats.addCallee(a.Callee)
	t.origin.AddCalls(a.Calls)
}

func (e *Entry) routeStats(name string) *routeStats {
	s, _ := e.routes.LoadOrStore(name, &routeStats{})
	return s.(*routeStats)
}

// candidates returns the targets that may get the request, the best first.
func (t *transaction) candidates() []candidate {
	all := t.eligible()
	bytes, baseServiceTime := t.stats.expected()
	baseServiceTime = cmp.Or(baseServiceTime, t.route.AssumedBaseServiceTime())
	list := make([]candidate, 0, len(all))
	var avoided []candidate
	for _, target := range all {
		if t.excluded(target) {
			continue
		}
		c, usable := t.evaluate(target, int(bytes), baseServiceTime)
		if usable {
			list = append(list, c)
		} else {
			avoided = append(avoided, c)
		}
	}
	if len(list) == 0 {
		// One more attempt is better than a certain refusal.
		list = avoided
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return list
}

// excluded reports whether the target must not get the request again, as it may have run it or
// refused it for another reason than overload. A target that refused it for its load isn't
// excluded.
func (t *transaction) excluded(target *mesh.Target) bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool {
		return a.target.ID == target.ID && !refusedForLoad(a.kind)
	})
}

// evaluate returns the target as a candidate, given the expected size of the answer and the
// base service time, and reports whether the target is usable. For the target on this VM it
// first updates target.Stat with the present load of the guard.
func (t *transaction) evaluate(target *mesh.Target, bytes int, baseServiceTime time.Duration) (candidate, bool) {
	now := t.entry.Now()
	if target.Distance == place.SameVM {
		target.Stat.Report(t.entry.Guard.Load(), now)
	}
	f := target.Forecast(baseServiceTime, now)
	if target.Distance != place.SameVM {
		f.LinkDelay = f.LinkDelayOf(bytes+framingBytes, t.view.LinkRate)
	}
	c := candidate{target: target, wait: f.Wait, forecast: f}
	if wait, refused := t.refusals[target.ID]; refused {
		c.wait = max(c.wait, wait)
	}
	slots := max(f.Slots, target.Slots, 1)
	c.score = rttTo[target.Distance] + c.wait + f.ExpectedServiceTime + f.LinkDelay +
		t.riskPenalty(f, now+rttTo[target.Distance]) +
		time.Duration(utilizationPenalty*float64(f.ExpectedServiceTime)*float64(f.Busy)/float64(slots)) +
		time.Duration(f.FailureRate*float64(failurePenalty)) +
		t.entry.prices.Load().of(target.Distance, len(t.in.Body)+bytes+framingBytes) +
		rand.N(jitter)
	return c, !f.Avoid && !f.Leaving
}

// riskPenalty returns the penalty for the probabilities that a request that reaches the target
// at arrival is answered after its latency objective or after its deadline.
func (t *transaction) riskPenalty(f mesh.Forecast, arrival time.Duration) time.Duration {
	late := lateProbability(f, t.objective-arrival)
	none := lateProbability(f, t.end()-arrival)
	return time.Duration(late*float64(latePenalty) + none*float64(failurePenalty-latePenalty))
}

// lateProbability returns the probability that the answer takes longer than remaining.
func lateProbability(f mesh.Forecast, remaining time.Duration) float64 {
	available := remaining - f.Wait - f.LinkDelay
	if available <= 0 {
		return 1
	}
	return distuv.LogNormal{Sigma: serviceTimeSigma}.Survival(float64(available) / float64(f.ExpectedServiceTime))
}

// of returns the penalty for transferring bytes over a distance.
func (p Prices) of(d place.Distance, bytes int) time.Duration {
	const kilobyte = 1000
	switch d {
	case place.SameRegion:
		return p.ZonePerKB * time.Duration(bytes) / kilobyte
	case place.OtherRegion:
		return p.RegionPerKB * time.Duration(bytes) / kilobyte
	}
	return 0
}

package calladmission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// interval is the time between two changes of an admitted share.
	interval = 300 * time.Millisecond
	// sufficient is the share of successful calls from which on no request is refused. It leaves room
	// for calls that fail by chance.
	sufficient = 0.95
	// minAdmitted is the smallest admitted share. These requests show when the called service has room
	// again.
	minAdmitted = 0.02
	// growth and minGrowth are by how much of itself, and of all requests, an admitted share grows in an
	// interval.
	growth, minGrowth = 0.3, 0.05
	// fullGrowthAfter is how long after a reduction the share grows at the full rate. Growing at that
	// rate at once would exceed the room again before the reports show it.
	fullGrowthAfter = 1800 * time.Millisecond
	// ineffectiveAfter is for how long reductions are tried. If the calls then still don't succeed, but at
	// least unrelatedMin of them do, their failures don't depend on the number of requests. A reduction
	// that works shows within three seconds.
	ineffectiveAfter = 6 * time.Second
	unrelatedMin     = 0.5
	// ineffectiveBelow is by what factor the admitted share must have been reduced by then.
	ineffectiveBelow = 0.9
	// baselineWeight is the weight of a better observation in the baseline.
	baselineWeight = 0.1
	// callDelay is the assumed time from a request's admission to the outcome of its call.
	callDelay = 200 * time.Millisecond
	// maxLevels is the number of priorities above the lowest that are distinguished.
	maxLevels = 4
	// demandWeight is the weight of the requests since the last update in the demand by priority.
	demandWeight = 0.3
	// bisectionSteps is the number of steps by which the share for the lowest priority is found.
	bisectionSteps = 16
	// historySteps is for how many intervals past shares are kept.
	historySteps = 8
	// maxSteps bounds the intervals for which an update makes up. Within them a share grows from its
	// minimum to 1.
	maxSteps = 12
)

// Observation is what an entry knows of the calls of a service's backend servers to another service.
type Observation struct {
	// Pooled is the mean share of calls that succeed, and Age the mean age of the reports. Known is
	// false if there are no recent reports.
	Pooled float64
	Age    time.Duration
	Known  bool
	// Lowest is the lowest priority of the routes that call the service. A larger number is a lower
	// priority.
	Lowest int
}

// Pool collects the reports of a service's targets.
type Pool struct {
	shares float64
	ages   time.Duration
	n      int
}

// Add adds a target's share of successful calls.
func (p *Pool) Add(share float64, age time.Duration) {
	p.shares += share
	p.ages += age
	p.n++
}

// Observation returns the means of the reports.
func (p *Pool) Observation() Observation {
	if p.n == 0 {
		return Observation{Pooled: 1}
	}
	return Observation{Pooled: p.shares / float64(p.n), Age: p.ages / time.Duration(p.n), Known: true}
}

// controller holds the admitted share of the requests to one service whose runs call another one.
type controller struct {
	// admitted is the share over all priorities, and lowest the one for the lowest priority.
	admitted, lowest float64
	// demand is the recent number of requests by their number of priorities above the lowest.
	demand    [maxLevels + 1]float64
	updatedAt time.Duration
	// history holds the averages, over recordTime, of the admitted share at the last updates, the newest
	// first.
	history [historySteps]float64
	// reducedAt is when admitted was last reduced.
	reducedAt time.Duration
	// baseline is the share of calls that succeed however few requests are admitted. It is 1 unless
	// reductions turned out to be ineffective.
	baseline float64
	// reducing is true since reducingSince, when admitted was from, until enough calls succeed. average
	// is a moving average of their share meanwhile.
	reducing      bool
	reducingSince time.Duration
	from, average float64
	last          Observation
	// granted and refused count requests.
	granted, refused uint64
}

func newController() *controller {
	c := &controller{admitted: 1, lowest: 1, updatedAt: math.MinInt64 / 2, reducedAt: math.MinInt64 / 2, baseline: 1}
	for i := range c.history {
		c.history[i] = 1
	}
	return c
}

// update changes the admitted share by an observation.
func (c *controller) update(o Observation, now time.Duration) {
	c.adjust(o, now)
	c.lowest = c.lowestShare()
	for i := range c.demand {
		c.demand[i] *= 1 - demandWeight
	}
}

// lowestShare returns the share for the lowest priority at which the share over all priorities is that
// admitted, given the recent demand.
//
// If the admitted share were that of the lowest priority itself, it would have little effect on a service
// that is called mostly for requests of higher priorities: two priorities higher, a share of 0.02 is 0.38.
func (c *controller) lowestShare() float64 {
	total := 0.0
	for _, n := range c.demand {
		total += n
	}
	if total == 0 || c.admitted >= 1 {
		return c.admitted
	}
	// The exponent of the share for the highest priority is the smallest, so its root bounds the result.
	low, high := math.Pow(c.admitted, math.Exp2(maxLevels)), c.admitted
	for range bisectionSteps {
		share, sum := math.Sqrt(low*high), 0.0
		root := share
		for _, n := range c.demand {
			sum += n * root
			root = math.Sqrt(root)
		}
		if sum < c.admitted*total {
			low = share
		} else {
			high = share
		}
	}
	return high
}

// adjust changes the share over all priorities.
func (c *controller) adjust(o Observation, now time.Duration) {
	steps := int(min((now-c.updatedAt)/interval, maxSteps))
	c.updatedAt, c.last = now, o
	for range steps {
		copy(c.history[1:], c.history[:])
		c.history[0] += (c.admitted - c.history[0]) * (1 - math.Exp(-float64(interval)/float64(recordTime)))
	}
	if o.Known && o.Pooled < sufficient*c.baseline {
		c.reduce(o, now)
		return
	}
	c.reducing = false
	if o.Pooled > c.baseline {
		c.baseline += (o.Pooled - c.baseline) * baselineWeight
	}
	for range steps {
		c.grow(o, now)
	}
}

// reduce lowers the admitted share to what the called service has room for.
//
// The reports show the outcomes of requests that were admitted some time ago. The share that was in
// force then, multiplied by the share of calls that succeeded, is what the service has room for. The
// present share would be reduced again and again before the first reduction shows.
func (c *controller) reduce(o Observation, now time.Duration) {
	if !c.reducing {
		c.reducing, c.reducingSince, c.from, c.average = true, now, c.admitted, o.Pooled
	}
	c.average += (o.Pooled - c.average) * baselineWeight
	if c.ineffective(now) {
		// Admitting fewer requests would refuse some that could be answered, and help none.
		c.baseline, c.reducing = c.average, false
		return
	}
	delay := int((o.Age + callDelay) / interval)
	before := c.history[min(delay, historySteps-1)]
	target := before * o.Pooled / (sufficient * c.baseline)
	c.admitted = max(min(c.admitted, target), minAdmitted)
	c.reducedAt = now
}

// ineffective reports whether fewer requests have not made more of the calls succeed.
func (c *controller) ineffective(now time.Duration) bool {
	return now-c.reducingSince >= ineffectiveAfter && c.average >= unrelatedMin && c.admitted < c.from*ineffectiveBelow
}

// grow raises the admitted share by one step.
func (c *controller) grow(o Observation, now time.Duration) {
	factor := 1.0
	if o.Known {
		factor = min(float64(now-c.reducedAt)/float64(fullGrowthAfter), 1)
		factor *= factor
	}
	c.admitted = min(c.admitted+factor*(growth*c.admitted+minGrowth), 1)
}

// admittedFor returns the admitted share for a priority: the square root for each priority above the
// lowest.
func (c *controller) admittedFor(priority int) float64 {
	if c.lowest >= 1 {
		return 1
	}
	return math.Pow(c.lowest, math.Exp2(-float64(c.level(priority))))
}

// level returns the number of priorities above the lowest.
func (c *controller) level(priority int) int { return min(max(c.last.Lowest-priority, 0), maxLevels) }

// key identifies a controller: the service of the requests, and the one that their runs call.
type key struct{ service, called string }

// Controllers hold the admitted shares of one entry. Safe for concurrent use.
type Controllers struct {
	mu    sync.Mutex
	byKey map[key]*controller
}

// NewControllers returns Controllers that admit everything.
func NewControllers() *Controllers { return &Controllers{byKey: map[key]*controller{}} }

// Admitted returns the share of requests of a priority to a service to admit, given that their runs call
// the other one. observe is called if the share is due for a change.
func (c *Controllers) Admitted(service, called string, priority int, now time.Duration, observe func() Observation) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{service, called}
	a := c.byKey[k]
	if a == nil {
		a = newController()
		c.byKey[k] = a
	}
	if now-a.updatedAt >= interval {
		a.update(observe(), now)
	}
	a.demand[a.level(priority)]++
	return a.admittedFor(priority)
}

// Admits reports whether a request is admitted, given the admitted share and a number that is uniform in
// [0, 1).
func Admits(share, random float64) bool { return random < share }

// Count counts a decision about a request to a service whose runs call the other one.
func (c *Controllers) Count(service, called string, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.byKey[key{service, called}]
	switch {
	case a == nil:
	case admitted:
		a.granted++
	default:
		a.refused++
	}
}

// State describes one admitted share.
type State struct {
	Service string `json:"service"`
	Called  string `json:"called"`
	// Share is the admitted share over all priorities, Lowest that of the lowest one, and Pooled the share of calls that succeed, as
	// of the last change.
	Share    float64 `json:"share"`
	Lowest   float64 `json:"lowest"`
	Pooled   float64 `json:"pooled"`
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
}

// States returns the state of all admitted shares, ordered by service.
func (c *Controllers) States() []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]State, 0, len(c.byKey))
	for k, a := range c.byKey {
		states = append(states, State{k.service, k.called, a.admitted, a.lowest, a.last.Pooled, a.granted, a.refused})
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Called, b.Called))
	})
	return states
}

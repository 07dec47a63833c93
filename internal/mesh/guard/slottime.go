package guard

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

const (
	// minSlotTimes is the number of samples from which the measured time of a route is used, and
	// maxSlotTimes how many are kept: at 5 requests per second those of 6 seconds.
	minSlotTimes, maxSlotTimes = 8, 32
	// maxSlotTimeAge is the age of the last sample up to which the samples are used. Without it, the
	// times of an overload that has ended would be expected for a route that is rarely called.
	maxSlotTimeAge = 30 * time.Second
	// maxSlotTimeRoutes bounds the routes that are measured, as configurations rename them.
	maxSlotTimeRoutes = 1024
)

// slotTimes measures for each route how long its requests hold a slot, nested calls included and
// slowdowns of the backend server excluded. Safe for concurrent use.
type slotTimes struct {
	mu     sync.Mutex
	routes *lru.Cache[string, *slotTime]
}

// slotTime is the measured time of one route.
type slotTime struct {
	// samples is a ring buffer, next the index of the oldest.
	samples []time.Duration
	next    int
	median  time.Duration
	// recordedAt is when the last sample was recorded.
	recordedAt time.Duration
}

func newSlotTimes() *slotTimes {
	// An error would mean that maxSlotTimeRoutes isn't positive.
	routes, _ := lru.New[string, *slotTime](maxSlotTimeRoutes)
	return &slotTimes{routes: routes}
}

// record adds a sample.
func (s *slotTimes) record(route string, now, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, found := s.routes.Get(route)
	if !found {
		t = &slotTime{}
		s.routes.Add(route, t)
	}
	if len(t.samples) < maxSlotTimes {
		t.samples = append(t.samples, held)
	} else {
		t.samples[t.next] = held
		t.next = (t.next + 1) % maxSlotTimes
	}
	t.recordedAt = now
	var sorted [maxSlotTimes]time.Duration
	n := copy(sorted[:], t.samples)
	slices.Sort(sorted[:n])
	t.median = sorted[n/2]
}

// of returns the median time of a route, or 0 if it is unknown.
func (s *slotTimes) of(route string, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, found := s.routes.Get(route)
	if !found || len(t.samples) < minSlotTimes || now-t.recordedAt > maxSlotTimeAge {
		return 0
	}
	return t.median
}

// recordSlotTime records how long a request held its slot that was answered, or cut off at its
// deadline. The part that the backend server took is recorded without the slowdown that it reported; a
// slowness that is only measured is part of it.
func (g *Guard) recordSlotTime(s *requestState) {
	if !g.overloadScheduling() {
		return
	}
	now := g.Now()
	held := now - s.slotAt - s.backendTime + time.Duration(float64(s.backendTime)/max(s.slowdown.reported(), 1))
	g.slotTimes.record(s.class, now, held)
}

// expectedSlotTime returns how long a request is expected to hold a slot if it starts now: the measured
// time of its route times the sustained slowdown that the backend server reports, or else its base service
// time times the whole sustained slowdown. A transient slowdown is likely to end before the request starts.
func (g *Guard) expectedSlotTime(s *requestState) time.Duration {
	now := g.Now()
	slowdown := g.slowdown.state(now)
	if held := g.slotTimes.of(s.class, now); held > 0 {
		return time.Duration(float64(held) * slowdown.sustained / slowdown.measured)
	}
	return time.Duration(float64(s.baseService) * slowdown.sustained)
}

// waitLimits returns the limits on a request's wait for a slot. With goodput scheduling, the latest
// starts that meet its latency objective and its deadline follow from its expected time in the slot.
func (g *Guard) waitLimits(s *requestState, deadline time.Duration) gate.WaitLimits {
	r := s.request
	limits := gate.WaitLimits{QueueTimeout: max(r.QueueTimeout-(g.Now()-s.start), time.Millisecond)}
	untilObjective, toAnswer := s.baseService, s.minRemaining()
	objective := r.ObjectiveRemaining
	if g.overloadScheduling() {
		s.timeInSlot = g.expectedSlotTime(s)
		limits.TimeInSlot, untilObjective, toAnswer = s.timeInSlot, s.timeInSlot, s.timeInSlot
		// Time that the request has spent in awaitRecovery is no longer left.
		objective -= g.Now() - s.start
	}
	limits.StartByObjective = time.Now().Add(objective - untilObjective)
	limits.StartByDeadline = time.Now().Add(deadline - g.Now() - toAnswer)
	return limits
}

// overloadScheduling reports whether goodput scheduling is in force.
func (g *Guard) overloadScheduling() bool {
	v := g.view.Load()
	return v != nil && v.OverloadScheduling
}

// Schedule returns the counters and the state of the scheduling of requests.
func (g *Guard) Schedule() gate.Schedule { return g.gate.Schedule() }

// orderFor returns the order of the gate under a View.
func orderFor(v *mesh.View) string {
	if v.OverloadScheduling {
		return gate.OrderGoodput
	}
	return gate.OrderInTime
}

package guard

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/slowness"
)

// minMeasurableBase is the base service time below which a request shows nothing about the backend
// server: senders know it in whole milliseconds, and the connection takes a good part of it.
const minMeasurableBase = 5 * time.Millisecond

// measuredTime is the time that one request took, compared with the time expected of it.
type measuredTime struct {
	// base is the sender's base service time; 0 means that there was nothing to compare with.
	base time.Duration
	// ratio is that of the time taken to the time expected from base, the reported slowdown and the
	// contention; 0 means unknown.
	ratio float64
	// factor is the measured slowness after the request, and slow is true if the server is slow.
	factor float64
	slow   bool
}

// measureSlowness compares the time that a request took with the time expected of it. late is true
// if it was cut off, so that its time is only a lower bound.
func (g *Guard) measureSlowness(s *requestState, late bool) measuredTime {
	m := measuredTime{factor: 1}
	if base := s.request.BaseServiceTime; base >= minMeasurableBase {
		m.base = base
		m.ratio = float64(s.backendTime) / (float64(base) * s.slowdown.reported() * max(s.contention, 1))
	}
	// A lower bound that an ordinary request reaches carries no information.
	if m.ratio > 0 && (!late || m.ratio > slowness.Threshold) {
		g.slowdown.addRatio(g.Now(), m.ratio)
	}
	g.noteSlowness()
	m.factor, m.slow = g.slowdown.measured(g.Now())
	return m
}

// healthyTime returns the time that the request would have taken had the server not been slow. A
// request nearer to the expected time than to the slow one, as after a recovery, counts as it is.
func (m measuredTime) healthyTime(took float64) time.Duration {
	if m.ratio > 0 && m.ratio*m.ratio < m.factor {
		return time.Duration(took)
	}
	return time.Duration(took / m.factor)
}

// reportedBase returns the base service time to report to the sender. A slow server would raise the
// sender's average, with which it is compared itself, so it reports the time of this request and at
// most slowness.Threshold times that average. If all servers are slow, the average still rises to
// their time, as nothing holds it back.
func (m measuredTime) reportedBase(learned time.Duration) time.Duration {
	if !m.slow || m.ratio == 0 {
		return learned
	}
	return time.Duration(float64(m.base) * min(m.ratio, slowness.Threshold))
}

// noteSlowness logs and reports that the backend server begins or ceases to be slow.
func (g *Guard) noteSlowness() {
	factor, slow := g.slowdown.measured(g.Now())
	if g.slow.Swap(slow) == slow {
		return
	}
	if slow {
		g.Log.Event("backend server began to be slow without reporting it", "target", g.targetID(), "slowness", factor)
	} else {
		g.Log.Event("backend server ceased to be slow", "target", g.targetID())
	}
	g.LoadChanged(false)
}

// MeasuredSlowness returns the factor by which requests take longer than the backend server's reports
// and the base service times of its service explain; 1 is none.
func (g *Guard) MeasuredSlowness() float64 {
	factor, _ := g.slowdown.measured(g.Now())
	return factor
}

// measureSlownessIn sets from a View whether slowness is measured.
func (g *Guard) measureSlownessIn(v *mesh.View) {
	g.slowdown.setMeasures(v.OverloadScheduling)
	g.noteSlowness()
}

// setMeasures sets whether slowness is measured. If it isn't, what was measured is forgotten.
func (t *slowdownTracker) setMeasures(measures bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.measures = measures
	if !measures {
		t.slowness = slowness.Tracker{}
	}
}

// forgetSlowness forgets the measured slowness because another process serves.
func (t *slowdownTracker) forgetSlowness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness = slowness.Tracker{}
}

// addRatio adds the ratio of the time that a request took to the time expected of it.
func (t *slowdownTracker) addRatio(now time.Duration, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.measures {
		t.slowness.Add(now, ratio)
	}
}

// measured returns the measured slowness, and whether the server is slow.
func (t *slowdownTracker) measured(now time.Duration) (factor float64, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowness.Factor(now), t.slowness.Slow(now)
}

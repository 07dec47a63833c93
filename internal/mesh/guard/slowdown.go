package guard

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh/slowness"
)

const (
	// transientFactor is the ratio to the sustained slowdown from which a slowdown counts
	// as transient.
	transientFactor = 1.5
	// maxDurations is how many durations of transient slowdowns are kept.
	maxDurations = 32
	// defaultSustainedAfter is the duration from which a slowdown counts as sustained while
	// no transient one has been observed. Otherwise it is sustainedMultiple times the
	// longest one observed.
	defaultSustainedAfter = time.Second
	sustainedMultiple     = 3
	// maxReportGap is the longest gap between two reports for which a change is assumed
	// to lie in the middle; after a longer gap, the change is assumed maxReportGap/2 before
	// the second report. An idle backend server may go seconds without a probe.
	maxReportGap = 2 * staleLoadAge
)

// slowdownTracker follows the slowdown of a backend server that shares its processor
// with neighbours, other processes on that processor. A slowdown is a factor on the
// service time; 1 is normal. The service time of a request is determined when it starts:
// one that starts during a transient slowdown takes several times as long to its end, even
// if the slowdown ends a moment later.
//
// A slowdown that lasts, such as a cold start or a machine that has become slow, is the
// sustained slowdown. Transient slowdowns come on top of it. Safe for concurrent use.
type slowdownTracker struct {
	mu        sync.Mutex
	current   float64
	sustained float64
	// warmAt is when the backend server's cold start ends.
	warmAt time.Duration
	// transient is true during a transient slowdown, also after it has lasted for
	// sustainedAfter until the next report; since is the estimate of when it began, at most
	// maxReportGap/2 before it was first reported, and lowest the smallest slowdown reported
	// since.
	transient bool
	since     time.Duration
	lowest    float64
	// slowdownReportedAt is when a slowdown was last reported.
	slowdownReportedAt time.Duration
	// durations are those of the last slowdowns that began as transient ones, including those
	// that became sustained, as a ring with the next index to write in next.
	durations []time.Duration
	next      int
	// slowness is the measured slowness, which the server doesn't report; measures is whether it is
	// measured.
	slowness slowness.Tracker
	measures bool
}

// setWarmAt sets when the backend server's cold start ends.
func (t *slowdownTracker) setWarmAt(warmAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmAt = warmAt
}

// report records a slowdown reported by the backend server. It reports whether a
// transient slowdown began or ended.
func (t *slowdownTracker) report(now time.Duration, slowdown float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.transient
	t.updateSustained(now, slowdown)
	// The change may have happened at any time since the last report.
	changedAt := now - min(now-t.slowdownReportedAt, maxReportGap)/2
	t.current, t.slowdownReportedAt = slowdown, now
	is := slowdown >= transientFactor*t.sustained
	switch {
	case is && !was:
		t.transient, t.since, t.lowest = true, changedAt, slowdown
	case is:
		t.lowest = min(t.lowest, slowdown)
	case was:
		t.addDuration(changedAt - t.since)
		t.transient = false
	}
	return is != was
}

// updateSustained updates the sustained slowdown. The mutex is held.
func (t *slowdownTracker) updateSustained(now time.Duration, slowdown float64) {
	cold := now < t.warmAt
	switch {
	case t.sustained == 0 && cold:
		// The first report may fall into a transient slowdown; the next lower one
		// corrects it.
		t.sustained = max(slowdown, 1)
	case t.sustained == 0:
		t.sustained = 1
	case slowdown < t.sustained:
		t.sustained = max(slowdown, 1)
	case t.transient && now-t.since >= t.sustainedAfter():
		t.sustained = t.lowest
	}
}

// sustainedAfter returns the duration from which a slowdown counts as sustained. The
// mutex is held.
func (t *slowdownTracker) sustainedAfter() time.Duration {
	longest := time.Duration(0)
	for _, duration := range t.durations {
		longest = max(longest, duration)
	}
	if longest == 0 {
		return defaultSustainedAfter
	}
	return sustainedMultiple * longest
}

// addDuration records the duration of a slowdown that began as a transient one and has
// ended or become the sustained one. The mutex is held.
func (t *slowdownTracker) addDuration(duration time.Duration) {
	if len(t.durations) < maxDurations {
		t.durations = append(t.durations, duration)
		return
	}
	t.durations[t.next] = duration
	t.next = (t.next + 1) % maxDurations
}

// expectedRemaining returns how much longer a transient slowdown is expected to last: the
// mean remainder of the recorded ones that lasted longer, but at most the mean of all
// recorded durations. If few lasted longer, the slowdown is expected to continue for that
// mean. Before any was recorded, it is expected to last as long again, so that a request,
// which waits only if the delay of starting at once is longer (see wait), waits no longer
// than it would lose by starting at once. The mutex is held.
func (t *slowdownTracker) expectedRemaining(elapsed time.Duration) time.Duration {
	if len(t.durations) == 0 {
		return elapsed
	}
	const minSamples = 4
	var total, remainder, longer time.Duration
	for _, duration := range t.durations {
		total += duration
		if duration > elapsed {
			remainder += duration - elapsed
			longer++
		}
	}
	mean := total / time.Duration(len(t.durations))
	if longer < minSamples {
		return mean
	}
	return min(remainder/longer, mean)
}

// slowdownState is the slowdown of a backend server at one moment.
type slowdownState struct {
	// current is the present factor on the service time, and sustained the part of it
	// that is expected to last. Both include the measured slowness.
	current, sustained float64
	// measured is the measured slowness.
	measured float64
	// recoversIn is the expected remaining time of the transient slowdown; 0 means that
	// there is none.
	recoversIn time.Duration
}

// reported returns the slowdown that the server reports.
func (s slowdownState) reported() float64 { return s.current / max(s.measured, 1) }

// state returns the slowdown at now. The measured slowness lasts, so it multiplies the sustained
// slowdown and the transient one on top of it alike.
func (t *slowdownTracker) state(now time.Duration) slowdownState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.reportedState(now)
	s.measured = t.slowness.Factor(now)
	s.current *= s.measured
	s.sustained *= s.measured
	return s
}

// reportedState returns the slowdown without the measured slowness. The mutex is held.
func (t *slowdownTracker) reportedState(now time.Duration) slowdownState {
	s := slowdownState{current: max(t.current, 1), sustained: max(t.sustained, 1)}
	if !t.transient {
		s.sustained = s.current
		return s
	}
	if elapsed := now - t.since; elapsed < t.sustainedAfter() {
		s.recoversIn = max(t.expectedRemaining(elapsed), time.Millisecond)
		return s
	}
	s.sustained = s.current
	return s
}

// wait returns how long a request with the given base service time should wait for the
// end of the transient slowdown, and how much longer it takes if it starts now. The wait is
// 0, and so not worthwhile, if starting now delays the request no more than waiting.
func (t *slowdownTracker) wait(now, baseService time.Duration) (wait, delay time.Duration) {
	s := t.state(now)
	delay = time.Duration(float64(baseService) * (s.current - s.sustained))
	if delay <= s.recoversIn {
		return 0, delay
	}
	return s.recoversIn, delay
}

const (
	// freshLoadAge is the age up to which the last load report is relied on when a request
	// starts: a small part of the usual duration of a neighbour's load.
	freshLoadAge = 30 * time.Millisecond
	// recoveryCheckInterval is the time between checks whether a transient slowdown has
	// ended.
	recoveryCheckInterval = 15 * time.Millisecond
	// refreshTimeout bounds one refresh of the load. The backend server is on the same VM.
	refreshTimeout = 25 * time.Millisecond
)

// awaitRecovery waits until a transient slowdown has ended, if that takes less time than
// the request would lose by starting at once. It refuses the request if what is left of its
// queue timeout is shorter than the wait and than the delay: senders set the queue timeout to
// the added latency of their next best target, which is unlikely to be slow at the same
// moment.
func (g *Guard) awaitRecovery(ctx context.Context, s *requestState) *kind.Error {
	for {
		g.refreshLoad(ctx)
		wait, delay := g.slowdown.wait(g.Now(), s.baseService)
		timeout := s.request.QueueTimeout - (g.Now() - s.start)
		if wait == 0 && delay <= max(timeout, 0) {
			return nil
		}
		if wait == 0 || wait > timeout {
			e := kind.New(kind.Overloaded, "the backend server is slowed for a moment")
			e.Wait = cmp.Or(wait, delay)
			e.RetryAfter = e.Wait
			return e
		}
		if !clock.Sleep(ctx, min(recoveryCheckInterval, wait)) {
			return kind.New(kind.DeadlineNotRun, "the deadline passed while the backend server was slowed")
		}
	}
}

// refreshLoad probes the backend server if the last load report is too old. A backend
// server that never reported a slowdown factor, not even 1, isn't probed, nor is one that limits
// its requests.
func (g *Guard) refreshLoad(ctx context.Context) {
	if g.Now()-time.Duration(g.reportedAt.Load()) < freshLoadAge || !g.slowdown.reported() || g.limited() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	g.probe(ctx)
}

// reported reports whether the backend server ever reported a slowdown factor.
func (t *slowdownTracker) reported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sustained != 0
}

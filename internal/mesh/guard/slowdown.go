package guard

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
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
	// to lie in the middle. An idle backend server isn't probed for seconds.
	maxReportGap = 2 * staleLoadAge
)

// slowdownTracker follows the slowdown of a backend server that shares its processor
// with neighbours. The service time of a request is determined when it starts: one that
// starts during a transient slowdown takes several times as long to its end, even if
// the slowdown ends a moment later.
//
// A slowdown that lasts, such as a cold start or a machine that has become slow, is the
// sustained slowdown. Transient slowdowns come on top of it. Safe for concurrent use.
type slowdownTracker struct {
	mu        sync.Mutex
	current   float64
	sustained float64
	// warmAt is when the backend server's cold start ends.
	warmAt time.Duration
	// transient is true during a transient slowdown; since is when it began, or was first
	// reported, and lowest the smallest slowdown reported since.
	transient bool
	since     time.Duration
	lowest    float64
	// reportedAt is when a slowdown was last reported.
	reportedAt time.Duration
	// durations are those of the last transient slowdowns, as a ring with the next index to
	// write in next.
	durations []time.Duration
	next      int
}

// setWarmAt sets when the backend server's cold start ends.
func (p *slowdownTracker) setWarmAt(warmAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmAt = warmAt
}

// report records a slowdown reported by the backend server. It reports whether a
// transient slowdown began or ended.
func (p *slowdownTracker) report(now time.Duration, slowdown float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.transient
	p.updateSustained(now, slowdown)
	// The change may have happened at any time since the last report.
	changedAt := now - min(now-p.reportedAt, maxReportGap)/2
	p.current, p.reportedAt = slowdown, now
	is := slowdown >= transientFactor*p.sustained
	switch {
	case is && !was:
		p.transient, p.since, p.lowest = true, changedAt, slowdown
	case is:
		p.lowest = min(p.lowest, slowdown)
	case was:
		p.addDuration(changedAt - p.since)
		p.transient = false
	}
	return is != was
}

// updateSustained updates the sustained slowdown. The mutex is held.
func (p *slowdownTracker) updateSustained(now time.Duration, slowdown float64) {
	cold := now < p.warmAt
	switch {
	case p.sustained == 0 && cold:
		// The first report may fall into a transient slowdown; the next lower one
		// corrects it.
		p.sustained = max(slowdown, 1)
	case p.sustained == 0:
		p.sustained = 1
	case slowdown < p.sustained:
		p.sustained = max(slowdown, 1)
	case p.transient && now-p.since >= p.sustainedAfter():
		p.sustained = p.lowest
	}
}

// sustainedAfter returns the duration from which a slowdown counts as sustained. The
// mutex is held.
func (p *slowdownTracker) sustainedAfter() time.Duration {
	longest := time.Duration(0)
	for _, duration := range p.durations {
		longest = max(longest, duration)
	}
	if longest == 0 {
		return defaultSustainedAfter
	}
	return sustainedMultiple * longest
}

// addDuration records the duration of a transient slowdown that has ended. The mutex is
// held.
func (p *slowdownTracker) addDuration(duration time.Duration) {
	if len(p.durations) < maxDurations {
		p.durations = append(p.durations, duration)
		return
	}
	p.durations[p.next] = duration
	p.next = (p.next + 1) % maxDurations
}

// expectedRemaining returns how much longer a transient slowdown is expected to last: the
// mean remainder of the observed ones that lasted longer, but at most their mean duration.
// If few lasted longer, the slowdown is expected to continue for that mean duration.
// Before any was observed, it is expected to last as long again, so that a request waits
// no longer than it would lose by starting at once. The mutex is held.
func (p *slowdownTracker) expectedRemaining(elapsed time.Duration) time.Duration {
	if len(p.durations) == 0 {
		return elapsed
	}
	const minSamples = 4
	var total, remainder, longer time.Duration
	for _, duration := range p.durations {
		total += duration
		if duration > elapsed {
			remainder += duration - elapsed
			longer++
		}
	}
	mean := total / time.Duration(len(p.durations))
	if longer < minSamples {
		return mean
	}
	return min(remainder/longer, mean)
}

// slowdownState is the slowdown of a backend server at one moment.
type slowdownState struct {
	// current is the present factor on the service time, and sustained the part of it
	// that is expected to last.
	current, sustained float64
	// recoversIn is the expected remaining time of the transient slowdown; 0 means that
	// there is none.
	recoversIn time.Duration
}

// state returns the slowdown at now.
func (p *slowdownTracker) state(now time.Duration) slowdownState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := slowdownState{current: max(p.current, 1), sustained: max(p.sustained, 1)}
	if !p.transient {
		s.sustained = s.current
		return s
	}
	if elapsed := now - p.since; elapsed < p.sustainedAfter() {
		s.recoversIn = max(p.expectedRemaining(elapsed), time.Millisecond)
		return s
	}
	s.sustained = s.current
	return s
}

// wait returns how long a request with the given base service time should wait for the
// end of the transient slowdown, and how much longer it takes if it starts now. The wait is
// 0 if starting now delays the request no more than waiting.
func (p *slowdownTracker) wait(now, baseService time.Duration) (recoversIn, delay time.Duration) {
	s := p.state(now)
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
// the request would lose by starting at once. It refuses a request whose queue timeout is
// shorter than both: the queue timeout is the added latency of the next best target,
// which is unlikely to be slow at the same moment.
func (g *Guard) awaitRecovery(ctx context.Context, s *requestState) *kind.Error {
	for {
		g.refreshLoad(ctx)
		recoversIn, delay := g.slowdown.wait(g.Now(), s.baseService)
		timeout := s.request.QueueTimeout - (g.Now() - s.start)
		if recoversIn == 0 && delay <= max(timeout, 0) {
			return nil
		}
		if recoversIn == 0 || recoversIn > timeout {
			e := kind.New(kind.Overloaded, "the backend server is slowed for a moment")
			e.Wait = cmp.Or(recoversIn, delay)
			e.RetryAfter = e.Wait
			return e
		}
		if !clock.Sleep(ctx, min(recoveryCheckInterval, recoversIn)) {
			return kind.New(kind.DeadlineNotRun, "the deadline passed while the backend server was slowed")
		}
	}
}

// refreshLoad probes the backend server if the last load report is too old. A backend
// server that never reported a slowdown isn't probed.
func (g *Guard) refreshLoad(ctx context.Context) {
	if g.Now()-time.Duration(g.reportedAt.Load()) < freshLoadAge || !g.slowdown.reported() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	g.probe(ctx)
}

// reported reports whether the backend server ever reported a slowdown.
func (p *slowdownTracker) reported() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sustained != 0
}

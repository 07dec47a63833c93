package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency a histogram tells apart.
	maxLatency = 10 * time.Minute
	// figures are the significant decimal figures of the whole run's latencies,
	// windowFigures those of a window's.
	figures, windowFigures = 3, 2
	// window is the length of a step of the timeline.
	window = time.Second
	// lateAfter is how late a call may begin before the schedule isn't kept.
	lateAfter = 10 * time.Millisecond
)

// tally counts the calls of one kind, or of all.
type tally struct {
	fromSchedule, fromSending *hdrhistogram.Histogram
	outcomes                  map[Outcome]int
	good                      int
}

func newTally() *tally {
	return &tally{
		fromSchedule: newHistogram(figures), fromSending: newHistogram(figures), outcomes: map[Outcome]int{},
	}
}

func newHistogram(figures int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), figures)
}

// record adds a latency; one beyond the histogram counts as its longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d, maxLatency).Microseconds()))
}

func (t *tally) add(o Outcome, sinceSchedule, sinceSending time.Duration, good bool) {
	record(t.fromSchedule, sinceSchedule)
	record(t.fromSending, sinceSending)
	t.outcomes[o]++
	if good {
		t.good++
	}
}

// step is one window of the timeline, by scheduled time.
type step struct {
	latency *hdrhistogram.Histogram
	good    int
}

// recorder gathers what a run came to. Safe for concurrent use.
type recorder struct {
	plan      Plan
	mu        sync.Mutex
	sent      int
	late      int
	worstLate time.Duration
	all       *tally
	kinds     []*tally
	steps     []*step
}

func newRecorder(p Plan) *recorder {
	r := &recorder{plan: p, all: newTally()}
	for range p.Kinds {
		r.kinds = append(r.kinds, newTally())
	}
	return r
}

// began records a call that was sent, and how long after its time.
func (r *recorder) began(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.worstLate = max(r.worstLate, late)
	if late > lateAfter {
		r.late++
	}
}

// ended records the end of a call; began and at are times since the start.
func (r *recorder) ended(c Call, o Outcome, began, at time.Duration) {
	latency := at - c.At
	good := o == OK && latency <= r.plan.Kinds[c.Kind].Timeout
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(o, latency, at-began, good)
	r.kinds[c.Kind].add(o, latency, at-began, good)
	s := r.step(c.At)
	record(s.latency, latency)
	if good {
		s.good++
	}
}

func (r *recorder) step(at time.Duration) *step {
	i := int(at / window)
	for len(r.steps) <= i {
		r.steps = append(r.steps, &step{latency: newHistogram(windowFigures)})
	}
	return r.steps[i]
}

func (r *recorder) progress(after time.Duration) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Progress{
		After: after, Sent: r.sent, Answered: int(r.all.fromSchedule.TotalCount()), OK: r.all.outcomes[OK],
	}
}

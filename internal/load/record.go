package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that a histogram records.
	maxLatency = 10 * time.Minute
	// significantFigures is the number of significant decimal figures of latencies
	// over the whole run; windowSignificantFigures is that of latencies in a window.
	significantFigures, windowSignificantFigures = 3, 2
	// window is the length of a step of the timeline.
	window = time.Second
	// lateThreshold is the delay after the scheduled time beyond which a call counts as
	// late.
	lateThreshold = 10 * time.Millisecond
)

// tally holds latencies and outcome counts of the calls of one kind, or of all.
type tally struct {
	fromSchedule, fromSending *hdrhistogram.Histogram
	outcomes                  map[Outcome]int
	good                      int
}

func newTally() *tally {
	return &tally{
		fromSchedule: newHistogram(significantFigures), fromSending: newHistogram(significantFigures), outcomes: map[Outcome]int{},
	}
}

func newHistogram(figures int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), figures)
}

// record adds a latency to h, limited to the range of the histogram.
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

// step is one window of the timeline. Calls are assigned by scheduled time.
type step struct {
	latency *hdrhistogram.Histogram
	good    int
}

// recorder collects the results of a run. It is safe for concurrent use.
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

// recordStart records that a call was sent, late by the given duration.
func (r *recorder) recordStart(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.worstLate = max(r.worstLate, late)
	if late > lateThreshold {
		r.late++
	}
}

// recordEnd records the outcome of a call. began and ended are times since the start
// of the run.
func (r *recorder) recordEnd(c Call, o Outcome, began, ended time.Duration) {
	latency := ended - c.At
	good := o == OK && latency <= r.plan.Kinds[c.Kind].Timeout
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(o, latency, ended-began, good)
	r.kinds[c.Kind].add(o, latency, ended-began, good)
	s := r.step(c.At)
	record(s.latency, latency)
	if good {
		s.good++
	}
}

func (r *recorder) step(at time.Duration) *step {
	i := int(at / window)
	for len(r.steps) <= i {
		r.steps = append(r.steps, &step{latency: newHistogram(windowSignificantFigures)})
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

package budget

import (
	"sync"
	"time"
)

// windowParts is how many parts a window is counted in: old parts leave it one
// by one, so that a tenth of it is the most by which it is too long.
const windowParts = 10

// Window bounds the repeats of requests at one node by those that came within
// the last window, and a fixed number besides. Nodes don't coordinate: when each
// keeps its own ratio and its share of the fixed number, so do all together,
// wherever load moves and whoever vanishes. Safe for concurrent use.
type Window struct {
	mu sync.Mutex
	// ratio is repeats for each request, slack how many more there may be.
	ratio, slack float64
	part         time.Duration
	parts        [windowParts]counts
	current      int64
	denied       uint64
	granted      uint64
}

type counts struct{ requests, repeats int }

// NewWindow returns a budget for a sliding window of a length.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, part: max(length/windowParts, 1)}
}

// Set changes the ratio and the slack.
func (w *Window) Set(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// Request counts a request at now.
func (w *Window) Request(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now).requests++
}

// Repeat takes one repeat, and says whether there was room for it.
func (w *Window) Repeat(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	mine := w.at(now)
	requests, repeats := 0, 0
	for _, c := range w.parts {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > w.ratio*float64(requests)+w.slack {
		w.denied++
		return false
	}
	mine.repeats++
	w.granted++
	return true
}

// Counts gives how many repeats were granted and denied.
func (w *Window) Counts() (granted, denied uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted, w.denied
}

// at gives the part of the window that now falls in. The mutex is held.
func (w *Window) at(now time.Duration) *counts {
	number := int64(now / w.part)
	for n := max(w.current+1, number-windowParts+1); n <= number; n++ {
		w.parts[n%windowParts] = counts{}
	}
	w.current = max(w.current, number)
	return &w.parts[w.current%windowParts]
}

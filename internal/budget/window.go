package budget

import (
	"sync"
	"time"
)

// windowParts is the number of parts that a window is counted in. Old parts are
// dropped one by one, so that the window is too long by at most a tenth.
const windowParts = 10

// Window bounds the repeated requests at one node to a ratio of the requests within
// the last window, plus a fixed number. Nodes don't coordinate: if each keeps to the
// ratio and its share of the fixed number, the fleet does too, however load moves
// and whichever nodes fail. Safe for concurrent use.
type Window struct {
	mu sync.Mutex
	// ratio is the number of repeats for each request, slack how many are allowed
	// beyond that.
	ratio, slack float64
	part         time.Duration
	parts        [windowParts]counts
	current      int64
	denied       uint64
	granted      uint64
}

type counts struct {
	requests int
	// repeats may be fractions, as expected numbers of repeats are counted too.
	repeats float64
}

// NewWindow returns a budget for a sliding window of the given length.
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

// Repeat withdraws one repeat and reports whether the budget allows it.
func (w *Window) Repeat(now time.Duration) bool { return w.Take(now, 1) }

// Take withdraws a number of repeats, of which some may be expected only, and reports whether the budget
// allows it.
func (w *Window) Take(now time.Duration, n float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.at(now)
	requests, repeats := 0, 0.0
	for _, c := range w.parts {
		requests += c.requests
		repeats += c.repeats
	}
	if repeats+n > w.ratio*float64(requests)+w.slack {
		w.denied++
		return false
	}
	current.repeats += n
	w.granted++
	return true
}

// Return puts back repeats that were taken at the same time now and not made.
func (w *Window) Return(now time.Duration, n float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now).repeats -= n
	w.granted--
}

// Counts returns how many repeats were granted and denied.
func (w *Window) Counts() (granted, denied uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted, w.denied
}

// at returns the part of the window that contains now. The caller holds the mutex.
func (w *Window) at(now time.Duration) *counts {
	number := int64(now / w.part)
	for n := max(w.current+1, number-windowParts+1); n <= number; n++ {
		w.parts[n%windowParts] = counts{}
	}
	w.current = max(w.current, number)
	return &w.parts[w.current%windowParts]
}

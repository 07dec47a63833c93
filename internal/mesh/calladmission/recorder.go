// Package calladmission limits the requests whose runs call a service that has no room for the calls.
// Such a run holds a slot until its call fails, and its work is discarded.
//
// A Recorder keeps the outcomes of the nested calls of one backend server. Load reports carry them to
// the entries, where Controllers turn them into the share of requests to admit.
package calladmission

import (
	"math"
	"sync"
	"time"
)

const (
	// recordTime is the time constant of the share of nested calls that succeed.
	recordTime = 300 * time.Millisecond
	// assumedSuccesses is the number of successful calls that are assumed besides the recorded ones. It
	// keeps a single failed call from counting as a share of 0. With 3 instead of 1, a service that makes
	// few calls notices failures too late.
	assumedSuccesses = 0.5
	// reportStep is the step to which a share is rounded, so that its decay doesn't cause a load report
	// for each change.
	reportStep = 0.02
)

// Outcome is the outcome of a nested call.
type Outcome uint8

// The outcomes.
const (
	// Answered is a call with an answer below status 500.
	Answered Outcome = iota
	// Failed is a call that failed for lack of room or time.
	Failed
	// Other is a call that ended in a way that doesn't depend on load. It changes no share, as
	// admitting fewer requests wouldn't prevent it.
	Other
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"answered", "failed", "other"}

func (o Outcome) String() string { return outcomeNames[o] }

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Answered, Failed, Other} }

// Recorder keeps the outcomes of the nested calls of one backend server. Safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	services map[string]*record
}

// record holds the outcomes of the calls to one service.
type record struct {
	// answered and failed are numbers of calls, decayed by their age as of updatedAt.
	answered, failed float64
	updatedAt        time.Duration
	counts           [numOutcomes]uint64
}

// NewRecorder returns a Recorder without any outcomes.
func NewRecorder() *Recorder { return &Recorder{services: map[string]*record{}} }

// Record records the outcome of a call to a service.
func (r *Recorder) Record(service string, o Outcome, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		s = &record{updatedAt: now}
		r.services[service] = s
	}
	s.counts[o]++
	decay := math.Exp(-float64(max(now-s.updatedAt, 0)) / float64(recordTime))
	s.answered, s.failed, s.updatedAt = s.answered*decay, s.failed*decay, now
	switch o {
	case Answered:
		s.answered++
	case Failed:
		s.failed++
	}
}

// share returns the share of calls that succeed.
func (s *record) share(now time.Duration) float64 {
	decay := math.Exp(-float64(max(now-s.updatedAt, 0)) / float64(recordTime))
	answered, failed := s.answered*decay, s.failed*decay
	share := (answered + assumedSuccesses) / (answered + failed + assumedSuccesses)
	return math.Round(share/reportStep) * reportStep
}

// Share returns the share of the calls to a service that succeed.
func (r *Recorder) Share(service string, now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		return s.share(now)
	}
	return 1
}

// Lowest returns the service to which the calls succeed least often, and the share that succeeds. The
// service is empty if all do.
func (r *Recorder) Lowest(now time.Duration) (service string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lowest := 1.0
	for name, s := range r.services {
		share := s.share(now)
		// Of equal shares the same one must always be reported, or the report would seem to change.
		if share < lowest || share == lowest && share < 1 && name < service {
			service, lowest = name, share
		}
	}
	if service == "" {
		return "", 0
	}
	return service, lowest
}

// Count is the number of nested calls to a service with one outcome.
type Count struct {
	Service string
	Outcome Outcome
	Calls   uint64
}

// Counts returns the numbers of all calls so far.
func (r *Recorder) Counts() []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]Count, 0, len(r.services)*int(numOutcomes))
	for name, s := range r.services {
		for _, o := range Outcomes() {
			counts = append(counts, Count{name, o, s.counts[o]})
		}
	}
	return counts
}

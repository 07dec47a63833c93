package load

import (
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
)

// Outcome is the result of a call: an error kind of the system (package kind), or
// one of the constants below.
type Outcome string

// Outcomes that aren't error kinds of the system.
const (
	// OK is a complete answer of a backend server with a status below 400.
	OK Outcome = "ok"
	// BackendError is a backend server's own answer with a status of 400 or above.
	BackendError Outcome = "backend-error"
	// CallerTimeout means that the call was still unanswered 500 ms after its deadline.
	CallerTimeout Outcome = "caller-timeout"
	// Broken means that the connection couldn't be opened or failed before an answer.
	Broken Outcome = "broken"
	// Cut means that the connection failed in the middle of an answer.
	Cut Outcome = "cut"
)

// Sender makes one call and waits for its outcome. It must be safe for concurrent
// use.
type Sender interface {
	Send(ctx context.Context, c Call) Outcome
}

// Progress holds the counts of a run so far.
type Progress struct {
	After    time.Duration
	Sent     int
	Answered int
	OK       int
}

// Options configures a run in addition to its plan.
type Options struct {
	Sender Sender
	// Progress, if set, is called on a separate goroutine at the interval Every.
	// It isn't called if Every is 0.
	Progress func(Progress)
	Every    time.Duration
}

// Run sends the load of a plan that has passed Plan.Check, until the plan's
// duration has elapsed or ctx ends. Then it waits for the last answers.
//
// At most Plan.Workers calls are in flight. If all workers are busy, the next call
// waits. Its latency still counts from the scheduled time, and the report has the
// number of calls that began late.
func Run(ctx context.Context, p Plan, o Options) *Report {
	start := time.Now()
	rec := newRecorder(p)
	stop := reportProgress(rec, start, o)
	defer stop()
	dispatch(ctx, p, start, o.Sender, rec)
	return rec.report(time.Since(start))
}

func dispatch(ctx context.Context, p Plan, start time.Time, sender Sender, rec *recorder) {
	workers := make(chan struct{}, p.Workers)
	var wg sync.WaitGroup
	defer wg.Wait()
	s := newSchedule(p)
	for c, ok := s.next(); ok; c, ok = s.next() {
		if !sleepUntil(ctx, start.Add(c.At)) {
			return
		}
		select {
		case workers <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			began := time.Since(start)
			rec.recordStart(began - c.At)
			outcome := sender.Send(ctx, c)
			rec.recordEnd(c, outcome, began, time.Since(start))
			<-workers
		})
	}
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	remaining := time.Until(t)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, remaining)
}

// reportProgress calls o.Progress every o.Every until stop is called.
func reportProgress(rec *recorder, start time.Time, o Options) (stop func()) {
	if o.Progress == nil || o.Every <= 0 {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(o.Every)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				o.Progress(rec.progress(time.Since(start)))
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

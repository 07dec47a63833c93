package load

import (
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
)

// Outcome is what became of a call: an error kind of the system (package kind),
// or one of those below.
type Outcome string

// Outcomes that aren't error kinds of the system.
const (
	// OK is a whole answer of a backend server with a status below 400.
	OK Outcome = "ok"
	// BackendError is a backend server's own answer with a status of 400 or above.
	BackendError Outcome = "backend-error"
	// CallerTimeout is a call that got no answer until well after its deadline.
	CallerTimeout Outcome = "caller-timeout"
	// Broken is a connection that couldn't be opened or broke before an answer.
	Broken Outcome = "broken"
	// Cut is an answer that broke off.
	Cut Outcome = "cut"
)

// Sender makes one call and waits for its end. Safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, c Call) Outcome
}

// Progress is what a run has come to so far.
type Progress struct {
	After    time.Duration
	Sent     int
	Answered int
	OK       int
}

// Options are what a run needs besides its plan.
type Options struct {
	Sender Sender
	// Progress is called every Every, when both are set, on a goroutine of its own.
	Progress func(Progress)
	Every    time.Duration
}

// Run sends the load of a plan, which has been checked, until its duration is
// over or ctx ends, and waits for the last answers.
//
// At most Plan.Workers calls are in flight. When all are busy the next call
// waits; its latency counts from the scheduled time all the same, and the report
// says how many calls began late.
func Run(ctx context.Context, p Plan, o Options) *Report {
	start := time.Now()
	rec := newRecorder(p)
	stop := watch(rec, start, o)
	defer stop()
	dispatch(ctx, p, start, o.Sender, rec)
	return rec.report(time.Since(start))
}

func dispatch(ctx context.Context, p Plan, start time.Time, sender Sender, rec *recorder) {
	free := make(chan struct{}, p.Workers)
	var wg sync.WaitGroup
	defer wg.Wait()
	s := newSchedule(p)
	for c, ok := s.next(); ok; c, ok = s.next() {
		if !sleepUntil(ctx, start.Add(c.At)) {
			return
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			began := time.Since(start)
			rec.began(began - c.At)
			outcome := sender.Send(ctx, c)
			rec.ended(c, outcome, began, time.Since(start))
			<-free
		})
	}
}

// sleepUntil waits for a time; it returns false when ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	left := time.Until(t)
	if left <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, left)
}

// watch reports progress until the returned function is called.
func watch(rec *recorder, start time.Time, o Options) (stop func()) {
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

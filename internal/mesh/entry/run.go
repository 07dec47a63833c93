package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

const (
	// maxAttempts bounds the attempts of one request, whatever their outcomes. A refusal by a
	// guard runs nothing and costs one round trip.
	maxAttempts = 6
	// minQueueTimeout is the wait that is always shorter than the detour to another node.
	minQueueTimeout = 15 * time.Millisecond
	// answerMargin is subtracted from the time that a guard gets, so that its own answer,
	// which reports whether the request has run, arrives before the deadline.
	answerMargin = 40 * time.Millisecond
	// avoidUnreachable is how long a target to which no connection could be opened is avoided,
	// and avoidLeaving one that reported that it accepts no new requests.
	avoidUnreachable = time.Second
	avoidLeaving     = 2 * time.Second
	// assumedRefusalWait is the wait assumed at a target that refused the request without
	// reporting a wait: about half of a typical service time.
	assumedRefusalWait = 40 * time.Millisecond
	// minRemaining is the remaining time below which no further attempt is made.
	minRemaining = 10 * time.Millisecond
)

// run sends the request to targets until one answers or no further attempt is allowed.
func (t *transaction) run(ctx context.Context) (*mesh.Answer, *kind.Error) {
	var last *kind.Error
	for range maxAttempts {
		if ctx.Err() != nil || t.end()-t.entry.Now() < minRemaining {
			break
		}
		c, queueTimeout, refusal := t.next()
		if refusal != nil {
			if last == nil || last.ReportedOutcome() == kind.NotRun {
				last = refusal
			}
			break
		}
		answer, err := t.send(ctx, c, queueTimeout)
		if err == nil && !t.mayRetry(answer) {
			return t.deliverable(answer)
		}
		if err == nil {
			// The backend server itself failed. Without a better answer this one is returned.
			if retried, _ := t.retry(ctx); retried != nil {
				return retried, nil
			}
			return answer, nil
		}
		last = err
		if !t.mayFailOver(err) {
			break
		}
		t.entry.Observer.Hopped(t.service, err.Kind)
	}
	return nil, t.finalError(last)
}

// deliverable returns a backend server's answer, or an error in its place if its status would promise the caller that
// a request which must not run twice has not run. Guards return only answers that don't state that.
func (t *transaction) deliverable(a *mesh.Answer) (*mesh.Answer, *kind.Error) {
	if t.route.Idempotent || !t.entry.Promises(a.Status) {
		return a, nil
	}
	return nil, kind.New(kind.BackendBroken, "the backend server answered with status %d and didn't state that the request was not run", a.Status)
}

// retry sends an idempotent request that a backend server failed to one more target.
func (t *transaction) retry(ctx context.Context) (*mesh.Answer, *kind.Error) {
	c, queueTimeout, refusal := t.next()
	if refusal != nil {
		return nil, refusal
	}
	answer, err := t.send(ctx, c, queueTimeout)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		return nil, nil
	}
	return answer, nil
}

// next returns the best target and how long the request may wait in its queue.
func (t *transaction) next() (candidate, time.Duration, *kind.Error) {
	if refusal := t.checkSuspect(); refusal != nil {
		return candidate{}, 0, refusal
	}
	list := t.candidates()
	if len(list) == 0 {
		return candidate{}, 0, t.noTargetError()
	}
	remaining := t.end() - t.entry.Now() - answerMargin
	shortestWait := slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.wait, b.wait) }).wait
	list = slices.DeleteFunc(list, func(c candidate) bool { return c.wait+c.forecast.ExpectedServiceTime/2 > remaining })
	if len(list) == 0 && t.endsWithProcess() {
		return candidate{}, 0, t.stopError()
	}
	if len(list) == 0 {
		e := kind.New(kind.Overloaded, "the wait at every target is longer than the deadline")
		e.RetryAfter = shortestWait
		return candidate{}, 0, e
	}
	best := list[0]
	if len(list) == 1 || len(t.attempts) >= maxAttempts-1 {
		return best, remaining, nil
	}
	return best, min(t.queueTimeout(best, list[1]), remaining), nil
}

// queueTimeoutSteps is the number of bisection steps by which a queue timeout is found.
const queueTimeoutSteps = 6

// queueTimeout returns how long a request may wait at the best target before the next one
// becomes better: until the wait, with the growing risk of a late answer, exceeds the
// difference of their scores and what the attempt at the best target has cost by then.
func (t *transaction) queueTimeout(best, next candidate) time.Duration {
	margin := max(next.score-best.score, minQueueTimeout) + t.refusalCost(best)
	now := t.entry.Now() + rttTo[best.target.Distance]
	initialPenalty := t.riskPenalty(best.forecast, now)
	low, high := minQueueTimeout, margin
	for range queueTimeoutSteps {
		wait := (low + high) / 2
		if wait+t.riskPenalty(best.forecast, now+wait)-initialPenalty <= margin {
			low = wait
		} else {
			high = wait
		}
	}
	return best.wait + low
}

// refusalCost returns the cost of an attempt that a target refuses: the way there and back, and
// the transfer of the request.
func (t *transaction) refusalCost(c candidate) time.Duration {
	distance := c.target.Distance
	return rttTo[distance] + t.entry.prices.Load().of(distance, len(t.in.Body)+framingBytes)
}

// send sends the request to a target and records the outcome.
func (t *transaction) send(ctx context.Context, c candidate, queueTimeout time.Duration) (*mesh.Answer, *kind.Error) {
	e := t.entry
	start := e.Now()
	_, baseServiceTime := t.stats.expected()
	r := &mesh.Request{
		ID: t.in.ID, Method: t.in.Method, URI: t.in.URI, Host: t.in.Host, Header: t.in.Header.Clone(), Body: t.in.Body,
		Caller: e.Here.Service, Service: t.service, Target: c.target.ID,
		Idempotent: t.route.Idempotent, Priority: t.route.Priority,
		Remaining: t.end() - start - answerMargin/2 - rttTo[c.target.Distance]/2, QueueTimeout: queueTimeout,
		BaseServiceTime: baseServiceTime, ObjectiveRemaining: t.objective - start - rttTo[c.target.Distance],
		Suspected: t.level == suspect.Suspected, Nested: t.nested,
	}
	c.target.Stat.Begin()
	var answer *mesh.Answer
	var err *kind.Error
	if c.target.Distance == place.SameVM {
		answer, err = e.Guard.Run(ctx, r)
	} else {
		answer, err = e.Peers.Run(ctx, c.target.Peer, r)
	}
	took := e.Now() - start
	t.recordAttempt(c, answer, err, took)
	return answer, err
}

// recordAttempt records the outcome of an attempt for this request and for the target.
func (t *transaction) recordAttempt(c candidate, answer *mesh.Answer, err *kind.Error, took time.Duration) {
	now := t.entry.Now()
	a := attempt{target: c.target, took: took, expected: rttTo[c.target.Distance] + c.wait + c.forecast.ExpectedServiceTime + c.forecast.LinkDelay}
	if err == nil {
		t.sent++
		t.recordCalls(answer)
		failed := answer.Status >= http.StatusInternalServerError || t.entry.Promises(answer.Status)
		if !failed {
			t.entry.Observer.Forecast(t.service, a.expected, took)
		}
		c.target.Stat.End(now, failed, true)
		if answer.BaseServiceTime > 0 {
			t.stats.add(len(answer.Body), answer.BaseServiceTime)
		}
		t.attempts = append(t.attempts, a)
		return
	}
	a.kind, a.outcome = err.Kind, err.ReportedOutcome()
	a.proof, a.evidence = err.ProofOfNotRun(), err.Evidence
	t.attempts = append(t.attempts, a)
	if err.ReportedOutcome() != kind.NotRun {
		t.sent++
	}
	t.recordError(c.target, err, now)
}

// recordError records what an error shows about the target.
func (t *transaction) recordError(target *mesh.Target, err *kind.Error, now time.Duration) {
	if errors.Is(err.Cause, context.Canceled) {
		// A caller that disconnects shows nothing about the target.
		target.Stat.End(now, false, false)
		return
	}
	failed, conclusive := false, true
	switch err.Kind {
	case kind.Unreachable:
		failed = true
		target.Stat.Avoid(now + avoidUnreachable)
	case kind.Leaving, kind.NotReady, kind.StaleConfig, kind.StaleAttempt:
		conclusive = false
		target.Stat.Avoid(now + avoidLeaving)
	case kind.Overloaded:
		conclusive = false
		// Repeated refusals add up, so that a guard that reports no wait isn't asked again and
		// again while another target has room.
		t.refusals[target.ID] = max(err.Wait, assumedRefusalWait) + t.refusals[target.ID]
	case kind.BackendDied:
		failed = true
		t.deaths++
		target.Stat.Avoid(now + avoidUnreachable)
	case kind.BackendBroken, kind.OutcomeUnknown:
		failed = true
	case kind.DeadlineUnknown:
		// Only a target that doesn't answer before the deadline has failed; a slow target is
		// recognised by its load report.
		conclusive = now >= t.deadline
		failed = conclusive
	default:
		conclusive = false
	}
	target.Stat.End(now, failed, conclusive)
}

// refusedForLoad reports whether a target refused only for lack of capacity, so that it may be
// asked again.
func refusedForLoad(k kind.Kind) bool { return k == kind.Overloaded }

// mayRetry reports whether an answer is a failure after which another target may be tried. It
// then takes a retry from the budget.
func (t *transaction) mayRetry(a *mesh.Answer) bool {
	if a.Status < http.StatusInternalServerError || !t.route.Idempotent || t.sent >= t.route.MaxTargets {
		return false
	}
	if a.CallsFailed && t.view.OverloadScheduling {
		// The calls of another run would meet the same lack of room.
		return false
	}
	return t.takeRetry()
}

// mayFailOver reports whether the request may be sent to another target after err.
func (t *transaction) mayFailOver(err *kind.Error) bool {
	if !err.MayTryOtherTarget(t.route.Idempotent) || t.sent >= max(t.route.MaxTargets, 1) || t.crashesTooOften() {
		return false
	}
	if err.FromBackend || err.ReportedOutcome() != kind.NotRun {
		// Only requests that reached a backend server count against the retry budget.
		return t.takeRetry()
	}
	return true
}

// finalError returns the error for the caller: the last one, with an unknown outcome if any
// target may have run the request.
func (t *transaction) finalError(last *kind.Error) *kind.Error {
	if last == nil {
		last = kind.New(kind.DeadlineNotRun, "the deadline passed before a target could be tried")
	}
	if t.sent > 0 {
		last.Outcome = kind.Unknown
	}
	if last.ReportedOutcome() == kind.NotRun && last.RetryAfter == 0 {
		last.RetryAfter = t.retryAfter()
	}
	return last
}

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to retry, and
	// retryAfterSpread the longest random time that is added.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterSpread = 200 * time.Millisecond
)

// retryAfter estimates when a target will have room.
func (t *transaction) retryAfter() time.Duration {
	wait := time.Duration(0)
	if list := t.candidates(); len(list) > 0 {
		wait = list[0].wait
	}
	return randomize(max(wait, minRetryAfter))
}

// randomize adds a random time to a wait, so that callers that are refused together don't
// retry together.
func randomize(wait time.Duration) time.Duration { return wait + rand.N(retryAfterSpread) }

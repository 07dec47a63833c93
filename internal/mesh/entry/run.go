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
)

const (
	// maxOffers bounds the guards one request is offered to, whatever they say. A
	// refusal of a guard runs nothing and takes a round trip.
	maxOffers = 6
	// minPatience is the wait that is never worth a hop to another node.
	minPatience = 15 * time.Millisecond
	// answerMargin is kept off the time that a guard is given, so that its own
	// answer, which knows whether the request has run, comes before the deadline.
	answerMargin = 40 * time.Millisecond
	// avoidUnreachable is how long a target is passed over that no connection could
	// be opened to; avoidLeaving one that said it takes no more.
	avoidUnreachable = time.Second
	avoidLeaving     = 2 * time.Second
	// leastRefused is the wait assumed at a target that refused without telling one:
	// about half of what a slot is usually held for.
	leastRefused = 40 * time.Millisecond
	// leastLeft is the time under which a request isn't offered any more.
	leastLeft = 10 * time.Millisecond
)

// run offers the request to targets until one answers or nothing more may be tried.
func (t *trip) run(ctx context.Context) (*mesh.Answer, *kind.Error) {
	var last *kind.Error
	for range maxOffers {
		if ctx.Err() != nil || t.deadline-t.entry.Now() < leastLeft {
			break
		}
		c, patience, refusal := t.next()
		if refusal != nil {
			if last == nil || last.Said() == kind.NotRun {
				last = refusal
			}
			break
		}
		answer, err := t.offer(ctx, c, patience)
		if err == nil && !t.repeatable(answer) {
			return answer, nil
		}
		if err == nil {
			// A failure of the backend server's own: if nothing better comes, it stands.
			if again, _ := t.again(ctx); again != nil {
				return again, nil
			}
			return answer, nil
		}
		last = err
		if !t.mayGoOn(err) {
			break
		}
		t.entry.Observer.Hopped(t.service, err.Kind)
	}
	return nil, t.conclude(last)
}

// again offers an idempotent request that a backend server failed once more.
func (t *trip) again(ctx context.Context) (*mesh.Answer, *kind.Error) {
	c, patience, refusal := t.next()
	if refusal != nil {
		return nil, refusal
	}
	answer, err := t.offer(ctx, c, patience)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		return nil, nil
	}
	return answer, nil
}

// next gives the best target and how long the request may wait there.
func (t *trip) next() (candidate, time.Duration, *kind.Error) {
	list := t.candidates()
	if len(list) == 0 {
		return candidate{}, 0, kind.New(kind.NoTarget, "no target can take the request")
	}
	left := t.deadline - t.entry.Now() - answerMargin
	soonest := slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.wait, b.wait) }).wait
	list = slices.DeleteFunc(list, func(c candidate) bool { return c.wait+c.forecast.Work/2 > left })
	if len(list) == 0 {
		e := kind.New(kind.Overloaded, "the wait at every target is longer than the deadline")
		e.RetryAfter = soonest
		return candidate{}, 0, e
	}
	best := list[0]
	if len(list) == 1 || len(t.offers) >= maxOffers-1 {
		return best, left, nil
	}
	return best, min(t.patience(best, list[1]), left), nil
}

// patienceSteps is how often the span of a patience is halved to find it.
const patienceSteps = 6

// patience gives how long a request may wait at the best target before the next one is the
// better: for as long as that costs more, the chance counted that the wait makes the
// answer late.
func (t *trip) patience(best, next candidate) time.Duration {
	margin := max(next.cost-best.cost, minPatience)
	now := t.entry.Now() + wayTo[best.target.Distance]
	risk := t.risk(best.forecast, now)
	least, most := minPatience, margin
	for range patienceSteps {
		wait := (least + most) / 2
		if wait+t.risk(best.forecast, now+wait)-risk <= margin {
			least = wait
		} else {
			most = wait
		}
	}
	return best.wait + least
}

// offer sends the request to a target and takes what comes as evidence.
func (t *trip) offer(ctx context.Context, c candidate, patience time.Duration) (*mesh.Answer, *kind.Error) {
	e := t.entry
	start := e.Now()
	_, work := t.stat.expect()
	r := &mesh.Request{
		ID: t.in.ID, Method: t.in.Method, URI: t.in.URI, Host: t.in.Host, Header: t.in.Header.Clone(), Body: t.in.Body,
		Caller: e.Here.Service, Service: t.service, Target: c.target.ID,
		Idempotent: t.route.Idempotent, Priority: t.route.Priority,
		Left: t.deadline - start - answerMargin/2 - wayTo[c.target.Distance]/2, Patience: patience,
		Work: work, AimLeft: t.aim - start - wayTo[c.target.Distance],
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
	t.note(c, answer, err, took)
	return answer, err
}

// note takes the outcome of an offer as evidence about the target.
func (t *trip) note(c candidate, answer *mesh.Answer, err *kind.Error, took time.Duration) {
	now := t.entry.Now()
	o := offer{target: c.target, took: took, expected: wayTo[c.target.Distance] + c.wait + c.forecast.Work}
	if err == nil {
		t.sent++
		failed := answer.Status >= http.StatusInternalServerError
		if !failed {
			t.entry.Observer.Forecast(t.service, o.expected, took)
		}
		c.target.Stat.End(now, failed, true)
		if answer.Work > 0 {
			t.stat.learn(len(answer.Body), answer.Work)
		}
		t.offers = append(t.offers, o)
		return
	}
	o.kind = err.Kind
	t.offers = append(t.offers, o)
	if err.Said() != kind.NotRun {
		t.sent++
	}
	t.blame(c.target, err, now)
}

// blame decides what an error says of the target.
func (t *trip) blame(target *mesh.Target, err *kind.Error, now time.Duration) {
	if errors.Is(err.Cause, context.Canceled) {
		// That the caller left says nothing about the target.
		target.Stat.End(now, false, false)
		return
	}
	failed, telling := false, true
	switch err.Kind {
	case kind.Unreachable:
		failed = true
		target.Stat.Avoid(now + avoidUnreachable)
	case kind.Leaving, kind.NotReady, kind.StaleConfig, kind.StaleAttempt:
		telling = false
		target.Stat.Avoid(now + avoidLeaving)
	case kind.Overloaded:
		telling = false
		// Refused again it counts double, so that a guard which tells no wait isn't
		// asked over and over while another has room.
		t.refusals[target.ID] = max(err.Wait, leastRefused) + t.refusals[target.ID]
	case kind.BackendBroken, kind.OutcomeUnknown:
		failed = true
	case kind.DeadlineUnknown:
		// Late is a failure only of one that never answers; a slow one shows in its load.
		telling = now >= t.deadline
		failed = telling
	default:
		telling = false
	}
	target.Stat.End(now, failed, telling)
}

// refusedBusy says whether a target only had no room, so that it may be asked again.
func refusedBusy(k kind.Kind) bool { return k == kind.Overloaded }

// repeatable says whether an answer is a failure that another target may mend.
func (t *trip) repeatable(a *mesh.Answer) bool {
	if a.Status < http.StatusInternalServerError || !t.route.Idempotent || t.sent >= t.route.MaxTargets {
		return false
	}
	return t.entry.repeats(t.service).Repeat(t.entry.Now())
}

// mayGoOn says whether the request may be offered to another target after err.
func (t *trip) mayGoOn(err *kind.Error) bool {
	if !err.MayMove(t.route.Idempotent) || t.sent >= max(t.route.MaxTargets, 1) {
		return false
	}
	if err.FromBackend || err.Said() != kind.NotRun {
		// Only what reached a backend server counts as a repeat there.
		return t.entry.repeats(t.service).Repeat(t.entry.Now())
	}
	return true
}

// conclude gives the final answer: the last trouble, weakened to unknown when
// any target may have run the request.
func (t *trip) conclude(last *kind.Error) *kind.Error {
	if last == nil {
		last = kind.New(kind.DeadlineNotRun, "the deadline passed before a target could be asked")
	}
	if t.sent > 0 {
		last.Outcome = kind.Unknown
	}
	if last.Said() == kind.NotRun && last.RetryAfter == 0 {
		last.RetryAfter = t.comeBack()
	}
	return last
}

const (
	// comeBackLeast is the shortest time after which a refused caller is asked to
	// come back, and comeBackSpread the most that is added at random.
	comeBackLeast  = 100 * time.Millisecond
	comeBackSpread = 200 * time.Millisecond
)

// comeBack estimates when a target will have room.
func (t *trip) comeBack() time.Duration {
	wait := time.Duration(0)
	if list := t.candidates(); len(list) > 0 {
		wait = list[0].wait
	}
	return spread(max(wait, comeBackLeast))
}

// spread adds a random time to a wait, so that those who are refused together don't
// return together.
func spread(wait time.Duration) time.Duration { return wait + rand.N(comeBackSpread) }

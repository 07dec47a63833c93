package entry

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// resolveInterval is the pause between two queries to a guard.
	resolveInterval = 50 * time.Millisecond
	// unansweredLimit is how long a guard that doesn't answer is queried about an attempt.
	// After that the caller receives the outcome "unknown".
	unansweredLimit = 2 * time.Second
	// refusedLimit is the same for a guard whose VM refuses connections: its process has
	// ended, and its records are lost.
	refusedLimit = 200 * time.Millisecond
)

// sentAttempt identifies an attempt that was sent, and its target.
type sentAttempt struct {
	target   *pick.Target
	id       string
	identity pick.Identity
	// repeatable is true if another copy may be sent under the same id, so that an attempt
	// that hasn't arrived needs no seal.
	repeatable bool
}

// resolve queries the outcome of an attempt whose exchange failed, over new connections, and
// delivers its answer if there is one. It returns at the latest when the only incarnation that
// can know the outcome is gone or unreachable.
func (e *Entry) resolve(ctx context.Context, w http.ResponseWriter, s sentAttempt) *kind.Error {
	e.remote.Drop(s.target.Guard)
	e.counters.Resolved.Add(1)
	p := resolveLimit{since: e.now()}
	for {
		hasReplied, err := e.resolveOnce(ctx, w, s)
		if err == nil || !outcomePending(err) {
			return err
		}
		if hasReplied {
			p.replied(e.now())
		}
		if p.exceeded(e.now(), err.Cause) || ctx.Err() != nil {
			return kind.New(kind.OutcomeUnknown, "the target that may have run the request can't be queried").WithCause(err.Cause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resolveInterval):
		}
	}
}

// outcomePending reports whether the outcome of an attempt is still to be queried: its
// exchange failed, and no guard has reported the outcome.
func outcomePending(err *kind.Error) bool {
	switch err.Kind {
	case kind.OutcomeUnknown:
		return !err.FromGuard
	case kind.BackendBroken:
		// The answer was truncated between two nodes; the guard may have it complete.
		return !err.FromGuard
	}
	return false
}

// resolveOnce sends one query, and collects the answer if the target has one. hasReplied reports
// whether the guard has replied.
func (e *Entry) resolveOnce(ctx context.Context, w http.ResponseWriter, s sentAttempt) (hasReplied bool, failed *kind.Error) {
	reply, err := e.queryAttempt(ctx, s.target, &wire.Seal{
		Incarnation: s.identity.Incarnation, Attempt: s.id, Tick: s.identity.Tick, AskOnly: s.repeatable,
	})
	if err != nil {
		return false, kind.New(kind.OutcomeUnknown, "the target can't be queried").WithCause(err)
	}
	if s.repeatable && (reply.State == wire.AttemptAbsent || reply.State == wire.AttemptWaiting) {
		return true, kind.New(kind.StaleAttempt, "the request hasn't started at its target")
	}
	switch attempt.NextStep(reply, s.identity.Incarnation) {
	case attempt.RetryElsewhere:
		sealed := kind.New(kind.Sealed, "the request was sealed before it ran")
		sealed.FromGuard = true
		return true, sealed
	case attempt.Collect:
		return true, e.collect(ctx, w, s)
	}
	ended := kind.New(kind.OutcomeUnknown, "the process that may have run the request has ended or has no record of it")
	ended.FromGuard = true
	return true, ended
}

// collect fetches the stored answer of an attempt and delivers it.
func (e *Entry) collect(ctx context.Context, w http.ResponseWriter, s sentAttempt) *kind.Error {
	out, err := http.NewRequest(http.MethodGet, "http://"+s.target.Guard+"/", nil)
	if err != nil {
		return kind.From(err)
	}
	out.Header.Set(headers.Collect, s.id)
	out.Header.Set(headers.Incarnation, formatHex(s.identity.Incarnation))
	resp, failed := e.send(ctx, e.View(), s.target, out)
	if failed != nil {
		// A guard that can't be reached now is no evidence about the attempt.
		if failed.ReportedOutcome() == kind.NotRun && !failed.FromGuard {
			return kind.New(kind.OutcomeUnknown, "the answer can't be collected").WithCause(failed.Cause)
		}
		return failed
	}
	return deliver(w, resp)
}

// queryAttempt sends a query about an attempt to the control port of its target.
func (e *Entry) queryAttempt(ctx context.Context, t *pick.Target, q *wire.Seal) (*wire.Sealed, error) {
	if v := e.View(); v != nil && v.Local(t) {
		return e.seal(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	m, err := e.peers.CallNew(ctx, t.Control, q)
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*wire.Sealed)
	if !ok {
		return nil, kind.New(kind.OutcomeUnknown, "the target sent an unexpected type of answer")
	}
	return reply, nil
}

// resolveLimit bounds how long a guard that doesn't answer is queried.
type resolveLimit struct {
	since   time.Duration
	refused int
	replies int
}

const (
	// maxRefused is how many refused connections show that a process has ended.
	maxRefused = 3
	// maxReplies bounds the queries to a guard that replies, if each time its answer is
	// truncated while it is collected.
	maxReplies = 5
)

// replied restarts the time limit: the guard is reachable, and the request may run for long.
func (p *resolveLimit) replied(now time.Duration) {
	p.since, p.refused = now, 0
	p.replies++
}

func (p *resolveLimit) exceeded(now time.Duration, err error) bool {
	if p.replies >= maxReplies {
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refused++
	}
	if p.refused >= maxRefused && now-p.since >= refusedLimit {
		return true
	}
	return now-p.since >= unansweredLimit
}

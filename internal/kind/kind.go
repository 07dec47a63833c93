// Package kind defines the error kinds of the system and the table that maps
// each kind to the HTTP response sent to the caller.
package kind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind identifies why the system itself, and not a backend server, answered a request.
type Kind string

// All error kinds. A new kind needs a row in the answers table below.
const (
	// BadRequest is a malformed request; it was not sent to any backend server.
	BadRequest Kind = "bad-request"
	// UnknownService is a request for a service the configuration doesn't declare.
	UnknownService Kind = "unknown-service"
	// NotReady is a node that has not applied a configuration yet.
	NotReady Kind = "not-ready"
	// NoTarget is a service without any target available for the request.
	NoTarget Kind = "no-target"
	// Overloaded is a request refused because its queueing time would exceed the limits.
	Overloaded Kind = "overloaded"
	// OverLimit is a request refused by a limit of its service, team or route class.
	OverLimit Kind = "over-limit"
	// Leaving is a refusal by a backend server that is draining or stopping.
	Leaving Kind = "leaving"
	// DeadlineNotRun is a deadline that expired before the request could run.
	DeadlineNotRun Kind = "deadline-not-run"
	// DeadlineUnknown is a deadline that expired when the request may already have run.
	DeadlineUnknown Kind = "deadline-unknown"
	// StaleAttempt is an attempt for another incarnation of the guard, or one older
	// than the guard's window.
	StaleAttempt Kind = "stale-attempt"
	// StaleConfig is a request routed under a different configuration than the guard's.
	StaleConfig Kind = "stale-config"
	// Sealed is an attempt or an idempotency key that is marked as never to be run.
	Sealed Kind = "sealed"
	// KeyUnknown is an idempotency key whose earlier outcome cannot be determined.
	KeyUnknown Kind = "key-unknown"
	// KeyConflict is an idempotency key that was used before for a different request.
	KeyConflict Kind = "key-conflict"
	// AnswerLost is a completed run whose answer is no longer stored.
	AnswerLost Kind = "answer-lost"
	// Running is an attempt in progress; used between nodes, never sent to callers.
	Running Kind = "running"
	// BackendDied is a backend server whose process exited with the request in flight.
	BackendDied Kind = "backend-died"
	// BackendBroken is a backend server that closed the connection before its answer
	// was complete, or violated the protocol.
	BackendBroken Kind = "backend-broken"
	// Unreachable is a target that could not be connected to; nothing was sent.
	Unreachable Kind = "unreachable"
	// OutcomeUnknown is a failure after sending: the request may or may not have run.
	OutcomeUnknown Kind = "outcome-unknown"
	// Blocked is a request similar to those that crashed backend servers before.
	Blocked Kind = "blocked"
	// TooDeep is a call chain longer than the declared depth.
	TooDeep Kind = "too-deep"
	// WrongFleet is a request to a guard's port that was not sent by a node of its fleet.
	WrongFleet Kind = "wrong-fleet"
	// BodyCut is an upload whose sender stopped before the end of the body.
	BodyCut Kind = "body-cut"
)

// Outcome is what a caller may conclude about whether its request ran.
type Outcome string

// The outcomes that a system answer can carry.
const (
	// NotRun is reported only if it is certain that no backend server ran the
	// request and that none will.
	NotRun Outcome = "not-run"
	// Unknown is reported in all other cases.
	Unknown Outcome = "unknown"
)

// Answer describes the response to a caller for one kind.
type Answer struct {
	// Status is the HTTP status code (RFC 9110, section 15).
	Status int
	// Outcome is the default outcome; an Error may override it with Unknown.
	Outcome Outcome
	// Retry reports whether a retry by the caller can succeed; if so, Retry-After is sent.
	Retry bool
	// Disposition is whether an entry may retry the request on another target after
	// a target answered with this kind.
	Disposition Disposition
}

// Disposition is whether a request that failed at one target may be sent to another.
type Disposition uint8

// The dispositions.
const (
	// NoRetry is for failures that would be the same at any other target.
	NoRetry Disposition = iota
	// RetryIfIdempotent is for requests that may have run, so that only idempotent
	// ones are sent to another target.
	RetryIfIdempotent
	// RetryElsewhere is for requests that the target refused; any request may be
	// sent to another target.
	RetryElsewhere
	// RetryUncounted is RetryElsewhere for requests that did not reach a backend
	// server; such a retry does not count against the limits on retries. If it did,
	// a service that has just lost half of its backend servers would refuse requests
	// that the other half can serve.
	RetryUncounted
)

var answers = map[Kind]Answer{
	BadRequest:      {http.StatusBadRequest, NotRun, false, NoRetry},
	UnknownService:  {http.StatusNotFound, NotRun, false, NoRetry},
	NotReady:        {http.StatusServiceUnavailable, NotRun, true, RetryUncounted},
	NoTarget:        {http.StatusServiceUnavailable, NotRun, true, NoRetry},
	Overloaded:      {http.StatusServiceUnavailable, NotRun, true, RetryElsewhere},
	OverLimit:       {http.StatusTooManyRequests, NotRun, true, NoRetry},
	Leaving:         {http.StatusServiceUnavailable, NotRun, true, RetryUncounted},
	DeadlineNotRun:  {http.StatusGatewayTimeout, NotRun, true, NoRetry},
	DeadlineUnknown: {http.StatusGatewayTimeout, Unknown, true, NoRetry},
	StaleAttempt:    {http.StatusServiceUnavailable, NotRun, true, RetryUncounted},
	StaleConfig:     {http.StatusServiceUnavailable, NotRun, true, RetryUncounted},
	Sealed:          {http.StatusServiceUnavailable, NotRun, true, RetryElsewhere},
	KeyUnknown:      {http.StatusServiceUnavailable, Unknown, true, NoRetry},
	KeyConflict:     {http.StatusUnprocessableEntity, Unknown, false, NoRetry},
	AnswerLost:      {http.StatusBadGateway, Unknown, false, NoRetry},
	Running:         {http.StatusAccepted, Unknown, true, NoRetry},
	BackendDied:     {http.StatusBadGateway, Unknown, true, RetryIfIdempotent},
	BackendBroken:   {http.StatusBadGateway, Unknown, true, RetryIfIdempotent},
	Unreachable:     {http.StatusServiceUnavailable, NotRun, true, RetryUncounted},
	OutcomeUnknown:  {http.StatusBadGateway, Unknown, true, RetryIfIdempotent},
	Blocked:         {http.StatusServiceUnavailable, Unknown, true, NoRetry},
	TooDeep:         {http.StatusLoopDetected, NotRun, false, NoRetry},
	WrongFleet:      {http.StatusMisdirectedRequest, NotRun, true, RetryElsewhere},
	BodyCut:         {http.StatusBadRequest, Unknown, false, NoRetry},
}

// AnswerOf returns the answer for k; ok is false if k is not a known kind.
func AnswerOf(k Kind) (a Answer, ok bool) {
	a, ok = answers[k]
	return a, ok
}

// All returns every kind, in no particular order.
func All() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is a failure of a request, with what the caller is sent about it.
type Error struct {
	Kind Kind
	// Message is sent to the caller; it describes the failure in one line.
	Message string
	// Outcome overrides the default outcome of the kind if it is not empty.
	Outcome Outcome
	// RetryAfter is when the caller should retry; zero means the default.
	RetryAfter time.Duration
	// Wait is how long the request would have queued at the target that refused it;
	// zero means unknown.
	Wait time.Duration
	// Death identifies the crash of a backend server that caused this error; 0 means none.
	Death uint64
	// Alone reports whether the request was the only one in flight at that crash.
	Alone bool
	// DeathUncertain reports whether only the request's own exchange broke off, so that the backend
	// server may have gone on.
	DeathUncertain bool
	// FromGuard reports whether the error was sent by the target's guard rather than
	// detected by the entry.
	FromGuard bool
	// FromBackend reports whether the backend server itself refused the request: it
	// received the request but didn't run it.
	FromBackend bool
	// Proof is what shows that the request has not run; empty means Unsent. It is logged and counted, as is
	// Evidence, which says what the proof was taken from.
	Proof    Proof
	Evidence string
	// Cause is logged only and never sent to callers.
	Cause error
}

// New returns an Error of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the message in one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ReportedOutcome returns the outcome that is reported to the caller.
func (e *Error) ReportedOutcome() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return answers[e.Kind].Outcome
}

// MayTryOtherTarget reports whether a request may be sent to another target after e.
func (e *Error) MayTryOtherTarget(idempotent bool) bool {
	next := answers[e.Kind].Disposition
	return next == RetryElsewhere || next == RetryUncounted || next == RetryIfIdempotent && idempotent
}

// RetryIsUncounted reports whether a retry after e does not count against the
// limits on retries, because the request did not reach a backend server.
func (e *Error) RetryIsUncounted() bool { return answers[e.Kind].Disposition == RetryUncounted }

// WithCause sets the cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// From returns the Error in err's chain. Any other error becomes OutcomeUnknown,
// because it does not prove that the request didn't run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(OutcomeUnknown, "the request failed with an unexpected error").WithCause(err)
}

// maxClippedBytes is how much of a caller's text a message quotes.
const maxClippedBytes = 64

// Clip truncates a text sent by a caller so that a message can quote it.
func Clip(s string) string {
	if len(s) > maxClippedBytes {
		return s[:maxClippedBytes] + "..."
	}
	return s
}

// Package kind holds the closed list of error kinds of the system and the one
// table that turns a kind into the answer a caller gets.
package kind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind names one way in which the system itself answers a request.
type Kind string

// The closed list of kinds. A new kind needs a row in the table below.
const (
	// BadRequest is a request that is malformed and that no server was asked to run.
	BadRequest Kind = "bad-request"
	// UnknownService is a request for a service the configuration doesn't declare.
	UnknownService Kind = "unknown-service"
	// NotReady is a node that has no configuration in force yet.
	NotReady Kind = "not-ready"
	// NoTarget is a service with no target that could take the request.
	NoTarget Kind = "no-target"
	// Overloaded is a request refused because its wait would not fit the limits.
	Overloaded Kind = "overloaded"
	// OverLimit is a request refused by a limit of its service, team or route class.
	OverLimit Kind = "over-limit"
	// Leaving is a refusal by a backend server that is draining or stopping.
	Leaving Kind = "leaving"
	// DeadlineNotRun is a deadline that passed before the request could run.
	DeadlineNotRun Kind = "deadline-not-run"
	// DeadlineUnknown is a deadline that passed while the request may have run.
	DeadlineUnknown Kind = "deadline-unknown"
	// StaleAttempt is an attempt for another incarnation or from before the guard's window.
	StaleAttempt Kind = "stale-attempt"
	// StaleConfig is a request routed under a configuration other than the guard's.
	StaleConfig Kind = "stale-config"
	// Sealed is an attempt, or an idempotency key, that was sealed and will never run.
	Sealed Kind = "sealed"
	// KeyUnknown is an idempotency key whose earlier fate nobody can tell.
	KeyUnknown Kind = "key-unknown"
	// KeyConflict is an idempotency key that was used before with another request.
	KeyConflict Kind = "key-conflict"
	// AnswerLost is a run that is done but whose answer is no longer kept.
	AnswerLost Kind = "answer-lost"
	// Running is an attempt that runs now; used between nodes, never shown to callers.
	Running Kind = "running"
	// BackendDied is a backend server whose process ended with the request in flight.
	BackendDied Kind = "backend-died"
	// BackendBroken is a backend server that broke off the exchange or broke its protocol.
	BackendBroken Kind = "backend-broken"
	// Unreachable is a target that could not be reached at all; nothing was sent.
	Unreachable Kind = "unreachable"
	// OutcomeUnknown is trouble after sending: the request may or may not have run.
	OutcomeUnknown Kind = "outcome-unknown"
	// Blocked is a request like those that crashed backend servers before.
	Blocked Kind = "blocked"
	// TooDeep is a call chain longer than the declared depth.
	TooDeep Kind = "too-deep"
	// WrongFleet is a request at a guard's port that no node of the fleet sent.
	WrongFleet Kind = "wrong-fleet"
	// BodyCut is an upload whose sender stopped before its end.
	BodyCut Kind = "body-cut"
)

// Outcome says what a caller may conclude about its request.
type Outcome string

// The outcomes that a system answer can carry.
const (
	// NotRun is said only on proof: no backend server ran the request and none will.
	NotRun Outcome = "not-run"
	// Unknown is said wherever proof is missing.
	Unknown Outcome = "unknown"
)

// Answer is one row of the table: what a caller sees for a kind.
type Answer struct {
	// Status is the HTTP status code (RFC 9110, section 15).
	Status int
	// Outcome is the default outcome; an Error may weaken it to Unknown.
	Outcome Outcome
	// Retry says whether asking again can help, and so whether Retry-After is sent.
	Retry bool
	// Next is what an entry may do with the request after this answer of a target.
	Next Next
}

// Next is what may be done with a request that a target didn't answer well.
type Next uint8

// What may be done.
const (
	// Stop: no other target would say otherwise.
	Stop Next = iota
	// Repeat: it may have run, so only an idempotent request goes to another target.
	Repeat
	// Elsewhere: the target refused it, and it may go to another one.
	Elsewhere
	// Free: as Elsewhere, and as no backend server was asked it costs nothing of
	// what bounds such moves. A service of which half the backend servers have just
	// died would otherwise refuse requests that the other half can serve.
	Free
)

var table = map[Kind]Answer{
	BadRequest:      {http.StatusBadRequest, NotRun, false, Stop},
	UnknownService:  {http.StatusNotFound, NotRun, false, Stop},
	NotReady:        {http.StatusServiceUnavailable, NotRun, true, Free},
	NoTarget:        {http.StatusServiceUnavailable, NotRun, true, Stop},
	Overloaded:      {http.StatusServiceUnavailable, NotRun, true, Elsewhere},
	OverLimit:       {http.StatusTooManyRequests, NotRun, true, Stop},
	Leaving:         {http.StatusServiceUnavailable, NotRun, true, Free},
	DeadlineNotRun:  {http.StatusGatewayTimeout, NotRun, true, Stop},
	DeadlineUnknown: {http.StatusGatewayTimeout, Unknown, true, Stop},
	StaleAttempt:    {http.StatusServiceUnavailable, NotRun, true, Free},
	StaleConfig:     {http.StatusServiceUnavailable, NotRun, true, Free},
	Sealed:          {http.StatusServiceUnavailable, NotRun, true, Elsewhere},
	KeyUnknown:      {http.StatusServiceUnavailable, Unknown, true, Stop},
	KeyConflict:     {http.StatusUnprocessableEntity, Unknown, false, Stop},
	AnswerLost:      {http.StatusBadGateway, Unknown, false, Stop},
	Running:         {http.StatusAccepted, Unknown, true, Stop},
	BackendDied:     {http.StatusBadGateway, Unknown, true, Repeat},
	BackendBroken:   {http.StatusBadGateway, Unknown, true, Repeat},
	Unreachable:     {http.StatusServiceUnavailable, NotRun, true, Free},
	OutcomeUnknown:  {http.StatusBadGateway, Unknown, true, Repeat},
	Blocked:         {http.StatusServiceUnavailable, Unknown, true, Stop},
	TooDeep:         {http.StatusLoopDetected, NotRun, false, Stop},
	WrongFleet:      {http.StatusMisdirectedRequest, NotRun, true, Elsewhere},
	BodyCut:         {http.StatusBadRequest, Unknown, false, Stop},
}

// AnswerOf returns the table's row for k; ok is false for a kind not listed.
func AnswerOf(k Kind) (a Answer, ok bool) {
	a, ok = table[k]
	return a, ok
}

// All returns every kind of the closed list, in no particular order.
func All() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an answer of the system on its way to the caller.
type Error struct {
	Kind Kind
	// Message is shown to the caller; it names what was wrong in one line.
	Message string
	// Outcome overrides the table's outcome when it isn't empty.
	Outcome Outcome
	// RetryAfter is the hint for the caller; zero means the default.
	RetryAfter time.Duration
	// Wait is how long the request would have waited where it was refused; zero is
	// not known.
	Wait time.Duration
	// Death names the death of a backend server that this tells of; 0 is none.
	Death uint64
	// Alone says that the request was the only one in flight at that death.
	Alone bool
	// FromGuard says that the target's guard told it, and not the entry itself.
	FromGuard bool
	// FromBackend says that the backend server itself refused: the request arrived
	// there, though it didn't run.
	FromBackend bool
	// Cause is for logs only and never shown to callers.
	Cause error
}

// New returns an Error of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Error gives the kind and the message in one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Said returns the outcome that the caller is told.
func (e *Error) Said() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return table[e.Kind].Outcome
}

// MayMove says whether a request may go to another target after e.
func (e *Error) MayMove(idempotent bool) bool {
	next := table[e.Kind].Next
	return next == Elsewhere || next == Free || next == Repeat && idempotent
}

// Free says that e cost no backend server anything.
func (e *Error) Free() bool { return table[e.Kind].Next == Free }

// Because sets the cause and returns e.
func (e *Error) Because(err error) *Error {
	e.Cause = err
	return e
}

// From finds the Error in err's chain; anything else becomes OutcomeUnknown,
// because an error nobody foresaw proves nothing.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(OutcomeUnknown, "the request failed in an unforeseen way").Because(err)
}

// clipAt is the longest text of a caller's that a message repeats, in bytes.
const clipAt = 64

// Clip shortens a text that a caller sent for use in a message.
func Clip(s string) string {
	if len(s) > clipAt {
		return s[:clipAt] + "..."
	}
	return s
}

package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Request is a complete request of a caller on its way to a backend server.
type Request struct {
	// ID is the caller's own id of this attempt.
	ID string
	// Method, URI and Host are byte for byte as the caller sent them.
	Method, URI, Host string
	// Header has neither hop-by-hop headers nor headers that the system sets itself.
	Header http.Header
	Body   []byte
	// Caller is the service beside the node that accepted the request.
	Caller string
	// Service and Target are the service and the target that shall run the request.
	Service, Target string
	Idempotent      bool
	Priority        int
	// Remaining is the time until the caller's deadline, as of sending.
	Remaining time.Duration
	// QueueTimeout is the longest time that the request may wait before it is sent to the
	// backend server.
	QueueTimeout time.Duration
	// ObjectiveRemaining is the time until the route's latency objective passes, as of
	// sending; it is negative if the request is late already.
	ObjectiveRemaining time.Duration
	// BaseServiceTime is how long requests of this route take at the service's backend servers
	// without queueing and interference; 0 means that the sender does not know it.
	BaseServiceTime time.Duration
	// Suspected is true if the sender knows that the request may crash the backend server.
	Suspected bool
	// Nested is true if the sender takes the request for a call that a running request makes.
	Nested bool
	// Confirm asks the entry whether the request may still run, right before it is sent to the
	// backend server; an error means that it must not be sent. It is nil if no confirmation is
	// needed.
	Confirm func(ctx context.Context) error
}

// Fingerprint identifies the request among its sendings.
func (r *Request) Fingerprint() uint64 {
	return suspect.Identity{Service: r.Service, Caller: r.Caller, Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}.Fingerprint()
}

// ErrCallerLeft is the cause (context.Cause) of the end of a request's context if the caller closed
// its connection. If the node stops, the cause is stopping.Err.
var ErrCallerLeft = eris.New("the caller left")

// BlockedError returns the refusal of a request whose sendings have crashed backend servers, for as
// long as it stays blocked. This sending has not run.
func BlockedError(blockedFor time.Duration) *kind.Error {
	e := kind.New(kind.Blocked, "requests like this one crashed backend servers")
	e.Outcome = kind.NotRun
	e.RetryAfter = blockedFor
	return e
}

// CancelledError returns the error for a request whose context was cancelled. Its outcome is
// unknown unless the caller knows better.
func CancelledError(ctx context.Context) *kind.Error {
	cause := ErrCallerLeft
	if stopping.Ended(ctx) {
		cause = stopping.Err
	}
	return kind.New(kind.OutcomeUnknown, "%s", cause.Error()).WithCause(ctx.Err())
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Conn is the node's address of the connection to the backend server, of answers with an error status.
	Conn string
	// BaseServiceTime is how long requests of this route usually take at the backend server
	// without queueing and interference: the time in the queue is not included, and slowdowns
	// are factored out. 0 means unknown.
	BaseServiceTime time.Duration
	// Calls are those that the backend server has made for the request, as far as is known.
	Calls Calls
	// CallsFailed is true if calls that it has made failed for lack of room or time.
	CallsFailed bool
	// Callee is a service that runs of the request's route certainly call, or empty.
	Callee string
}

// Load is the load of a backend server, as counted by the guard beside it.
type Load struct {
	// Running and Waiting count requests. Waiting excludes requests that are late already, as
	// these run last. Slots is how many requests the guard runs at once.
	Running, Waiting, Slots int
	// ServiceTime is the average time for which a slot is held.
	ServiceTime time.Duration `json:"Service"`
	// Slowdown is the present ratio of service time to base service time. SustainedSlowdown is the part
	// of it that is expected to be sustained, as after a cold start. 0 means no slowdown.
	Slowdown          float64
	SustainedSlowdown float64 `json:"Standing"`
	// RecoversIn is the time until the slowdown is expected to be down to SustainedSlowdown; 0 means
	// that it is down already.
	RecoversIn time.Duration `json:"CalmIn"`
	// RequestInterval is the time between two requests that the backend server takes; 0 means that
	// it names no limit. AcceptsIn is the time until it takes one that is sent now.
	RequestInterval, AcceptsIn time.Duration
	// Leaving is true if the guard accepts no new requests.
	Leaving bool
	// Revision is the latest store revision that the node has seen.
	Revision uint64
	// ReadsStore is true if the node reads the store itself and the store answers.
	ReadsStore bool `json:"Reading"`
	// CallsTo is the service to which the nested calls of the backend server succeed least often,
	// and CallSuccess the share that succeeds; CallsTo is empty if all do.
	CallsTo     string
	CallSuccess float64
	// LinkRate is the rate of the VM's link in bytes per second, and LinkBacklog the time that it
	// needs for the bytes that wait for it. LinkRate is 0 unless the node schedules its link.
	LinkRate    float64
	LinkBacklog time.Duration
}

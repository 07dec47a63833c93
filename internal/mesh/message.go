package mesh

import (
	"context"
	"net/http"
	"time"
)

// Request is one request of a caller, whole, on its way to a backend server.
type Request struct {
	// ID is the caller's own id of this attempt.
	ID string
	// Method, URI and Host are as the caller sent them, byte for byte.
	Method, URI, Host string
	// Header has no headers of a single connection and none that the system sets.
	Header http.Header
	Body   []byte
	// Caller is the service beside the node that took the request.
	Caller string
	// Service and Target are who is to run it.
	Service, Target string
	Idempotent      bool
	Priority        int
	// Left is what is left of the caller's time, as of sending.
	Left time.Duration
	// Patience is how long it may wait before it is sent to the backend server.
	Patience time.Duration
	// AimLeft is the time after which the answer loses most of its worth; below 0 it
	// is late already.
	AimLeft time.Duration
	// Work is how long backend servers of the service take for its like with nothing else to
	// do and no neighbours; 0 is not known to the sender.
	Work time.Duration
	// Confirm asks the entry right before the request is sent to the backend server. An
	// error says that it mustn't be. nil is a request that needn't be confirmed.
	Confirm func(ctx context.Context) error
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Work is how long the backend server usually takes for its like with nothing else to
	// do and no neighbours: without the wait for a slot, and with what slowed it taken out;
	// 0 is not known.
	Work time.Duration
}

// Load is how busy a backend server is, as the guard beside it counts.
type Load struct {
	// Running and Waiting count requests, without those that wait and are late
	// already, as these go last; Slots is how many the guard lets run.
	Running, Waiting, Slots int
	// Service is how long a slot is held on average.
	Service time.Duration
	// Slowdown is how many times as long as usual work takes at the moment, and Standing
	// what of it is expected to stay, as of a start from cold; 0 is none.
	Slowdown, Standing float64
	// CalmIn is when the slowdown is expected to be down to Standing; 0 says that it is.
	CalmIn time.Duration
	// Leaving says that the guard takes no new requests.
	Leaving bool
	// Revision is the newest store revision that the node has seen.
	Revision uint64
	// Reading says that the node reads the store itself, and that it answers.
	Reading bool
}

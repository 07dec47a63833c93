package mesh

// HeaderNames are the names that a platform gives to the headers that callers,
// nodes and backend servers exchange.
type HeaderNames struct {
	// RequestID is the caller's id of one attempt; answers echo it.
	RequestID string
	// TimeoutMs is how many milliseconds the sender waits for the answer.
	TimeoutMs string
	// Signature proves that a backend server made the answer.
	Signature string
	// ExpectedTarget is the id of the target that is meant; another one refuses.
	ExpectedTarget string
	// Load is a backend server's load.
	Load string
	// NotRun marks an answer to a request that the backend server didn't run.
	NotRun string
	// Caller is the service that a request comes from.
	Caller string
	// Target is a backend server's own id in answers to health checks.
	Target string
}

// Dialect is what a platform's callers and backend servers speak on top of HTTP.
type Dialect struct {
	Headers HeaderNames
	// ParseLoad reads the value of the Load header.
	ParseLoad func(value string) (BackendLoad, bool)
	// Status gives the status of an answer that the system makes, by the kind's
	// own status and whether it is certain that the request has not run.
	Status func(status int, notRun bool) int
	// RetryAfter formats how long a caller should wait, in seconds.
	RetryAfter func(seconds float64) string
}

// BackendLoad is what a backend server says of its own load.
type BackendLoad struct {
	// Running and Waiting count its requests; Slots is how many run at once.
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes at the moment; 0 is
	// not told.
	Slowdown float64
}

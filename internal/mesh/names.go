package mesh

// HeaderNames are a platform's names of the headers that callers, nodes and backend servers
// exchange.
type HeaderNames struct {
	// RequestID is the caller's id of one attempt; answers echo it.
	RequestID string
	// TimeoutMs is how many milliseconds the sender waits for the answer.
	TimeoutMs string
	// Signature proves that a backend server produced the answer.
	Signature string
	// ExpectedTarget is the id of the intended target; any other target refuses the request.
	ExpectedTarget string
	// Load is a backend server's load.
	Load string
	// NotRun marks an answer to a request that the backend server didn't run.
	NotRun string
	// Caller is the service that sent the request.
	Caller string
	// Target is a backend server's own id in answers to health checks.
	Target string
	// ColdRemainingMs is for how many milliseconds more a backend server is cold, in answers to
	// health checks; warm ones send none.
	ColdRemainingMs string
	// RequestsPerSecond is how many requests a backend server takes from all callers together;
	// those without a limit send none.
	RequestsPerSecond string
	// Leaving marks answers of a backend server that takes no new requests.
	Leaving string
}

// Dialect is a platform's protocol on top of HTTP, as spoken by callers and backend servers.
type Dialect struct {
	Headers HeaderNames
	// ParseLoad parses the value of the Load header.
	ParseLoad func(value string) (BackendLoad, bool)
	// Status returns the status code of an answer that the system itself generates, given the
	// kind's default status and whether the request certainly has not run.
	Status func(status int, notRun bool) int
	// Promises reports whether callers take a status for a promise that the request has not run and never will.
	Promises func(status int) bool
	// RetryAfter formats the time after which a caller should retry, in seconds.
	RetryAfter func(seconds float64) string
}

// BackendLoad is the load that a backend server reports.
type BackendLoad struct {
	// Running and Waiting count its requests; Slots is how many run at once.
	Running, Waiting, Slots int
	// Slowdown is the present ratio of service time to base service time; 0 means that it is
	// not reported.
	Slowdown float64
}

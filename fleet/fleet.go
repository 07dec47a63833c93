// Package fleet lets operators declare a deployment in Go: regions, availability
// zones, teams, services, their targets and their routes. A declaration is checked
// as a whole and printed as configuration documents, which operators review,
// version and publish with their own tools. The same declaration always yields the
// same bytes.
//
// Values of this package are plain data and aren't safe for concurrent use.
package fleet

import "time"

// Fleet is the declaration of a whole deployment.
type Fleet struct {
	// Name is the name of the deployment; nodes of another fleet are refused.
	Name string
	// Revision orders configurations: nodes apply only a higher one.
	Revision uint64
	// Ports are the ports that every node listens on, at its VM's IP.
	Ports Ports
	// Budget limits the traffic for measuring load, per node.
	Budget Budget
	// Regions are the names of the regions. If set, a region without zones and a zone
	// of an unlisted region are errors; empty means the regions of the zones.
	Regions []string
	Zones   []Zone
	Teams   []Team
	// Services are the services with their routes and targets.
	Services []Service
}

// Ports are the ports that nodes use to communicate with each other.
type Ports struct {
	Guard, Control int
}

// Budget limits the traffic for measuring load, per node and second. The zero value
// means the defaults; a budget in which only some fields are zero is refused.
type Budget struct {
	// Requests is the maximum number of measuring requests per second.
	Requests int
	// Bytes is the maximum measuring traffic sent, in bytes per second.
	Bytes int
	// CrossRegionBytes is the part of Bytes that may be sent to other regions.
	CrossRegionBytes int
}

// Zone is an availability zone.
type Zone struct {
	Name, Region string
}

// Team owns services; its limits apply to all of them together.
type Team struct {
	Name string
	// InFlight limits the team's requests in flight at each node; 0 means no limit.
	InFlight int
}

// Service is a set of targets that serve the same requests. Zero values of Policy,
// Timeout, MaxTimeout, Hops, RetryPercent, Queue, QueueOrder, Drain and KeyLifetime
// mean the defaults.
type Service struct {
	Name string
	// Hosts are the Host values that select the service, in addition to its name.
	Hosts []string
	Team  string
	// Policy is how an entry selects a target; empty means DefaultPolicy.
	Policy string
	// Timeout is the deadline of a request that does not set one.
	Timeout time.Duration
	// MaxTimeout is the maximum deadline that callers may set.
	MaxTimeout time.Duration
	// Hops is the maximum number of targets that one request may be sent to.
	Hops int
	// RetryPercent is the retry budget as a share of requests, in percent.
	RetryPercent int
	// HedgePercent limits hedged requests, as a share of requests in percent: an
	// idempotent request that takes longer than 95 of 100 recent ones is also sent to
	// a second target, and the first answer is used. 0 disables hedging. It must be 0
	// if idempotent requests call other services, since the copy would repeat those
	// calls too.
	HedgePercent int
	// Queue is the maximum number of requests queued at each target.
	Queue int
	// QueueOrder is the order in which queued requests run; empty means
	// DefaultQueueOrder.
	QueueOrder string
	// Adaptive reduces the concurrency of a target below its slots while its backend
	// server is slower than usual. It must be off if requests call other services,
	// because the time spent waiting for those would be taken for slowness.
	Adaptive bool
	// NoRefusal makes targets queue requests that they would otherwise refuse. It is
	// for comparison measurements only: without refusal, a request's queueing time is
	// limited only by its deadline.
	NoRefusal bool
	// InFlight limits the service's requests in flight at each node; 0 means no limit.
	InFlight int
	// Drain is how long a stopping node of the service waits for requests in flight.
	// The stop limit in the node's settings applies if it is shorter.
	Drain time.Duration
	// KeyLifetime is how long a caller may reuse an idempotency key that it chose
	// itself to retry a request.
	KeyLifetime time.Duration
	Routes      []Route
	Targets     []Target
}

// Route defines how some of a service's requests are handled. The first matching
// route applies; a request that matches no route runs at most once.
type Route struct {
	Name string
	// Methods are the methods that the route matches; empty means every method.
	Methods []string
	// Path is an exact path, or a prefix if it ends in "*".
	Path string
	// Idempotent allows requests to run more than once. Otherwise they run at most once.
	Idempotent bool
	// Retries is how many other targets an idempotent request may be sent to; 0 means
	// one less than the service's Hops. It must be 0 if requests run at most once:
	// those are sent to another target only after proof that they were not run.
	Retries int
	// Class is the priority under overload, from 0 to 9: a higher class is refused later.
	Class int
	// InFlight limits the route's requests in flight at each node; 0 means no limit.
	InFlight int
}

// Target is the declaration of a backend server: its VM and its capacity.
type Target struct {
	VM, Zone string
	// Slots is how many requests the backend server runs concurrently.
	Slots int
	// Connections is how many connections the backend server accepts.
	Connections int
}

// The policies for target selection.
const (
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
	PolicyTwoChoices = "two-choices"
	PolicyTwoLoad    = "two-choices-load"
	PolicyLeastLoad  = "least-load"
	PolicyIdleHints  = "idle-hints"
	PolicyProbe      = "probe"

	// DefaultPolicy is used if a service sets none. docs/design/routing.md compares
	// the policies.
	DefaultPolicy = PolicyLeastLoad
)

// The orders in which requests queued at a target run.
const (
	OrderFIFO = "fifo"
	// OrderLIFO is first in, first out until the queue has been non-empty for some
	// time, then last in, first out.
	OrderLIFO     = "lifo"
	OrderDeadline = "deadline"

	// DefaultQueueOrder is used if a service sets none.
	DefaultQueueOrder = OrderFIFO
)

// Defaults for fields that a declaration leaves at zero.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultMaxTimeout   = 10 * time.Minute
	DefaultHops         = 3
	DefaultRetryPercent = 10
	DefaultQueue        = 16
	DefaultDrain        = 60 * time.Second
	DefaultKeyLifetime  = 10 * time.Minute
	DefaultConnections  = 200
	DefaultGuardPort    = 7200
	DefaultControlPort  = 7300
	DefaultRequests     = 20
	DefaultBytes        = 1000
	DefaultCrossBytes   = 200
)

// WithDefaults returns a copy in which defaults replace zero values.
func (f Fleet) WithDefaults() Fleet {
	if f.Ports == (Ports{}) {
		f.Ports = Ports{Guard: DefaultGuardPort, Control: DefaultControlPort}
	}
	if f.Budget == (Budget{}) {
		f.Budget = Budget{DefaultRequests, DefaultBytes, DefaultCrossBytes}
	}
	services := make([]Service, len(f.Services))
	for i, s := range f.Services {
		services[i] = s.withDefaults()
	}
	f.Services = services
	return f
}

func (s Service) withDefaults() Service {
	s.Policy = orDefault(s.Policy, DefaultPolicy)
	s.Timeout = orDefault(s.Timeout, DefaultTimeout)
	s.MaxTimeout = orDefault(s.MaxTimeout, DefaultMaxTimeout)
	s.Hops = orDefault(s.Hops, DefaultHops)
	s.RetryPercent = orDefault(s.RetryPercent, DefaultRetryPercent)
	s.Queue = orDefault(s.Queue, DefaultQueue)
	s.QueueOrder = orDefault(s.QueueOrder, DefaultQueueOrder)
	s.Drain = orDefault(s.Drain, DefaultDrain)
	s.KeyLifetime = orDefault(s.KeyLifetime, DefaultKeyLifetime)
	targets := make([]Target, len(s.Targets))
	for i, t := range s.Targets {
		t.Connections = orDefault(t.Connections, DefaultConnections)
		targets[i] = t
	}
	s.Targets = targets
	return s
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Package fleet lets operators declare a deployment in Go: regions,
// availability zones, teams, services, their targets and the rules of their
// routes. A declaration is checked as a whole and printed as configuration
// documents, byte for byte the same for the same declaration, which operators
// review, version and publish by their own means.
//
// Values of this package are plain data. They aren't safe for concurrent use.
package fleet

import "time"

// Fleet is the declaration of a whole deployment.
type Fleet struct {
	// Name is the deployment's name; nodes of another fleet are refused.
	Name string
	// Revision orders configurations: nodes only ever go to a higher one.
	Revision uint64
	// Ports are the ports that every node listens on, next to its VM's IP.
	Ports Ports
	// Budget bounds what measuring load may cost, for each node.
	Budget Budget
	// Regions names the regions, so that one without zones is found; empty
	// means those that the zones name.
	Regions []string
	Zones   []Zone
	Teams   []Team
	// Services are the services with their routes and targets.
	Services []Service
}

// Ports are the ports that nodes use among themselves.
type Ports struct {
	Guard, Control int
}

// Budget bounds the cost of measuring load, for each node and second. The zero
// value means the defaults; a budget with only a part at zero is refused.
type Budget struct {
	// Requests is measuring requests per second.
	Requests int
	// Bytes is bytes per second of all measuring traffic sent.
	Bytes int
	// CrossRegionBytes is the part of Bytes that may cross regions.
	CrossRegionBytes int
}

// Zone is an availability zone.
type Zone struct {
	Name, Region string
}

// Team owns services and has limits of its own.
type Team struct {
	Name string
	// InFlight bounds the team's requests in flight at each node; 0 means no limit.
	InFlight int
}

// Service is a set of targets that answer the same requests. Zero means the
// default for policy, timeouts, hops, retry share, queue, drain and key lifetime.
type Service struct {
	Name string
	// Hosts are Host names that select the service besides its own name.
	Hosts []string
	Team  string
	// Policy is how an entry chooses a target; empty means DefaultPolicy.
	Policy string
	// Timeout is the deadline of a request that brings none.
	Timeout time.Duration
	// MaxTimeout bounds the deadlines that callers may ask for.
	MaxTimeout time.Duration
	// Hops bounds how many targets one request may be offered to.
	Hops int
	// RetryPercent is the retry budget as a share of requests, in percent.
	RetryPercent int
	// HedgePercent bounds hedged requests, as a share of requests in percent: an
	// idempotent request that takes longer than 95 of 100 did lately is sent to a
	// second target as well, and the first answer holds. 0 is none. It must stay 0
	// where idempotent requests call other services: a copy would repeat those calls too.
	HedgePercent int
	// Queue bounds the requests that wait at each target.
	Queue int
	// QueueOrder is who of those that wait runs next; empty means DefaultQueueOrder.
	QueueOrder string
	// Adaptive lets targets run fewer requests at once than their slots while
	// their backend servers are slower than usual. It must stay off where
	// requests call other services: the wait for those looks like slowness.
	Adaptive bool
	// NoRefusal makes targets queue what they would refuse. It exists to measure
	// what refusal is worth; without refusal nothing bounds a request's wait but
	// its deadline.
	NoRefusal bool
	// InFlight bounds the service's requests in flight at each node; 0 means no limit.
	InFlight int
	// Drain bounds how long a node of the service that stops lets requests in
	// flight finish. The node's own stop limit holds when it is shorter.
	Drain time.Duration
	// KeyLifetime is how long a caller may send an idempotency key of its own again.
	KeyLifetime time.Duration
	Routes      []Route
	Targets     []Target
}

// Route is a rule for some of a service's requests. The first route that
// matches holds; a request that no route matches is at most once.
type Route struct {
	Name string
	// Methods the route is for; empty means every method.
	Methods []string
	// Path is an exact path, or a prefix when it ends in "*".
	Path string
	// Idempotent says that requests may be repeated. Otherwise they run at most once.
	Idempotent bool
	// Retries is how many other targets an idempotent request may be offered to;
	// 0 means one less than the service's Hops. A route that runs at most once
	// has none: it goes on only on proof that it was not run.
	Retries int
	// Class orders requests under overload: a higher class is refused later. 0 to 9.
	Class int
	// InFlight bounds the route's requests in flight at each node; 0 means no limit.
	InFlight int
}

// Target is a backend server as declared: the VM it stands on and its capacity.
type Target struct {
	VM, Zone string
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Connections is how many connections the backend server accepts.
	Connections int
}

// The policies that choose a target.
const (
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
	PolicyTwoChoices = "two-choices"
	PolicyTwoLoad    = "two-choices-load"
	PolicyLeastLoad  = "least-load"
	PolicyIdleHints  = "idle-hints"
	PolicyProbe      = "probe"

	// DefaultPolicy is used where a service names none. docs/design/routing.md
	// has the measurement that decided it.
	DefaultPolicy = PolicyLeastLoad
)

// The orders in which requests that wait at a target run.
const (
	OrderFIFO = "fifo"
	// OrderLIFO is first in first out until the queue has stood for a while,
	// then last in first out.
	OrderLIFO     = "lifo"
	OrderDeadline = "deadline"

	// DefaultQueueOrder is used where a service names none.
	DefaultQueueOrder = OrderFIFO
)

// Defaults for what a declaration leaves at zero.
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

// WithDefaults returns a copy in which every default is filled in.
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
	s.Policy = or(s.Policy, DefaultPolicy)
	s.Timeout = or(s.Timeout, DefaultTimeout)
	s.MaxTimeout = or(s.MaxTimeout, DefaultMaxTimeout)
	s.Hops = or(s.Hops, DefaultHops)
	s.RetryPercent = or(s.RetryPercent, DefaultRetryPercent)
	s.Queue = or(s.Queue, DefaultQueue)
	s.QueueOrder = or(s.QueueOrder, DefaultQueueOrder)
	s.Drain = or(s.Drain, DefaultDrain)
	s.KeyLifetime = or(s.KeyLifetime, DefaultKeyLifetime)
	targets := make([]Target, len(s.Targets))
	for i, t := range s.Targets {
		t.Connections = or(t.Connections, DefaultConnections)
		targets[i] = t
	}
	s.Targets = targets
	return s
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

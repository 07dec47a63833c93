// Package mesh declares the types by which a node describes a deployment: routes that are
// matched by host and path prefix, and targets that register themselves. All types are
// immutable once built, except Stat and Splitter.
//
// The subpackages operate on them: directory builds Views, front serves callers' connections,
// entry chooses targets, peer carries requests between nodes, guard admits them to the backend
// server beside it, and exchange sends them to that server.
package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one complete version of the operators' configuration.
type Config struct {
	// Version orders configurations; a higher version replaces a lower one.
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// hosts maps a lower-case host to its routes, longest prefix first.
	hosts map[string][]*Route
	// urgent and bulk are whether a route is urgent or has large answers.
	urgent, bulk bool
}

// Service is the configuration of one service.
type Service struct {
	Name string
	// HealthPath is the path at which its targets report their health and load.
	HealthPath string
	// MaxConnections is how many connections a target accepts from all clients together.
	MaxConnections int
	// ColdPerSecond is how many requests per second a target tolerates while it is cold; 0 means
	// any number.
	ColdPerSecond float64
}

// Limits bound the requests and connections of callers. Zero means unbounded.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of one request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time for sending a request's header, and IdleTimeout the time
	// for which a connection may stay open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route defines which services serve the requests of a host and path prefix, and how.
type Route struct {
	Name, Host, Prefix string
	// Shares are the services that serve the route; most routes have one.
	Shares []Share
	// Idempotent is true if requests may run more than once; others run at most once.
	Idempotent bool
	// Bulk is true if answers are large.
	Bulk bool
	// Timeout is the longest time that a caller waits for an answer. LatencyObjective is the
	// time within which answers should arrive; a later one is of little use to the caller.
	Timeout, LatencyObjective time.Duration
	// MaxTargets is how many targets may run one request of a caller.
	MaxTargets int
	// Priority ranks routes; 0 is the highest priority.
	Priority int
	// AllowedRegions are the regions in which requests may be stored and run; empty means all.
	AllowedRegions []string
	// Splitter divides requests among Shares. It is kept when a new Config replaces this one.
	Splitter *Splitter
}

// objectivePerServiceTime is the assumed ratio of a route's latency objective to the base
// service time of its requests while that time is unknown: operators leave room in an
// objective for queueing and for transient slowdowns.
const objectivePerServiceTime = 3

// AllowsRegion reports whether requests may be stored and run in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// AssumedBaseServiceTime returns the base service time to assume for the route's requests
// until it has been measured, or 0 if it is unknown.
func (r *Route) AssumedBaseServiceTime() time.Duration {
	return r.LatencyObjective / objectivePerServiceTime
}

// Share is a service with the weight of its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// NewConfig returns a Config with the given routes, which it indexes by host and prefix.
func NewConfig(version uint64, services map[string]*Service, routes []*Route, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
		c.urgent = c.urgent || r.Urgent()
		c.bulk = c.bulk || r.Bulk
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route for a request's host, with or without a port, and the longest
// matching prefix of its path. It returns nil if there is none.
func (c *Config) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes, in no particular order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, list := range c.hosts {
		all = append(all, list...)
	}
	return all
}

// LongestTimeout returns the longest timeout of a route.
func (c *Config) LongestTimeout() (longest time.Duration) {
	for _, r := range c.Routes() {
		longest = max(longest, r.Timeout)
	}
	return longest
}

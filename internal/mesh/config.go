// Package mesh holds what a node knows of a deployment whose routes are found by
// host and path prefix, and whose targets register themselves. All types are
// immutable once built, except Stat.
//
// The subpackages act on it: directory builds Views, front speaks to callers,
// entry chooses targets, peer carries requests between nodes, guard admits them
// to the backend server beside it, and exchange speaks to that.
package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one whole version of the operators' configuration.
type Config struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// hosts finds the routes of a host, those with the longest prefix first.
	hosts map[string][]*Route
}

// Service is what operators declare of one service.
type Service struct {
	Name string
	// HealthPath is where its targets tell their health and load.
	HealthPath string
	// MaxConnections is how many connections a target accepts from everybody.
	MaxConnections int
}

// Limits bound what callers may send. Zero means unbounded.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is how long a caller may take to send a request's header, and
	// IdleTimeout how long it may keep a connection without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route says where requests of a host and path prefix go and what holds for them.
type Route struct {
	Name, Host, Prefix string
	// Shares are the services that serve the route; most routes have one.
	Shares []Share
	// Idempotent requests may run more than once, others at most once.
	Idempotent bool
	// Timeout is how long a caller is kept waiting at most, and Aim the time
	// within which an answer is worth most to it.
	Timeout, Aim time.Duration
	// MaxTargets is how many targets may run one request of a caller.
	MaxTargets int
	// Priority ranks routes; 0 goes first.
	Priority int
	// Weights tells how Shares divide requests; it outlives configurations.
	Weights *Weights
}

// aimPerWork is how many times the usual work of its requests the aim of a route is taken
// to be where nothing was measured: operators leave room for a wait and a slow moment.
const aimPerWork = 3

// AssumedWork is how long the route's requests are taken to run on an idle target until
// that has been measured; 0 is not known.
func (r *Route) AssumedWork() time.Duration { return r.Aim / aimPerWork }

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// NewConfig builds a Config over routes, which it orders.
func NewConfig(version uint64, services map[string]*Service, routes []*Route, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, rows := range c.hosts {
		slices.SortStableFunc(rows, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match finds the route of a request by its host, with or without a port, and
// the longest prefix of its path. It returns nil if there is none.
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

// Routes gives every route, in no particular order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, rows := range c.hosts {
		all = append(all, rows...)
	}
	return all
}

package fleet

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

// pathPattern is what a route's path may hold: the characters of URL paths
// (RFC 3986, section 3.3) that INI keeps as they are. A '%' is left out because
// routes are matched against the decoded path.
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~!$&'()+,=:@-]*\*?$`)

// methodPattern is an HTTP method in upper case (RFC 9110, section 9.1).
var methodPattern = regexp.MustCompile(`^[A-Z][A-Z_-]{0,31}$`)

// policies are the names a service's policy may have.
var policies = []string{
	PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyTwoLoad, PolicyLeastLoad, PolicyIdleHints, PolicyProbe,
}

// queueOrders are the names a service's queue order may have.
var queueOrders = []string{OrderFIFO, OrderLIFO, OrderDeadline}

// Check returns Faults with what is wrong in the service by itself, or nil.
func (s Service) Check() error { return s.faults().err() }

func (s Service) faults() Faults {
	var fs Faults
	fs.name("service", s.Name)
	for _, h := range s.Hosts {
		fs.name("service "+s.Name+": host", h)
	}
	s.checkNumbers(&fs)
	s.checkRoutes(&fs)
	s.checkTargets(&fs)
	return fs
}

func (s Service) checkNumbers(fs *Faults) {
	where := "service " + s.Name
	if !slices.Contains(policies, s.Policy) {
		fs.addf("%s: policy %q (allowed: %s)", where, s.Policy, strings.Join(policies, ", "))
	}
	if !slices.Contains(queueOrders, s.QueueOrder) {
		fs.addf("%s: queue-order %q (allowed: %s)", where, s.QueueOrder, strings.Join(queueOrders, ", "))
	}
	within(fs, where, "max-timeout", s.MaxTimeout, time.Millisecond, maxTimeout)
	within(fs, where, "timeout", s.Timeout, time.Millisecond, max(s.MaxTimeout, time.Millisecond))
	within(fs, where, "key-lifetime", s.KeyLifetime, time.Second, maxKeyLifetime)
	within(fs, where, "hops", s.Hops, 1, maxHops)
	within(fs, where, "retry-percent", s.RetryPercent, 0, 100)
	within(fs, where, "hedge-percent", s.HedgePercent, 0, 100)
	within(fs, where, "queue", s.Queue, 0, maxQueue)
	within(fs, where, "in-flight", s.InFlight, 0, maxInFlight)
	// A document without a drain time leaves it to the node's settings.
	within(fs, where, "drain", s.Drain, 0, maxDrain)
}

func (s Service) checkRoutes(fs *Faults) {
	names := make([]string, 0, len(s.Routes))
	for i, r := range s.Routes {
		where := "service " + s.Name + ": route " + r.Name
		names = append(names, r.Name)
		fs.name("service "+s.Name+": route", r.Name)
		r.check(fs, where)
		for _, earlier := range s.Routes[:i] {
			if earlier.covers(&r) {
				fs.addf("%s: never used, route %s before it takes all of its requests", where, earlier.Name)
				break
			}
		}
	}
	fs.unique("service "+s.Name+": route", names)
}

func (r Route) check(fs *Faults, where string) {
	if !pathPattern.MatchString(r.Path) || !plain(r.Path) {
		fs.addf("%s: path %q (allowed: /exact or /prefix*, without '%%', '.' or empty segments)", where, r.Path)
	}
	for _, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			fs.addf("%s: method %q (allowed: upper-case methods)", where, m)
		}
	}
	fs.unique(where+": method", r.Methods)
	within(fs, where, "class", r.Class, 0, maxClass)
	within(fs, where, "in-flight", r.InFlight, 0, maxInFlight)
	within(fs, where, "retries", r.Retries, 0, maxHops-1)
	if !r.Idempotent && r.Retries != 0 {
		fs.addf("%s: retries %d on a route that runs at most once (allowed: 0)", where, r.Retries)
	}
}

func (s Service) checkTargets(fs *Faults) {
	if len(s.Targets) == 0 {
		fs.addf("service %s: no target is declared", s.Name)
	}
	for _, t := range s.Targets {
		where := "service " + s.Name + ": target " + t.VM
		fs.name("service "+s.Name+": target", t.VM)
		within(fs, where, "slots", t.Slots, 1, maxSlots)
		within(fs, where, "connections", t.Connections, 1, maxConnections)
		if t.Connections < t.Slots {
			fs.addf("%s: %d connections for %d slots", where, t.Connections, t.Slots)
		}
	}
}

// Match returns the first route that holds for a request, or nil; path is
// decoded. A path that servers read in different ways matches no route, and so
// runs at most once: otherwise /read/../confirm would be repeated under the
// rule of /read/* by a server that runs it as /confirm.
func (s *Service) Match(method, path string) *Route {
	if !plain(path) {
		return nil
	}
	for i := range s.Routes {
		if s.Routes[i].matches(method, path) {
			return &s.Routes[i]
		}
	}
	return nil
}

// HopsFor gives how many targets a request of a route may be offered to. The
// route is nil for a request that no route matches.
func (s *Service) HopsFor(r *Route) int {
	if r == nil || r.Retries == 0 {
		return s.Hops
	}
	return r.Retries + 1
}

func (r *Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return path == r.Path
}

// covers says whether r takes every request that other would take.
func (r *Route) covers(other *Route) bool {
	for _, m := range other.Methods {
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, m) {
			return false
		}
	}
	if len(other.Methods) == 0 && len(r.Methods) > 0 {
		return false
	}
	prefix, wild := strings.CutSuffix(r.Path, "*")
	otherPath, otherWild := strings.CutSuffix(other.Path, "*")
	if !wild {
		return !otherWild && prefix == otherPath
	}
	return strings.HasPrefix(otherPath, prefix)
}

// plain says that a path has no empty segments, dot segments (RFC 3986, section
// 5.2.4) or backslashes. A segment's parameters, after ';', don't count.
func plain(path string) bool {
	if strings.ContainsAny(path, "\\\x00") || strings.Contains(path, "//") {
		return false
	}
	if !strings.Contains(path, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return false
		}
	}
	return true
}

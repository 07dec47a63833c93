package fleet

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

// pathPattern matches the paths allowed in routes: the characters of URL paths
// (RFC 3986, section 3.3) that need no quoting in INI. '%' is not allowed because
// routes are matched against the decoded path.
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~!$&'()+,=:@-]*\*?$`)

// methodPattern matches an HTTP method in upper case (RFC 9110, section 9.1).
var methodPattern = regexp.MustCompile(`^[A-Z][A-Z_-]{0,31}$`)

// policies are the allowed values of a service's policy.
var policies = []string{
	PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyTwoLoad, PolicyLeastLoad, PolicyIdleHints, PolicyProbe,
}

// queueOrders are the allowed values of a service's queue order.
var queueOrders = []string{OrderFIFO, OrderLIFO, OrderDeadline}

// Check returns Faults with every error in the service that can be detected without
// the rest of the fleet, or nil.
func (s Service) Check() error { return s.faults().asError() }

func (s Service) faults() Faults {
	var fs Faults
	fs.checkName("service", s.Name)
	for _, h := range s.Hosts {
		fs.checkName("service "+s.Name+": host", h)
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
	checkRange(fs, where, "max-timeout", s.MaxTimeout, time.Millisecond, maxTimeout)
	checkRange(fs, where, "timeout", s.Timeout, time.Millisecond, max(s.MaxTimeout, time.Millisecond))
	checkRange(fs, where, "key-lifetime", s.KeyLifetime, time.Second, maxKeyLifetime)
	checkRange(fs, where, "hops", s.Hops, 1, maxHops)
	checkRange(fs, where, "retry-percent", s.RetryPercent, 0, 100)
	checkRange(fs, where, "hedge-percent", s.HedgePercent, 0, 100)
	checkRange(fs, where, "queue", s.Queue, 0, maxQueue)
	checkRange(fs, where, "in-flight", s.InFlight, 0, maxInFlight)
	// 0 is allowed: a document without a drain time uses the node's settings.
	checkRange(fs, where, "drain", s.Drain, 0, maxDrain)
}

func (s Service) checkRoutes(fs *Faults) {
	names := make([]string, 0, len(s.Routes))
	for i, r := range s.Routes {
		where := "service " + s.Name + ": route " + r.Name
		names = append(names, r.Name)
		fs.checkName("service "+s.Name+": route", r.Name)
		r.check(fs, where)
		for _, earlier := range s.Routes[:i] {
			if earlier.covers(&r) {
				fs.addf("%s: never used, route %s before it takes all of its requests", where, earlier.Name)
				break
			}
		}
	}
	fs.checkUnique("service "+s.Name+": route", names)
}

func (r Route) check(fs *Faults, where string) {
	if !pathPattern.MatchString(r.Path) || !unambiguous(r.Path) {
		fs.addf("%s: path %q (allowed: /exact or /prefix*, without '%%', '.' or empty segments)", where, r.Path)
	}
	for _, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			fs.addf("%s: method %q (allowed: upper-case methods)", where, m)
		}
	}
	fs.checkUnique(where+": method", r.Methods)
	checkRange(fs, where, "class", r.Class, 0, maxClass)
	checkRange(fs, where, "in-flight", r.InFlight, 0, maxInFlight)
	checkRange(fs, where, "retries", r.Retries, 0, maxHops-1)
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
		fs.checkName("service "+s.Name+": target", t.VM)
		checkRange(fs, where, "slots", t.Slots, 1, maxSlots)
		checkRange(fs, where, "connections", t.Connections, 1, maxConnections)
		if t.Connections < t.Slots {
			fs.addf("%s: %d connections for %d slots", where, t.Connections, t.Slots)
		}
	}
}

// Match returns the first route that matches a request, or nil; path is decoded. A
// path that servers may interpret differently matches no route, so the request runs
// at most once. Otherwise /read/../confirm would be retried according to /read/*
// although a server may run it as /confirm.
func (s *Service) Match(method, path string) *Route {
	if !unambiguous(path) {
		return nil
	}
	for i := range s.Routes {
		if s.Routes[i].matches(method, path) {
			return &s.Routes[i]
		}
	}
	return nil
}

// HopsFor returns the maximum number of targets that a request of route r may be sent
// to. r is nil for a request that matches no route.
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

// covers reports whether r matches every request that other matches.
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

// unambiguous reports whether a path has no empty segments, dot segments (RFC 3986,
// section 5.2.4), backslashes or NUL bytes. It ignores the parameters of a segment,
// which follow ';'.
func unambiguous(path string) bool {
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

package fleet

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits on what a declaration may hold.
const (
	// MaxDocument is the largest document the platform holds, in bytes.
	MaxDocument = 1 << 20
	maxHops     = 8
	maxClass    = 9
	maxQueue    = 10_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Faults is everything wrong with a declaration, one line each.
type Faults []string

// Error lists the faults, one a line.
func (fs Faults) Error() string { return strings.Join(fs, "\n") }

func (fs *Faults) addf(format string, args ...any) {
	*fs = append(*fs, fmt.Sprintf(format, args...))
}

// Check returns Faults with every fault of the declaration, or nil.
// Defaults should be filled in first.
func (f Fleet) Check() error {
	var fs Faults
	fs.name("fleet", f.Name)
	if f.Revision == 0 {
		fs.addf("fleet %s: revision must be 1 or more", f.Name)
	}
	f.checkPorts(&fs)
	f.checkBudget(&fs)
	f.checkZones(&fs)
	f.checkTeams(&fs)
	f.checkServices(&fs)
	if len(fs) > 0 {
		return fs
	}
	return nil
}

func (fs *Faults) name(what, name string) {
	if !namePattern.MatchString(name) {
		fs.addf("%s %q: a name has lower-case letters, digits, '-' and '.', at most 63", what, name)
	}
}

// unique reports names that are the same or differ only in case.
func (fs *Faults) unique(what string, names []string) {
	seen := map[string]string{}
	for _, n := range names {
		low := strings.ToLower(n)
		if first, ok := seen[low]; ok {
			fs.addf("%s %q: declared twice (as %q)", what, n, first)
			continue
		}
		seen[low] = n
	}
}

func (f Fleet) checkPorts(fs *Faults) {
	for _, p := range []int{f.Ports.Guard, f.Ports.Control} {
		if p < 1 || p > 65535 {
			fs.addf("ports: %d is out of range (allowed: 1 to 65535)", p)
		}
	}
	if f.Ports.Guard == f.Ports.Control {
		fs.addf("ports: guard and control are both %d", f.Ports.Guard)
	}
}

func (f Fleet) checkBudget(fs *Faults) {
	b := f.Budget
	if b.Requests <= 0 || b.Bytes <= 0 || b.CrossRegionBytes <= 0 {
		fs.addf("budget: requests, bytes and cross-region bytes must be above 0 per second")
	}
	if b.CrossRegionBytes > b.Bytes {
		fs.addf("budget: cross-region bytes (%d) are more than all bytes (%d)", b.CrossRegionBytes, b.Bytes)
	}
}

func (f Fleet) checkZones(fs *Faults) {
	if len(f.Zones) == 0 {
		fs.addf("fleet %s: no availability zone is declared", f.Name)
	}
	names := make([]string, 0, len(f.Zones))
	for _, z := range f.Zones {
		fs.name("zone", z.Name)
		fs.name("region", z.Region)
		names = append(names, z.Name)
	}
	fs.unique("zone", names)
}

func (f Fleet) checkTeams(fs *Faults) {
	names := make([]string, 0, len(f.Teams))
	for _, t := range f.Teams {
		fs.name("team", t.Name)
		if t.InFlight < 0 {
			fs.addf("team %s: in-flight limit %d is negative", t.Name, t.InFlight)
		}
		names = append(names, t.Name)
	}
	fs.unique("team", names)
}

func (f Fleet) checkServices(fs *Faults) {
	var names, hosts, vms []string
	for _, s := range f.Services {
		names = append(names, s.Name)
		hosts = append(hosts, s.Hosts...)
		for _, t := range s.Targets {
			vms = append(vms, t.VM)
			if !slices.ContainsFunc(f.Zones, func(z Zone) bool { return z.Name == t.Zone }) {
				fs.addf("service %s: target %s: zone %q is not declared", s.Name, t.VM, t.Zone)
			}
		}
		if !slices.ContainsFunc(f.Teams, func(t Team) bool { return t.Name == s.Team }) {
			fs.addf("service %s: team %q is not declared", s.Name, s.Team)
		}
		if err := s.Check(); err != nil {
			*fs = append(*fs, err.(Faults)...)
		}
	}
	fs.unique("service", names)
	fs.unique("host", hosts)
	fs.unique("target", vms)
}

// Check returns Faults with what is wrong in the service by itself, or nil.
func (s Service) Check() error {
	var fs Faults
	fs.name("service", s.Name)
	s.checkNumbers(&fs)
	s.checkRoutes(&fs)
	s.checkTargets(&fs)
	if len(fs) > 0 {
		return fs
	}
	return nil
}

func (s Service) checkNumbers(fs *Faults) {
	policies := []string{
		PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyTwoLoad, PolicyIdleHints, PolicyProbe,
	}
	if !slices.Contains(policies, s.Policy) {
		fs.addf("service %s: policy %q (allowed: %s)", s.Name, s.Policy, strings.Join(policies, ", "))
	}
	orders := []string{OrderFIFO, OrderLIFO, OrderDeadline}
	if !slices.Contains(orders, s.QueueOrder) {
		fs.addf("service %s: queue-order %q (allowed: %s)", s.Name, s.QueueOrder, strings.Join(orders, ", "))
	}
	within(fs, s.Name, "timeout", s.Timeout, time.Millisecond, s.MaxTimeout)
	within(fs, s.Name, "max-timeout", s.MaxTimeout, time.Millisecond, 24*time.Hour)
	within(fs, s.Name, "key-lifetime", s.KeyLifetime, time.Second, 7*24*time.Hour)
	within(fs, s.Name, "hops", s.Hops, 1, maxHops)
	within(fs, s.Name, "retry-percent", s.RetryPercent, 0, 100)
	within(fs, s.Name, "queue", s.Queue, 0, maxQueue)
	within(fs, s.Name, "in-flight", s.InFlight, 0, 1_000_000)
}

func within[T int | time.Duration](fs *Faults, service, key string, v, low, high T) {
	if v < low || v > high {
		fs.addf("service %s: %s %v is out of range (allowed: %v to %v)", service, key, v, low, high)
	}
}

func (s Service) checkRoutes(fs *Faults) {
	names := make([]string, 0, len(s.Routes))
	for _, r := range s.Routes {
		fs.name("route", r.Name)
		names = append(names, r.Name)
		if !strings.HasPrefix(r.Path, "/") || strings.Contains(strings.TrimSuffix(r.Path, "*"), "*") {
			fs.addf("service %s: route %s: path %q (allowed: /exact or /prefix*)", s.Name, r.Name, r.Path)
		}
		for _, m := range r.Methods {
			if m == "" || strings.ToUpper(m) != m {
				fs.addf("service %s: route %s: method %q (allowed: upper-case methods)", s.Name, r.Name, m)
			}
		}
		within(fs, s.Name, "route "+r.Name+": class", r.Class, 0, maxClass)
		within(fs, s.Name, "route "+r.Name+": in-flight", r.InFlight, 0, 1_000_000)
	}
	fs.unique("service "+s.Name+": route", names)
}

func (s Service) checkTargets(fs *Faults) {
	if len(s.Targets) == 0 {
		fs.addf("service %s: no target is declared", s.Name)
	}
	for _, t := range s.Targets {
		fs.name("target", t.VM)
		if t.Slots < 1 {
			fs.addf("service %s: target %s: slots %d (allowed: 1 or more)", s.Name, t.VM, t.Slots)
		}
		if t.Connections < t.Slots {
			fs.addf("service %s: target %s: %d connections for %d slots", s.Name, t.VM, t.Connections, t.Slots)
		}
	}
}

// Match returns the first route that holds for a request, or nil.
func (s *Service) Match(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].matches(method, path) {
			return &s.Routes[i]
		}
	}
	return nil
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

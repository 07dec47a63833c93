package fleet

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of a declaration.
const (
	// MaxDocument is the maximum size of a document on the platform, in bytes.
	MaxDocument = 1 << 20

	maxHops        = 8
	maxClass       = 9
	maxQueue       = 10_000
	maxInFlight    = 1_000_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxPort        = 65_535
	maxTimeout     = 24 * time.Hour
	maxDrain       = time.Hour
	maxKeyLifetime = 7 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Faults lists every error in a declaration, one line each.
type Faults []string

// Error returns the faults, one per line.
func (fs Faults) Error() string { return strings.Join(fs, "\n") }

func (fs *Faults) addf(format string, args ...any) {
	*fs = append(*fs, fmt.Sprintf(format, args...))
}

// asError returns the faults as an error, or nil if there are none.
func (fs Faults) asError() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Check returns Faults with every error in the declaration, or nil. It does not
// apply defaults; call it on the result of WithDefaults.
func (f Fleet) Check() error { return f.faults().asError() }

func (f Fleet) faults() Faults {
	var fs Faults
	fs.checkName("fleet", f.Name)
	if f.Revision == 0 {
		fs.addf("fleet %s: revision must be 1 or more", f.Name)
	}
	f.checkPorts(&fs)
	f.checkBudget(&fs)
	f.checkZones(&fs)
	f.checkTeams(&fs)
	f.checkServices(&fs)
	return fs
}

func (fs *Faults) checkName(what, name string) {
	if !namePattern.MatchString(name) {
		fs.addf("%s %q: a name has lower-case letters, digits, '-' and '.', at most 63", what, name)
	}
}

// checkUnique adds a fault for each name that equals an earlier one, ignoring case.
func (fs *Faults) checkUnique(what string, names []string) {
	seen := map[string]string{}
	for _, n := range names {
		lower := strings.ToLower(n)
		if first, ok := seen[lower]; ok {
			fs.addf("%s %q: declared twice (as %q)", what, n, first)
			continue
		}
		seen[lower] = n
	}
}

func (f Fleet) checkPorts(fs *Faults) {
	for _, p := range []int{f.Ports.Guard, f.Ports.Control} {
		if p < 1 || p > maxPort {
			fs.addf("ports: %d is out of range (allowed: 1 to %d)", p, maxPort)
		}
	}
	if f.Ports.Guard == f.Ports.Control {
		fs.addf("ports: guard and control are both %d", f.Ports.Guard)
	}
}

func (f Fleet) checkBudget(fs *Faults) {
	b := f.Budget
	parts := []struct {
		name  string
		value int
	}{{"requests", b.Requests}, {"bytes", b.Bytes}, {"cross-region-bytes", b.CrossRegionBytes}}
	for _, p := range parts {
		if p.value <= 0 {
			fs.addf("budget: %s %d is out of range (allowed: 1 or more per second)", p.name, p.value)
		}
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
		fs.checkName("zone", z.Name)
		fs.checkName("region", z.Region)
		names = append(names, z.Name)
		if len(f.Regions) > 0 && !slices.Contains(f.Regions, z.Region) {
			fs.addf("zone %s: region %q is not declared", z.Name, z.Region)
		}
	}
	fs.checkUnique("zone", names)
	fs.checkUnique("region", f.Regions)
	for _, r := range f.Regions {
		if !slices.ContainsFunc(f.Zones, func(z Zone) bool { return z.Region == r }) {
			fs.addf("region %s: no availability zone is declared in it", r)
		}
	}
	f.checkRegionCase(fs)
}

// checkRegionCase adds a fault for zones whose regions differ only in case, a typing
// error that would split a region in two.
func (f Fleet) checkRegionCase(fs *Faults) {
	spelling := map[string]string{}
	for _, z := range f.Zones {
		lower := strings.ToLower(z.Region)
		if first, ok := spelling[lower]; ok && first != z.Region {
			fs.addf("zone %s: region %q differs only in case from %q", z.Name, z.Region, first)
			continue
		}
		spelling[lower] = z.Region
	}
}

func (f Fleet) checkTeams(fs *Faults) {
	names := make([]string, 0, len(f.Teams))
	for _, t := range f.Teams {
		fs.checkName("team", t.Name)
		checkRange(fs, "team "+t.Name, "in-flight", t.InFlight, 0, maxInFlight)
		names = append(names, t.Name)
	}
	fs.checkUnique("team", names)
}

func (f Fleet) checkServices(fs *Faults) {
	var names, hosts, vms []string
	for _, s := range f.Services {
		names = append(names, s.Name)
		hosts = append(hosts, s.Hosts...)
		for _, t := range s.Targets {
			vms = append(vms, t.VM)
		}
		f.checkService(fs, s)
	}
	fs.checkUnique("service", names)
	fs.checkUnique("host", hosts)
	fs.checkUnique("target", vms)
	for _, s := range f.Services {
		for _, h := range s.Hosts {
			if h != s.Name && slices.Contains(names, h) {
				fs.addf("service %s: host %q is the name of another service", s.Name, h)
			}
		}
	}
}

func (f Fleet) checkService(fs *Faults, s Service) {
	for _, t := range s.Targets {
		if !slices.ContainsFunc(f.Zones, func(z Zone) bool { return z.Name == t.Zone }) {
			fs.addf("service %s: target %s: zone %q is not declared", s.Name, t.VM, t.Zone)
		}
	}
	if !slices.ContainsFunc(f.Teams, func(t Team) bool { return t.Name == s.Team }) {
		fs.addf("service %s: team %q is not declared", s.Name, s.Team)
	}
	*fs = append(*fs, s.faults()...)
}

func checkRange[T int | time.Duration](fs *Faults, where, key string, v, low, high T) {
	if v < low || v > high {
		fs.addf("%s: %s %v is out of range (allowed: %v to %v)", where, key, v, low, high)
	}
}

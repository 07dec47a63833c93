// Package settings reads and checks a node's static settings: its name, place
// and addresses. They are read once at start; what may change while a node runs
// is in the configuration documents (package config).
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Settings are the checked static settings of one node.
type Settings struct {
	// VM is the name of the VM, as the configuration declares its target.
	VM string
	// Region and Zone are where the VM stands.
	Region, Zone string
	// Fleet is the name of the deployment; nodes of another fleet are refused.
	Fleet string
	// Callers, Guard, Control and Admin are the addresses the node listens on.
	Callers, Guard, Control, Admin string
	// Backend is the base URL of the backend server beside the node.
	Backend *url.URL
	// Health is the path of the backend server's health endpoint.
	Health string
	// Platform is the base URL of the platform's configuration service and VM list.
	Platform *url.URL
	// Seeds are control addresses of a few peers, used while the VM list is unknown.
	Seeds []string
	// StopGrace is how long a stopping node lets callers close idle connections.
	StopGrace time.Duration
	// StopLimit bounds how long requests in flight may take to end after it.
	StopLimit time.Duration
	// ConnsPerIP bounds the connections of one address to each HTTP port.
	ConnsPerIP int
	// LogLevel is the most detailed level that is logged: 0 is information, 1 debug.
	LogLevel int
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Wrong   string
	Allowed string
}

// Error gives the fault in one line: file, line, key, what is wrong, what is allowed.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s (allowed: %s)", f.File, f.Line, f.Key, f.Wrong, f.Allowed)
}

// Faults is every fault of a file, in the order of the table of keys.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// field is one key of the settings and how its value is checked.
type field struct {
	section, key string
	fallback     string
	required     bool
	allowed      string
	set          func(s *Settings, value string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const (
	allowedName = "lower-case letters, digits, '-' and '.', at most 63"
	allowedAddr = "IP:PORT"
	allowedURL  = "http://IP:PORT[/path]"
	allowedPath = "a path that starts with '/', without query"
)

var fields = []field{
	{"node", "vm", "", true, allowedName, name(func(s *Settings) *string { return &s.VM })},
	{"node", "fleet", "", true, allowedName, name(func(s *Settings) *string { return &s.Fleet })},
	{"node", "region", "", true, allowedName, name(func(s *Settings) *string { return &s.Region })},
	{"node", "zone", "", true, allowedName, name(func(s *Settings) *string { return &s.Zone })},
	{"listen", "callers", "", true, allowedAddr, address(func(s *Settings) *string { return &s.Callers })},
	{"listen", "guard", "", true, allowedAddr, address(func(s *Settings) *string { return &s.Guard })},
	{"listen", "control", "", true, allowedAddr, address(func(s *Settings) *string { return &s.Control })},
	{"listen", "admin", "127.0.0.1:7400", false, allowedAddr, address(func(s *Settings) *string { return &s.Admin })},
	{"backend", "url", "", true, allowedURL, base(func(s *Settings) **url.URL { return &s.Backend })},
	{"backend", "health", "/healthz", false, allowedPath, healthPath},
	{"platform", "url", "", true, allowedURL, base(func(s *Settings) **url.URL { return &s.Platform })},
	{"platform", "seeds", "", false, "up to 8 of IP:PORT, separated by commas", seeds},
	{"limits", "connections-per-ip", "1024", false, "a whole number from 16 to 100000", connsPerIP},
	{"stop", "grace", "3s", false, "a duration from 0s to 1m", duration(0, time.Minute, func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"stop", "limit", "60s", false, "a duration from 1s to 1h", duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.StopLimit })},
	{"log", "level", "0", false, "0 or 1", logLevel},
}

// Load reads and checks the settings file at path. A file with anything wrong
// gives Faults that list all of it.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse checks the settings in text; file is used in messages only.
func Parse(file string, text []byte) (*Settings, error) {
	doc, err := ini.LoadSources(ini.LoadOptions{AllowDuplicateShadowValues: false}, text)
	if err != nil {
		return nil, Faults{{File: file, Line: 1, Key: "file", Wrong: strings.TrimSpace(err.Error()), Allowed: "INI: [section], key = value"}}
	}
	where, twice := lineIndex(text)
	var faults Faults
	for id, line := range twice {
		faults = append(faults, Fault{file, line, id, "stands there twice", "each key once"})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	faults = append(faults, unknownKeys(file, doc, where)...)
	s := &Settings{}
	for _, f := range fields {
		if fault, ok := f.apply(s, file, doc, where); !ok {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func (f field) apply(s *Settings, file string, doc *ini.File, where map[string]int) (Fault, bool) {
	id := f.section + "." + f.key
	fault := Fault{File: file, Line: max(where[id], 1), Key: id, Allowed: f.allowed}
	value := f.fallback
	if doc.Section(f.section).HasKey(f.key) {
		value = doc.Section(f.section).Key(f.key).String()
	} else if f.required {
		fault.Wrong = "missing"
		return fault, false
	}
	if err := f.set(s, value); err != nil {
		fault.Wrong = err.Error()
		return fault, false
	}
	return Fault{}, true
}

func unknownKeys(file string, doc *ini.File, where map[string]int) Faults {
	known := map[string][]string{}
	for _, f := range fields {
		known[f.section] = append(known[f.section], f.key)
	}
	var faults Faults
	for _, section := range doc.Sections() {
		for _, key := range section.Keys() {
			id := section.Name() + "." + key.Name()
			allowed, ok := known[section.Name()]
			if ok && slices.Contains(allowed, key.Name()) {
				continue
			}
			what := strings.Join(allowed, ", ")
			if !ok {
				what = "sections node, listen, backend, platform, limits, stop, log"
			}
			faults = append(faults, Fault{file, max(where[id], 1), id, "unknown key", what})
		}
	}
	return faults
}

// lineIndex maps "section.key" to the line it stands on first, because the INI
// library doesn't keep line numbers; twice holds the line of the second one
// where there is any, of which the library would silently take the last.
func lineIndex(text []byte) (where, twice map[string]int) {
	where, twice = map[string]int{}, map[string]int{}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		id := section + "." + strings.TrimSpace(key)
		if where[id] != 0 {
			twice[id] = i + 1
			continue
		}
		where[id] = i + 1
	}
	return where, twice
}

func name(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !namePattern.MatchString(v) {
			return eris.Errorf("%q is no name", v)
		}
		*at(s) = v
		return nil
	}
}

func address(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if err := checkAddress(v); err != nil {
			return err
		}
		*at(s) = v
		return nil
	}
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return eris.Errorf("%q is no IP:PORT", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return eris.Errorf("%q has no port from 0 to 65535", v)
	}
	return nil
}

func base(at func(*Settings) **url.URL) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" {
			return eris.Errorf("%q is no http URL", v)
		}
		if err := checkAddress(u.Host); err != nil {
			return err
		}
		*at(s) = u
		return nil
	}
}

const maxSeeds = 8

func seeds(s *Settings, v string) error {
	if strings.TrimSpace(v) == "" {
		return nil
	}
	list := strings.Split(v, ",")
	if len(list) > maxSeeds {
		return eris.Errorf("%d addresses", len(list))
	}
	for _, one := range list {
		one = strings.TrimSpace(one)
		if err := checkAddress(one); err != nil {
			return err
		}
		s.Seeds = append(s.Seeds, one)
	}
	return nil
}

func healthPath(s *Settings, v string) error {
	if u, err := url.Parse(v); err != nil || !strings.HasPrefix(v, "/") || u.Path != v {
		return eris.Errorf("%q is no path", v)
	}
	s.Health = v
	return nil
}

func duration(low, high time.Duration, at func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return eris.Errorf("%q is out of range", v)
		}
		*at(s) = d
		return nil
	}
}

const (
	minConnsPerIP = 16
	maxConnsPerIP = 100_000
)

func connsPerIP(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < minConnsPerIP || n > maxConnsPerIP {
		return eris.Errorf("%q is out of range", v)
	}
	s.ConnsPerIP = n
	return nil
}

func logLevel(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 1 {
		return eris.Errorf("%q is no level", v)
	}
	s.LogLevel = n
	return nil
}

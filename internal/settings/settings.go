// Package settings reads and checks a node's static settings: its name, place
// and addresses. They are read once at start; what may change while a node runs
// is in the configuration documents (package config).
package settings

import (
	"net/url"
	"os"
	"slices"
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

// field is one key of the settings and how its value is checked.
type field struct {
	section, key string
	fallback     string
	required     bool
	allowed      string
	set          func(s *Settings, value string) error
}

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

// Package settings reads and checks a node's static settings: its name, location
// and addresses. They are read once at start; everything that may change while a
// node runs is in the configuration documents (package config).
package settings

import (
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/inifile"
)

// Settings are the checked static settings of one node.
type Settings struct {
	// VM is the name of the VM, as the configuration declares its target.
	VM string
	// Region and Zone are the region and availability zone of the VM.
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
	// Seeds are control addresses of a few peers, used until the VM list is available.
	Seeds []string
	// StopGrace is how long a stopping node waits for callers to close idle connections.
	StopGrace time.Duration
	// StopLimit bounds how long requests in flight may run after StopGrace.
	StopLimit time.Duration
	// ConnsPerIP is the maximum number of connections from one IP to each HTTP port.
	ConnsPerIP int
	// LogLevel is the most detailed level that is logged: 0 is info, 1 is debug.
	LogLevel int
}

// Faults lists every error in a settings file.
type Faults = inifile.Faults

const (
	allowedName = "lower-case letters, digits, '-' and '.', at most 63"
	allowedAddr = "IP:PORT"
	allowedURL  = "http://IP:PORT[/path]"
	allowedPath = "a path that starts with '/', without query"
)

var table = inifile.Table[Settings]{Fields: []inifile.Field[Settings]{
	inifile.Required("node", "vm", allowedName, nameSetter(func(s *Settings) *string { return &s.VM })),
	inifile.Required("node", "fleet", allowedName, nameSetter(func(s *Settings) *string { return &s.Fleet })),
	inifile.Required("node", "region", allowedName, nameSetter(func(s *Settings) *string { return &s.Region })),
	inifile.Required("node", "zone", allowedName, nameSetter(func(s *Settings) *string { return &s.Zone })),
	inifile.Required("listen", "callers", allowedAddr, addressSetter(func(s *Settings) *string { return &s.Callers })),
	inifile.Required("listen", "guard", allowedAddr, addressSetter(func(s *Settings) *string { return &s.Guard })),
	inifile.Required("listen", "control", allowedAddr, addressSetter(func(s *Settings) *string { return &s.Control })),
	inifile.Optional("listen", "admin", "127.0.0.1:7400", allowedAddr, addressSetter(func(s *Settings) *string { return &s.Admin })),
	inifile.Required("backend", "url", allowedURL, baseURLSetter(func(s *Settings) **url.URL { return &s.Backend })),
	inifile.Optional("backend", "health", "/healthz", allowedPath, setHealthPath),
	inifile.Required("platform", "url", allowedURL, baseURLSetter(func(s *Settings) **url.URL { return &s.Platform })),
	inifile.Optional("platform", "seeds", "", "up to 8 of IP:PORT, separated by commas", setSeeds),
	inifile.Optional("limits", "connections-per-ip", "1024", "a whole number from 16 to 100000", setConnsPerIP),
	inifile.Optional("stop", "grace", "3s", "a duration from 0s to 1m", durationSetter(0, time.Minute, func(s *Settings) *time.Duration { return &s.StopGrace })),
	inifile.Optional("stop", "limit", "60s", "a duration from 1s to 1h", durationSetter(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.StopLimit })),
	inifile.Optional("log", "level", "0", "0 or 1", setLogLevel),
}}

// Load reads and checks the settings file at path. The error for an invalid file
// is Faults, which lists every error in it.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse parses and checks the settings in text; file is the name used in error messages.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	if _, err := table.Parse(file, text, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Package settings reads and validates the settings file (INI) of a node in a deployment
// whose targets register themselves.
package settings

import (
	"errors"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/inifile"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/coldstart"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
)

// Settings are the validated settings of one node.
type Settings struct {
	// Here is the location of the node and the service of its backend server.
	Here mesh.Place
	// Regions maps availability zones to regions.
	Regions map[string]string
	// Callers, Peers, Ready and Admin are the addresses on which the node listens for
	// callers, other nodes, the platform's readiness check and operators.
	Callers, Peers, Ready, Admin string
	// Backend is the address of the backend server beside the node.
	Backend string
	// Store is the address of the platform's store, and Heartbeat how often backend servers renew
	// their registrations there.
	Store     string
	Heartbeat time.Duration
	// Repeats limits how often requests are run again, over all nodes.
	Repeats entry.Repeats
	// ColdStart bounds the requests to a backend server that has just started.
	ColdStart coldstart.Policy
	// Features are the settings of features that a configuration can call for.
	Features mesh.Features
	// LinkQueueBytes is how many bytes may wait for the VM's link before requests with large answers
	// are refused.
	LinkQueueBytes int
	// StopGrace is the time between the stop signal and the kill of the process.
	StopGrace time.Duration
	// Tunable are the settings that may change while a node runs.
	Tunable Tunable
}

// PeersPort returns the port at which every node accepts requests of other nodes.
func (s *Settings) PeersPort() string {
	// Peers was validated when the settings were read.
	_, port, _ := net.SplitHostPort(s.Peers)
	return port
}

// Tunable are the settings that may change while a node runs.
type Tunable struct {
	// Prices are the routing penalties, as time, for bytes that leave the zone or region.
	Prices entry.Prices
	// Fill is the share of a backend server's slots to use; 0 if the node learns it.
	Fill float64
	// LogLevel is 0 for information and warnings, 1 for warnings only.
	LogLevel int
}

// bytesPerMegabit is the number of bytes in a megabit, and bytesPerMegabyte that in a megabyte of
// memory.
const (
	bytesPerMegabit  = 1e6 / 8
	bytesPerMegabyte = 1 << 20
)

// The names of the modes of a feature.
const (
	modeAuto = "auto"
	modeOn   = "on"
	modeOff  = "off"
)

const (
	// minFill is the smallest useful share of slots.
	minFill = 0.1
	// fillLearnt lets the node determine how many slots to use.
	fillLearnt = "learnt"
)

var table = inifile.Table[Settings]{EmptyIsMissing: true, FreeSections: []string{zonesSection}, Fields: []inifile.Field[Settings]{
	inifile.Required("node", "vm", "a name", text(func(s *Settings) *string { return &s.Here.VM })),
	inifile.Required("node", "ip", "an IP address", ip),
	inifile.Required("node", "zone", "a name", text(func(s *Settings) *string { return &s.Here.Zone })),
	inifile.Required("node", "region", "a name", text(func(s *Settings) *string { return &s.Here.Region })),
	inifile.Required("node", "service", "a name", text(func(s *Settings) *string { return &s.Here.Service })),
	inifile.Required("listen", "callers", "IP:PORT", address(func(s *Settings) *string { return &s.Callers })),
	inifile.Required("listen", "peers", "IP:PORT", address(func(s *Settings) *string { return &s.Peers })),
	inifile.Required("listen", "ready", "IP:PORT", address(func(s *Settings) *string { return &s.Ready })),
	inifile.Required("listen", "admin", "IP:PORT", address(func(s *Settings) *string { return &s.Admin })),
	inifile.Required("backend", "address", "IP:PORT", address(func(s *Settings) *string { return &s.Backend })),
	inifile.Required("store", "address", "IP:PORT", address(func(s *Settings) *string { return &s.Store })),
	inifile.Optional("store", "heartbeat-seconds", "1.5", "seconds, from 0.1 to 60", number(0.1, 60, func(s *Settings, v float64) { s.Heartbeat = seconds(v) })),
	inifile.Optional("repeats", "ratio", "0.2", "repeats for each request, from 0 to 1", number(0, 1, func(s *Settings, v float64) { s.Repeats.Ratio = v })),
	inifile.Optional("repeats", "slack", "0", "additional repeats of all nodes together in a window, from 0 to 1e6", number(0, 1e6, func(s *Settings, v float64) { s.Repeats.Slack = v })),
	inifile.Optional("repeats", "window-seconds", "10", "seconds, from 1 to 3600", number(1, 3600, func(s *Settings, v float64) { s.Repeats.Window = seconds(v) })),
	inifile.Optional("cold-start", "ratio", "1", "requests to a cold backend server for each that it tolerates, from 0.1 to 100", number(0.1, 100, func(s *Settings, v float64) { s.ColdStart.Ratio = v })),
	inifile.Optional("cold-start", "slack", "0", "additional requests to a cold backend server in any second, from 0 to 1e6", number(0, 1e6, func(s *Settings, v float64) { s.ColdStart.Slack = v })),
	inifile.Optional("overload", "scheduling", modeAuto, "auto, on or off", mode(func(s *Settings) *mesh.Mode { return &s.Features.Overload })),
	inifile.Optional("link", "scheduling", modeAuto, "auto, on or off", mode(func(s *Settings) *mesh.Mode { return &s.Features.Links })),
	inifile.Optional("link", "rate-mbps", "0", "megabits per second, from 0 (unknown) to 1e6", number(0, 1e6, func(s *Settings, v float64) { s.Features.LinkRate = v * bytesPerMegabit })),
	inifile.Optional("link", "queue-mb", "32", "megabytes (1024 x 1024 bytes), from 24 (more than the largest answer) to 4096", number(24, 4096, func(s *Settings, v float64) { s.LinkQueueBytes = int(v * bytesPerMegabyte) })),
	inifile.Optional("stop", "grace-seconds", "6", "seconds, from 1 to 600", number(1, 600, func(s *Settings, v float64) { s.StopGrace = seconds(v) })),
	inifile.Optional("routing", "zone-price", "10ms", "a duration for each kilobyte that leaves the zone", duration(func(s *Settings) *time.Duration { return &s.Tunable.Prices.ZonePerKB })),
	inifile.Optional("routing", "region-price", "80ms", "a duration for each kilobyte that leaves the region", duration(func(s *Settings) *time.Duration { return &s.Tunable.Prices.RegionPerKB })),
	inifile.Optional("backend", "fill", fillLearnt, "learnt, or a share of the slots from 0.1 to 1", fill),
	inifile.Optional("log", "level", "0", "0 or 1", level),
}}

// zonesSection maps availability zones to regions, one per line.
const zonesSection = "zones"

// Load reads and validates the settings file at path. If the file has errors, it returns
// inifile.Faults that list all of them.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, content)
}

// Parse validates the settings in content; file is used in messages only.
func Parse(file string, content []byte) (*Settings, error) {
	s := &Settings{Regions: map[string]string{}}
	doc, err := table.Parse(file, content, s)
	var faults inifile.Faults
	if err != nil && !errors.As(err, &faults) || doc == nil {
		return nil, err
	}
	for _, key := range doc.Section(zonesSection).Keys() {
		s.Regions[key.Name()] = key.String()
	}
	if len(s.Regions) == 0 {
		faults = append(faults, inifile.Fault{File: file, Line: 1, Key: zonesSection, Problem: "missing", Allowed: "a line ZONE = REGION for each availability zone"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func text(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*at(s) = v
		return nil
	}
}

func ip(s *Settings, v string) error {
	if net.ParseIP(v) == nil {
		return eris.Errorf("%q is not an IP address", v)
	}
	s.Here.IP = v
	return nil
}

func address(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			return eris.Errorf("%q is not an IP:PORT address", v)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return eris.Errorf("%q has no port from 1 to 65535", v)
		}
		*at(s) = v
		return nil
	}
}

func duration(at func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 {
			return eris.Errorf("%q is not a duration of 0 or more", v)
		}
		*at(s) = d
		return nil
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func number(lowest, highest float64, set func(*Settings, float64)) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(n) || n < lowest || n > highest {
			return eris.Errorf("%q is not a number from %g to %g", v, lowest, highest)
		}
		set(s, n)
		return nil
	}
}

func fill(s *Settings, v string) error {
	if v == fillLearnt {
		s.Tunable.Fill = 0
		return nil
	}
	return number(minFill, 1, func(s *Settings, v float64) { s.Tunable.Fill = v })(s, v)
}

func mode(at func(*Settings) *mesh.Mode) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		m, known := map[string]mesh.Mode{modeAuto: mesh.ModeAuto, modeOn: mesh.ModeOn, modeOff: mesh.ModeOff}[v]
		if !known {
			return eris.Errorf("%q is neither auto nor on nor off", v)
		}
		*at(s) = m
		return nil
	}
}

func level(s *Settings, v string) error {
	if v != "0" && v != "1" {
		return eris.Errorf("%q is not a log level", v)
	}
	s.Tunable.LogLevel = int(v[0] - '0')
	return nil
}

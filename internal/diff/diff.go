// Package diff describes in text what changes for callers between two configurations.
package diff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

// Level is the severity of a change.
type Level string

// The levels.
const (
	// Warning is a change that can cause harm: requests run twice, requests refused,
	// or a configuration that nodes do not accept.
	Warning Level = "warning"
	// Note is any other change.
	Note Level = "note"
)

// Change is one difference between two configurations.
type Change struct {
	Level Level `json:"level"`
	// Where is "fleet" or the name of a service.
	Where string `json:"where"`
	What  string `json:"what"`
}

// String returns the change in one line.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s: %s", c.Level, c.Where, c.What)
}

// changeList collects the changes of the fleet or of one service.
type changeList struct {
	where   string
	changes []Change
}

func (l *changeList) warnf(format string, args ...any) { l.add(Warning, format, args) }
func (l *changeList) notef(format string, args ...any) { l.add(Note, format, args) }

func (l *changeList) add(level Level, format string, args []any) {
	l.changes = append(l.changes, Change{Level: level, Where: l.where, What: fmt.Sprintf(format, args...)})
}

// compareValue adds a note if a value differs.
func compareValue[T comparable](l *changeList, what string, before, after T) {
	if before != after {
		l.notef("%s goes from %v to %v", what, before, after)
	}
}

// Compare returns the changes from before to after: those of the fleet, then those
// of the services by name.
func Compare(before, after *config.Config) []Change {
	fleetWide := &changeList{where: "fleet"}
	compareFleet(fleetWide, before, after)
	changes := fleetWide.changes
	names := map[string]bool{}
	for _, c := range []*config.Config{before, after} {
		for name := range c.Services {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		l := &changeList{where: name}
		compareService(l, before.Services[name], after.Services[name])
		changes = append(changes, l.changes...)
	}
	return changes
}

func compareFleet(l *changeList, before, after *config.Config) {
	b, a := before.Index.Fleet, after.Index.Fleet
	if b.Name != a.Name {
		l.warnf("the fleet's name goes from %s to %s: nodes refuse another fleet's configuration", b.Name, a.Name)
	}
	compareVersions(l, before.Index.Version, after.Index.Version)
	if b.Ports != a.Ports {
		l.warnf("ports go from guard %d, control %d to guard %d, control %d: nodes listen where their settings say",
			b.Ports.Guard, b.Ports.Control, a.Ports.Guard, a.Ports.Control)
	}
	compareValue(l, "budget: measuring requests per second", b.Budget.Requests, a.Budget.Requests)
	compareValue(l, "budget: measuring bytes per second", b.Budget.Bytes, a.Budget.Bytes)
	compareValue(l, "budget: measuring bytes between regions per second", b.Budget.CrossRegionBytes, a.Budget.CrossRegionBytes)
	compareZones(l, before.Regions, after.Regions)
	compareTeams(l, b.Teams, a.Teams)
}

func compareVersions(l *changeList, before, after config.Version) {
	switch {
	case before == after:
	case after.Revision == before.Revision:
		l.warnf("revision %d is published with two contents: nodes keep the one with the higher digest", after.Revision)
	case !after.Newer(before):
		l.warnf("revision falls from %d to %d: nodes refuse it", before.Revision, after.Revision)
	default:
		l.notef("revision rises from %d to %d", before.Revision, after.Revision)
	}
}

func compareZones(l *changeList, before, after map[string]string) {
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		region, still := after[zone]
		switch {
		case !still:
			l.notef("availability zone %s is gone", zone)
		case region != before[zone]:
			l.warnf("availability zone %s moves from region %s to %s", zone, before[zone], region)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(after)) {
		if _, known := before[zone]; !known {
			l.notef("availability zone %s is new, in region %s", zone, after[zone])
		}
	}
}

func compareTeams(l *changeList, before, after []fleet.Team) {
	old := map[string]fleet.Team{}
	for _, t := range before {
		old[t.Name] = t
	}
	for _, t := range after {
		b, known := old[t.Name]
		delete(old, t.Name)
		if !known {
			l.notef("team %s is new", t.Name)
			continue
		}
		compareLimit(l, "team "+t.Name+": ", b.InFlight, t.InFlight)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		l.notef("team %s is gone", name)
	}
}

// compareLimit adds a note if a limit on concurrent requests differs; 0 means no limit.
func compareLimit(l *changeList, where string, before, after int) {
	if before == after {
		return
	}
	l.notef("%srequests at once at each node go from %s to %s", where, formatLimit(before), formatLimit(after))
}

func formatLimit(n int) string {
	if n == 0 {
		return "no limit"
	}
	return fmt.Sprint(n)
}

func compareService(l *changeList, before, after *config.Service) {
	switch {
	case after == nil:
		l.warnf("the service is gone: its requests are answered unknown-service")
		return
	case before == nil:
		l.notef("the service is new; its targets: %s", joinNames(vmNames(after.Targets)))
		return
	}
	compareHosts(l, before.Hosts, after.Hosts)
	compareValue(l, "team", before.Team, after.Team)
	compareValue(l, "policy", before.Policy, after.Policy)
	compareValue(l, "deadline of requests that bring none", before.Timeout, after.Timeout)
	if after.MaxTimeout < before.MaxTimeout {
		l.warnf("the longest deadline falls from %v to %v: longer ones are cut to it", before.MaxTimeout, after.MaxTimeout)
	} else {
		compareValue(l, "the longest deadline", before.MaxTimeout, after.MaxTimeout)
	}
	compareValue(l, "targets that one request may be offered to", before.Hops, after.Hops)
	compareValue(l, "retries in percent of requests", before.RetryPercent, after.RetryPercent)
	compareHedges(l, before.HedgePercent, after.HedgePercent)
	compareValue(l, "requests that may wait at each target", before.Queue, after.Queue)
	compareValue(l, "the order of those that wait", before.QueueOrder, after.QueueOrder)
	compareValue(l, "fewer requests at once while a backend server is slow", before.Adaptive, after.Adaptive)
	if after.NoRefusal && !before.NoRefusal {
		l.warnf("targets no longer refuse what they can't run in time: requests wait until their deadline")
	}
	if before.NoRefusal && !after.NoRefusal {
		l.notef("targets refuse again what they can't run in time")
	}
	compareLimit(l, "", before.InFlight, after.InFlight)
	compareValue(l, "drain time", before.Drain, after.Drain)
	if after.KeyLifetime < before.KeyLifetime {
		l.warnf("the lifetime of callers' keys falls from %v to %v: an older key sent again is no longer known", before.KeyLifetime, after.KeyLifetime)
	} else {
		compareValue(l, "the lifetime of callers' keys", before.KeyLifetime, after.KeyLifetime)
	}
	compareRoutes(l, before, after)
	compareTargets(l, before.Targets, after.Targets)
}

func compareHedges(l *changeList, before, after int) {
	switch {
	case before == 0 && after != 0:
		l.notef("idempotent requests that are slow are sent to a second target as well, up to %d in 100", after)
	case before != 0 && after == 0:
		l.notef("idempotent requests that are slow are no longer sent to a second target")
	default:
		compareValue(l, "slow idempotent requests that are sent to a second target, in percent", before, after)
	}
}

func compareHosts(l *changeList, before, after []string) {
	for _, h := range before {
		if !slices.Contains(after, h) {
			l.warnf("host %s no longer selects the service", h)
		}
	}
	for _, h := range after {
		if !slices.Contains(before, h) {
			l.notef("host %s selects the service", h)
		}
	}
}

func compareTargets(l *changeList, before, after []fleet.Target) {
	old := map[string]fleet.Target{}
	for _, t := range before {
		old[t.VM] = t
	}
	var added []string
	for _, t := range after {
		b, known := old[t.VM]
		delete(old, t.VM)
		if !known {
			added = append(added, t.VM)
			continue
		}
		compareValue(l, "target "+t.VM+": availability zone", b.Zone, t.Zone)
		compareValue(l, "target "+t.VM+": slots", b.Slots, t.Slots)
		compareValue(l, "target "+t.VM+": connections", b.Connections, t.Connections)
	}
	gone := slices.Sorted(maps.Keys(old))
	if len(added) > 0 {
		l.notef("new targets: %s", joinNames(added))
	}
	if len(gone) > 0 {
		l.notef("targets that are gone: %s", joinNames(gone))
	}
	if len(added)+len(gone) > 0 {
		l.notef("callers' own keys may be assigned to another target, since each key is assigned to one of the declared targets")
	}
}

// maxListedNames is the maximum number of names listed in one line.
const maxListedNames = 8

func joinNames(all []string) string {
	slices.SortFunc(all, cmp.Compare[string])
	if len(all) <= maxListedNames {
		return strings.Join(all, ", ")
	}
	return strings.Join(all[:maxListedNames], ", ") + fmt.Sprintf(" and %d more", len(all)-maxListedNames)
}

func vmNames(targets []fleet.Target) []string {
	list := make([]string, len(targets))
	for i, t := range targets {
		list[i] = t.VM
	}
	return list
}

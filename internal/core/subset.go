package core

import (
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// subsetTable holds the targets of each service that this node's entry uses. They
// depend only on the configuration, and are recomputed only for services whose document
// has changed, or if the declared VMs have changed.
type subsetTable struct {
	entries *pick.Entries
	config  *config.Config
	rows    map[string]subset
}

// subset holds the indexes of the service's targets that the entry uses.
type subset struct {
	service  *config.Service
	entries  *pick.Entries
	targets  []int
	inRegion int
}

// update updates the table for a configuration.
func (t *subsetTable) update(c *config.Config) {
	if t.config == c {
		return
	}
	t.config = c
	next := pick.NewEntries(placesOf(c))
	if t.entries == nil || !next.Equal(t.entries) {
		t.entries = next
	}
	rows := make(map[string]subset, len(c.Services))
	for name, svc := range c.Services {
		if row := t.rows[name]; row.service == svc && row.entries == t.entries {
			rows[name] = row
		}
	}
	t.rows = rows
}

// placesOf returns the places of all declared VMs, each of which has an entry.
func placesOf(c *config.Config) (list []pick.Place) {
	for _, svc := range c.Services {
		for _, t := range svc.Targets {
			list = append(list, pick.Place{VM: t.VM, Zone: t.Zone, Region: c.Regions[t.Zone]})
		}
	}
	return list
}

// of returns the subset of a service. homes are the service's targets in declared
// order.
func (t *subsetTable) of(here pick.Place, svc *config.Service, homes []*pick.Target) (targets []*pick.Target, inRegion int) {
	row := t.rows[svc.Name]
	if row.service != svc {
		row = subset{service: svc, entries: t.entries}
		row.targets, row.inRegion = t.entries.Subset(here, homes)
		t.rows[svc.Name] = row
	}
	for _, i := range row.targets {
		targets = append(targets, homes[i])
	}
	return targets, row.inRegion
}

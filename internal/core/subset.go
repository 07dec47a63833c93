package core

import (
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// subsetTable holds which targets of each service this node's entry uses. They
// follow from the configuration alone, and are drawn again only for services
// whose document has changed, or when the VMs declared have.
type subsetTable struct {
	entries *pick.Entries
	as      *config.Config
	rows    map[string]subset
}

// subset is the indexes of a service's targets that the entry uses.
type subset struct {
	of       *config.Service
	entries  *pick.Entries
	targets  []int
	inRegion int
}

// update takes the entries of a configuration.
func (t *subsetTable) update(c *config.Config) {
	if t.as == c {
		return
	}
	t.as = c
	next := pick.NewEntries(placesOf(c))
	if t.entries == nil || !next.Equal(t.entries) {
		t.entries = next
	}
	rows := make(map[string]subset, len(c.Services))
	for name, svc := range c.Services {
		if row := t.rows[name]; row.of == svc && row.entries == t.entries {
			rows[name] = row
		}
	}
	t.rows = rows
}

// placesOf gives the places of all declared VMs: each has an entry.
func placesOf(c *config.Config) (list []pick.Place) {
	for _, svc := range c.Services {
		for _, t := range svc.Targets {
			list = append(list, pick.Place{VM: t.VM, Zone: t.Zone, Region: c.Regions[t.Zone]})
		}
	}
	return list
}

// of gives the subset of a service, whose targets are homes as declared.
func (t *subsetTable) of(here pick.Place, svc *config.Service, homes []*pick.Target) (targets []*pick.Target, inRegion int) {
	row := t.rows[svc.Name]
	if row.of != svc {
		row = subset{of: svc, entries: t.entries}
		row.targets, row.inRegion = t.entries.Subset(here, homes)
		t.rows[svc.Name] = row
	}
	for _, i := range row.targets {
		targets = append(targets, homes[i])
	}
	return targets, row.inRegion
}

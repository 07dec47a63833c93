// Package deployments declares example fleets: those of two users, which the demo
// also runs, and one of the largest supported size.
package deployments

import (
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// cestaVivaSlots is the number of requests that each Cesta Viva backend server
// runs concurrently.
const cestaVivaSlots = 6

// CestaViva returns the fleet of Cesta Viva Entregas: three regions with two
// availability zones each, three services, and one target of each service in
// every zone.
func CestaViva(revision uint64) fleet.Fleet {
	zones := []fleet.Zone{
		{Name: "rs-a", Region: "rs"},
		{Name: "rs-b", Region: "rs"},
		{Name: "sc-a", Region: "sc"},
		{Name: "sc-b", Region: "sc"},
		{Name: "pr-a", Region: "pr"},
		{Name: "pr-b", Region: "pr"},
	}
	return fleet.Fleet{
		Name: "cesta-viva", Revision: revision, Regions: []string{"rs", "sc", "pr"}, Zones: zones,
		// A quarter of the default byte budgets: traffic between regions is billed by the
		// byte, and more measuring would hardly lower latency.
		Budget: fleet.Budget{Requests: fleet.DefaultRequests, Bytes: fleet.DefaultBytes / 4, CrossRegionBytes: fleet.DefaultCrossBytes / 4},
		Teams:  []fleet.Team{{Name: "store"}, {Name: "logistics"}},
		Services: []fleet.Service{
			{
				Name: "catalogue", Team: "store", Timeout: 2 * time.Second,
				Routes:  []fleet.Route{{Name: "browse", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true}},
				Targets: oneTargetPerZone(zones, "catalogue", cestaVivaSlots),
			},
			{
				Name: "orders", Team: "store", Timeout: 5 * time.Second, KeyLifetime: 10 * time.Second,
				Routes: []fleet.Route{
					{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true},
					{Name: "stock", Methods: []string{"POST"}, Path: "/stock/check", Idempotent: true, Class: 5},
					{Name: "confirm", Path: "/orders/*", Class: 9},
				},
				Targets: oneTargetPerZone(zones, "orders", cestaVivaSlots),
			},
			{
				Name: "depot", Team: "logistics", Timeout: 30 * time.Second, KeyLifetime: 10 * time.Second,
				Routes: []fleet.Route{
					{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true},
					{Name: "upload", Methods: []string{"PUT"}, Path: "/uploads/*", Idempotent: true, Class: 3},
					{Name: "payout", Path: "/payouts/*", Class: 9},
				},
				Targets: oneTargetPerZone(zones, "depot", cestaVivaSlots),
			},
		},
	}
}

// oneTargetPerZone returns one target of the service in every zone. Each VM is
// named after the service and the zone.
func oneTargetPerZone(zones []fleet.Zone, service string, slots int) []fleet.Target {
	targets := make([]fleet.Target, 0, len(zones))
	for _, z := range zones {
		targets = append(targets, fleet.Target{VM: service + "-" + z.Name, Zone: z.Name, Slots: slots})
	}
	return targets
}

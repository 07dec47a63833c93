package deployments

import (
	"fmt"

	"github.com/limpetdock/limpetdock/fleet"
)

// The largest fleet size that the system is designed for.
const (
	LargeTargets  = 890
	LargeServices = 59
	largeZones    = 11
	largeRegions  = 3
	largeTeams    = 12
)

// Large returns a fleet of the largest size that the system is designed for. It
// is used to test the size and cost of its configuration.
func Large(revision uint64) fleet.Fleet {
	f := fleet.Fleet{Name: "large", Revision: revision}
	for i := range largeRegions {
		f.Regions = append(f.Regions, fmt.Sprint("r", i))
	}
	for i := range largeZones {
		f.Zones = append(f.Zones, fleet.Zone{Name: fmt.Sprint("z", i), Region: fmt.Sprint("r", i%largeRegions)})
	}
	for i := range largeTeams {
		f.Teams = append(f.Teams, fleet.Team{Name: fmt.Sprint("team", i), InFlight: 500})
	}
	for i := range LargeServices {
		f.Services = append(f.Services, fleet.Service{
			Name: fmt.Sprint("service", i), Team: fmt.Sprint("team", i%largeTeams),
			Hosts: []string{fmt.Sprintf("s%d.example", i), fmt.Sprintf("t%d.example", i)},
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true},
				{Name: "upload", Methods: []string{"PUT"}, Path: "/uploads/*", Idempotent: true, Class: 3},
				{Name: "status", Methods: []string{"POST"}, Path: "/status", Idempotent: true, Class: 5},
				{Name: "book", Path: "/bookings/*", Class: 9},
			},
		})
	}
	for i := range LargeTargets {
		s := &f.Services[i%LargeServices]
		s.Targets = append(s.Targets, fleet.Target{VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%largeZones), Slots: 8})
	}
	return f
}

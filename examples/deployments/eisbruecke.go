package deployments

import (
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// eisbrueckeSlots is the number of requests that each Innsbruck backend server
// runs concurrently.
const eisbrueckeSlots = 9

// Eisbruecke returns the fleet of Stadtwerke Polarversorgung Innsbruck: three
// regions with two availability zones each, three services, and one target of each
// service in every zone.
func Eisbruecke(revision uint64) fleet.Fleet {
	zones := []fleet.Zone{
		{Name: "tirol-a", Region: "tirol"},
		{Name: "tirol-b", Region: "tirol"},
		{Name: "wien-a", Region: "wien"},
		{Name: "wien-b", Region: "wien"},
		{Name: "steiermark-a", Region: "steiermark"},
		{Name: "steiermark-b", Region: "steiermark"},
	}
	return fleet.Fleet{
		Name: "eisbruecke", Revision: revision,
		Regions:  []string{"tirol", "wien", "steiermark"},
		Zones:    zones,
		Teams:    []fleet.Team{{Name: "stations"}, {Name: "flights"}},
		Services: []fleet.Service{manifest(zones), cargo(zones), ground(zones)},
	}
}

// manifest returns the read-only service of the manifest board, which station
// crews read all day.
func manifest(zones []fleet.Zone) fleet.Service {
	return fleet.Service{
		Name: "manifest", Team: "stations", Timeout: 2 * time.Second,
		Routes:  []fleet.Route{{Name: "board", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true}},
		Targets: oneTargetPerZone(zones, "manifest", eisbrueckeSlots),
	}
}

// cargo returns the service that books cargo space. Other services call
// slot-status, so it is short, has priority over reads under overload, and may be
// retried.
func cargo(zones []fleet.Zone) fleet.Service {
	return fleet.Service{
		Name: "cargo", Team: "flights", Timeout: 5 * time.Second,
		Routes: []fleet.Route{
			{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true, Class: 1},
			{Name: "slot-status", Methods: []string{"POST"}, Path: "/slots/status", Idempotent: true, Class: 6},
			{Name: "book", Path: "/bookings/*", Class: 9},
		},
		Targets: oneTargetPerZone(zones, "cargo", eisbrueckeSlots),
	}
}

// ground returns the service that receives weather charts, load photographs and
// fuel-drop confirmations.
func ground(zones []fleet.Zone) fleet.Service {
	return fleet.Service{
		Name: "ground", Team: "flights", Timeout: 30 * time.Second, Drain: 5 * time.Minute,
		Routes: []fleet.Route{
			{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true, Class: 1},
			{Name: "upload", Methods: []string{"PUT"}, Path: "/uploads/*", Idempotent: true, Retries: 1, Class: 3},
			{Name: "airframe-status", Methods: []string{"POST"}, Path: "/airframes/status", Idempotent: true, Class: 6},
			{Name: "fuel-drop", Path: "/fuel-drops/*", Class: 9},
		},
		Targets: oneTargetPerZone(zones, "ground", eisbrueckeSlots),
	}
}

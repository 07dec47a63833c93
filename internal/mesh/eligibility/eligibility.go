// Package eligibility decides whether a target may get a request at all, however much room it
// has. Entries apply it to each attempt, and guards to each request before it is sent to the
// backend server. It has no state and no clock.
package eligibility

import "github.com/limpetdock/limpetdock/internal/mesh"

// Reason is why a target must not get a request.
type Reason string

// The reasons.
const (
	// Eligible means that there is no reason.
	Eligible Reason = ""
	// NotRegistered is a target without a valid registration.
	NotRegistered Reason = "not-registered"
	// Draining is a target that only completes the requests that it has.
	Draining Reason = "draining"
	// ZoneEvacuated is a target in an availability zone that operators have evacuated.
	ZoneEvacuated Reason = "zone-evacuated"
	// RegionNotAllowed is a target outside the allowed regions of the request's route.
	RegionNotAllowed Reason = "region-not-allowed"
)

// Reasons are all reasons except Eligible.
var Reasons = []Reason{NotRegistered, Draining, ZoneEvacuated, RegionNotAllowed}

// Check returns why the target must not get a request of the given routes, or Eligible. All
// routes must allow the target's region: a request that was accepted under an older
// configuration is bound by its route there and by the present one. A nil route allows all.
func Check(v *mesh.View, t *mesh.Target, routes ...*mesh.Route) Reason {
	switch {
	case t == nil:
		return NotRegistered
	case t.State == mesh.Draining:
		return Draining
	case v.EvacuatedZones[t.Zone]:
		return ZoneEvacuated
	}
	for _, r := range routes {
		if r != nil && !r.AllowsRegion(t.Region) {
			return RegionNotAllowed
		}
	}
	return Eligible
}

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/place"
)

// newRegionalDeployment returns a deployment whose own VM and "zone" are in rs, in different
// availability zones, "region" in sc and "far" in pr.
func newRegionalDeployment(t *testing.T) *deployment {
	d := newDeployment(t, false)
	for i, place := range []struct{ zone, region string }{{"rs-a", "rs"}, {"rs-b", "rs"}, {"sc-a", "sc"}, {"pr-a", "pr"}} {
		d.targets[i].Zone, d.targets[i].Region = place.zone, place.region
	}
	return d
}

// publishRoute puts a configuration in force in which the route has other allowed regions.
func (d *deployment) publishRoute(regions ...string) {
	route := *d.route
	route.AllowedRegions = regions
	d.route = &route
	d.publishView()
}

// Guards against a body that leaves the allowed regions on a resend after every kind of refusal.
func TestNoAttemptLeavesTheAllowedRegions(t *testing.T) {
	d := newRegionalDeployment(t)
	d.publishRoute("sc", "pr")
	for _, name := range []string{own, "zone", "region", "far"} {
		d.answers[name] = failing(kind.Overloaded)
	}
	_, err := d.serve()
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Subset(t, []string{"region", "far"}, d.attempted)
	require.NotEmpty(t, d.attempted)
}

// Guards against an attempt outside the allowed regions for any placement, load and failures.
func TestAttemptsStayInRandomAllowedRegions(t *testing.T) {
	kinds := []kind.Kind{kind.Overloaded, kind.Leaving, kind.Unreachable, kind.StaleConfig, kind.NotReady}
	names := []string{own, "zone", "region", "far"}
	rapid.Check(t, func(r *rapid.T) {
		d := newRegionalDeployment(t)
		regionOf := map[string]string{}
		for _, target := range d.targets {
			target.Region = rapid.SampledFrom([]string{"rs", "sc", "pr", ""}).Draw(r, "region")
			regionOf[target.Peer] = target.Region
		}
		d.publishRoute(rapid.SliceOf(rapid.SampledFrom([]string{"rs", "sc", "pr", "unknown"})).Draw(r, "allowed")...)
		d.setBusy(rapid.IntRange(0, 50).Draw(r, "waiting"), rapid.SampledFrom(names).Draw(r, "busy"))
		for _, name := range names {
			d.answers[name] = failing(rapid.SampledFrom(kinds).Draw(r, "failure"))
		}
		_, _ = d.serve()
		for _, name := range d.attempted {
			require.True(t, d.route.AllowsRegion(regionOf[name]), "%s in %q, allowed %v", name, regionOf[name], d.route.AllowedRegions)
		}
	})
}

// Guards against a request that is held or sent elsewhere although no allowed region has a target.
func TestRequestIsRefusedAtOnceIfNoAllowedRegionHasATarget(t *testing.T) {
	d := newRegionalDeployment(t)
	d.publishRoute("unknown")
	_, err := d.serve()
	require.Equal(t, kind.NoTarget, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.GreaterOrEqual(t, err.RetryAfter, time.Second)
	require.Contains(t, err.Message, "4 region-not-allowed")
	require.Empty(t, d.attempted)
}

// A request is refused by its first target while a configuration takes a region away. Guards
// against a resend under the rules of the configuration under which it was accepted.
func TestNewConfigurationBindsResends(t *testing.T) {
	d := newRegionalDeployment(t)
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		d.publishRoute("pr")
		return failing(kind.Overloaded)(r)
	}
	answer, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, []string{own, "far"}, d.attempted)
}

// Guards against a resend that ignores the route under which the request was accepted.
func TestOlderConfigurationStillBindsResends(t *testing.T) {
	d := newRegionalDeployment(t)
	d.publishRoute("rs")
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		d.publishRoute()
		return failing(kind.Overloaded)(r)
	}
	d.answers["zone"] = failing(kind.Overloaded)
	_, err := d.serve()
	require.NotNil(t, err)
	require.Contains(t, d.attempted, "zone")
	require.Subset(t, []string{own, "zone"}, d.attempted)
}

// evacuate puts a View in force in which zones are evacuated.
func (d *deployment) evacuate(zones ...string) {
	d.evacuated = map[string]bool{}
	for _, zone := range zones {
		d.evacuated[zone] = true
	}
	d.publishView()
}

// Guards against new requests to a zone that operators have evacuated, also as a last resort.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	d := newRegionalDeployment(t)
	d.evacuate("rs-a", "rs-b")
	for _, name := range []string{"region", "far"} {
		d.answers[name] = failing(kind.Overloaded)
	}
	_, err := d.serve()
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.NotContains(t, d.attempted, own)
	require.NotContains(t, d.attempted, "zone")
}

// Guards against a resend into a zone that is evacuated while the request is in flight.
func TestEvacuationBindsResends(t *testing.T) {
	d := newRegionalDeployment(t)
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		d.evacuate("rs-a", "rs-b")
		return failing(kind.Leaving)(r)
	}
	_, err := d.serve()
	require.Nil(t, err)
	require.Len(t, d.attempted, 2)
	require.NotEqual(t, "zone", d.attempted[1])
}

// Guards against a request that waits for its deadline while every zone is evacuated.
func TestRequestIsRefusedAtOnceIfAllZonesAreEvacuated(t *testing.T) {
	d := newRegionalDeployment(t)
	d.evacuate("rs-a", "rs-b", "sc-a", "pr-a")
	_, err := d.serve()
	require.Equal(t, kind.NoTarget, err.Kind)
	require.Contains(t, err.Message, "4 zone-evacuated")
	require.Empty(t, d.attempted)
}

// Guards against a zone that is avoided after its evacuation has ended.
func TestZoneGetsRequestsAgainAfterEvacuation(t *testing.T) {
	d := newRegionalDeployment(t)
	d.evacuate("rs-a")
	d.evacuate()
	_, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, []string{own}, d.attempted)
}

// A route's allowed regions are all far away, and their targets are equally busy. Guards against
// requests that are sent from one to the next across regions, each time with their bodies, for a
// wait that is shorter than the way.
func TestQueueTimeoutIncludesTheCostOfAnotherAttempt(t *testing.T) {
	d := newRegionalDeployment(t)
	prices := entry.Prices{RegionPerKB: 80 * time.Millisecond}
	d.entry.SetPrices(prices)
	d.targets = d.targets[2:]
	d.targets[0].Distance = place.OtherRegion
	d.publishRoute("sc", "pr")
	var queueTimeout time.Duration
	for _, name := range []string{"region", "far"} {
		d.answers[name] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
			queueTimeout = r.QueueTimeout
			return answered(200)(r)
		}
	}
	const body = 1000
	_, err := d.entry.Serve(t.Context(), d.request(body))
	require.Nil(t, err)
	const roundTrip = 16 * time.Millisecond
	require.GreaterOrEqual(t, queueTimeout, roundTrip+prices.RegionPerKB)
	require.Less(t, queueTimeout, d.route.LatencyObjective)
}

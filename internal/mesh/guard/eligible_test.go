package guard_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// placeIn locates the backend server, and restricts the only route.
func (x *fixture) placeIn(zone, region string, allowed ...string) {
	target := *x.view.LocalTarget
	target.Zone, target.Region = zone, region
	view := *x.view
	view.LocalTarget = &target
	view.Config = mesh.NewConfig(2, view.Config.Services, []*mesh.Route{{
		Name: "r", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}, AllowedRegions: allowed,
	}}, mesh.Limits{})
	x.view = &view
	x.SetView(x.view)
}

// evacuate puts a View in force in which a zone is evacuated.
func (x *fixture) evacuate(zones ...string) {
	view := *x.view
	view.EvacuatedZones = map[string]bool{}
	for _, zone := range zones {
		view.EvacuatedZones[zone] = true
	}
	x.view = &view
	x.SetView(x.view)
}

// Guards against a sender with an older configuration whose request runs outside the allowed regions.
func TestGuardRefusesRequestOfRouteNotAllowedInItsRegion(t *testing.T) {
	x := newFixture(t, 4, signed)
	x.placeIn("pr-a", "pr", "rs", "sc")
	_, err := x.Run(t.Context(), request())
	require.Equal(t, kind.StaleConfig, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Zero(t, x.received.Load())
	x.placeIn("rs-a", "rs", "rs", "sc")
	_, err = x.Run(t.Context(), request())
	require.Nil(t, err)
}

// Guards against a sender with a View from before the evacuation, and against an end of it that is
// ignored.
func TestGuardRefusesRequestsWhileItsZoneIsEvacuated(t *testing.T) {
	x := newFixture(t, 4, signed)
	x.placeIn("rs-a", "rs")
	x.evacuate("rs-a")
	_, err := x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.True(t, x.Load().Leaving)
	require.Zero(t, x.received.Load())
	x.evacuate("rs-b")
	_, err = x.Run(t.Context(), request())
	require.Nil(t, err)
	require.False(t, x.Load().Leaving)
}

// Guards against requests that wait for a slot in an evacuated zone until it is too late for
// another one, and against the end of requests that run there.
func TestEvacuationEndsWaitsButNotRunningRequests(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 1)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		signed(w, r)
	})
	x.placeIn("rs-a", "rs")
	results := make(chan *kind.Error, 2)
	run := func() {
		_, err := x.Run(t.Context(), request())
		results <- err
	}
	go run()
	<-started
	go run()
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	x.evacuate("rs-a")
	err := <-results
	require.NotNil(t, err)
	require.Equal(t, kind.Leaving, err.Kind)
	close(release)
	require.Nil(t, <-results)
}

// Guards against health checks of backend servers in a zone that must get nothing.
func TestBackendInEvacuatedZoneIsNotProbed(t *testing.T) {
	x := newFixture(t, 1, signed)
	x.handlesHealth.Store(true)
	x.placeIn("rs-a", "rs")
	x.evacuate("rs-a")
	x.now.Store(int64(time.Hour))
	x.ProbeIfDue(t.Context())
	require.Zero(t, x.received.Load())
	x.evacuate()
	x.ProbeIfDue(t.Context())
	require.EqualValues(t, 1, x.received.Load())
}

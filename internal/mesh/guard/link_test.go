package guard_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guards against small answers that are refused for the sake of the link, and against a refusal that
// leaves open whether the request has run.
func TestOnlyBulkRequestsAreRefusedForTheLink(t *testing.T) {
	x := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {})
	const wait = 70 * time.Millisecond
	routes := []*mesh.Route{
		{Name: "bulk", Host: "h", Prefix: "/b", Bulk: true}, {Name: "small", Host: "h", Prefix: "/s"},
	}
	view := *x.view
	view.Config = mesh.NewConfig(2, view.Config.Services, routes, mesh.Limits{})
	x.SetView(&view)
	r := request()
	for path, refused := range map[string]bool{"/b?n=1": true, "/s": false, "/x": false} {
		r.URI = path
		e := x.RefuseBulk(r, wait)
		require.Equal(t, refused, e != nil, path)
		if e != nil {
			require.Equal(t, kind.Overloaded, e.Kind)
			require.Equal(t, kind.NotRun, e.ReportedOutcome())
			require.Equal(t, wait, e.Wait)
			require.GreaterOrEqual(t, e.RetryAfter, wait)
		}
	}
	require.Zero(t, x.received.Load())
}

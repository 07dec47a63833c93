package guard

import (
	"context"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// An entry cancels a copy of a read because the other one was answered. The backend
// server happens to be down then. To put its death down to the cancelled
// request would make a suspect of a read that has just run whole elsewhere.
func TestACancelledRequestTellsNoDeath(t *testing.T) {
	// Nothing listens there: a look at it finds a death.
	g := New(&url.URL{Scheme: "http", Host: "127.0.0.1:1"}, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	require.Equal(t, kind.BackendDied, g.brokenOff(&permit{sent: true}, context.Canceled).Kind)
	cancel()
	e := g.backendError(ctx, &permit{sent: true}, visit{}, context.Canceled)
	require.Equal(t, kind.OutcomeUnknown, e.Kind)
	require.Zero(t, e.Death)
}

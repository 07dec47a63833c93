package guard

import (
	"context"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// An entry cancels a copy of a read because the other copy was answered, while the
// backend server happens to be down. Blaming the cancelled request for the death would
// make a suspect of a read that has just succeeded elsewhere.
func TestCancelledRequestReportsNoDeath(t *testing.T) {
	// Nothing listens there: a probe reports a death.
	g := New(&url.URL{Scheme: "http", Host: "127.0.0.1:1"}, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	sent := &permit{sent: true, conn: g.detector.Opening().Opened()}
	require.Equal(t, kind.BackendDied, g.connectionError(sent, context.Canceled).Kind)
	cancel()
	e := g.backendError(ctx, sent, execution{}, context.Canceled)
	require.Equal(t, kind.OutcomeUnknown, e.Kind)
	require.Zero(t, e.Death)
}

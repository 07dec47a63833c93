package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// At the target size, every node's metrics are scraped every few seconds. In the
// worst case a node has answered with every kind for each service. Targets are not a
// label.
func TestScrapeAtTargetSizeIsBelowOneMegabyte(t *testing.T) {
	const megabyte = 1 << 20
	f := deployments.Large(1)
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)

	m, limits := metrics.New(), limit.New()
	limits.SetConfig(c)
	m.Registry.MustRegister(limits)
	for _, name := range []string{"callers", "guard", "admin"} {
		(&serverCounters{}).register(m, name)
	}
	for _, s := range f.Services {
		for _, k := range append(kind.All(), "") {
			m.Answered(s.Name, k, time.Millisecond)
			m.Hopped(s.Name, k)
		}
	}
	rec := httptest.NewRecorder()
	promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
	t.Logf("%d bytes", rec.Body.Len())
	require.Equal(t, http.StatusOK, rec.Code)
	require.Less(t, rec.Body.Len(), megabyte)
	require.Contains(t, rec.Body.String(), "limpetdock_in_flight_limit")
}

package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// At the target size every node is asked for its metrics every few seconds by
// whoever gathers them. The worst node has given every kind of answer for each
// service. Targets are no label.
func TestTheScrapeAtTheTargetSizeStaysBelowAMegabyte(t *testing.T) {
	const targets, services, teams, megabyte = 890, 59, 12, 1 << 20
	f := fleet.Fleet{Name: "large", Revision: 1, Zones: []fleet.Zone{{Name: "a", Region: "r"}}}
	for i := range teams {
		f.Teams = append(f.Teams, fleet.Team{Name: fmt.Sprint("team-", i), InFlight: 100})
	}
	for i := range services {
		f.Services = append(f.Services, fleet.Service{
			Name: fmt.Sprint("a-service-with-a-long-name-", i), Team: fmt.Sprint("team-", i%teams),
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true},
				{Name: "upload", Methods: []string{"PUT"}, Path: "/uploads/*", Idempotent: true},
				{Name: "book", Methods: []string{"POST"}, Path: "/bookings/*"},
				{Name: "other", Path: "/*"},
			},
		})
	}
	for i := range targets {
		s := &f.Services[i%services]
		s.Targets = append(s.Targets, fleet.Target{VM: fmt.Sprint("vm-", i), Zone: "a", Slots: 8})
	}
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)

	m, limits, counters := metrics.New(), limit.New(), countersByServer{}
	limits.SetConfig(c)
	m.Registry.MustRegister(limits)
	for _, name := range []string{"callers", "guard", "admin"} {
		counters.of(m, logr.Discard(), name)
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

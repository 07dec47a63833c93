package limit

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
)

var (
	read = fleet.Route{Name: "read", Class: 1}
	book = fleet.Route{Name: "book", Class: 5}
	slow = fleet.Route{Name: "slow", Class: 1, InFlight: 2}
)

// declared returns a configuration of two teams; the first has two services.
func declared(teamLimit, serviceLimit int) *config.Config {
	service := func(name, team string) *config.Service {
		return &config.Service{Service: fleet.Service{
			Name: name, Team: team, InFlight: serviceLimit, Routes: []fleet.Route{read, book, slow},
		}}
	}
	return &config.Config{
		Index: &config.Index{Fleet: fleet.Fleet{Teams: []fleet.Team{
			{Name: "flights", InFlight: teamLimit}, {Name: "ground", InFlight: teamLimit},
		}}},
		Services: map[string]*config.Service{
			"manifest": service("manifest", "flights"), "booking": service("booking", "flights"),
			"operations": service("operations", "ground"),
		},
	}
}

// admitted sends requests that stay in flight and returns how many were admitted.
func admitted(t *Table, service string, route *fleet.Route, tries int) (n int) {
	for range tries {
		if _, e := t.Admit(service, route); e == nil {
			n++
		}
	}
	return n
}

func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		team, service int
		route         *fleet.Route
		want          int
	}{
		"none":                          {0, 0, &read, 500},
		"service, highest class":        {0, 100, &book, 100},
		"service, lower class":          {0, 100, &read, 90},
		"service, no route":             {0, 100, nil, 90},
		"team before service":           {50, 100, &book, 50},
		"route":                         {0, 100, &slow, 2},
		"a limit of one has no reserve": {0, 1, &read, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			table.SetConfig(declared(c.team, c.service))
			require.Equal(t, c.want, admitted(table, "manifest", c.route, 500))
		})
	}
}

// One team's client requests the manifest in a loop from every station. Requests
// of the other team, and the same team's bookings, must still be admitted.
func TestTeamOverItsLimitDoesNotAffectOtherTeams(t *testing.T) {
	table := New()
	table.SetConfig(declared(100, 0))
	require.Equal(t, 90, admitted(table, "manifest", &read, 10_000))
	require.Equal(t, 10, admitted(table, "booking", &book, 10), "bookings are admitted when reads are refused")
	require.Equal(t, 90, admitted(table, "operations", &read, 90), "the other team can use its whole limit")
	_, e := table.Admit("manifest", &read)
	require.Equal(t, kind.OverLimit, e.Kind)
	require.Equal(t, kind.NotRun, e.ReportedOutcome())
	require.GreaterOrEqual(t, e.RetryAfter, retryAfter)
}

func TestRefusedRequestIsNotCountedInFlight(t *testing.T) {
	table := New()
	table.SetConfig(declared(100, 100))
	require.Equal(t, 2, admitted(table, "manifest", &slow, 50))
	require.Equal(t, 98, admitted(table, "manifest", &book, 500))
}

func TestRequestsInFlightStayCountedAfterNewConfiguration(t *testing.T) {
	table := New()
	table.SetConfig(declared(2, 0))
	hold, e := table.Admit("manifest", &book)
	require.Nil(t, e)
	table.SetConfig(declared(1, 0))
	require.Zero(t, admitted(table, "manifest", &book, 1), "what is in flight stays counted")
	hold.Release()
	require.Equal(t, 1, admitted(table, "manifest", &book, 5))
	require.Equal(t, 0, admitted(table, "unheard-of", nil, 0))
}

func TestUsesAndMetricsShowRefusals(t *testing.T) {
	table := New()
	table.SetConfig(declared(1, 0))
	admitted(table, "manifest", &book, 4)
	require.Contains(t, table.Uses(), Use{Team, "flights", 1, 1, 3})
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(table)
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 3)
	require.Len(t, families[0].GetMetric(), len(table.Uses()))
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	table := New()
	table.SetConfig(declared(100, 100))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		hold, _ := table.Admit("manifest", &book)
		hold.Release()
	}))
}

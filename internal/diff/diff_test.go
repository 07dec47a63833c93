package diff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/diff"
)

func shop() fleet.Fleet {
	return fleet.Fleet{
		Name: "shop", Revision: 7,
		Zones: []fleet.Zone{{Name: "rs-a", Region: "rs"}, {Name: "sc-a", Region: "sc"}},
		Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store", Hosts: []string{"orders.example"},
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true},
				{Name: "stock", Methods: []string{"POST"}, Path: "/stock/check", Idempotent: true},
				{Name: "confirm", Path: "/orders/*", Class: 9},
			},
			Targets: []fleet.Target{{VM: "orders-1", Zone: "rs-a", Slots: 6}, {VM: "orders-2", Zone: "sc-a", Slots: 6}},
		}},
	}
}

func assembled(t *testing.T, f fleet.Fleet) *config.Config {
	t.Helper()
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)
	return c
}

func TestCompare(t *testing.T) {
	type change = func(f *fleet.Fleet, s *fleet.Service)
	tests := map[string]struct {
		change change
		want   []string
	}{
		"nothing":        {func(_ *fleet.Fleet, _ *fleet.Service) {}, nil},
		"revision rises": {func(f *fleet.Fleet, _ *fleet.Service) { f.Revision = 8 }, []string{"note: fleet: revision rises from 7 to 8"}},
		"revision falls": {func(f *fleet.Fleet, _ *fleet.Service) { f.Revision = 6 }, []string{"warning: fleet: revision falls from 7 to 6: nodes refuse it"}},
		"one revision, two contents": {func(_ *fleet.Fleet, s *fleet.Service) { s.Queue = 20 }, []string{
			"warning: fleet: revision 7 is published with two contents: nodes keep the one with the higher digest",
			"note: orders: requests that may wait at each target goes from 16 to 20",
		}},
		"a route may be repeated": {func(f *fleet.Fleet, s *fleet.Service) { f.Revision = 8; s.Routes[2].Idempotent = true }, []string{
			"note: fleet: revision rises from 7 to 8",
			"warning: orders: OTHER,POST /orders/* goes from at most once to idempotent: requests may be repeated",
		}},
		"an earlier route now matches a booking": {func(f *fleet.Fleet, s *fleet.Service) {
			f.Revision = 8
			s.Routes[0].Methods = []string{"GET", "POST"}
			s.Routes = append(s.Routes[:1], s.Routes[2])
		}, []string{
			"note: fleet: revision rises from 7 to 8",
			"warning: orders: POST /* goes from at most once to idempotent: requests may be repeated",
			"warning: orders: POST /orders/* goes from at most once to idempotent: requests may be repeated",
			"note: orders: route read: methods goes from GET to GET,POST",
			"note: orders: route stock is gone: POST /stock/check",
		}},
		"a route no longer repeated": {func(f *fleet.Fleet, s *fleet.Service) { f.Revision = 8; s.Routes = s.Routes[:1] }, []string{
			"note: fleet: revision rises from 7 to 8",
			"note: orders: POST /stock/check goes from idempotent to at most once: requests are no longer retried",
			"note: orders: route stock is gone: POST /stock/check",
			"note: orders: route confirm is gone: every method /orders/*",
		}},
		"another order": {func(f *fleet.Fleet, s *fleet.Service) {
			f.Revision = 8
			s.Routes[0], s.Routes[1] = s.Routes[1], s.Routes[0]
		}, []string{"note: fleet: revision rises from 7 to 8", "note: orders: routes are tried in another order"}},
		"numbers": {func(f *fleet.Fleet, s *fleet.Service) {
			f.Revision, f.Teams[0].InFlight = 8, 40
			f.Budget = fleet.Budget{Requests: 20, Bytes: 900, CrossRegionBytes: 200}
			s.MaxTimeout, s.KeyLifetime, s.Timeout = time.Minute, time.Minute, time.Second
			s.Routes[2].InFlight = 5
			s.Targets[0].Slots = 7
		}, []string{
			"note: fleet: revision rises from 7 to 8",
			"note: fleet: budget: measuring bytes per second goes from 1000 to 900",
			"note: fleet: team store: requests at once at each node go from no limit to 40",
			"note: orders: deadline of requests that bring none goes from 5s to 1s",
			"warning: orders: the longest deadline falls from 10m0s to 1m0s: longer ones are cut to it",
			"warning: orders: the lifetime of callers' keys falls from 10m0s to 1m0s: an older key sent again is no longer known",
			"note: orders: route confirm: requests at once at each node go from no limit to 5",
			"note: orders: target orders-1: slots goes from 6 to 7",
		}},
		"hedges on": {func(f *fleet.Fleet, s *fleet.Service) { f.Revision, s.HedgePercent = 8, 5 }, []string{
			"note: fleet: revision rises from 7 to 8",
			"note: orders: idempotent requests that are slow are sent to a second target as well, up to 5 in 100",
		}},
		"no refusal": {func(f *fleet.Fleet, s *fleet.Service) { f.Revision, s.NoRefusal = 8, true }, []string{
			"note: fleet: revision rises from 7 to 8",
			"warning: orders: targets no longer refuse what they can't run in time: requests wait until their deadline",
		}},
		"places": {func(f *fleet.Fleet, s *fleet.Service) {
			f.Revision, f.Name, f.Ports = 8, "store", fleet.Ports{Guard: 1, Control: 2}
			f.Zones[1].Region = "pr"
			f.Zones = append(f.Zones, fleet.Zone{Name: "rs-b", Region: "rs"})
			f.Teams = append(f.Teams, fleet.Team{Name: "depot"})
			s.Hosts = []string{"other.example"}
			s.Targets[1] = fleet.Target{VM: "orders-3", Zone: "rs-b", Slots: 6}
		}, []string{
			"warning: fleet: the fleet's name goes from shop to store: nodes refuse another fleet's configuration",
			"note: fleet: revision rises from 7 to 8",
			"warning: fleet: ports go from guard 7200, control 7300 to guard 1, control 2: nodes listen where their settings say",
			"warning: fleet: availability zone sc-a moves from region sc to pr",
			"note: fleet: availability zone rs-b is new, in region rs",
			"note: fleet: team depot is new",
			"warning: orders: host orders.example no longer selects the service",
			"note: orders: host other.example selects the service",
			"note: orders: new targets: orders-3",
			"note: orders: targets that are gone: orders-2",
			"note: orders: callers' own keys may be assigned to another target, since each key is assigned to one of the declared targets",
		}},
		"services": {func(f *fleet.Fleet, s *fleet.Service) {
			f.Revision, s.Name, s.Hosts = 8, "sales", nil
			s.Targets = s.Targets[:1]
		}, []string{
			"note: fleet: revision rises from 7 to 8",
			"warning: orders: the service is gone: its requests are answered unknown-service",
			"note: sales: the service is new; its targets: orders-1",
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			after := shop()
			test.change(&after, &after.Services[0])
			var got []string
			for _, c := range diff.Compare(assembled(t, shop()), assembled(t, after)) {
				got = append(got, c.String())
			}
			require.Equal(t, test.want, got)
		})
	}
}

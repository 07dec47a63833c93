package guard

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// measured is a guard in region r with a budget that has filled up.
func measured(t *testing.T, policy string, b fleet.Budget) (*Guard, *budget.Measuring) {
	t.Helper()
	f := fleet.Fleet{
		Name: "shop", Revision: 1, Budget: b, Teams: []fleet.Team{{Name: "store"}},
		Zones: []fleet.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "z", Region: "s"}},
		Services: []fleet.Service{{Name: "orders", Team: "store", Policy: policy, Targets: []fleet.Target{
			{VM: "here", Zone: "a", Slots: 4}, {VM: "near", Zone: "b", Slots: 4}, {VM: "far", Zone: "z", Slots: 4},
		}}},
	}
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(map[string][]byte{
		pub.Index.Key: pub.Index.Text, pub.Services[0].Key: pub.Services[0].Text,
	})
	require.NoError(t, err)
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	g := New(&url.URL{Scheme: "http", Host: "127.0.0.1:1"}, 1, clock)
	m := budget.NewMeasuring(clock)
	g.SetMeasuring(m)
	g.reporter.setView(&pick.View{Config: c, Here: pick.Place{VM: "here", Zone: "a", Region: "r"}})
	now = time.Minute
	return g, m
}

// replyTo gives the load header of a reply to the entry on a VM.
func replyTo(g *Guard, vm string) string {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(headers.Config, "0123456789abcdef 1 0123456789abcdef "+vm)
	h := http.Header{}
	h.Set(headers.Load, "what a backend server says")
	g.addLoad(h, r, time.Minute)
	return h.Get(headers.Load)
}

// Every byte between regions is paid for. Load is told within the region as the
// budget allows, and to other regions by the stricter part of it; what is spent is
// what goes over the wire.
func TestLoadIsToldUnderTheBudget(t *testing.T) {
	g, m := measured(t, fleet.PolicyTwoLoad, fleet.Budget{Requests: 4, Bytes: 4000, CrossRegionBytes: 200})
	line := len("Limpetdock-Load: 0,0,0,0,0\r\n")
	require.Equal(t, "0,0,0,0,0", replyTo(g, "near"))
	require.EqualValues(t, line, m.Spent().Bytes.Load())
	require.Zero(t, m.Spent().CrossBytes.Load())

	require.NotEmpty(t, replyTo(g, "far"))
	require.Empty(t, replyTo(g, "far"), "a quarter of 200 bytes is one header")
	require.Empty(t, replyTo(g, "a VM nobody declared"), "an unknown sender counts as far")
	require.EqualValues(t, line, m.Spent().CrossBytes.Load())
	require.NotEmpty(t, replyTo(g, "near"), "the region's own budget is untouched")

	require.Nil(t, g.Probed("far"))
	require.NotNil(t, g.Probed("near"))
	require.EqualValues(t, 3*line+wire.Size(&wire.Load{}), m.Spent().Bytes.Load())
}

func TestLoadIsNotToldWhereNobodyUsesIt(t *testing.T) {
	for policy, told := range map[string]bool{
		fleet.PolicyRandom: false, fleet.PolicyRoundRobin: false, fleet.PolicyTwoChoices: false,
		fleet.PolicyProbe: false, fleet.PolicyTwoLoad: true, fleet.PolicyLeastLoad: true, fleet.PolicyIdleHints: true,
	} {
		g, _ := measured(t, policy, fleet.Budget{Requests: 4, Bytes: 4000, CrossRegionBytes: 200})
		require.Equal(t, told, replyTo(g, "near") != "", policy)
	}
}

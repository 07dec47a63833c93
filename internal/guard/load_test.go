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

// guardWithBudget returns a guard in region r with a full measuring budget.
func guardWithBudget(t *testing.T, policy string, b fleet.Budget) (*Guard, *budget.Measuring) {
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

// replyTo returns the load header of a reply to the entry on a VM.
func replyTo(g *Guard, vm string) string {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(headers.Config, "0123456789abcdef 1 0123456789abcdef "+vm)
	h := http.Header{}
	h.Set(headers.Load, "load reported by a backend server")
	g.addLoad(h, r, time.Minute)
	return h.Get(headers.Load)
}

// Traffic between regions is charged. Load is reported within the region as the budget
// allows, and to other regions within the stricter part of it. The budget is charged
// with the bytes sent on the wire.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	g, m := guardWithBudget(t, fleet.PolicyTwoLoad, fleet.Budget{Requests: 4, Bytes: 4000, CrossRegionBytes: 200})
	line := len("Limpetdock-Load: 0,0,0,0,0\r\n")
	require.Equal(t, "0,0,0,0,0", replyTo(g, "near"))
	require.EqualValues(t, line, m.Spent().Bytes.Load())
	require.Zero(t, m.Spent().CrossBytes.Load())

	require.NotEmpty(t, replyTo(g, "far"))
	require.Empty(t, replyTo(g, "far"), "a quarter of 200 bytes is one header")
	require.Empty(t, replyTo(g, "a VM nobody declared"), "an unknown sender counts as another region")
	require.EqualValues(t, line, m.Spent().CrossBytes.Load())
	require.NotEmpty(t, replyTo(g, "near"), "the region's own budget is untouched")

	require.Nil(t, g.AnswerProbe("far"))
	require.NotNil(t, g.AnswerProbe("near"))
	require.EqualValues(t, 3*line+wire.Size(&wire.Load{}), m.Spent().Bytes.Load())
}

func TestLoadIsReportedOnlyForPoliciesThatUseIt(t *testing.T) {
	for policy, reported := range map[string]bool{
		fleet.PolicyRandom: false, fleet.PolicyRoundRobin: false, fleet.PolicyTwoChoices: false,
		fleet.PolicyProbe: false, fleet.PolicyTwoLoad: true, fleet.PolicyLeastLoad: true, fleet.PolicyIdleHints: true,
	} {
		g, _ := guardWithBudget(t, policy, fleet.Budget{Requests: 4, Bytes: 4000, CrossRegionBytes: 200})
		require.Equal(t, reported, replyTo(g, "near") != "", policy)
	}
}

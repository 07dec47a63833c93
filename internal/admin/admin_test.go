package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// fakeNode is a Node with a fixed View.
type fakeNode struct {
	view     *pick.View
	stopping bool
}

func (n *fakeNode) View() *pick.View     { return n.view }
func (n *fakeNode) Load() gate.Load      { return gate.Load{Slots: 6, InUse: 2} }
func (n *fakeNode) Attempts() (int, int) { return 3, 400 }

func (*fakeNode) KeyState() attempt.KeyState { return attempt.KeyState{} }
func (n *fakeNode) Now() time.Duration       { return time.Minute }
func (n *fakeNode) Limits() []limit.Use {
	return []limit.Use{{Scope: limit.Team, Name: "store", InFlight: 4}, {Scope: limit.Route, Name: "orders/read", InFlight: 3}}
}

func (n *fakeNode) Dump() (core.Dump, bool) {
	d := core.Dump{Self: core.Self{Place: pick.Place{VM: "vm-a", Zone: "a", Region: "r"}}}
	d.Config = core.ConfigDump{Version: config.Version{Revision: 7, Digest: "abc"}, InForceFor: time.Hour}
	d.Members = map[string]core.MemberDump{
		"vm-b": {State: wire.MemberLeaving}, "vm-c": {Failures: suspectThreshold}, "vm-d": {State: wire.MemberAlive},
	}
	return d, !n.stopping
}

// newNode returns a node with one candidate target and, for each reason why a target
// isn't a candidate, one target with that reason.
func newNode(t *testing.T) *fakeNode {
	t.Helper()
	f := fleet.Fleet{
		Name: "shop", Revision: 7,
		Zones: []fleet.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "z", Region: "s"}},
		Teams: []fleet.Team{{Name: "store", InFlight: 50}, {Name: "idle"}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store", InFlight: 40, Hosts: []string{"orders.example"},
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true, Retries: 1, InFlight: 30},
				{Name: "confirm", Path: "/orders/*", Class: 9},
			},
		}},
	}
	zones := map[string]string{"vm-a": "a", "vm-b": "b", "vm-c": "a", "vm-d": "a", "vm-e": "z"}
	for vm, zone := range zones {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: vm, Zone: zone, Slots: 6})
	}
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)
	svc := c.Services["orders"]
	var near, far []*pick.Target
	for _, declared := range svc.Targets {
		target := &pick.Target{
			Place: pick.Place{VM: declared.VM, Zone: declared.Zone, Region: c.Regions[declared.Zone]},
			Slots: declared.Slots, Connections: declared.Connections,
			Guard: "127.0.0.1:1", Stat: &pick.Stat{},
		}
		target.Distance = pick.Place{VM: "vm-a", Zone: "a", Region: "r"}.DistanceTo(target.Place)
		if target.Region == "r" {
			near = append(near, target)
		} else {
			far = append(far, target)
		}
	}
	near[0].Stat.InFlight.Add(2)
	near[1].Leaving = true
	near[2].Guard = ""
	near[3].Stat.Avoid(time.Hour)
	all := append(near, far...)
	return &fakeNode{view: &pick.View{
		Config: c, Here: pick.Place{VM: "vm-a", Zone: "a", Region: "r"},
		Services: map[string]*pick.Service{"orders": pick.NewService(svc, all, all, len(near), &pick.Shared{})},
	}}
}

func do(h http.Handler, method, target string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(method, "http://127.0.0.1:7400"+target, nil)
	h.ServeHTTP(rec, req)
	return rec
}

func getJSON[T any](t *testing.T, h http.Handler, target string) T {
	t.Helper()
	rec := do(h, http.MethodGet, target)
	require.Equal(t, http.StatusOK, rec.Code, rec.Body)
	var out T
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &out))
	return out
}

func TestStatusAndDump(t *testing.T) {
	h := New(newNode(t), metrics.New())
	s := getJSON[Status](t, h, PathStatus)
	require.Equal(t, "vm-a", s.VM)
	require.Equal(t, uint64(7), s.Config.Revision)
	require.True(t, s.Serving)
	require.Equal(t, []string{"vm-b"}, s.Leavers)
	require.Equal(t, []string{"vm-c"}, s.Suspects)
	require.NotEmpty(t, s.Build.Go)

	c := getJSON[Config](t, h, PathConfig)
	require.Equal(t, []string{"orders"}, c.Services)
	require.WithinDuration(t, time.Now().Add(-time.Hour), c.Since, time.Minute)

	d := getJSON[Dump](t, h, PathDump)
	require.Equal(t, AttemptsDump{3, 400, attempt.KeyState{}}, d.Attempts)
	require.Len(t, d.Targets, 5)
}

func TestDocumentsInForceAreReturned(t *testing.T) {
	n := newNode(t)
	rec := do(New(n, metrics.New()), http.MethodGet, PathDocuments)
	docs, err := fleet.Split(rec.Body.Bytes())
	require.NoError(t, err)
	c, err := config.FromDocuments(docs)
	require.NoError(t, err)
	require.Equal(t, n.view.Config.Index.Version, c.Index.Version)
}

func TestExplain(t *testing.T) {
	n := newNode(t)
	h := New(n, metrics.New())
	e := getJSON[Explanation](t, h, PathExplain+"?service=orders&method=get&path=/orders/7")
	require.Equal(t, "read", e.Route)
	require.Equal(t, fleet.RunsIdempotent, e.Runs)
	require.Equal(t, 2, e.Hops)
	require.Equal(t, "vm-a", e.Chosen)
	require.Contains(t, e.Why, "(this VM)")
	require.Equal(t, []Limit{
		{"queue at each target", fleet.DefaultQueue},
		{"retries in percent of requests", fleet.DefaultRetryPercent},
		{"route read: requests at once here", 30},
		{"service orders: requests at once here", 40},
		{"team store: requests at once here", 50},
	}, e.Limits)
	var states []string
	for _, s := range e.Targets {
		states = append(states, s.State)
	}
	require.Equal(t, []string{StateCandidate, StateLeaving, StateNoAddress, StateAvoided, StateFar}, states)
	require.Equal(t, distanceHere, e.Targets[0].Distance)
	require.EqualValues(t, 2, e.Targets[0].InFlight)

	e = getJSON[Explanation](t, h, PathExplain+"?host=orders.example&method=POST&path=/orders/confirm")
	require.Equal(t, "confirm", e.Route)
	require.Equal(t, fleet.RunsAtMostOnce, e.Runs)

	s := n.view.Services["orders"]
	s.Targets[0].Leaving, s.Targets[3].Leaving = true, true
	e = getJSON[Explanation](t, h, PathExplain+"?service=orders")
	require.Equal(t, "vm-e", e.Chosen)
	require.Contains(t, e.Why, "(other region), because the own region has no usable target")
	s.Targets[4].Leaving = true
	e = getJSON[Explanation](t, h, PathExplain+"?service=orders")
	require.NotEmpty(t, e.Chosen, "a leaving target is the last resort")
	require.Contains(t, e.Why, "though it is said to leave")
	for _, target := range s.Targets {
		target.Guard = ""
	}
	e = getJSON[Explanation](t, h, PathExplain+"?service=orders")
	require.Empty(t, e.Chosen)
	require.Contains(t, e.Why, "no-target")
}

func TestTeamsAreReportedSeparately(t *testing.T) {
	m := metrics.New()
	m.Answered("orders", "", 0)
	m.Answered("orders", kind.OverLimit, 0)
	m.Answered("", kind.UnknownService, 0)
	h := New(newNode(t), m)
	teams := getJSON[[]Team](t, h, PathTeams)
	require.Len(t, teams, 2)
	require.Equal(t, "idle", teams[0].Name)
	require.Empty(t, teams[0].Answers)
	require.Equal(t, 50, teams[1].Limit)
	require.EqualValues(t, 4, teams[1].InFlight)
	require.EqualValues(t, 3, teams[1].Services[0].Routes[0].InFlight)
	require.Equal(t, map[string]uint64{"backend": 1, "over-limit": 1}, teams[1].Answers)
	require.Equal(t, map[string]uint64{"over-limit": 1}, teams[1].Services[0].Recent)

	r := getJSON[Refusals](t, h, PathRefusals)
	require.Equal(t, map[string]uint64{"over-limit": 1, "unknown-service": 1}, r.ByKind)
	require.Equal(t, map[string]uint64{"unknown-service": 1}, r.ByService["_unknown"])
}

func TestErrorResponses(t *testing.T) {
	tests := map[string]struct {
		node   *fakeNode
		method string
		target string
		status int
	}{
		"no service named":       {newNode(t), "GET", PathExplain, 400},
		"a relative path":        {newNode(t), "GET", PathExplain + "?service=orders&path=x", 400},
		"an unknown service":     {newNode(t), "GET", PathExplain + "?service=nobody", 404},
		"nothing is ever taken":  {newNode(t), "POST", PathDump, 405},
		"an unknown path":        {newNode(t), "GET", "/v1/nothing", 404},
		"no view to explain":     {&fakeNode{}, "GET", PathExplain + "?service=orders", 503},
		"no view to show":        {&fakeNode{}, "GET", PathConfig, 503},
		"not ready":              {&fakeNode{}, "GET", PathReady, 503},
		"stopping":               {&fakeNode{stopping: true}, "GET", PathDump, 503},
		"alive though not ready": {&fakeNode{stopping: true}, "GET", PathHealth, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.status, do(New(test.node, metrics.New()), test.method, test.target).Code)
		})
	}
}

// Guards against DNS rebinding: a page in an operator's browser has its own name
// resolved to 127.0.0.1 and reads the loopback API. The browser sends that name as
// Host.
func TestNameAsHostIsRefused(t *testing.T) {
	h := New(newNode(t), metrics.New())
	for host, status := range map[string]int{
		"evil.example": 403, "evil.example:7400": 403, "": 403,
		"localhost:7400": 200, "127.0.0.1:7400": 200, "[::1]:7400": 200, "[::1]": 200, "10.0.0.1": 200,
	} {
		req := httptest.NewRequest(http.MethodGet, PathHealth, nil)
		req.Host = host
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		require.Equal(t, status, rec.Code, host)
	}
}

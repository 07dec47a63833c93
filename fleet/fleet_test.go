package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
)

// shop returns a small valid declaration.
func shop() fleet.Fleet {
	return fleet.Fleet{
		Name: "shop", Revision: 7, Regions: []string{"rs"},
		Zones: []fleet.Zone{{Name: "rs-a", Region: "rs"}},
		Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store",
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true},
				{Name: "confirm", Path: "/orders/*"},
			},
			Targets: []fleet.Target{{VM: "orders-1", Zone: "rs-a", Slots: 6}},
		}},
	}
}

func TestPrintRefusesInvalidDeclarations(t *testing.T) {
	type change = func(f *fleet.Fleet, s *fleet.Service)
	long := strings.Repeat("x", 64)
	tests := map[string]struct {
		wrong change
		want  string
	}{
		"no name":        {func(f *fleet.Fleet, _ *fleet.Service) { f.Name = "" }, `fleet "": a name has`},
		"revision zero":  {func(f *fleet.Fleet, _ *fleet.Service) { f.Revision = 0 }, "revision must be 1"},
		"budget of zero": {func(f *fleet.Fleet, _ *fleet.Service) { f.Budget.Bytes = 100 }, "budget: requests 0 is out of range"},
		"cross-region over all": {func(f *fleet.Fleet, _ *fleet.Service) {
			f.Budget = fleet.Budget{Requests: 1, Bytes: 1, CrossRegionBytes: 2}
		}, "more than all bytes"},
		"port out of range":    {func(f *fleet.Fleet, _ *fleet.Service) { f.Ports = fleet.Ports{Guard: 70000, Control: 1} }, "70000 is out of range"},
		"one port for both":    {func(f *fleet.Fleet, _ *fleet.Service) { f.Ports = fleet.Ports{Guard: 7, Control: 7} }, "are both 7"},
		"no zone":              {func(f *fleet.Fleet, _ *fleet.Service) { f.Zones = nil }, "no availability zone is declared"},
		"region without zones": {func(f *fleet.Fleet, _ *fleet.Service) { f.Regions = append(f.Regions, "sc") }, "region sc: no availability zone"},
		"undeclared region":    {func(f *fleet.Fleet, _ *fleet.Service) { f.Zones[0].Region = "pr" }, `region "pr" is not declared`},
		"regions by case": {func(f *fleet.Fleet, _ *fleet.Service) {
			f.Regions = nil
			f.Zones = append(f.Zones, fleet.Zone{Name: "rs-b", Region: "RS"})
		}, `"RS" differs only in case from "rs"`},
		"teams by case":    {func(f *fleet.Fleet, _ *fleet.Service) { f.Teams = append(f.Teams, fleet.Team{Name: "Store"}) }, `team "Store": declared twice (as "store")`},
		"services by case": {func(f *fleet.Fleet, s *fleet.Service) { c := *s; c.Name = "Orders"; f.Services = append(f.Services, c) }, `service "Orders": declared twice (as "orders")`},
		"one VM twice":     {func(_ *fleet.Fleet, s *fleet.Service) { s.Targets = append(s.Targets, s.Targets[0]) }, `target "orders-1": declared twice`},
		"host of another": {func(f *fleet.Fleet, s *fleet.Service) {
			c := *s
			c.Name = "depot"
			c.Hosts = []string{"orders"}
			f.Services = append(f.Services, c)
		}, `host "orders" is the name of another service`},
		"host with a port":    {func(_ *fleet.Fleet, s *fleet.Service) { s.Hosts = []string{"orders.example:80"} }, `host "orders.example:80": a name has`},
		"negative team limit": {func(f *fleet.Fleet, _ *fleet.Service) { f.Teams[0].InFlight = -1 }, "in-flight -1 is out of range"},
		"undeclared team":     {func(_ *fleet.Fleet, s *fleet.Service) { s.Team = "nobody" }, `team "nobody" is not declared`},
		"undeclared zone":     {func(_ *fleet.Fleet, s *fleet.Service) { s.Targets[0].Zone = "pr-a" }, `zone "pr-a" is not declared`},
		"unknown policy":      {func(_ *fleet.Fleet, s *fleet.Service) { s.Policy = "best" }, `policy "best" (allowed: random`},
		"negative timeout":    {func(_ *fleet.Fleet, s *fleet.Service) { s.Timeout = -1 }, "timeout -1ns is out of range"},
		"timeout over max":    {func(_ *fleet.Fleet, s *fleet.Service) { s.MaxTimeout = time.Second }, "timeout 5s is out of range (allowed: 1ms to 1s)"},
		"drain too long":      {func(_ *fleet.Fleet, s *fleet.Service) { s.Drain = 2 * time.Hour }, "drain 2h0m0s is out of range"},
		"key lifetime":        {func(_ *fleet.Fleet, s *fleet.Service) { s.KeyLifetime = time.Millisecond }, "key-lifetime 1ms is out of range"},
		"too many hops":       {func(_ *fleet.Fleet, s *fleet.Service) { s.Hops = 9 }, "hops 9 is out of range"},
		"retry share":         {func(_ *fleet.Fleet, s *fleet.Service) { s.RetryPercent = 101 }, "retry-percent 101 is out of range"},
		"hedge share":         {func(_ *fleet.Fleet, s *fleet.Service) { s.HedgePercent = 101 }, "hedge-percent 101 is out of range"},
		"at most once with retries": {
			func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Retries = 1 },
			"route confirm: retries 1 on a route that runs at most once",
		},
		"route never used": {
			func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[0].Methods = nil },
			"route confirm: never used, route read before it takes all",
		},
		"routes by case":      {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Name = "Read" }, `route "Read": declared twice (as "read")`},
		"method in lower":     {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[0].Methods = []string{"get"} }, `method "get"`},
		"methods in one":      {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[0].Methods = []string{"GET,PUT"} }, `method "GET,PUT"`},
		"class out of range":  {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[0].Class = 10 }, "class 10 is out of range"},
		"star in the middle":  {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Path = "/a*/b" }, `path "/a*/b"`},
		"relative path":       {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Path = "orders" }, `path "orders"`},
		"dot segments":        {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Path = "/a/../b" }, `path "/a/../b"`},
		"path that isn't INI": {func(_ *fleet.Fleet, s *fleet.Service) { s.Routes[1].Path = "/a\nruns = idempotent" }, "path"},
		"no target":           {func(_ *fleet.Fleet, s *fleet.Service) { s.Targets = nil }, "no target is declared"},
		"no slots":            {func(_ *fleet.Fleet, s *fleet.Service) { s.Targets[0].Slots = 0 }, "slots 0 is out of range"},
		"more slots than connections": {
			func(_ *fleet.Fleet, s *fleet.Service) { s.Targets[0].Connections = 5 },
			"5 connections for 6 slots",
		},
		"long name": {func(_ *fleet.Fleet, s *fleet.Service) { s.Name = long }, "at most 63"},
		"over a megabyte": {func(_ *fleet.Fleet, s *fleet.Service) {
			for i := range 20_000 {
				s.Targets = append(s.Targets, fleet.Target{VM: fmt.Sprint("orders-x", i), Zone: "rs-a", Slots: 1})
			}
		}, "service orders: the document has"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := shop()
			test.wrong(&f, &f.Services[0])
			_, err := f.Print()
			require.ErrorContains(t, err, test.want)
		})
	}
}

// All errors in a declaration must be reported at once, including the size of a
// document. Otherwise an operator would have to fix them one by one, with a run of
// the program for each.
func TestPrintReportsAllFaults(t *testing.T) {
	f := shop()
	f.Revision = 0
	f.Regions = append(f.Regions, "sc")
	f.Services[0].Routes[1].Retries = 2
	for i := range 20_000 {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: fmt.Sprint("x", i), Zone: "rs-a", Slots: 1})
	}
	_, err := f.Print()
	var faults fleet.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 4, err)
}

func TestCheckRefusesZeroWithoutDefaults(t *testing.T) {
	s := shop().WithDefaults().Services[0]
	s.Timeout, s.MaxTimeout, s.KeyLifetime, s.Hops = 0, 0, 0, 0
	var faults fleet.Faults
	require.ErrorAs(t, s.Check(), &faults)
	require.Len(t, faults, 4)
}

// A declaration is often built from maps, whose iteration order is random. The
// documents must not depend on the order of zones, teams, services, hosts and
// targets. The order of routes is significant and is kept.
func TestPrintDoesNotDependOnDeclarationOrder(t *testing.T) {
	want := printed(t, deployments.Large(1))
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 3 {
		f := deployments.Large(1)
		shuffle(rnd, f.Regions)
		shuffle(rnd, f.Zones)
		shuffle(rnd, f.Teams)
		shuffle(rnd, f.Services)
		for i := range f.Services {
			shuffle(rnd, f.Services[i].Targets)
			shuffle(rnd, f.Services[i].Hosts)
		}
		require.Equal(t, want, printed(t, f))
	}
	f := shop()
	r := f.Services[0].Routes
	r[0], r[1] = r[1], r[0]
	require.NotEqual(t, printed(t, shop()), printed(t, f))
	require.Equal(t, "confirm", f.Services[0].Routes[0].Name)
}

func shuffle[T any](rnd *rand.Rand, list []T) {
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func printed(t *testing.T, f fleet.Fleet) string {
	t.Helper()
	pub, err := f.Print()
	require.NoError(t, err)
	var b strings.Builder
	_, err = pub.WriteTo(&b)
	require.NoError(t, err)
	return b.String()
}

func TestMatch(t *testing.T) {
	s := fleet.Service{Routes: []fleet.Route{
		{Name: "check", Methods: []string{"POST"}, Path: "/stock/check", Idempotent: true},
		{Name: "read", Methods: []string{"GET"}, Path: "/read/*", Idempotent: true},
		{Name: "any", Path: "/any/*"},
	}}
	tests := []struct{ method, path, want string }{
		{"POST", "/stock/check", "check"},
		{"POST", "/stock/check/", ""},
		{"GET", "/stock/check", ""},
		{"GET", "/read/", "read"},
		{"GET", "/read/a.b/.c", "read"},
		{"GET", "/read", ""},
		{"DELETE", "/any/x", "any"},
		// Servers may normalize these to other paths.
		{"GET", "/read/../orders/confirm", ""},
		{"GET", "/read/..", ""},
		{"GET", "/read/./x", ""},
		{"GET", "/read/..;v=1/orders", ""},
		{"GET", "/read//x", ""},
		{"GET", `/read/..\orders`, ""},
		{"OPTIONS", "*", ""},
	}
	for _, test := range tests {
		got := ""
		if r := s.Match(test.method, test.path); r != nil {
			got = r.Name
		}
		require.Equal(t, test.want, got, "%s %s", test.method, test.path)
	}
}

func TestHopsFor(t *testing.T) {
	s := fleet.Service{Hops: 3}
	require.Equal(t, 3, s.HopsFor(nil))
	require.Equal(t, 3, s.HopsFor(&fleet.Route{}))
	require.Equal(t, 2, s.HopsFor(&fleet.Route{Retries: 1}))
}

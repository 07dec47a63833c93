package mesh_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

func route(name, host, prefix string) *mesh.Route {
	return &mesh.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second,
		Shares: []mesh.Share{{Service: "orders", Weight: 1}},
	}
}

var services = map[string]*mesh.Service{"orders": {Name: "orders"}, "stock": {Name: "stock"}}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := mesh.NewConfig(1, services, []*mesh.Route{
		route("all", "Shop.example", "/"), route("orders", "shop.example", "/orders/"),
		route("deep", "shop.example", "/orders/old/"), route("other", "depot.example", "/"),
	}, mesh.Limits{})
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/orders/7", "orders"},
		{"shop.example", "/orders/old/7", "deep"},
		{"SHOP.example:8080", "/orders", "all"},
		{"shop.example", "/ordersold/", "all"},
		{"depot.example", "/orders/old/", "other"},
	} {
		require.Equal(t, test.want, c.Match(test.host, test.path).Name, "%s%s", test.host, test.path)
	}
	require.Nil(t, c.Match("nowhere.example", "/"))
}

func TestCheckRejectsInvalidConfigurations(t *testing.T) {
	invalidate := map[string]func(r *mesh.Route){
		"no host":             func(r *mesh.Route) { r.Host = "" },
		"bare prefix":         func(r *mesh.Route) { r.Prefix = "/orders" },
		"relative prefix":     func(r *mesh.Route) { r.Prefix = "orders/" },
		"no timeout":          func(r *mesh.Route) { r.Timeout = 0 },
		"timeout below zero":  func(r *mesh.Route) { r.Timeout = -1 },
		"priority below zero": func(r *mesh.Route) { r.Priority = -1 },
		"no service":          func(r *mesh.Route) { r.Shares = nil },
		"unknown service":     func(r *mesh.Route) { r.Shares[0].Service = "gone" },
		"no weight":           func(r *mesh.Route) { r.Shares[0].Weight = 0 },
		"weight below zero":   func(r *mesh.Route) { r.Shares = append(r.Shares, mesh.Share{Service: "stock", Weight: -1}) },
	}
	require.NoError(t, mesh.NewConfig(1, services, []*mesh.Route{route("a", "h", "/a/")}, mesh.Limits{}).Check())
	for name, f := range invalidate {
		invalid := route("b", "h", "/b/")
		f(invalid)
		require.Error(t, mesh.NewConfig(1, services, []*mesh.Route{route("a", "h", "/a/"), invalid}, mesh.Limits{}).Check(), name)
	}
	require.Error(t, mesh.NewConfig(0, services, nil, mesh.Limits{}).Check(), "no version")
	require.Error(t, mesh.NewConfig(1, services, nil, mesh.Limits{BodyBytes: -1}).Check(), "limit below zero")
}

// Operators who move a tenth of a route to a new service check the split after a few hundred
// requests. A random draw would send it 5 to 15 in a hundred, as there are many nodes and each
// sees few requests.
func TestSplitFollowsWeightsClosely(t *testing.T) {
	for _, weights := range [][]float64{{90, 10}, {1, 1, 1}, {50, 30, 20}, {1, 0}, {0.3, 0.7}} {
		shares := make([]mesh.Share, len(weights))
		total := 0.0
		for i, w := range weights {
			shares[i] = mesh.Share{Service: string(rune('a' + i)), Weight: w}
			total += w
		}
		var w mesh.Splitter
		got := map[string]int{}
		const requests = 300
		for range requests {
			got[w.Next(shares)]++
		}
		for _, s := range shares {
			require.LessOrEqual(t, math.Abs(float64(got[s.Service])-requests*s.Weight/total), 2.0, "%v", weights)
		}
	}
}

// Guards against 18 nodes that all send the first requests of a split to the same service
// because their splitters start in the same state.
func TestSplittersStartInRandomStates(t *testing.T) {
	shares := []mesh.Share{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}
	first := map[string]int{}
	for range 200 {
		var w mesh.Splitter
		first[w.Next(shares)]++
	}
	require.Greater(t, first["a"], 50)
	require.Greater(t, first["b"], 50)
}

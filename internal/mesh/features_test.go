package mesh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guards against features that change the service of deployments that don't call for them.
func TestFeaturesFollowConfigurationAndSettings(t *testing.T) {
	plain, urgent, bulk, slow := route("plain", "h", "/a/"), route("urgent", "h", "/b/"), route("bulk", "h", "/c/"), route("slow", "h", "/d/")
	plain.Priority, plain.LatencyObjective = 1, 100*time.Millisecond
	urgent.LatencyObjective = urgent.Timeout / 2
	slow.LatencyObjective = urgent.Timeout
	bulk.Priority, bulk.Bulk = 2, true
	const rate = 1e6
	for name, c := range map[string]struct {
		routes          []*mesh.Route
		features        mesh.Features
		overload, links bool
	}{
		"no such route":                   {[]*mesh.Route{plain, slow}, mesh.Features{LinkRate: rate}, false, false},
		"an urgent route":                 {[]*mesh.Route{plain, urgent}, mesh.Features{LinkRate: rate}, true, false},
		"an urgent route, switched off":   {[]*mesh.Route{urgent}, mesh.Features{Overload: mesh.ModeOff}, false, false},
		"no such route, switched on":      {[]*mesh.Route{plain}, mesh.Features{Overload: mesh.ModeOn, Links: mesh.ModeOn, LinkRate: rate}, true, true},
		"a bulk route":                    {[]*mesh.Route{plain, bulk}, mesh.Features{LinkRate: rate}, false, true},
		"a bulk route, switched off":      {[]*mesh.Route{bulk}, mesh.Features{Links: mesh.ModeOff, LinkRate: rate}, false, false},
		"a bulk route on an unknown link": {[]*mesh.Route{bulk}, mesh.Features{}, false, false},
	} {
		v := &mesh.View{Config: mesh.NewConfig(1, services, c.routes, mesh.Limits{})}
		v.SetFeatures(c.features)
		require.Equal(t, c.overload, v.OverloadScheduling, name)
		require.Equal(t, c.links, v.LinkScheduling, name)
	}
}

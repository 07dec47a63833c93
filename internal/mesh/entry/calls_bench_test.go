package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
	"github.com/limpetdock/limpetdock/internal/place"
)

// benchmarkEnd is later than any time of the benchmark, so that no report gets old.
const benchmarkEnd = 100 * 365 * 24 * time.Hour

// BenchmarkRefuseForCalls measures the decision about a request whose run calls a service, at 62 targets, by
// the time between two requests. At 300 ms each decision pools the reports.
func BenchmarkRefuseForCalls(b *testing.B) {
	for _, between := range []time.Duration{time.Millisecond, 300 * time.Millisecond} {
		b.Run(fmt.Sprintf("between=%v", between), func(b *testing.B) {
			now := time.Minute
			e := New(Config{Now: func() time.Duration { return now }})
			route := &mesh.Route{Name: "r", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}, Priority: 1}
			v := &mesh.View{Config: mesh.NewConfig(1, nil, []*mesh.Route{route}, mesh.Limits{}), Targets: map[string][]*mesh.Target{}, OverloadScheduling: true}
			for range 62 {
				target := &mesh.Target{Service: "orders", Distance: place.SameRegion, Stat: &mesh.Stat{}}
				target.Stat.Report(mesh.Load{CallsTo: "stock", CallSuccess: 0.9}, benchmarkEnd)
				v.Targets["orders"] = append(v.Targets["orders"], target)
			}
			t := &transaction{entry: e, view: v, route: route, service: "orders", stats: e.routeStats("r"), origin: lineage.New(e.Now).Arrived(0)}
			t.stats.addRun(mesh.Calls{"stock": 1})
			for b.Loop() {
				now += between
				t.refuseForCalls()
			}
		})
	}
}

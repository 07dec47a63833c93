package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
)

// BenchmarkServe measures what an entry spends on a request whose target answers at once, by the
// number of targets of the service, with and without allowed regions.
func BenchmarkServe(b *testing.B) {
	for _, targets := range []int{15, 60} {
		for _, allowed := range [][]string{nil, {"rs", "sc"}} {
			b.Run(fmt.Sprintf("targets=%d/regions=%d", targets, len(allowed)), func(b *testing.B) {
				d := benchmarkDeployment(targets, allowed)
				for b.Loop() {
					if _, err := d.entry.Serve(b.Context(), d.request(0)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// benchmarkDeployment returns a deployment of idle targets in three regions.
func benchmarkDeployment(targets int, allowed []string) *deployment {
	d := newDeployment(&testing.T{}, true)
	d.targets = nil
	d.answers = map[string]func(*mesh.Request) (*mesh.Answer, *kind.Error){}
	for i := range targets {
		region := []string{"rs", "sc", "pr"}[i%3]
		name := fmt.Sprintf("n%d", i)
		d.targets = append(d.targets, &mesh.Target{
			ID: "i-" + name, Service: "orders", Peer: name, Slots: 6, Zone: region + "-a", Region: region, Distance: place.SameZone, Stat: &mesh.Stat{},
		})
		d.answers[name] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.attempted = d.attempted[:0]
			return &mesh.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
		}
	}
	d.publishRoute(allowed...)
	return d
}

package process_test

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// fleetOfSize returns a fleet in the zones of Cesta Viva with about the given number
// of nodes, spread evenly over zones and services.
func fleetOfSize(nodes int) fleet.Fleet {
	f := deployments.CestaViva(1)
	services := min(len(f.Services), max(1, nodes/len(f.Zones)))
	f.Services = f.Services[:services]
	perZone := nodes / len(f.Zones) / services
	for i := range f.Services {
		s := &f.Services[i]
		originals := s.Targets
		for copyNo := 1; copyNo < perZone; copyNo++ {
			for _, t := range originals {
				t.VM = fmt.Sprintf("%s-%d", t.VM, copyNo)
				s.Targets = append(s.Targets, t)
			}
		}
	}
	return f
}

// readCounter returns the value of a counter in a node's metrics.
func readCounter(b testing.TB, p deploy.VM, name string) float64 {
	resp, err := http.Get("http://" + p.Admin() + "/metrics")
	require.NoError(b, err)
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			require.NoError(b, err)
			return n
		}
	}
	b.Fatalf("%s has no %s", p.Name, name)
	return 0
}

// BenchmarkControl measures the overhead of the control plane with real processes,
// at three sizes: platform calls, and bytes sent and processor time for each node.
func BenchmarkControl(b *testing.B) {
	const settle, length = 5 * time.Second, 20 * time.Second
	for _, nodes := range []int{6, 18, 36} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			octet, release, err := deploy.FreeNet()
			require.NoError(b, err)
			defer release()
			d, err := deploy.New(deploy.Options{Bin: bin, Out: filepath.Join(b.TempDir(), "out"), Net: octet, Fleet: fleetOfSize(nodes), ServiceMs: 1})
			require.NoError(b, err)
			defer d.Stop()
			require.NoError(b, d.Start(b.Context()))
			require.NoError(b, d.WaitReady(b.Context()))
			time.Sleep(settle)
			read := func() (calls, bytes, seconds float64) {
				state, err := d.PlatformState(b.Context())
				require.NoError(b, err)
				for _, n := range state.Calls {
					calls += float64(n)
				}
				for _, p := range d.VMs {
					bytes += readCounter(b, p, "limpetdock_control_sent_bytes_total")
					seconds += readCounter(b, p, "process_cpu_seconds_total")
				}
				return calls, bytes, seconds
			}
			for b.Loop() {
				calls, bytes, seconds := read()
				time.Sleep(length)
				callsAfter, bytesAfter, secondsAfter := read()
				n := float64(len(d.VMs)) * length.Seconds()
				b.ReportMetric((callsAfter-calls)/length.Minutes(), "platform-calls/min")
				b.ReportMetric((bytesAfter-bytes)/n, "sent-B/s/node")
				b.ReportMetric((secondsAfter-seconds)/n*100, "cpu-%/node")
			}
		})
	}
}

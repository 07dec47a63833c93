package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guards against large answers requested from a target whose link is busy while another one's is free,
// and against a choice that changes where the links aren't scheduled.
func TestLargeAnswersAvoidBusyLinks(t *testing.T) {
	for name, c := range map[string]struct {
		bytes  int
		rate   float64
		chosen string
	}{
		"large":         {90_000, 1e6, "region"},
		"small":         {400, 1e6, "zone"},
		"not scheduled": {90_000, 0, "zone"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, true)
			for _, target := range d.targets[1:3] {
				d.answers[target.Peer] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
					return &mesh.Answer{Status: 200, Header: http.Header{}, Body: make([]byte, c.bytes), BaseServiceTime: 50 * time.Millisecond}, nil
				}
			}
			d.targets = d.targets[1:3]
			d.linkRate = c.rate
			d.publishView()
			report := func(zoneBacklog time.Duration) {
				for i, load := range []mesh.Load{{LinkBacklog: zoneBacklog}, {Running: 3}} {
					load.Slots, load.ServiceTime, load.Slowdown, load.LinkRate = 6, 50*time.Millisecond, 1, 1e6
					d.targets[i].Stat.Report(load, d.now)
				}
			}
			report(0)
			_, err := d.serve()
			require.Nil(t, err)
			require.Equal(t, []string{"zone"}, d.attempted)
			report(200 * time.Millisecond)
			_, err = d.serve()
			require.Nil(t, err)
			require.Equal(t, []string{"zone", c.chosen}, d.attempted)
		})
	}
}

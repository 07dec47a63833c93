package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/coldstart"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
)

const good = `[node]
vm = vm-1
ip = 10.1.0.8
zone = rs-a
region = rs
service = orders
[zones]
rs-a = rs
sc-a = sc
[listen]
callers = 10.1.0.8:8304
peers = 10.1.0.8:8300
ready = 10.1.0.8:8302
admin = 10.1.0.8:7635
[backend]
address = 10.1.0.8:8301
[store]
address = 10.200.1.7:8309
`

func TestDefaultsApplyToMissingOrEmptyKeys(t *testing.T) {
	for _, text := range []string{good, good + "[repeats]\nratio =\nslack =\nwindow-seconds =\n[stop]\ngrace-seconds =\n[cold-start]\nratio =\nslack =\n"} {
		s, err := settings.Parse("node.ini", []byte(text))
		require.NoError(t, err)
		require.Equal(t, mesh.Place{VM: "vm-1", IP: "10.1.0.8", Zone: "rs-a", Region: "rs", Service: "orders"}, s.Here)
		require.Equal(t, map[string]string{"rs-a": "rs", "sc-a": "sc"}, s.Regions)
		require.Equal(t, 6*time.Second, s.StopGrace)
		require.Equal(t, 10*time.Second, s.Repeats.Window)
		require.Equal(t, coldstart.Policy{Ratio: 1}, s.ColdStart, "no more than a cold server tolerates")
		require.Zero(t, s.Tunable.Fill, "learnt")
		require.Equal(t, 32<<20, s.LinkQueueBytes)
		require.Equal(t, 80*time.Millisecond, s.Tunable.Prices.RegionPerKB)
	}
}

func TestFractionalSecondsAreParsed(t *testing.T) {
	s, err := settings.Parse("node.ini", []byte(good+"[stop]\ngrace-seconds = 4.5\n[repeats]\nratio = 0.1\nslack = 56\n[cold-start]\nratio = 1.5\nslack = 8\n"))
	require.NoError(t, err)
	require.Equal(t, 4500*time.Millisecond, s.StopGrace)
	require.InDelta(t, 0.1, s.Repeats.Ratio, 0)
	require.InDelta(t, 56, s.Repeats.Slack, 0)
	require.Equal(t, coldstart.Policy{Ratio: 1.5, Slack: 8}, s.ColdStart)
}

// Guards against a mistyped mode that leaves a feature in another state than the operator expects.
func TestFeatureSettingsAreChecked(t *testing.T) {
	s, err := settings.Parse("node.ini", []byte(good+"[overload]\nscheduling = off\n[link]\nscheduling = on\nrate-mbps = 13.0\n"))
	require.NoError(t, err)
	require.Equal(t, mesh.Features{Overload: mesh.ModeOff, Links: mesh.ModeOn, LinkRate: 1_625_000}, s.Features)
	_, err = settings.Parse("node.ini", []byte(good+"[overload]\nscheduling = yes\n[link]\nrate-mbps = -1\nqueue-mb = 23\n"))
	require.ErrorContains(t, err, "overload.scheduling")
	require.ErrorContains(t, err, "link.rate-mbps")
	require.ErrorContains(t, err, "link.queue-mb")
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	text := strings.NewReplacer("10.1.0.8:8304", "nowhere", "vm = vm-1", "wm = vm-1", "[store]\naddress = 10.200.1.7:8309", "").Replace(good)
	_, err := settings.Parse("node.ini", []byte(text+"[backend]\nfill = 2\n[stop]\ngrace-seconds = NaN\n"))
	require.Error(t, err)
	for _, part := range []string{
		`node.ini:11: listen.callers: "nowhere" is not an IP:PORT address (allowed: IP:PORT)`, "node.vm: missing", "node.ini:2: node.wm: unknown key (allowed: vm, ip, zone, region, service)",
		"store.address: missing", "backend.fill", "stop.grace-seconds",
	} {
		require.ErrorContains(t, err, part)
	}
}

// An operator adds a key that the template already sets. The INI library would silently use
// the last value.
func TestDuplicateKeyIsRejected(t *testing.T) {
	_, err := settings.Parse("node.ini", []byte(good+"[backend]\naddress = 10.1.0.8:8399\n"))
	require.ErrorContains(t, err, "backend.address: stands there twice")
}

func TestInvalidINIAndMissingZonesAreRejected(t *testing.T) {
	_, err := settings.Parse("node.ini", []byte("{\"json\": 1"))
	require.Error(t, err)
	_, err = settings.Parse("node.ini", []byte(strings.Replace(good, "rs-a = rs\nsc-a = sc\n", "", 1)))
	require.ErrorContains(t, err, "zones: missing")
	_, err = settings.Load(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(good + "[routing]\nzone-price = -1ms\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("node.ini", []byte(text))
		if err != nil {
			return
		}
		require.NotEmpty(t, s.Here.VM)
		require.NotEmpty(t, s.Regions)
		if s.Tunable.Fill != 0 {
			require.GreaterOrEqual(t, s.Tunable.Fill, 0.1)
			require.LessOrEqual(t, s.Tunable.Fill, 1.0)
		}
		require.Positive(t, s.StopGrace)
	})
}

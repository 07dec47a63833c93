package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/settings"
)

const validSettings = `[node]
vm = vm1
fleet = test
region = r
zone = z

[listen]
callers = 127.0.0.1:7100
guard = 127.0.0.1:7200
control = 127.0.0.1:7300

[backend]
url = http://127.0.0.1:8000

[platform]
url = http://127.0.0.1:8500/zone/z
seeds = 127.0.0.2:7300, 127.0.0.3:7300
`

func TestHealthAndStopDefaults(t *testing.T) {
	s, err := settings.Parse("node.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "/healthz", s.Health)
	require.Equal(t, 3*time.Second, s.StopGrace)
	require.Equal(t, time.Minute, s.StopLimit)
	require.Len(t, s.Seeds, 2)
}

// Each error must state the file, the line, the key and the allowed values.
func TestHealthAndStopFaults(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"health path without slash", "[backend]", "[backend]\nhealth = healthz", "node.ini:13: backend.health"},
		{"health path with a query", "[backend]", "[backend]\nhealth = /h?x=1", "backend.health"},
		{"grace too long", "[backend]", "[stop]\ngrace = 2m\n[backend]", "stop.grace: \"2m\" is out of range (allowed: a duration from 0s to 1m)"},
		{"limit too short", "[backend]", "[stop]\nlimit = 10ms\n[backend]", "stop.limit"},
		{"unknown key", "[backend]", "[backend]\ncolour = red", "backend.colour: unknown key"},
		{"unknown section", "[backend]", "[colour]\nred = 1\n[backend]", "colour.red"},
		{"missing key", "vm = vm1\n", "", "node.vm: missing"},
		{"an address by name", "127.0.0.1:7100", "localhost:7100", "listen.callers"},
		{"a port out of range", "127.0.0.1:7100", "127.0.0.1:70000", "listen.callers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("node.ini", []byte(strings.Replace(validSettings, c.old, c.replacement, 1)))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// FuzzParse checks Parse with arbitrary settings files.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("node.ini", text)
		if err != nil {
			return
		}
		require.NotEmpty(t, s.VM)
		require.NotNil(t, s.Backend)
		require.NotNil(t, s.Platform)
		require.GreaterOrEqual(t, s.StopLimit, time.Second)
	})
}

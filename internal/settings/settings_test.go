package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `[node]
vm = orders-1
fleet = shop
region = rs
zone = rs-a
[listen]
callers = 10.0.0.1:7100
guard = 10.0.0.1:7200
control = 10.0.0.1:7300
[backend]
url = http://127.0.0.1:8000
[platform]
url = http://10.0.0.9:8500
seeds = 10.0.0.2:7300, 10.0.0.3:7300
`

func TestParse(t *testing.T) {
	s, err := Parse("node.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7400", s.Admin, "loopback by default")
	require.Equal(t, []string{"10.0.0.2:7300", "10.0.0.3:7300"}, s.Seeds)
	require.Equal(t, time.Minute, s.StopLimit)
	require.Equal(t, 1024, s.ConnsPerIP)
}

// Every error is one line with the position, the problem and the allowed values.
func TestParseFaults(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"name":            {"vm = orders-1", "vm = Orders_1", `node.ini:2: node.vm: "Orders_1" is no name (allowed: lower-case`},
		"missing":         {"zone = rs-a\n", "", "node.ini:1: node.zone: missing (allowed: "},
		"address":         {"10.0.0.1:7200", "guard.example:7200", `node.ini:8: listen.guard: "guard.example:7200" is no IP:PORT (allowed: IP:PORT)`},
		"port":            {"10.0.0.1:7300", "10.0.0.1:73000", "has no port from 0 to 65535"},
		"backend scheme":  {"http://127.0.0.1:8000", "https://127.0.0.1:8000", "is no http URL"},
		"seeds":           {"10.0.0.3:7300", "there", `platform.seeds: "there" is no IP:PORT`},
		"unknown key":     {"fleet = shop", "fleet = shop\nmood = good", "node.ini:4: node.mood: unknown key (allowed: vm, fleet, region, zone)"},
		"unknown section": {"[node]", "[extra]\nx = 1\n[node]", "node.ini:2: extra.x: unknown key (allowed: sections node"},
		"stop limit":      {"[node]", "[stop]\nlimit = 2h\n[node]", `stop.limit: "2h" is out of range (allowed: a duration from 1s to 1h)`},
		"connections":     {"[node]", "[limits]\nconnections-per-ip = 1\n[node]", "limits.connections-per-ip"},
		"log level":       {"[node]", "[log]\nlevel = loud\n[node]", `log.level: "loud" is no level (allowed: 0 or 1)`},
		"key twice":       {"fleet = shop", "fleet = shop\nfleet = depot", "node.ini:4: node.fleet: stands there twice (allowed: each key once)"},
		"no INI":          {"[node]", "[node", "node.ini:1: file: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validSettings, test.old)
			_, err := Parse("node.ini", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			var faults Faults
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults, 1)
			require.Contains(t, err.Error(), test.want)
			require.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("node.ini", []byte("[node]\nvm = X\n"))
	require.Equal(t, 9, strings.Count(err.Error(), "\n")+1, err)
}

func TestOperatorPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	for _, f := range table.Fields {
		row := "| `" + f.Section + "` | `" + f.Key + "` |"
		require.Contains(t, string(page), row)
		at := strings.Index(string(page), row)
		line, _, _ := strings.Cut(string(page)[at:], "\n")
		require.Contains(t, line, "| "+f.Allowed+" |")
		if f.Default != "" {
			require.Contains(t, line, "| `"+f.Default+"` |")
		}
	}
}

package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/load"
)

func TestLoadRejectsInvalidPlansWithReason(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.ini")
	require.NoError(t, os.WriteFile(file, []byte("[load]\nrate = fast\n"), 0o600))
	for args, reason := range map[string]string{
		"":                                     "--plan or --service is needed",
		"--service a":                          "rate must be above 0",
		"--service a --rate 1 --duration 1s":   "no address",
		"--plan " + file + " --service a":      "don't go with --plan",
		"--plan " + file:                       `rate = "fast" must be a number`,
		"--plan none.ini":                      "can't be read",
		"--service a --arrivals sometimes":     "sometimes",
		"--service a --rate x":                 "rate",
		"--service a --rate 1 --duration long": "duration",
	} {
		var out, errOut bytes.Buffer
		code := Main(append([]string{"load"}, strings.Fields(args)...), &out, &errOut)
		require.Equal(t, ExitUsage, code, args)
		require.Contains(t, errOut.String(), reason, args)
		require.Empty(t, out.String())
	}
}

func TestLoadWritesTextJSONAndPlot(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	dir := t.TempDir()
	asJSON, plot := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	var out, errOut bytes.Buffer
	// The exit code isn't checked: on a loaded machine the schedule may not be kept.
	Main([]string{
		"load", "--quiet", "--to", strings.TrimPrefix(server.URL, "http://"), "--service", "a", "--rate", "200",
		"--duration", "250ms", "--arrivals", "constant", "--json", asJSON, "--plot", plot,
	}, &out, &errOut)
	require.Contains(t, out.String(), "49 calls", errOut.String())
	text, err := os.ReadFile(asJSON)
	require.NoError(t, err)
	var r load.Report
	require.NoError(t, json.Unmarshal(text, &r))
	require.Equal(t, map[load.Outcome]int{load.OK: 49}, r.All.Outcomes)
	text, err = os.ReadFile(plot)
	require.NoError(t, err)
	require.Contains(t, string(text), "all p99.9")
}

func TestExamplePlanIsValid(t *testing.T) {
	p, err := (&loadCommand{Plan: "../../examples/load/cestaviva.ini"}).plan()
	require.NoError(t, err)
	require.Len(t, p.Kinds, 4)
	require.Len(t, p.Kinds[3].Chain, load.MaxChain)
}

// Guards against a script that accepts a run as a measurement although calls were
// sent late or none was answered.
func TestLoadFailsIfLateOrUnanswered(t *testing.T) {
	good := &load.Report{All: load.Row{Calls: 10, Outcomes: map[load.Outcome]int{load.OK: 1}}}
	require.NoError(t, checkReport(good))
	require.Error(t, checkReport(&load.Report{All: load.Row{Calls: 10}}))
	good.Late = 1
	require.ErrorContains(t, checkReport(good), "wasn't kept")
}

package cli

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/diff"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/version"
)

func runTool(args ...string) (code int, out, errOut string) {
	var o, e strings.Builder
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

// writeDocuments writes a fleet's documents to a temporary directory and returns it.
func writeDocuments(t *testing.T, f fleet.Fleet) string {
	t.Helper()
	pub, err := f.Print()
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, pub.WriteDir(dir))
	return dir
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o644))
	return name
}

// serveAnswers starts a server with fixed answers of a node's administration API, by
// path. It returns the server's address.
func serveAnswers(t *testing.T, byPath map[string]any) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := byPath[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			answer = admin.Failure{Message: "no service \"x\" is declared"}
		}
		if text, ok := answer.(string); ok {
			_, _ = w.Write([]byte(text))
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// unusedAddress returns an address that no server listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func TestInvalidInputPrintsOneErrorLine(t *testing.T) {
	good := writeDocuments(t, deployments.Eisbruecke(1))
	noIndex := writeDocuments(t, deployments.Eisbruecke(1))
	require.NoError(t, os.Remove(filepath.Join(noIndex, fleet.IndexKey)))
	noServices := writeDocuments(t, deployments.Eisbruecke(1))
	require.NoError(t, os.RemoveAll(filepath.Join(noServices, "service")))
	down, garbled := unusedAddress(t), serveAnswers(t, map[string]any{
		admin.PathDump: "<html>", admin.PathStatus: "<html>", admin.PathExplain: "<html>", admin.PathDocuments: "x",
	})
	tests := []struct {
		name string
		args string
		code int
		want string
	}{
		{"no command", "", ExitUsage, "Please specify one command of"},
		{"unknown command", "destroy", ExitUsage, "Unknown command `destroy'"},
		{"unknown option", "version --loud", ExitUsage, "unknown flag `loud'"},
		{"too many arguments", "version now", ExitUsage, `unexpected argument "now"`},
		{"check: none", "config check", ExitUsage, "SOURCE"},
		{"check: no such directory", "config check /nowhere", ExitFailed, "/nowhere can't be read"},
		{"check: no documents", "config check " + writeTempFile(t, "x = 1"), ExitFailed, "no line"},
		{"check: no index", "config check " + noIndex, ExitFailed, `there is no document "index"`},
		{"check: no services", "config check " + noServices, ExitFailed, "is missing"},
		{"check: bad index", "config check " + writeTempFile(t, "; key: index\n[index]\nrevision = no\n"), ExitFailed, `"no" is no whole number`},
		{"check: platform down", "config check http://" + down, ExitFailed, "the index can't be read"},
		{"check: no URL", "config check http://", ExitUsage, "is no http URL"},
		{"print: none", "config print", ExitUsage, "SOURCE"},
		{"print: node garbled", "config print " + garbled, ExitFailed, "no line"},
		{"diff: one only", "config diff " + good, ExitUsage, "NEW"},
		{"diff: bad new", "config diff " + good + " /nowhere", ExitFailed, "/nowhere can't be read"},
		{"settings: none", "settings check", ExitUsage, "FILE"},
		{"settings: no such file", "settings check /nowhere", ExitFailed, "/nowhere can't be read"},
		{"dump: none", "dump", ExitUsage, "NODE"},
		{"dump: no address", "dump node-1", ExitUsage, `"node-1" is no IP:PORT`},
		{"dump: no port", "dump 127.0.0.1:99999", ExitUsage, "no port from 1 to 65535"},
		{"dump: down", "dump " + down, ExitFailed, "can't be asked: "},
		{"dump: garbled", "dump " + garbled, ExitFailed, "didn't answer as a node does"},
		{"dump: garbled table", "dump --table " + garbled, ExitFailed, "didn't answer as a node does"},
		{"explain: no request", "explain 127.0.0.1:7400", ExitUsage, "REQUEST"},
		{"explain: no service", "explain 127.0.0.1:7400 /path", ExitUsage, `"/path" is no SERVICE/PATH`},
		{"explain: unknown service", "explain " + serveAnswers(t, nil) + " x/y", ExitFailed, `no service "x" is declared`},
		{"explain: garbled", "explain " + garbled + " x/y", ExitFailed, "didn't answer as a node does"},
		{"status: none", "status", ExitUsage, "a NODE or --nodes FILE is needed"},
		{"status: no address", "status 127.0.0.1", ExitUsage, "is no IP:PORT"},
		{"status: no table", "status --nodes /nowhere", ExitFailed, "/nowhere can't be read"},
		{"status: another table", "status --nodes " + writeTempFile(t, "vm\tzone\n"), ExitFailed, `no column "admin address"`},
		{"status: empty table", "status --nodes " + writeTempFile(t, "vm\tadmin address\n"), ExitFailed, "lists no node"},
		{"status: short line", "status --nodes " + writeTempFile(t, "vm\tadmin address\nx\n"), ExitFailed, "a line is too short"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := runTool(strings.Fields(test.args)...)
			require.Equal(t, test.code, code, errOut)
			require.Empty(t, out)
			require.Contains(t, errOut, test.want)
			require.Equal(t, 1, strings.Count(errOut, "\n"), errOut)
			require.True(t, strings.HasPrefix(errOut, "limpetdock: "), errOut)
		})
	}
}

func TestSettingsCheckListsEveryError(t *testing.T) {
	code, _, errOut := runTool("settings", "check", writeTempFile(t, "[node]\nvm = X!\nmood = good\n"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errOut, `:2: node.vm: "X!" is no name`)
	require.Contains(t, errOut, ":3: node.mood: unknown key")
	require.Contains(t, errOut, "listen.callers: missing")
	code, out, _ := runTool("settings", "check", writeTempFile(t, `[node]
vm = orders-1
fleet = shop
region = rs
zone = rs-a
[listen]
callers = 127.0.0.1:7100
guard = 127.0.0.1:7200
control = 127.0.0.1:7300
[backend]
url = http://127.0.0.1:8000
[platform]
url = http://127.0.0.1:8500
`))
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "good: VM orders-1 of fleet shop in rs-a (rs)")
}

func TestConfigPrintOutputCanBeReadBack(t *testing.T) {
	dir := writeDocuments(t, deployments.CestaViva(3))
	code, out, _ := runTool("config", "check", dir)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "good: fleet cesta-viva, revision 3, 3 services, 18 targets")

	// The printed stream can be read back from a file, a platform and a node.
	code, stream, _ := runTool("config", "print", dir)
	require.Equal(t, ExitOK, code)
	docs, err := fleet.Split([]byte(stream))
	require.NoError(t, err)
	published := map[string]any{}
	for key, text := range docs {
		published["/v1/values/"+key] = string(text)
	}
	for _, source := range []string{
		writeTempFile(t, stream), "http://" + serveAnswers(t, published), serveAnswers(t, map[string]any{admin.PathDocuments: stream}),
	} {
		code, again, errOut := runTool("config", "print", source)
		require.Equal(t, ExitOK, code, errOut)
		require.Equal(t, stream, again)
	}
	code, out, _ = runTool("config", "print", "--json", dir)
	require.Equal(t, ExitOK, code)
	var f fleet.Fleet
	require.NoError(t, json.Unmarshal([]byte(out), &f))
	require.Len(t, f.Services, 3)
}

func TestDiffWithWarningExitsWithFindings(t *testing.T) {
	before, after := writeDocuments(t, deployments.Eisbruecke(1)), deployments.Eisbruecke(2)
	code, out, _ := runTool("config", "diff", before, before)
	require.Equal(t, ExitOK, code)
	require.Equal(t, "nothing changes\n", out)
	code, out, _ = runTool("config", "diff", before, writeDocuments(t, after))
	require.Equal(t, ExitOK, code)
	require.Equal(t, "note: fleet: revision rises from 1 to 2\n", out)

	cargo := &after.Services[1]
	cargo.Routes[2].Idempotent = true
	code, out, _ = runTool("config", "diff", before, writeDocuments(t, after))
	require.Equal(t, ExitFindings, code)
	require.Contains(t, out, "/bookings/* goes from at most once to idempotent: requests may be repeated")
	code, out, _ = runTool("config", "diff", "--json", before, writeDocuments(t, after))
	require.Equal(t, ExitFindings, code)
	var changes []diff.Change
	require.NoError(t, json.Unmarshal([]byte(out), &changes))
	require.Equal(t, diff.Warning, changes[1].Level)
}

func nodeStatus(vm string, revision uint64, digest string) admin.Status {
	return admin.Status{
		VM: vm, Zone: "rs-a", Config: config.Version{Revision: revision, Digest: digest}, Serving: true,
		Build: version.Build{Version: "v1"}, Leavers: []string{"orders-9"},
	}
}

func TestStatusComparesNodes(t *testing.T) {
	serve := func(s admin.Status) string { return serveAnswers(t, map[string]any{admin.PathStatus: s}) }
	a, b := serve(nodeStatus("orders-1", 7, "aa")), serve(nodeStatus("orders-2", 7, "aa"))
	table := writeTempFile(t, "vm\tadmin address\tpid\norders-1\t"+a+"\t1\norders-2\t"+b+"\t2\n")
	code, out, _ := runTool("status", "--nodes", table)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "2 nodes; revision spread 0\nrevision 7: 2 nodes\nversion v1")
	require.Contains(t, out, "orders-9")

	stale := nodeStatus("orders-3", 5, "bb")
	stale.Serving, stale.Refused = false, "revision 7: not INI"
	code, out, _ = runTool("status", a, serve(stale), unusedAddress(t))
	require.Equal(t, ExitFindings, code)
	for _, want := range []string{
		"2 configurations are in force, 2 revisions apart", "orders-3 doesn't serve",
		"orders-3 refused a configuration: revision 7: not INI", "can't be asked",
	} {
		require.Contains(t, out, want)
	}
	code, out, _ = runTool("status", "--json", a, b)
	require.Equal(t, ExitOK, code)
	var r Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, map[uint64]int{7: 2}, r.Revisions)
}

func TestDumpAndExplainPrintNodeState(t *testing.T) {
	d := admin.Dump{Targets: map[string]admin.TargetState{"orders-2": {VM: "orders-2", State: admin.StateLeaving}}}
	d.Control.Self.Place = pick.Place{VM: "orders-1", Zone: "rs-a", Region: "rs"}
	d.Control.Members = map[string]core.MemberDump{"orders-2": {Incarnation: 0xbeef}}
	d.Control.VMs.Rows = map[string]platform.VM{"orders-2": {State: platform.VMLeaving}}
	node := serveAnswers(t, map[string]any{admin.PathDump: d, admin.PathExplain: admin.Explanation{
		Service: "orders", Team: "store", Runs: fleet.RunsAtMostOnce, Chosen: "orders-2", Why: "because",
		Limits: []admin.Limit{{What: "queue at each target", Value: 16}},
	}})
	code, out, _ := runTool("dump", "--table", node)
	require.Equal(t, ExitOK, code)
	for _, want := range []string{"orders-1", "beef", "leaving"} {
		require.Contains(t, out, want)
	}
	code, out, _ = runTool("dump", node)
	require.Equal(t, ExitOK, code)
	require.True(t, json.Valid([]byte(out)))

	code, out, _ = runTool("explain", "-X", "post", node, "orders/orders/confirm")
	require.Equal(t, ExitOK, code)
	for _, want := range []string{"orders-2", "because", "at-most-once", "queue at each target: 16", "none matches"} {
		require.Contains(t, out, want)
	}
}

func TestRequestQueryFromServiceOrURL(t *testing.T) {
	for request, want := range map[string]string{
		"orders/a/b":              "method=PUT&path=%2Fa%2Fb&service=orders",
		"orders":                  "method=PUT&path=%2F&service=orders",
		"http://orders.example/a": "host=orders.example&method=PUT&path=%2Fa",
	} {
		q, err := requestQuery("put", request)
		require.NoError(t, err)
		require.Equal(t, want, q.Encode())
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	p, err := newParser(nil)
	require.NoError(t, err)
	for _, c := range p.Commands() {
		for _, leaf := range append(c.Commands(), c) {
			if len(leaf.Commands()) == 0 {
				require.Contains(t, leaf.LongDescription, "\n  limpetdock", leaf.Name)
			}
		}
	}
	code, out, _ := runTool("--help")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "Exit codes")
}

func TestReferencePageIsUpToDate(t *testing.T) {
	const page = "../../docs/cli.md"
	got, err := Reference()
	require.NoError(t, err)
	if os.Getenv("UPDATE") != "" {
		require.NoError(t, os.WriteFile(page, []byte(got), 0o644))
	}
	want, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "regenerate it with UPDATE=1 go test ./internal/cli")
}

func TestVersionAndCompletion(t *testing.T) {
	code, out, _ := runTool("version", "--json")
	require.Equal(t, ExitOK, code)
	var b version.Build
	require.NoError(t, json.Unmarshal([]byte(out), &b))
	require.NotEmpty(t, b.Go)
	code, out, _ = runTool("completion")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "complete -F")
}

package process_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/cli"
)

// runTool runs the operators' tool as a process and returns its exit code and output.
func runTool(t *testing.T, stdin string, args ...string) (code int, out string) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(bin, "limpetdock"), args...)
	cmd.Stdin = strings.NewReader(stdin)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String() + stderr.String()
}

// Runs the commands of the operators' tool on a running deployment.
func TestOperatorToolOnRunningDeployment(t *testing.T) {
	_, d := startDeployment(t)
	node := d.VMs[0].Admin()
	table := filepath.Join(filepath.Dir(filepath.Dir(d.Ledger("x"))), "nodes.tsv")

	code, out := runTool(t, "", "status", "--json", "--nodes", table)
	require.Equal(t, cli.ExitOK, code, out)
	var report cli.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Equal(t, map[uint64]int{1: len(d.VMs)}, report.Revisions)

	code, config := runTool(t, "", "config", "print", node)
	require.Equal(t, cli.ExitOK, code, config)
	code, out = runTool(t, config, "config", "check", "-", node)
	require.Equal(t, cli.ExitOK, code, out)

	for _, args := range [][]string{
		{"dump", node},
		{"dump", "--table", node},
		{"explain", "--method", "POST", node, "orders/orders/confirm"},
		{"settings", "check", filepath.Join(filepath.Dir(table), "settings", d.VMs[0].Name+".ini")},
	} {
		code, out := runTool(t, "", args...)
		require.Equal(t, cli.ExitOK, code, "%v: %s", args, out)
		require.Contains(t, out, "rs-a", args)
	}

	// The diff compares a configuration that is not yet published with the one in force.
	next := d.Fleet()
	next.Revision++
	for i := range next.Services {
		next.Services[i].Routes = append(next.Services[i].Routes[:0:0], next.Services[i].Routes...)
		for j := range next.Services[i].Routes {
			next.Services[i].Routes[j].Idempotent = true
		}
	}
	pub, err := next.Print()
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, pub.WriteDir(dir))
	code, out = runTool(t, "", "config", "diff", node, dir)
	require.Equal(t, cli.ExitFindings, code, out)
	require.Contains(t, out, "/orders/* goes from at most once to idempotent")

	// The status command reports a node that is down.
	stopped := d.Node(d.VMs[0].Name)
	stopped.End(os.Kill)
	stopped.Wait(time.Minute)
	code, out = runTool(t, "", "status", "--nodes", table)
	require.Equal(t, cli.ExitFindings, code, out)
	require.Contains(t, out, "can't be asked")
}

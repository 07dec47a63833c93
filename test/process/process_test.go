// Package process_test proves promises with deployments of real processes.
package process_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/standin/chaos"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

var (
	chaosRequests = flag.Int("chaos.requests", 6000, "at-most-once requests sent under faults")
	chaosSeed     = flag.Uint64("chaos.seed", 7, "seed of the faults")
	bin           string
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "limpetdock-bin-")
	if err != nil {
		panic(err)
	}
	bin = dir
	if err := deploy.Build(bin); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start starts a deployment of Cesta Viva that ends with the test.
func start(t *testing.T) (context.Context, *deploy.Deployment) {
	t.Helper()
	octet, release, err := deploy.FreeNet()
	require.NoError(t, err)
	t.Cleanup(release)
	d, err := deploy.New(deploy.Options{
		Bin: bin, Out: filepath.Join(t.TempDir(), "out"), Net: octet,
		Fleet: deployments.CestaViva(1), ServiceMs: 5,
	})
	require.NoError(t, err)
	ctx := t.Context()
	t.Cleanup(d.Stop)
	require.NoError(t, d.Start(ctx))
	require.NoError(t, d.WaitReady(ctx))
	return ctx, d
}

// Callers confirm orders and pay drivers while nodes and backend servers are
// killed, frozen, cut off and drained at random. Whoever gets no clear answer
// sends the same request again through another node. No order may run twice, and
// nobody who is told "not run" may find that it ran.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	ctx, d := start(t)
	r, err := chaos.Run(ctx, d, chaos.Options{
		Requests: *chaosRequests, Callers: 48, Seed: *chaosSeed, Log: t.Logf,
	})
	require.NoError(t, err)
	t.Log(r)
	require.Empty(t, r.Violations)
	for style, c := range r.ByStyle {
		require.Positive(t, c.Run, "%s: nothing ran at all", style)
	}
}

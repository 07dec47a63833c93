// Package process_test runs end-to-end tests on deployments of real processes.
package process_test

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/standin/chaos"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

var (
	chaosRequests = flag.Int("chaos.requests", 6000, "at-most-once requests sent under faults")
	chaosSeed     = flag.Uint64("chaos.seed", 7, "seed of the faults")
	bin           string
	// deploymentSlots limits the number of deployments that run concurrently.
	deploymentSlots = make(chan struct{}, 3)
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

// startDeployment starts a deployment of Cesta Viva and stops it when the test ends.
func startDeployment(t *testing.T) (context.Context, *deploy.Deployment) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
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

// Callers send at-most-once requests while nodes and backend servers are killed,
// frozen, disconnected and drained at random. A caller without a definite answer
// sends the same request again through another node. No request may run twice,
// and no request that was answered "not run" may have run.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	ctx, d := startDeployment(t)
	waitForKeys(t, d)
	r, err := chaos.Run(ctx, d, chaos.Options{
		Requests: *chaosRequests, Callers: 60, Interval: 200 * time.Millisecond, Seed: *chaosSeed, Log: t.Logf,
	})
	require.NoError(t, err)
	t.Log(r)
	require.Empty(t, r.Violations)
	for style, c := range r.ByStyle {
		require.Positive(t, c.Run, "%s: nothing ran at all", style)
	}
}

// waitForKeys waits until every home target accepts idempotency keys chosen by
// callers. A new process refuses them until every key that its predecessor may
// have run has expired.
func waitForKeys(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	const consecutive = 40
	ok := 0
	require.Eventually(t, func() bool {
		for _, service := range []string{"orders", "depot"} {
			if status, _ := post(t, d.VMs[ok%len(d.VMs)], service, uuid.NewString()); status != http.StatusOK {
				ok = 0
				return false
			}
		}
		ok++
		return ok >= consecutive
	}, 3*time.Minute, 10*time.Millisecond)
}

// post sends an at-most-once request with an idempotency key chosen by the caller.
func post(t *testing.T, p deploy.VM, service, key string) (int, kind.Kind) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers()+"/payouts/run", strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set(headers.Service, service)
	req.Header.Set(headers.IdempotencyKey, key)
	req.Header.Set(headers.RequestID, key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, kind.Kind(resp.Header.Get(headers.Kind))
}

package process_test

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// The node of a home target is restarted while at-most-once requests arrive. The
// new process starts without keys: unless its predecessor hands them on, it would
// refuse keys chosen by callers for more than a key lifetime. It must not run a
// request again that its predecessor ran. A killed process hands nothing on, so its
// successor refuses such keys.
func TestGracefulRestartKeepsIdempotencyKeys(t *testing.T) {
	_, d := startDeployment(t)
	waitForKeys(t, d)
	home := "depot-rs-a"
	var others []deploy.VM
	for _, p := range d.VMs {
		if p.Name != home {
			others = append(others, p)
		}
	}
	oldKeys := make([]string, 5)
	for i := range oldKeys {
		oldKeys[i] = keyWithHome(t, d, home)
		status, k := post(t, others[i%len(others)], "depot", oldKeys[i])
		require.Equal(t, http.StatusOK, status, k)
	}
	// Repeats of requests keep arriving during the restart, as from a client that retries.
	before := incarnationOf(t, d, home)
	require.NoError(t, d.Node(home).Signal(syscall.SIGTERM))
	newKey := keyWithHome(t, d, home)
	require.Eventually(t, func() bool {
		_, _ = post(t, others[0], "depot", oldKeys[0])
		_, _ = post(t, others[1], "depot", newKey)
		s, err := fetchDump(placeOf(d, home))
		return err == nil && s.Control.Joined && s.Control.Self.Incarnation != before && s.Attempts.Keys.Restored
	}, waitLimit, pollEvery)
	var k kind.Kind
	require.Eventually(t, func() bool {
		var status int
		status, k = post(t, others[0], "depot", keyWithHome(t, d, home))
		return status == http.StatusOK
	}, waitLimit, pollEvery, "new keys are accepted again")
	for _, key := range oldKeys {
		status, k := post(t, others[2], "depot", key)
		require.Equal(t, http.StatusOK, status, k)
	}
	requireNoRepeatedRuns(t, d, home)

	before = incarnationOf(t, d, home)
	require.NoError(t, d.Node(home).Kill())
	require.Eventually(t, func() bool {
		s, err := fetchDump(placeOf(d, home))
		return err == nil && s.Control.Joined && s.Control.Self.Incarnation != before
	}, waitLimit, pollEvery)
	require.Eventually(t, func() bool {
		_, k = post(t, others[0], "depot", keyWithHome(t, d, home))
		return k == kind.KeyUnknown
	}, waitLimit, pollEvery, "a killed process hands nothing on")
	for _, key := range oldKeys {
		status, _ := post(t, others[1], "depot", key)
		require.NotEqual(t, http.StatusOK, status)
	}
	requireNoRepeatedRuns(t, d, home)
}

// keyWithHome returns an idempotency key of the service depot whose home target is vm.
func keyWithHome(t *testing.T, d *deploy.Deployment, vm string) string {
	t.Helper()
	var targets []string
	for _, svc := range d.Fleet().Services {
		if svc.Name != "depot" {
			continue
		}
		for _, target := range svc.Targets {
			targets = append(targets, target.VM)
		}
	}
	require.Contains(t, targets, vm)
	for {
		if key := uuid.NewString(); attempt.Home("depot", key, targets) == vm {
			return key
		}
	}
}

func placeOf(d *deploy.Deployment, vm string) deploy.VM {
	for _, p := range d.VMs {
		if p.Name == vm {
			return p
		}
	}
	return deploy.VM{}
}

func incarnationOf(t *testing.T, d *deploy.Deployment, vm string) uint64 {
	t.Helper()
	var s admin.Dump
	require.Eventually(t, func() bool {
		var err error
		s, err = fetchDump(placeOf(d, vm))
		return err == nil
	}, waitLimit, pollEvery)
	return s.Control.Self.Incarnation
}

// requireNoRepeatedRuns checks in the ledger of a VM's backend server that no
// at-most-once request ran twice.
func requireNoRepeatedRuns(t *testing.T, d *deploy.Deployment, vm string) {
	t.Helper()
	runs, err := d.LedgerEntries(vm)
	require.NoError(t, err)
	starts := map[string]int{}
	for _, r := range runs {
		if r.Event == "start" && r.Method == http.MethodPost {
			starts[r.ID]++
			require.Equal(t, 1, starts[r.ID], r.ID)
		}
	}
	require.NotEmpty(t, starts)
}

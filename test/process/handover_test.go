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

// Operators restart the node of a home while drivers' payouts come in. Its next
// process has no memory of its own: without its predecessor's it would turn own
// keys away for a lifetime and more, and it must not run what ran there. Killed,
// a process leaves nothing behind, and the next one waits.
func TestAGracefulRestartKeepsAHomesKeys(t *testing.T) {
	_, d := start(t)
	waitForKeys(t, d)
	home := "depot-rs-a"
	var others []deploy.Place
	for _, p := range d.Places {
		if p.VM != home {
			others = append(others, p)
		}
	}
	old := make([]string, 5)
	for i := range old {
		old[i] = keyAt(t, d, home)
		status, k := post(t, others[i%len(others)], "depot", old[i])
		require.Equal(t, http.StatusOK, status, k)
	}
	// A copy goes on being sent all through the restart, as a phone would do.
	before := incarnation(t, d, home)
	require.NoError(t, d.Node(home).Signal(syscall.SIGTERM))
	during := keyAt(t, d, home)
	require.Eventually(t, func() bool {
		_, _ = post(t, others[0], "depot", old[0])
		_, _ = post(t, others[1], "depot", during)
		s, err := dump(place(d, home))
		return err == nil && s.Control.Joined && s.Control.Self.Incarnation != before && s.Attempts.Keys.Taken
	}, waitLimit, pollEvery)
	var k kind.Kind
	require.Eventually(t, func() bool {
		var status int
		status, k = post(t, others[0], "depot", keyAt(t, d, home))
		return status == http.StatusOK
	}, waitLimit, pollEvery, "new keys are taken again")
	for _, key := range old {
		status, k := post(t, others[2], "depot", key)
		require.Equal(t, http.StatusOK, status, k)
	}
	runsOnce(t, d, home)

	before = incarnation(t, d, home)
	require.NoError(t, d.Node(home).Kill())
	require.Eventually(t, func() bool {
		s, err := dump(place(d, home))
		return err == nil && s.Control.Joined && s.Control.Self.Incarnation != before
	}, waitLimit, pollEvery)
	require.Eventually(t, func() bool {
		_, k = post(t, others[0], "depot", keyAt(t, d, home))
		return k == kind.KeyUnknown
	}, waitLimit, pollEvery, "a killed process hands nothing on")
	for _, key := range old {
		status, _ := post(t, others[1], "depot", key)
		require.NotEqual(t, http.StatusOK, status)
	}
	runsOnce(t, d, home)
}

// keyAt makes a key of the service depot whose home is a VM.
func keyAt(t *testing.T, d *deploy.Deployment, vm string) string {
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

func place(d *deploy.Deployment, vm string) deploy.Place {
	for _, p := range d.Places {
		if p.VM == vm {
			return p
		}
	}
	return deploy.Place{}
}

func incarnation(t *testing.T, d *deploy.Deployment, vm string) uint64 {
	t.Helper()
	var s admin.Dump
	require.Eventually(t, func() bool {
		var err error
		s, err = dump(place(d, vm))
		return err == nil
	}, waitLimit, pollEvery)
	return s.Control.Self.Incarnation
}

// runsOnce checks by the backend server's own ledger that no key ran twice.
func runsOnce(t *testing.T, d *deploy.Deployment, vm string) {
	t.Helper()
	runs, err := d.Runs(vm)
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

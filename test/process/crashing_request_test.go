package process_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/wire"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

const (
	crashingID = "killer"
	// retryInterval is the Retry-After that the caller honours.
	retryInterval = time.Second
)

// get sends a read to the catalogue service and returns its status and error
// kind. With crash set, the request crashes the backend server that runs it.
func get(ctx context.Context, p deploy.VM, id, path string, crash bool) (status int, k kind.Kind, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Callers()+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(headers.Service, "catalogue")
	req.Header.Set(headers.RequestID, id)
	if crash {
		req.Header.Set("X-Standin-Crash", "1")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, kind.Kind(resp.Header.Get(headers.Kind)), err
}

// One read crashes every backend server that runs it, and its caller repeats it
// through all nodes. Other callers, whose reads run at the same backend servers,
// must see no failure. The crashing read must then be refused by every node
// without another crash.
func TestRequestThatCrashesBackendServersIsBlocked(t *testing.T) {
	ctx, d := startDeployment(t)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 12 {
		readers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				status, k, err := get(ctx, d.VMs[(i+n)%len(d.VMs)], uuid.NewString(), "/catalogue/week", false)
				if err != nil || status != http.StatusOK {
					t.Errorf("a read of another caller failed: %d %s %v", status, k, err)
				}
			}
		})
	}
	// The caller retries after each Retry-After interval, each time at another node.
	sends := 0
	require.Eventually(t, func() bool {
		p := d.VMs[sends%len(d.VMs)]
		sends++
		_, k, err := get(ctx, p, crashingID, "/catalogue/crash", true)
		require.NoError(t, err)
		return k == kind.Blocked
	}, waitLimit, retryInterval)
	for _, p := range d.VMs {
		require.Eventually(t, func() bool { return blocksRequest(p) }, waitLimit, pollEvery, p.Name)
	}
	runs := crashingRuns(t, d)
	t.Logf("%d runs of the crashing read before it was blocked, %d sends", runs, sends)
	for _, p := range d.VMs {
		_, k, err := get(ctx, p, crashingID, "/catalogue/crash", true)
		require.NoError(t, err)
		require.Equal(t, kind.Blocked, k, p.Name)
	}
	require.Equal(t, runs, crashingRuns(t, d), "a blocked read must not run")
	close(stop)
	readers.Wait()
}

func crashingRuns(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	starts, err := d.StartCounts()
	require.NoError(t, err)
	return starts[crashingID]
}

// blocksRequest reports whether a node knows of a request whose runs ended in at
// least two crashes, at least one of them with no other request in flight.
func blocksRequest(p deploy.VM) bool {
	d, err := fetchDump(p)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(d.Control.Suspects, func(s wire.Suspect) bool {
		return len(s.Deaths) > 1 && len(s.Cleared) == 0 && slices.Contains(s.Alone, true)
	})
}

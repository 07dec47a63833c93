package process_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// rollingRequests are the requests that callers send during a rolling restart.
var rollingRequests = []struct {
	service, method, path string
	size                  int
}{
	{"catalogue", http.MethodGet, "/catalogue/week", 0},
	{"orders", http.MethodPost, "/orders/confirm", 300},
	{"depot", http.MethodPost, "/payouts/run", 300},
	{"depot", http.MethodPut, "/uploads/plan", 300_000},
}

// callerIdleTimeout is how long a caller keeps an idle connection. It is shorter
// than the grace period of a stopping node, as docs/operators/leaving.md requires:
// an HTTP/1.1 server cannot close an idle connection without the risk that a
// request is already on its way.
const callerIdleTimeout = time.Second

// rollingResults collects the outcomes that callers saw: completed requests,
// retries at another node, and failures.
type rollingResults struct {
	mu                 sync.Mutex
	done               map[string]bool
	notRun, dialErrors int
	failures           []string
}

func (r *rollingResults) add(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// caller sends requests until ctx ends. It retries at another node only if a node
// accepts no connection or answers that the request was not run.
func (r *rollingResults) caller(ctx context.Context, d *deploy.Deployment, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: callerIdleTimeout}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c := rollingRequests[rnd.IntN(len(rollingRequests))]
		id := uuid.NewString()
		body := bytes.Repeat([]byte{byte('a' + rnd.IntN(26))}, c.size)
		for !r.send(client, d.VMs[rnd.IntN(len(d.VMs))], c.service, c.method, c.path, id, body) {
		}
	}
}

// send sends a request once. It reports whether the request is finished, whether
// it succeeded or failed; otherwise the caller may send it again.
func (r *rollingResults) send(client *http.Client, p deploy.VM, service, method, path, id string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+p.Callers()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headers.Service, service)
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.TimeoutMs, "20000")
	resp, err := client.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.add(func() { r.dialErrors++ })
		return false
	}
	if err != nil {
		r.add(func() { r.failures = append(r.failures, fmt.Sprintf("%s %s at %s: %v", method, path, p.Name, err)) })
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err == nil && resp.Header.Get(headers.Outcome) == string(kind.NotRun):
		r.add(func() { r.notRun++ })
		return false
	case err != nil || resp.StatusCode != http.StatusOK || len(body) > 0 && !bytes.Equal(got, body):
		r.add(func() {
			r.failures = append(r.failures, fmt.Sprintf("%s %s at %s: %s %.200s %v", method, path, p.Name, resp.Status, got, err))
		})
	default:
		r.add(func() { r.done[id] = true })
	}
	return true
}

// All nodes are restarted, zone by zone, while callers read, upload and send
// at-most-once requests. No request in flight may be interrupted, neither at the
// stopping node nor at an entry that uses it as a target. No outcome may be
// unknown, and no request may run twice.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	ctx, d := startDeployment(t)
	load, stop := context.WithCancel(ctx)
	r := &rollingResults{done: map[string]bool{}}
	var callers sync.WaitGroup
	const count = 16
	for i := range count {
		callers.Go(func() { r.caller(load, d, uint64(i)) })
	}
	for _, zone := range d.Fleet().Zones {
		restartZone(t, d, zone.Name)
	}
	stop()
	callers.Wait()
	t.Logf("%d answered; answered not run and sent to another node: %d; no connection: %d", len(r.done), r.notRun, r.dialErrors)
	require.Empty(t, r.failures)
	require.NotEmpty(t, r.done)
	starts, err := d.StartCounts()
	require.NoError(t, err)
	for id := range r.done {
		require.GreaterOrEqual(t, starts[id], 1, id)
	}
	for _, p := range d.VMs {
		runs, err := d.LedgerEntries(p.Name)
		require.NoError(t, err)
		for _, run := range runs {
			if run.Method == http.MethodPost && run.Event == "start" {
				require.Equal(t, 1, starts[run.ID], "%s ran more than once", run.ID)
			}
		}
	}
}

// restartZone stops all nodes of a zone and waits until their successors have joined.
func restartZone(t *testing.T, d *deploy.Deployment, zone string) {
	before := map[string]uint64{}
	for _, p := range d.VMs {
		if p.Zone == zone {
			state, err := fetchDump(p)
			require.NoError(t, err)
			before[p.Name] = state.Control.Self.Incarnation
			require.NoError(t, d.Node(p.Name).Signal(syscall.SIGTERM))
		}
	}
	start := time.Now()
	for _, p := range d.VMs {
		if p.Zone != zone {
			continue
		}
		require.Eventually(t, func() bool {
			state, err := fetchDump(p)
			return err == nil && state.Control.Joined && state.Control.Self.Incarnation != before[p.Name]
		}, waitLimit, pollEvery, p.Name)
	}
	t.Logf("%s restarted in %v", zone, time.Since(start).Round(time.Millisecond))
}

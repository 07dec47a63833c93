package process_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// runsStarted returns how many runs the backend server of a VM has started.
func runsStarted(t *testing.T, d *deploy.Deployment, vm string) int {
	runs, err := d.LedgerEntries(vm)
	require.NoError(t, err)
	n := 0
	for _, r := range runs {
		if r.Event == "start" {
			n++
		}
	}
	return n
}

// While a node is frozen, a backend server is removed and a new revision comes
// into force. After the node resumes, it first acts on its stale state: its callers
// must still be served, and the removed backend server must receive no request.
func TestResumedEntrySendsNothingToRemovedTarget(t *testing.T) {
	ctx, d := startDeployment(t)
	entry, removed := d.VMs[0], "catalogue-rs-b"
	var guard deploy.VM
	for _, p := range d.VMs {
		if p.Name == removed {
			guard = p
		}
	}
	require.NoError(t, d.Node(entry.Name).Pause())
	next := deployments.CestaViva(2)
	for i := range next.Services {
		next.Services[i].Queue = 20
	}
	require.NoError(t, d.Publish(ctx, next))
	require.NoError(t, d.SetVM(ctx, removed, "leaving"))
	for _, p := range d.VMs[1:] {
		require.Eventually(t, func() bool { return revisionInForce(p) == 2 }, waitLimit, pollEvery, p.Name)
	}
	require.Eventually(t, func() bool {
		state, err := fetchDump(guard)
		return err == nil && state.Control.Leaving
	}, waitLimit, pollEvery, "the guard knows that its VM is leaving")
	before := runsStarted(t, d, removed)
	require.NoError(t, d.Node(entry.Name).Resume())
	const reads = 200
	for range reads {
		status, k, err := get(ctx, entry, uuid.NewString(), "/catalogue/week", false)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, k)
	}
	require.Equal(t, before, runsStarted(t, d, removed), "runs at the removed backend server")
}

// All nodes of an availability zone are killed at once and restart without any
// state. They must reach the configuration in force with at most eight platform
// calls for each node, apart from the regular calls of the other nodes. The guards
// of the zone must not be overloaded when they are available again.
func TestKilledZoneRecoversWithBoundedLoad(t *testing.T) {
	ctx, d := startDeployment(t)
	require.NoError(t, d.Publish(ctx, deployments.CestaViva(2)))
	for _, p := range d.VMs {
		require.Eventually(t, func() bool { return revisionInForce(p) == 2 }, waitLimit, pollEvery, p.Name)
	}
	calls := func() (n uint64) {
		state, err := d.PlatformState(ctx)
		require.NoError(t, err)
		for _, c := range state.Calls {
			n += c
		}
		return n
	}
	const zone = "sc-a"
	sent := startReaders(ctx, d, zone)
	before, start := calls(), time.Now()
	oldIncarnations := map[string]uint64{}
	for _, p := range d.VMs {
		if p.Zone == zone {
			state, err := fetchDump(p)
			require.NoError(t, err)
			oldIncarnations[p.Name] = state.Control.Self.Incarnation
			require.NoError(t, d.Node(p.Name).Kill())
		}
	}
	for _, p := range d.VMs {
		if p.Zone != zone {
			continue
		}
		require.Eventually(t, func() bool {
			state, err := fetchDump(p)
			return err == nil && state.Control.Joined && state.Control.Self.Incarnation != oldIncarnations[p.Name]
		}, waitLimit, pollEvery, p.Name)
		require.EqualValues(t, 2, revisionInForce(p))
	}
	elapsed, platformCalls := time.Since(start), calls()-before
	requireBoundedLoad(t, d, zone, sent)
	t.Logf("%d nodes available again after %v; %d platform calls meanwhile", len(oldIncarnations), elapsed.Round(time.Millisecond), platformCalls)
	// A restarted node reads the index, the list and three documents. The other nodes
	// make the calls of two watches of two keys in each zone every 20 s.
	backgroundCalls := 24 * (1 + uint64(elapsed/(20*time.Second)))
	require.LessOrEqual(t, platformCalls, uint64(len(oldIncarnations))*8+backgroundCalls)
}

const (
	readersPerNode = 2
	readPause      = 50 * time.Millisecond
)

// startReaders starts callers that read at the nodes of all zones but exceptZone
// until ctx ends. It returns a counter of the reads sent. Pauses between reads
// leave processor time to tests that run in parallel.
func startReaders(ctx context.Context, d *deploy.Deployment, exceptZone string) *atomic.Int64 {
	sent := &atomic.Int64{}
	for _, p := range d.VMs {
		for range readersPerNode {
			go func() {
				for p.Zone != exceptZone && ctx.Err() == nil {
					_, _, _ = get(ctx, p, uuid.NewString(), "/catalogue/week", false)
					sent.Add(1)
					time.Sleep(readPause)
				}
			}()
		}
	}
	return sent
}

// requireBoundedLoad checks, a second after the guards of a restarted zone began to
// serve, the connections they accepted since their processes started and the runs
// of that second.
func requireBoundedLoad(t *testing.T, d *deploy.Deployment, zone string, sent *atomic.Int64) {
	runs := map[string]int{}
	for _, p := range d.VMs {
		runs[p.Name] = runsStarted(t, d, p.Name)
	}
	before := sent.Load()
	time.Sleep(time.Second)
	share := int(sent.Load()-before) / 6
	for _, p := range d.VMs {
		if p.Zone != zone {
			continue
		}
		connections := readCounter(t, p, `limpetdock_http_connections_total{server="guard"}`)
		ran := runsStarted(t, d, p.Name) - runs[p.Name]
		t.Logf("%s: %v connections since its start, %d runs; an equal share of the reads sent is %d", p.Name, connections, ran, share)
		require.LessOrEqual(t, connections, float64(maxConnectionsAfterStart), p.Name)
		require.LessOrEqual(t, ran, 2*share+4, p.Name)
	}
}

// maxConnectionsAfterStart limits the connections that a guard accepts from its
// start until a second after it begins to serve: one opened in advance by each of
// the 17 other entries, and one for each reader. If all entries connected at once,
// each of them would open 22.
const maxConnectionsAfterStart = 17 + 15*readersPerNode

package process_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

const (
	waitLimit = time.Minute
	pollEvery = 20 * time.Millisecond
)

// fetchDump reads a node's state dump from its admin listener.
func fetchDump(p deploy.VM) (admin.Dump, error) {
	var d admin.Dump
	resp, err := http.Get("http://" + p.Admin() + "/v1/dump")
	if err != nil {
		return d, err
	}
	defer func() { _ = resp.Body.Close() }()
	return d, json.NewDecoder(resp.Body).Decode(&d)
}

// revisionInForce returns the configuration revision in force at a node, 0 if
// there is none or the node does not answer.
func revisionInForce(p deploy.VM) uint64 {
	d, err := fetchDump(p)
	if err != nil {
		return 0
	}
	return d.Control.Config.Version.Revision
}

// Operators publish a series of revisions while the platform of one region
// returns a stale state and nodes are restarted. Every node must reach the newest
// revision, and none may report an older one than before, even after a restart.
func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	ctx, d := startDeployment(t)
	state, err := d.PlatformState(ctx)
	require.NoError(t, err)
	for _, zone := range []string{"pr-a", "pr-b"} {
		require.NoError(t, d.SetPlatformFault(ctx, zone, deploy.PlatformFault{FrozenAt: state.Version}))
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, p := range d.VMs {
		watchers.Go(func() {
			newest := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollEvery):
				}
				now := revisionInForce(p)
				if now != 0 && now < newest {
					t.Errorf("%s went from revision %d back to %d", p.Name, newest, now)
				}
				newest = max(newest, now)
			}
		})
	}
	const revisions = 6
	for rev := uint64(2); rev <= revisions; rev++ {
		published := time.Now()
		require.NoError(t, d.Publish(ctx, deployments.CestaViva(rev)))
		for _, p := range d.VMs {
			require.Eventually(t, func() bool { return revisionInForce(p) == rev }, waitLimit, pollEvery, p.Name)
		}
		t.Logf("revision %d in force on all nodes after %s", rev, time.Since(published).Round(time.Millisecond))
		require.NoError(t, d.Node(d.VMs[int(rev)%len(d.VMs)].Name).Kill())
		require.NoError(t, d.Node("catalogue-pr-a").Kill())
	}
	for _, p := range d.VMs {
		require.Eventually(t, func() bool { return revisionInForce(p) == revisions }, waitLimit, pollEvery, p.Name)
	}
	close(stop)
	watchers.Wait()
}

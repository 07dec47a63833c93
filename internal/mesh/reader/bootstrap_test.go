package reader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// runBootstrap runs Bootstrap of a node that knows the addresses of peers.
func runBootstrap(t *testing.T, a *fakeAsker, peers map[string]mesh.Peer, f func(s *fakeStore, f *Follower)) (known uint64, took time.Duration) {
	s := &fakeStore{stored: 7}
	virtualtime.Test(t, func(t *testing.T) {
		follower := newFollower(s, a)
		began := time.Now()
		f(s, follower)
		follower.Bootstrap(t.Context(), peers)
		known, took = s.Revision(), time.Since(began)
		synctest.Wait()
	})
	return known, took
}

// localZonePeers returns nodes of the local zone, and their addresses in rank order.
func localZonePeers(nodes int) (peers map[string]mesh.Peer, order []string) {
	peers = map[string]mesh.Peer{}
	for n := range nodes {
		peers[fmt.Sprintf("10.1.0.%d:8300", n+20)] = mesh.Peer{Zone: "rs-a", Distance: place.SameZone}
	}
	t := NewTable("", mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 })
	return peers, t.byDistance(peers)
}

// Guards against nodes that read the whole store at their start although others run.
func TestBootstrapGetsSnapshotFromPeerInLocalZone(t *testing.T) {
	peers, _ := localZonePeers(8)
	peers["10.2.0.1:8300"] = mesh.Peer{Zone: "rs-b", Distance: place.SameRegion}
	a := &fakeAsker{}
	known, took := runBootstrap(t, a, peers, func(_ *fakeStore, f *Follower) {
		a.onAsk(func(string) { f.UpdateHandler(context.Background()).Apply([]byte("all")) })
	})
	require.EqualValues(t, 7, known)
	require.Zero(t, took)
	require.Len(t, a.queries(), 1)
	require.NotEqual(t, "10.2.0.1:8300", a.queries()[0], "traffic between zones is billed")
}

// Guards against a mass start in which nodes ask others that have no state either, so that
// all of them end up reading the store.
func TestBootstrapCandidatesStartWithTheSameFewReaders(t *testing.T) {
	peers, order := localZonePeers(33)
	first := map[string]int{}
	for addr := range peers {
		table := NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 })
		candidates, isReader := table.bootstrapCandidates(peers)
		first[candidates[0]]++
		require.NotContains(t, candidates, addr)
		require.LessOrEqual(t, len(candidates), maxBootstrapCandidates)
		require.Equal(t, addr == order[0] || addr == order[1], isReader)
	}
	require.Len(t, first, bootstrapReaders)
	require.Less(t, first[order[0]], 25, "queries are spread over the readers")
	require.Less(t, first[order[1]], 25, "queries are spread over the readers")
}

// Guards against a node that starts with its zone and gives up before the bootstrap readers
// have read the store.
func TestBootstrapWaitsForPeerStillReadingTheStore(t *testing.T) {
	peers, _ := localZonePeers(5)
	a := &fakeAsker{}
	known, _ := runBootstrap(t, a, peers, func(_ *fakeStore, f *Follower) {
		readAt := time.Now().Add(bootstrapTimeout / 2)
		a.onAsk(func(string) {
			if time.Now().Before(readAt) {
				f.UpdateHandler(context.Background()).Apply(nil)
				return
			}
			f.UpdateHandler(context.Background()).Apply([]byte("all"))
		})
	})
	require.EqualValues(t, 7, known)
}

// Guards against a node that waits too long at its start for others that are down, don't
// answer or have no state.
func TestBootstrapGivesUpOnUnreachableOrSilentPeers(t *testing.T) {
	peers, order := localZonePeers(5)
	for name, a := range map[string]*fakeAsker{
		"down":   {down: map[string]bool{order[0]: true, order[1]: true, order[2]: true, order[3]: true, order[4]: true}},
		"silent": {},
	} {
		known, took := runBootstrap(t, a, peers, func(*fakeStore, *Follower) {})
		require.Zero(t, known, name)
		require.Less(t, took, 2*time.Second, name)
	}
	known, took := runBootstrap(t, &fakeAsker{}, nil, func(*fakeStore, *Follower) {})
	require.Zero(t, known)
	require.Zero(t, took, "there is no node to ask")
}

// Guards against bootstrap readers that wait, while their whole zone waits for them.
func TestBootstrapReaderDoesNotWaitForPeers(t *testing.T) {
	peers, order := localZonePeers(5)
	a := &fakeAsker{down: map[string]bool{}}
	for _, addr := range order {
		a.down[addr] = true
	}
	s := &fakeStore{stored: 7}
	virtualtime.Test(t, func(t *testing.T) {
		f := NewFollower(NewTable(order[1], mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 }), s, a, nil)
		began := time.Now()
		f.Bootstrap(t.Context(), peers)
		require.Zero(t, time.Since(began))
	})
}

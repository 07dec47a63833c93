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
)

// bootstrap plays the start of a node that knows of some others.
func bootstrap(t *testing.T, a *fakeAsker, peers map[string]mesh.Peer, f func(s *fakeStore, f *Follower)) (known uint64, took time.Duration) {
	s := &fakeStore{stored: 7}
	synctest.Test(t, func(t *testing.T) {
		follower := newFollower(s, a)
		began := time.Now()
		f(s, follower)
		follower.Bootstrap(t.Context(), peers)
		known, took = s.Revision(), time.Since(began)
		synctest.Wait()
	})
	return known, took
}

// zoneOf gives nodes of the own zone, in the order in which all nodes rank them.
func zoneOf(nodes int) (peers map[string]mesh.Peer, order []string) {
	peers = map[string]mesh.Peer{}
	for n := range nodes {
		peers[fmt.Sprintf("10.1.0.%d:8300", n+20)] = mesh.Peer{Zone: "rs-a", Distance: place.SameZone}
	}
	t := NewTable("", mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 })
	return peers, t.nearest(peers)
}

// Guards against whole reads of the store by nodes that start beside others which run.
func TestANodeThatStartsIsToldEverythingByAnother(t *testing.T) {
	peers, _ := zoneOf(8)
	peers["10.2.0.1:8300"] = mesh.Peer{Zone: "rs-b", Distance: place.SameRegion}
	a := &fakeAsker{}
	known, took := bootstrap(t, a, peers, func(_ *fakeStore, f *Follower) {
		a.answers(func(string) { f.News(context.Background()).Take([]byte("all")) })
	})
	require.EqualValues(t, 7, known)
	require.Zero(t, took)
	require.Len(t, a.questions(), 1)
	require.NotEqual(t, "10.2.0.1:8300", a.questions()[0], "bytes between zones are paid for")
}

// Guards against nodes that start together and each ask another one that knows nothing
// either, so that in the end all of them read the store.
func TestNodesThatStartTogetherAskTheSameFewFirst(t *testing.T) {
	peers, order := zoneOf(33)
	first := map[string]int{}
	for addr := range peers {
		table := NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 })
		asks, reads := table.bootstrapOrder(peers)
		first[asks[0]]++
		require.NotContains(t, asks, addr)
		require.LessOrEqual(t, len(asks), bootstrapAsks)
		require.Equal(t, addr == order[0] || addr == order[1], reads)
	}
	require.Len(t, first, bootstrapReaders)
	require.Less(t, first[order[0]], 25, "shared among them")
	require.Less(t, first[order[1]], 25, "shared among them")
}

// Guards against a node that starts with its zone and gives up before the ones that read
// the store had the time to.
func TestANodeThatStartsWaitsForAnotherThatReads(t *testing.T) {
	peers, _ := zoneOf(5)
	a := &fakeAsker{}
	known, _ := bootstrap(t, a, peers, func(_ *fakeStore, f *Follower) {
		reads := time.Now().Add(bootstrapWithin / 2)
		a.answers(func(string) {
			if time.Now().Before(reads) {
				f.News(context.Background()).Take(nil)
				return
			}
			f.News(context.Background()).Take([]byte("all"))
		})
	})
	require.EqualValues(t, 7, known)
}

// Guards against a node that starts and waits for long for others that are down, silent or
// know nothing.
func TestANodeThatStartsGivesUpOnOthersSoon(t *testing.T) {
	peers, order := zoneOf(5)
	for name, a := range map[string]*fakeAsker{
		"down":   {down: map[string]bool{order[0]: true, order[1]: true, order[2]: true, order[3]: true, order[4]: true}},
		"silent": {},
	} {
		known, took := bootstrap(t, a, peers, func(*fakeStore, *Follower) {})
		require.Zero(t, known, name)
		require.Less(t, took, 2*time.Second, name)
	}
	known, took := bootstrap(t, &fakeAsker{}, nil, func(*fakeStore, *Follower) {})
	require.Zero(t, known)
	require.Zero(t, took, "there is nobody to ask")
}

// Guards against the nodes that a whole zone waits for waiting themselves.
func TestANodeThatOthersWaitForReadsAtOnce(t *testing.T) {
	peers, order := zoneOf(5)
	a := &fakeAsker{down: map[string]bool{}}
	for _, addr := range order {
		a.down[addr] = true
	}
	s := &fakeStore{stored: 7}
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(NewTable(order[1], mesh.Place{Zone: "rs-a"}, func() time.Duration { return 0 }), s, a, nil)
		began := time.Now()
		f.Bootstrap(t.Context(), peers)
		require.Zero(t, time.Since(began))
	})
}

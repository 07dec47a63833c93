package reader

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
)

const (
	// bootstrapReaders is how many nodes of a zone read the store without waiting for each
	// other when the whole zone starts at once. There are two because one may be down.
	bootstrapReaders = 2
	// maxBootstrapCandidates is how many nodes a starting node asks in turn.
	maxBootstrapCandidates = 4
	// bootstrapTimeout bounds how long a starting node looks for another node that has
	// state: a few times the duration of a whole read of the store. Callers are refused
	// in the meantime.
	bootstrapTimeout = 300 * time.Millisecond
	// bootstrapRetryPause is the mean pause between two passes over the candidates.
	bootstrapRetryPause = 40 * time.Millisecond
	// connectTimeout bounds opening a connection to a candidate: a few round trips
	// between regions.
	connectTimeout = 100 * time.Millisecond
	// snapshotTimeout bounds the wait for a whole snapshot: large configurations take some
	// time on the links of VMs.
	snapshotTimeout = 400 * time.Millisecond
)

// Bootstrap asks other nodes for a whole snapshot of the store, until one sends it or the
// search is given up. peers are the nodes that may exist, with or without this one.
//
// If other nodes run, the first one asked sends it. If a zone or the whole fleet starts at
// once, all nodes ask the same few nodes first, and those read the store without waiting.
func (f *Follower) Bootstrap(ctx context.Context, peers map[string]mesh.Peer) {
	candidates, isReader := f.table.bootstrapCandidates(peers)
	deadline := f.table.now() + bootstrapTimeout
	for attempt := 0; len(candidates) > 0 && f.table.now() < deadline && ctx.Err() == nil; attempt++ {
		if f.requestSnapshot(ctx, candidates[attempt%len(candidates)]) {
			return
		}
		if attempt%len(candidates) < len(candidates)-1 {
			continue
		}
		if isReader {
			return
		}
		clock.Sleep(ctx, bootstrapRetryPause/2+rand.N(bootstrapRetryPause))
	}
}

// requestSnapshot asks a node for a whole snapshot and reports whether the store's state is
// known afterwards.
func (f *Follower) requestSnapshot(ctx context.Context, addr string) bool {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := f.asker.Warm(connectCtx, addr); err != nil {
		return false
	}
	f.clearAnswered()
	if err := f.asker.Ask(addr, peer.StateQuery{Whole: true}); err != nil {
		return false
	}
	waitCtx, stop := context.WithTimeout(ctx, snapshotTimeout)
	defer stop()
	select {
	case <-f.answered:
	case <-waitCtx.Done():
	}
	if f.store.Revision() == 0 {
		return false
	}
	f.log.Event("started from what another node knows", "node", addr, "revision", f.store.Revision())
	return true
}

// bootstrapCandidates returns the nodes to ask at the start, beginning with those that all
// nodes of the zone ask first, and whether this node is one of the latter.
func (t *Table) bootstrapCandidates(peers map[string]mesh.Peer) (candidates []string, isReader bool) {
	inZone := slices.SortedFunc(maps.Keys(peers), rank)
	inZone = slices.DeleteFunc(inZone, func(addr string) bool { return peers[addr].Zone != t.zone })
	isReader = slices.Contains(inZone[:min(len(inZone), bootstrapReaders)], t.own)
	others := slices.DeleteFunc(inZone, func(addr string) bool { return addr == t.own })
	if len(others) == 0 {
		others = t.byDistance(peers)
	}
	// Spread the queries of a zone's nodes over the readers.
	first := others[:min(len(others), bootstrapReaders)]
	if !isReader && hash(t.own)>>32%bootstrapReaders != 0 {
		slices.Reverse(first)
	}
	return others[:min(len(others), maxBootstrapCandidates)], isReader
}

// byDistance returns all nodes but this one, nearest first.
func (t *Table) byDistance(peers map[string]mesh.Peer) []string {
	list := slices.SortedFunc(maps.Keys(peers), func(a, b string) int {
		return cmp.Or(cmp.Compare(peers[a].Distance, peers[b].Distance), rank(a, b))
	})
	return slices.DeleteFunc(list, func(addr string) bool { return addr == t.own })
}

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
	// bootstrapReaders is how many nodes of a zone that starts as a whole read the store
	// without waiting for each other: one of them may be down.
	bootstrapReaders = 2
	// bootstrapAsks is how many nodes a node that starts asks in a row.
	bootstrapAsks = 4
	// bootstrapWithin is how long a node that starts looks for another one that knows
	// something: a few times what a whole read of the store takes. Callers are refused
	// meanwhile.
	bootstrapWithin = 300 * time.Millisecond
	// bootstrapPause is the pause between two rounds of questions.
	bootstrapPause = 40 * time.Millisecond
	// connectWithin bounds opening a connection to a node that is to be asked: a few round
	// trips between regions.
	connectWithin = 100 * time.Millisecond
	// tellWithin bounds the wait for all that a node knows: large configurations take a
	// while on the links of VMs.
	tellWithin = 400 * time.Millisecond
)

// Bootstrap asks other nodes for all they know of the store, until one tells it or none is
// going to. peers are nodes that there may be, the own one among them or not.
//
// Where others run, the first one tells. Where a zone or the whole fleet starts at once, all
// ask the same few nodes first, and those read the store without waiting.
func (f *Follower) Bootstrap(ctx context.Context, peers map[string]mesh.Peer) {
	order, reads := f.table.bootstrapOrder(peers)
	until := f.table.now() + bootstrapWithin
	for next := 0; len(order) > 0 && f.table.now() < until && ctx.Err() == nil; next++ {
		if f.askWhole(ctx, order[next%len(order)]) {
			return
		}
		if next%len(order) < len(order)-1 {
			continue
		}
		if reads {
			return
		}
		clock.Sleep(ctx, bootstrapPause/2+rand.N(bootstrapPause))
	}
}

// askWhole asks a node for all it knows, and says whether it told anything.
func (f *Follower) askWhole(ctx context.Context, addr string) bool {
	connecting, cancel := context.WithTimeout(ctx, connectWithin)
	defer cancel()
	if err := f.asker.Warm(connecting, addr); err != nil {
		return false
	}
	f.dropAnswered()
	if err := f.asker.Ask(addr, peer.Question{Whole: true}); err != nil {
		return false
	}
	waiting, stop := context.WithTimeout(ctx, tellWithin)
	defer stop()
	select {
	case <-f.answered:
	case <-waiting.Done():
	}
	if f.store.Revision() == 0 {
		return false
	}
	f.log.Change("started from what another node knows", "node", addr, "revision", f.store.Revision())
	return true
}

// bootstrapOrder gives the nodes to ask at the start, first the ones that all nodes of the
// zone ask first, and whether this node is one of those.
func (t *Table) bootstrapOrder(peers map[string]mesh.Peer) (order []string, reads bool) {
	near := slices.SortedFunc(maps.Keys(peers), rank)
	near = slices.DeleteFunc(near, func(addr string) bool { return peers[addr].Zone != t.zone })
	reads = slices.Contains(near[:min(len(near), bootstrapReaders)], t.own)
	others := slices.DeleteFunc(near, func(addr string) bool { return addr == t.own })
	if len(others) == 0 {
		others = t.nearest(peers)
	}
	// Nodes of a zone spread over those that they ask first.
	first := others[:min(len(others), bootstrapReaders)]
	if !reads && hash(t.own)>>32%bootstrapReaders != 0 {
		slices.Reverse(first)
	}
	return others[:min(len(others), bootstrapAsks)], reads
}

// nearest gives all nodes but this one by their distance.
func (t *Table) nearest(peers map[string]mesh.Peer) []string {
	list := slices.SortedFunc(maps.Keys(peers), func(a, b string) int {
		return cmp.Or(cmp.Compare(peers[a].Distance, peers[b].Distance), rank(a, b))
	})
	return slices.DeleteFunc(list, func(addr string) bool { return addr == t.own })
}

// Package reader decides which nodes read the platform's store themselves, and gets
// the others its news. In each availability zone one node reads; the others take what
// it tells, and read themselves as soon as they stop hearing of a node that does.
//
// Nobody is elected and nothing is agreed on: every node ranks those of its zone the
// same way, and reads unless it hears of one ranked before it that does. When
// they disagree, more nodes read than have to, never fewer.
package reader

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

const (
	// silentAfter is how long a reader may be silent before it is taken for gone.
	// It tells every ReportEvery that it is there. With what the next one needs to
	// read, this stays below the two seconds within which a change is to be in force.
	silentAfter = 1200 * time.Millisecond
	// ReportEvery is how often a reader tells its zone that it is there, at least.
	ReportEvery = 500 * time.Millisecond
	// rankDelay is how much longer than the one before it a node waits for a silent
	// reader, and mostRankDelay the most that adds up to: otherwise all nodes of a
	// zone would ask the store at the moment at which its reader freezes.
	rankDelay     = 40 * time.Millisecond
	mostRankDelay = 320 * time.Millisecond
	// settling is how long after the first View nodes that come up are assumed to
	// read until they say so: where a whole fleet starts, its targets register one by
	// one. With silentAfter it ends before a node that has just started is expected to
	// follow changes, five seconds after its start.
	settling = 3 * time.Second
	// leadsPerZone is how many nodes of every other zone a reader stays connected
	// to: the one that usually reads there and the next one.
	leadsPerZone = 2
)

// Table is what a node knows of who reads the store. Safe for concurrent use.
type Table struct {
	own  string
	zone string
	now  func() time.Duration

	mu sync.Mutex
	// before are the nodes of the own zone that go before this one, best first. While
	// the own backend server isn't registered no other node knows this one and could take
	// news from it, so that all go before it.
	before []string
	// leads are the best nodes of all other zones.
	leads []string
	zones map[string]string
	// heard is nil until the first View came.
	heard map[string]word
	// settled is until when nodes are assumed to read that weren't heard of yet.
	settled time.Duration
}

// word is when a node was last heard of, and whether it reads the store.
type word struct {
	at      time.Duration
	reading bool
}

// NewTable returns the Table of the node that takes requests of nodes at own.
func NewTable(own string, here mesh.Place, now func() time.Duration) *Table {
	return &Table{own: own, zone: here.Zone, now: now}
}

// SetView takes over which nodes there are.
func (t *Table) SetView(v *mesh.View) {
	byZone := map[string][]string{}
	zones := make(map[string]string, len(v.Peers))
	for addr, p := range v.Peers {
		byZone[p.Zone] = append(byZone[p.Zone], addr)
		zones[addr] = p.Zone
	}
	var leads []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[zone]
		slices.SortFunc(list, rank)
		if zone != t.zone {
			leads = append(leads, list[:min(len(list), leadsPerZone)]...)
		}
	}
	before := byZone[t.zone]
	if v.Own != nil {
		before = slices.DeleteFunc(before, func(addr string) bool { return rank(addr, t.own) > 0 })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assume(before)
	t.before, t.leads, t.zones = before, leads, zones
	for addr := range t.heard {
		if _, there := zones[addr]; !there {
			delete(t.heard, addr)
		}
	}
}

// assume takes the nodes before this one for readers until they had time to say
// so. Otherwise each node of a fleet that starts would begin to read, and go on until
// it hears of another reader. The mutex is held.
func (t *Table) assume(before []string) {
	now := t.now()
	if t.heard == nil {
		t.heard = make(map[string]word, len(before))
		t.settled = now + settling
	}
	if now > t.settled {
		return
	}
	for _, addr := range before {
		if _, known := t.heard[addr]; !known {
			t.heard[addr] = word{at: now, reading: true}
		}
	}
}

// rank orders nodes in a way that all agree on and that spreads readers over the VMs.
func rank(a, b string) int {
	return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
}

func hash(addr string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(addr))
	return h.Sum64()
}

// Heard takes a node's word on whether it reads the store.
func (t *Table) Heard(addr string, reading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard == nil {
		return
	}
	t.heard[addr] = word{at: t.now(), reading: reading}
}

// Reads says whether this node is to read the store itself, and if not, when to ask
// again: as long as a node that goes before it says that it does, it isn't.
func (t *Table) Reads() (reads bool, again time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	patience := silentAfter + min(time.Duration(len(t.before))*rankDelay, mostRankDelay)
	for _, addr := range t.before {
		w := t.heard[addr]
		if w.reading && now < w.at+patience {
			return false, w.at + patience
		}
	}
	return true, now
}

// outageReaders is how many nodes of a zone look for a store that is away in place of all.
const outageReaders = 2

// First says whether this node is among the first to read the store for its zone.
func (t *Table) First() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.before) < outageReaders
}

// Served says whether any other node was heard of lately that reads the store.
func (t *Table) Served() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, w := range t.heard {
		if w.reading && now < w.at+silentAfter {
			return true
		}
	}
	return false
}

// Leads gives the nodes of other zones that a reader stays connected to. What the
// reader of one zone has seen then reaches those of all others within moments, also if
// their own watches have been forgotten.
func (t *Table) Leads() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leads
}

// sameZone says whether a node stands in the own zone.
func (t *Table) sameZone(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones[addr] == t.zone
}

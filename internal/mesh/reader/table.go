// Package reader decides which nodes read the platform's store themselves and distributes
// the store's updates to the others. In each availability zone one node reads. The others
// follow it, and one of them takes over when no reader reports any more.
//
// There is no election and no agreement: all nodes rank the nodes of their zone in the same
// order, and a node reads unless a node ranked before it reports that it reads. Where their
// views differ, more nodes read than necessary, never fewer.
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
	// readerTimeout is how long after its last report a reader is considered gone. Readers
	// report at least every ReportInterval. Together with the time the next node needs to
	// read, it stays below the two seconds within which a change must be in force.
	readerTimeout = 1200 * time.Millisecond
	// ReportInterval is the longest pause between two reports of a reader to its zone.
	ReportInterval = 500 * time.Millisecond
	// rankDelay is the additional wait for an unresponsive reader per node ranked before,
	// and maxRankDelay limits the sum. Without the delay, all nodes of a zone would read
	// the store at once when their reader freezes.
	rankDelay    = 40 * time.Millisecond
	maxRankDelay = 320 * time.Millisecond
	// startupGrace is how long after the first View newly registered nodes are assumed to
	// be readers until they report, because the targets of a starting fleet register one by
	// one. Together with readerTimeout it ends before a starting node must follow changes,
	// which is five seconds after its start.
	startupGrace = 3 * time.Second
	// remoteReadersPerZone is how many nodes of each other zone a reader stays connected
	// to: the likely reader and its successor.
	remoteReadersPerZone = 2
)

// Table holds what a node knows about which nodes read the store. Safe for concurrent use.
type Table struct {
	own  string
	zone string
	now  func() time.Duration

	mu sync.Mutex
	// preceding are the nodes of the local zone ranked before this one, best first. While the
	// local backend server isn't registered, no other node knows this one and could follow it,
	// so all nodes of the zone precede it.
	preceding []string
	// remoteReaders are the best-ranked nodes of all other zones.
	remoteReaders []string
	zones         map[string]string
	// reports is nil until the first View.
	reports map[string]report
	// assumeUntil is the end of the time in which unknown nodes are assumed to read.
	assumeUntil time.Duration
}

// report is the time of a node's last report and whether the node reads the store.
type report struct {
	at      time.Duration
	reading bool
	// assumed is true if the node has not reported yet.
	assumed bool
	// stoppedAt is when the node reported that it no longer reads; 0 if it has not since it last
	// read.
	stoppedAt time.Duration
}

// NewTable returns the Table of the node that accepts peer connections at own.
func NewTable(own string, here mesh.Place, now func() time.Duration) *Table {
	return &Table{own: own, zone: here.Zone, now: now}
}

// SetView updates the set of nodes.
func (t *Table) SetView(v *mesh.View) {
	byZone := map[string][]string{}
	zones := make(map[string]string, len(v.Peers))
	for addr, p := range v.Peers {
		byZone[p.Zone] = append(byZone[p.Zone], addr)
		zones[addr] = p.Zone
	}
	var remoteReaders []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[zone]
		slices.SortFunc(list, rank)
		if zone != t.zone {
			remoteReaders = append(remoteReaders, list[:min(len(list), remoteReadersPerZone)]...)
		}
	}
	preceding := byZone[t.zone]
	if v.LocalTarget != nil {
		preceding = slices.DeleteFunc(preceding, func(addr string) bool { return rank(addr, t.own) > 0 })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assumeReading(preceding)
	t.preceding, t.remoteReaders, t.zones = preceding, remoteReaders, zones
	for addr := range t.reports {
		if _, known := zones[addr]; !known {
			delete(t.reports, addr)
		}
	}
}

// assumeReading marks the preceding nodes that haven't reported yet as readers during the
// startup grace period. Otherwise each node of a starting fleet would read until another
// reader reports. The mutex is held.
func (t *Table) assumeReading(preceding []string) {
	now := t.now()
	if t.reports == nil {
		t.reports = make(map[string]report, len(preceding))
		t.assumeUntil = now + startupGrace
	}
	if now > t.assumeUntil {
		return
	}
	for _, addr := range preceding {
		if _, known := t.reports[addr]; !known {
			t.reports[addr] = report{at: now, reading: true, assumed: true}
		}
	}
}

// rank orders nodes by hash: the order is the same on all nodes and spreads readers over VMs.
func rank(a, b string) int {
	return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
}

func hash(addr string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(addr))
	return h.Sum64()
}

// RecordReport records whether a node reports that it reads the store.
func (t *Table) RecordReport(addr string, reading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		return
	}
	now, last := t.now(), t.reports[addr]
	r := report{at: now, reading: reading}
	switch {
	case reading:
	case last.reading && !last.assumed:
		r.stoppedAt = now
	default:
		r.stoppedAt = last.stoppedAt
	}
	t.reports[addr] = r
}

// ShouldRead reports whether this node must read the store itself, which is the case unless
// a preceding node reports that it does. recheckAt is when to check again if not.
func (t *Table) ShouldRead() (reads bool, recheckAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	timeout := readerTimeout + min(time.Duration(len(t.preceding))*rankDelay, maxRankDelay)
	for _, addr := range t.preceding {
		r := t.reports[addr]
		if r.reading && now < r.at+timeout {
			return false, r.at + timeout
		}
	}
	return true, now
}

// outageReaders is how many nodes of a zone probe an unavailable store on behalf of all.
const outageReaders = 2

// IsPreferredReader reports whether this node ranks among the first outageReaders of its zone.
func (t *Table) IsPreferredReader() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.preceding) < outageReaders
}

// HasOtherReader reports whether another node has reported within readerTimeout that it reads
// the store.
func (t *Table) HasOtherReader() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, r := range t.reports {
		if r.reading && now < r.at+readerTimeout {
			return true
		}
	}
	return false
}

// ReadersStopped reports whether a running node has stopped reading the store within the last
// 2*readerTimeout and no other node reads it. While the store is available, a node stops reading
// only because another one reads.
func (t *Table) ReadersStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, stopped := t.now(), false
	for _, r := range t.reports {
		if now >= r.at+readerTimeout {
			continue
		}
		if r.reading {
			return false
		}
		stopped = stopped || r.stoppedAt != 0 && now < r.stoppedAt+2*readerTimeout
	}
	return stopped
}

// RemoteReaders returns the nodes of other zones that a reader stays connected to. Updates
// that the reader of one zone receives then reach the readers of all other zones quickly,
// even if the store has lost their watches.
func (t *Table) RemoteReaders() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remoteReaders
}

// sameZone reports whether a node is in the local zone.
func (t *Table) sameZone(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones[addr] == t.zone
}

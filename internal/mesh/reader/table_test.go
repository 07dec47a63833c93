package reader

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// simZone holds the Tables of the nodes of one zone, which share a simulated clock.
type simZone struct {
	now    time.Duration
	addrs  []string
	tables map[string]*Table
}

func newSimZone(nodes int) *simZone {
	f := &simZone{tables: map[string]*Table{}}
	for i := range nodes {
		addr := fmt.Sprintf("10.1.0.%d:8300", i+1)
		f.addrs = append(f.addrs, addr)
		f.tables[addr] = NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return f.now })
	}
	for addr := range f.tables {
		f.setView(addr)
	}
	return f
}

// setView sets the View of a node.
func (f *simZone) setView(addr string) {
	v := &mesh.View{LocalTarget: &mesh.Target{}, Peers: map[string]mesh.Peer{
		"10.2.0.1:8300": {Zone: "rs-b"}, "10.2.0.2:8300": {Zone: "rs-b"}, "10.2.0.3:8300": {Zone: "rs-b"}, "10.3.0.1:8300": {Zone: "sc-a"},
	}}
	for _, other := range f.addrs {
		if other != addr {
			v.Peers[other] = mesh.Peer{Zone: "rs-a"}
		}
	}
	f.tables[addr].SetView(v)
}

// readers returns the nodes among those alive that should read now.
func (f *simZone) readers(alive func(string) bool) []string {
	var list []string
	for _, addr := range f.addrs {
		if reads, _ := f.tables[addr].ShouldRead(); alive(addr) && reads {
			list = append(list, addr)
		}
	}
	return list
}

// advance advances the clock by d. Every node that is alive reports each half second.
func (f *simZone) advance(d time.Duration, alive func(string) bool) {
	for end := f.now + d; f.now < end; f.now += ReportInterval / 10 {
		for i, addr := range f.addrs {
			if !alive(addr) || (int(f.now/(ReportInterval/10))+i)%10 != 0 {
				continue
			}
			reads, _ := f.tables[addr].ShouldRead()
			for _, other := range f.addrs {
				if other != addr {
					f.tables[other].RecordReport(addr, reads)
				}
			}
		}
	}
}

func allAlive(string) bool { return true }

func TestOneNodePerZoneReads(t *testing.T) {
	for _, nodes := range []int{1, 2, 15, 80} {
		f := newSimZone(nodes)
		require.Len(t, f.readers(allAlive), 1, "at the start, before any report")
		f.advance(10*time.Second, allAlive)
		require.Len(t, f.readers(allAlive), 1)
	}
}

// A whole fleet starts, and its targets register one by one over three seconds. Few nodes
// may read in the meantime, and one in the end. A preceding node that never reports must not
// hold up the others for long.
func TestMassStartHasFewReaders(t *testing.T) {
	f := newSimZone(0)
	sum := 0
	for i := range 15 {
		addr := fmt.Sprintf("10.1.0.%d:8300", i+1)
		f.addrs = append(f.addrs, addr)
		f.tables[addr] = NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return f.now })
		for _, known := range f.addrs {
			f.setView(known)
		}
		f.advance(200*time.Millisecond, allAlive)
		sum += len(f.readers(allAlive))
	}
	require.Less(t, sum, 2*15, "fewer than two readers on average")
	f.advance(3*time.Second, allAlive)
	require.Len(t, f.readers(allAlive), 1)
	first := f.readers(allAlive)[0]
	withoutFirst := func(addr string) bool { return addr != first }
	f.advance(2*time.Second, withoutFirst)
	require.Len(t, f.readers(withoutFirst), 1)
}

// The reader of a zone freezes. Another node must read early enough for changes to be in
// force within two seconds, and not all nodes may start reading at once. Once the reader
// resumes, it is the only one again.
func TestUnresponsiveReaderIsReplacedInTime(t *testing.T) {
	f := newSimZone(15)
	f.advance(5*time.Second, allAlive)
	reader := f.readers(allAlive)[0]
	awake := func(addr string) bool { return addr != reader }
	frozen := f.now
	most := 0
	for len(f.readers(awake)) == 0 {
		f.advance(10*time.Millisecond, awake)
		require.Less(t, f.now-frozen, 1600*time.Millisecond)
	}
	for range 100 {
		f.advance(ReportInterval/10, awake)
		most = max(most, len(f.readers(awake)))
	}
	require.Less(t, most, len(f.addrs))
	require.Len(t, f.readers(awake), 1)
	f.advance(5*time.Second, allAlive)
	require.Equal(t, []string{reader}, f.readers(allAlive))
}

// The store refuses the reader but not the next node. The reader reports this and must be
// replaced at once.
func TestReaderRefusedByTheStoreIsReplacedAtOnce(t *testing.T) {
	f := newSimZone(3)
	f.advance(5*time.Second, allAlive)
	reader := f.readers(allAlive)[0]
	for _, addr := range f.addrs {
		if addr != reader {
			f.tables[addr].RecordReport(reader, false)
		}
	}
	served := func(addr string) bool { return addr != reader }
	require.NotEmpty(t, f.readers(served), "at once")
	f.advance(time.Second, served)
	require.Len(t, f.readers(served), 1)
}

// A zone is split by a network partition. Each side must have a reader.
func TestEachSideOfAPartitionedZoneHasAReader(t *testing.T) {
	f := newSimZone(8)
	f.advance(5*time.Second, allAlive)
	for range 100 {
		f.now += ReportInterval / 10
		for i, addr := range f.addrs {
			reads, _ := f.tables[addr].ShouldRead()
			for k, other := range f.addrs {
				if other != addr && i%2 == k%2 {
					f.tables[other].RecordReport(addr, reads)
				}
			}
		}
	}
	for half := range 2 {
		n := 0
		for i, addr := range f.addrs {
			if reads, _ := f.tables[addr].ShouldRead(); reads && i%2 == half {
				n++
			}
		}
		require.Equal(t, 1, n)
	}
}

// A new node registers in a zone that has a reader and may rank before it. The reader must
// continue until that node reports that it reads.
func TestReaderStopsOnlyOnceHigherRankedNodeReads(t *testing.T) {
	for seed := range uint64(20) {
		f := newSimZone(6)
		f.advance(5*time.Second, allAlive)
		reader := f.readers(allAlive)[0]
		addr := fmt.Sprintf("10.9.0.%d:8300", rand.New(rand.NewPCG(seed, seed)).IntN(250))
		f.addrs = append(f.addrs, addr)
		f.setView(reader)
		reads, _ := f.tables[reader].ShouldRead()
		require.True(t, reads)
		f.tables[reader].RecordReport(addr, true)
		reads, _ = f.tables[reader].ShouldRead()
		require.Equal(t, rank(addr, reader) > 0, reads)
	}
}

// Guards against all nodes reading the store while a fleet starts whose targets register one
// after the other.
func TestUnregisteredNodeReadsOnlyIfNoOtherDoes(t *testing.T) {
	f := newSimZone(6)
	f.advance(5*time.Second, allAlive)
	reader := f.readers(allAlive)[0]
	first := f.tables[reader]
	unknown := &mesh.View{Peers: map[string]mesh.Peer{}}
	for _, addr := range f.addrs[1:] {
		unknown.Peers[addr] = mesh.Peer{Zone: "rs-a"}
	}
	delete(unknown.Peers, reader)
	other := slices.Sorted(maps.Keys(unknown.Peers))[0]
	first.SetView(unknown)
	first.RecordReport(other, true)
	reads, _ := first.ShouldRead()
	require.False(t, reads)
	require.False(t, first.IsPreferredReader())
	for addr := range unknown.Peers {
		first.RecordReport(addr, false)
	}
	reads, _ = first.ShouldRead()
	require.True(t, reads, "no other node reads")
}

// Guards against a fleet whose nodes all call an unavailable store.
func TestFewNodesPerZoneProbeAnUnavailableStore(t *testing.T) {
	f := newSimZone(33)
	f.advance(5*time.Second, allAlive)
	n := 0
	for _, table := range f.tables {
		if table.IsPreferredReader() {
			n++
		}
		require.True(t, table.HasOtherReader() || len(table.preceding) == 0)
	}
	require.Equal(t, outageReaders, n)
	for _, table := range f.tables {
		for _, addr := range f.addrs {
			table.RecordReport(addr, false)
		}
		require.False(t, table.HasOtherReader())
	}
}

func TestReaderConnectsToLikelyReadersOfOtherZones(t *testing.T) {
	f := newSimZone(2)
	remote := f.tables[f.addrs[0]].RemoteReaders()
	require.Len(t, remote, 3)
	require.Contains(t, remote, "10.3.0.1:8300")
	require.Equal(t, remote, f.tables[f.addrs[1]].RemoteReaders())
}

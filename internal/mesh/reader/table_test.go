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

// fleet is the Tables of the nodes of one zone, with a clock that they share.
type fleet struct {
	now    time.Duration
	addrs  []string
	tables map[string]*Table
}

func newFleet(nodes int) *fleet {
	f := &fleet{tables: map[string]*Table{}}
	for i := range nodes {
		addr := fmt.Sprintf("10.1.0.%d:8300", i+1)
		f.addrs = append(f.addrs, addr)
		f.tables[addr] = NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return f.now })
	}
	for addr := range f.tables {
		f.publish(addr)
	}
	return f
}

// publish gives a node its View.
func (f *fleet) publish(addr string) {
	v := &mesh.View{Own: &mesh.Target{}, Peers: map[string]mesh.Peer{
		"10.2.0.1:8300": {Zone: "rs-b"}, "10.2.0.2:8300": {Zone: "rs-b"}, "10.2.0.3:8300": {Zone: "rs-b"}, "10.3.0.1:8300": {Zone: "sc-a"},
	}}
	for _, other := range f.addrs {
		if other != addr {
			v.Peers[other] = mesh.Peer{Zone: "rs-a"}
		}
	}
	f.tables[addr].SetView(v)
}

// readers are the nodes that read now, of those alive.
func (f *fleet) readers(alive func(string) bool) []string {
	var list []string
	for _, addr := range f.addrs {
		if reads, _ := f.tables[addr].Reads(); alive(addr) && reads {
			list = append(list, addr)
		}
	}
	return list
}

// play lets a time pass in which every node that is alive reports each half second.
func (f *fleet) play(d time.Duration, alive func(string) bool) {
	for end := f.now + d; f.now < end; f.now += ReportEvery / 10 {
		for i, addr := range f.addrs {
			if !alive(addr) || (int(f.now/(ReportEvery/10))+i)%10 != 0 {
				continue
			}
			reads, _ := f.tables[addr].Reads()
			for _, other := range f.addrs {
				if other != addr {
					f.tables[other].Heard(addr, reads)
				}
			}
		}
	}
}

func everybody(string) bool { return true }

func TestOneNodeOfAZoneReads(t *testing.T) {
	for _, nodes := range []int{1, 2, 15, 80} {
		f := newFleet(nodes)
		require.Len(t, f.readers(everybody), 1, "at the start, before anybody has said anything")
		f.play(10*time.Second, everybody)
		require.Len(t, f.readers(everybody), 1)
	}
}

// A whole fleet starts, and its targets register one by one over three seconds. Only
// few nodes read meanwhile, and in the end one does. A node that goes first but never
// says that it reads holds nobody up for long.
func TestAFleetThatStartsHasFewReaders(t *testing.T) {
	f := newFleet(0)
	sum := 0
	for i := range 15 {
		addr := fmt.Sprintf("10.1.0.%d:8300", i+1)
		f.addrs = append(f.addrs, addr)
		f.tables[addr] = NewTable(addr, mesh.Place{Zone: "rs-a"}, func() time.Duration { return f.now })
		for _, known := range f.addrs {
			f.publish(known)
		}
		f.play(200*time.Millisecond, everybody)
		sum += len(f.readers(everybody))
	}
	require.Less(t, sum, 2*15, "two at a time on average")
	f.play(3*time.Second, everybody)
	require.Len(t, f.readers(everybody), 1)
	first := f.readers(everybody)[0]
	mute := func(addr string) bool { return addr != first }
	f.play(2*time.Second, mute)
	require.Len(t, f.readers(mute), 1)
}

// The reader of a zone freezes. The others know of changes within two seconds all the
// same: one of them reads before that, and not all of them begin to at once. When the
// reader wakes, one is left.
func TestASilentReaderIsSucceededInTime(t *testing.T) {
	f := newFleet(15)
	f.play(5*time.Second, everybody)
	reader := f.readers(everybody)[0]
	awake := func(addr string) bool { return addr != reader }
	frozen := f.now
	most := 0
	for len(f.readers(awake)) == 0 {
		f.play(10*time.Millisecond, awake)
		require.Less(t, f.now-frozen, 1600*time.Millisecond)
	}
	for range 100 {
		f.play(ReportEvery/10, awake)
		most = max(most, len(f.readers(awake)))
	}
	require.Less(t, most, len(f.addrs))
	require.Len(t, f.readers(awake), 1)
	f.play(5*time.Second, everybody)
	require.Equal(t, []string{reader}, f.readers(everybody))
}

// The store turns the reader away but not the next node. The reader says so, and is
// passed over at once.
func TestAReaderThatTheStoreTurnsAwayIsPassedOver(t *testing.T) {
	f := newFleet(3)
	f.play(5*time.Second, everybody)
	reader := f.readers(everybody)[0]
	for _, addr := range f.addrs {
		if addr != reader {
			f.tables[addr].Heard(reader, false)
		}
	}
	served := func(addr string) bool { return addr != reader }
	require.NotEmpty(t, f.readers(served), "at once")
	f.play(time.Second, served)
	require.Len(t, f.readers(served), 1)
}

// A zone is cut into two halves that don't hear each other. Each half has a reader.
func TestEachHalfOfACutZoneHasAReader(t *testing.T) {
	f := newFleet(8)
	f.play(5*time.Second, everybody)
	for range 100 {
		f.now += ReportEvery / 10
		for i, addr := range f.addrs {
			reads, _ := f.tables[addr].Reads()
			for k, other := range f.addrs {
				if other != addr && i%2 == k%2 {
					f.tables[other].Heard(addr, reads)
				}
			}
		}
	}
	for half := range 2 {
		n := 0
		for i, addr := range f.addrs {
			if reads, _ := f.tables[addr].Reads(); reads && i%2 == half {
				n++
			}
		}
		require.Equal(t, 1, n)
	}
}

// New nodes register while a zone has its reader, and one of them goes before it. The
// reader goes on until that one says that it reads.
func TestANewNodeReadsBeforeTheReaderStops(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(6)
		f.play(5*time.Second, everybody)
		reader := f.readers(everybody)[0]
		addr := fmt.Sprintf("10.9.0.%d:8300", rand.New(rand.NewPCG(seed, seed)).IntN(250))
		f.addrs = append(f.addrs, addr)
		f.publish(reader)
		reads, _ := f.tables[reader].Reads()
		require.True(t, reads)
		f.tables[reader].Heard(addr, true)
		reads, _ = f.tables[reader].Reads()
		require.Equal(t, rank(addr, reader) > 0, reads)
	}
}

// Guards against nodes that all read the store while a fleet starts whose targets register
// one after the other.
func TestANodeThatNobodyKnowsReadsOnlyIfNoOtherDoes(t *testing.T) {
	f := newFleet(6)
	f.play(5*time.Second, everybody)
	reader := f.readers(everybody)[0]
	first := f.tables[reader]
	unknown := &mesh.View{Peers: map[string]mesh.Peer{}}
	for _, addr := range f.addrs[1:] {
		unknown.Peers[addr] = mesh.Peer{Zone: "rs-a"}
	}
	delete(unknown.Peers, reader)
	other := slices.Sorted(maps.Keys(unknown.Peers))[0]
	first.SetView(unknown)
	first.Heard(other, true)
	reads, _ := first.Reads()
	require.False(t, reads)
	require.False(t, first.First())
	for addr := range unknown.Peers {
		first.Heard(addr, false)
	}
	reads, _ = first.Reads()
	require.True(t, reads, "no other does")
}

// Guards against a fleet all of whose nodes call a store that is away.
func TestFewNodesOfAZoneLookForAStoreThatIsAway(t *testing.T) {
	f := newFleet(33)
	f.play(5*time.Second, everybody)
	n := 0
	for _, table := range f.tables {
		if table.First() {
			n++
		}
		require.True(t, table.Served() || len(table.before) == 0)
	}
	require.Equal(t, outageReaders, n)
	for _, table := range f.tables {
		for _, addr := range f.addrs {
			table.Heard(addr, false)
		}
		require.False(t, table.Served())
	}
}

func TestAReaderKeepsToTheBestOfOtherZones(t *testing.T) {
	f := newFleet(2)
	leads := f.tables[f.addrs[0]].Leads()
	require.Len(t, leads, 3)
	require.Contains(t, leads, "10.3.0.1:8300")
	require.Equal(t, leads, f.tables[f.addrs[1]].Leads())
}

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/directory"
	"github.com/limpetdock/limpetdock/internal/place"
)

var (
	here    = mesh.Place{VM: "vm-1", IP: "10.1.0.1", Zone: "rs-a", Region: "rs", Service: "orders"}
	regions = map[string]string{"rs-a": "rs", "rs-b": "rs", "sc-a": "sc"}
)

func newState() *directory.State { return directory.New(here, "10.1.0.1:8301", regions, "8300") }

func config(version uint64) *mesh.Config {
	return mesh.NewConfig(version, nil, []*mesh.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}}}, mesh.Limits{})
}

func target(id, addr, zone string, revision uint64) directory.Registration {
	return directory.Registration{
		ID: id, Service: "orders", Addr: addr, Zone: zone, Slots: 6, Revision: revision, Started: time.UnixMilli(1000),
	}
}

func ids(v *mesh.View) []string {
	var list []string
	for _, t := range v.Targets["orders"] {
		list = append(list, t.ID)
	}
	return list
}

func populatedState(t *testing.T) *directory.State {
	s := newState()
	require.True(t, s.Configure(config(3), 1))
	s.Replace(0, 10, []directory.Registration{
		target("i-own", "10.1.0.1:8301", "rs-a", 2), target("i-zone", "10.2.0.1:8301", "rs-b", 3), target("i-far", "10.3.0.1:8301", "sc-a", 4),
	})
	return s
}

func TestViewListsTargetsNearestFirst(t *testing.T) {
	v := populatedState(t).Tick(0)
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(v))
	require.Equal(t, "i-own", v.LocalTarget.ID)
	require.Equal(t, map[string]mesh.Peer{
		"10.2.0.1:8300": {Zone: "rs-b", Distance: place.SameRegion}, "10.3.0.1:8300": {Zone: "sc-a", Distance: place.OtherRegion},
	}, v.Peers)
	require.EqualValues(t, 10, v.Revision)
}

func TestNoViewBeforeConfigAndTargetsAreKnown(t *testing.T) {
	s := newState()
	require.Nil(t, s.Tick(0))
	s.Configure(config(1), 1)
	require.Nil(t, s.Tick(0))
	s.Replace(0, 1, nil)
	require.NotNil(t, s.Tick(0))
	require.Nil(t, s.Tick(0), "nothing has changed since")
}

// Two reads of the store finish out of order. The older configuration arrives last and must
// not replace the newer one.
func TestOlderConfigIsNotApplied(t *testing.T) {
	s := populatedState(t)
	require.False(t, s.Configure(config(2), 9))
	require.False(t, s.Configure(config(3), 9))
	require.True(t, s.Configure(config(7), 9))
	require.EqualValues(t, 7, s.Tick(0).Config.Version)
}

func TestDrainingTargetLeavesTheView(t *testing.T) {
	s := populatedState(t)
	leaving := target("i-zone", "10.2.0.1:8301", "rs-b", 11)
	leaving.State = mesh.Draining
	s.Put(0, leaving)
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(0)))
	s.Put(0, target("i-zone", "10.2.0.1:8301", "rs-b", 3))
	require.Nil(t, s.Tick(0), "an older registration changes nothing")
}

// Guards against requests to a target that was removed from the store without draining. It
// keeps serving for only two seconds.
func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	s := populatedState(t)
	s.Remove(0, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(0)))
}

// The store is unavailable for longer than registrations last, and all registrations expire
// although every target runs. Each is renewed shortly after the store recovers. A node that
// dropped them at once would have no targets left.
func TestRegistrationsExpiredDuringOutageAreKept(t *testing.T) {
	s := populatedState(t)
	require.True(t, s.MarkUnavailable(0))
	require.False(t, s.MarkUnavailable(0), "already marked unavailable")
	require.True(t, s.MarkAvailable(20*time.Second))
	for _, id := range []string{"i-own", "i-zone", "i-far"} {
		s.Remove(20*time.Second, 12, id)
	}
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(20*time.Second)))
	s.Put(21*time.Second, target("i-own", "10.1.0.1:8301", "rs-a", 13))
	s.Put(21*time.Second, target("i-far", "10.3.0.1:8301", "sc-a", 14))
	require.Equal(t, 22*time.Second, s.NextDrop())
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(22*time.Second)), "a registration that is not renewed is dropped")
}

// The store becomes unavailable again during the grace period of expired targets. The grace
// period must restart when the store recovers, or they would be dropped during the second
// outage.
func TestSecondOutageRestartsTheGracePeriod(t *testing.T) {
	s := populatedState(t)
	s.MarkUnavailable(0)
	s.MarkAvailable(10 * time.Second)
	s.Remove(10*time.Second, 11, "i-zone")
	s.MarkUnavailable(0)
	require.Contains(t, ids(s.Tick(15*time.Second)), "i-zone")
	s.MarkAvailable(30 * time.Second)
	s.Replace(30*time.Second, 12, []directory.Registration{target("i-own", "10.1.0.1:8301", "rs-a", 2)})
	require.Contains(t, ids(s.Tick(31*time.Second)), "i-zone")
	require.Equal(t, []string{"i-own"}, ids(s.Tick(32*time.Second)))
}

// A target ends, and its address is reused by a target of another service before the old
// registration expires. Requests for the old target must not be sent there.
func TestReusedAddressBelongsToNewestTarget(t *testing.T) {
	s := populatedState(t)
	next := target("i-new", "10.2.0.1:8301", "rs-b", 12)
	next.Service, next.Started = "stock", time.UnixMilli(9000)
	s.Put(0, next)
	v := s.Tick(0)
	require.Equal(t, []string{"i-own", "i-far"}, ids(v))
	require.Equal(t, "i-new", v.Targets["stock"][0].ID)
}

// A target restarts under the same id. Measurements of the previous incarnation must not be
// carried over.
func TestNewIncarnationStartsWithFreshStat(t *testing.T) {
	s := populatedState(t)
	before := s.Tick(0).Targets["orders"][1]
	before.Stat.Begin()
	again := target("i-zone", "10.2.0.1:8301", "rs-b", 11)
	s.Put(0, again)
	require.Same(t, before.Stat, s.Tick(0).Targets["orders"][1].Stat, "the same incarnation")
	again.Started, again.Revision = time.UnixMilli(5000), 12
	s.Put(0, again)
	require.NotSame(t, before.Stat, s.Tick(0).Targets["orders"][1].Stat)
}

// The pages of a list are no consistent snapshot: a target that registers while they are
// read may arrive as a change first and be on none of them.
func TestReplaceKeepsRegistrationsNewerThanTheList(t *testing.T) {
	s := populatedState(t)
	s.Put(0, target("i-late", "10.2.0.9:8301", "rs-b", 21))
	s.Replace(0, 20, []directory.Registration{target("i-own", "10.1.0.1:8301", "rs-a", 2)})
	require.Equal(t, []string{"i-own", "i-late"}, ids(s.Tick(0)))
}

// Registrations expired during an outage of the store because they couldn't be renewed. A
// node that follows another one didn't notice the outage. It must keep the targets for as
// long as the nodes that did, or it would drop whole services.
func TestOutageReportedByPeerKeepsExpiredTargets(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	now := 10 * time.Second
	s.RecordOutageEnd(now - 500*time.Millisecond)
	s.Remove(now, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now)))
	require.Nil(t, s.Tick(now+1490*time.Millisecond))
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(now+1500*time.Millisecond)), "two seconds after the store recovered")
	s.RecordOutageEnd(now - 5*time.Second)
	s.Remove(now+2*time.Second, 12, "i-far")
	require.Equal(t, []string{"i-own"}, ids(s.Tick(now+2*time.Second)), "an earlier outage has no effect")
}

// A third of the VMs are cut off from the store, but not from each other, and the
// registrations of their targets expire. One of these nodes learns that from its peers, asks
// the store and gets no answer. Targets whose registrations ended together with its own must
// be used until the store answers, and dropped if they are still missing two seconds later.
func TestTargetsExpiredWithOwnRegistrationAreUsedWhileStoreIsUnreachable(t *testing.T) {
	s := populatedState(t)
	s.Put(0, target("i-removed", "10.4.0.1:8301", "rs-a", 5))
	s.Tick(0)
	s.Remove(time.Second, 11, "i-removed")
	now := 6 * time.Second
	s.Tick(now)
	s.Remove(now, 12, "i-zone")
	s.Remove(now+time.Second, 13, "i-own")
	require.True(t, s.OwnRegistrationEnded())
	require.Equal(t, []string{"i-far"}, ids(s.Tick(now+time.Second)))
	require.True(t, s.MarkUnavailable(now+1600*time.Millisecond))
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now+1600*time.Millisecond)), "except the target removed before the restore window")
	s.Remove(now+2*time.Second, 14, "i-far")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now+10*time.Second)))
	require.True(t, s.MarkAvailable(now+11*time.Second))
	s.Put(now+12*time.Second, target("i-own", "10.1.0.1:8301", "rs-a", 15))
	require.Equal(t, []string{"i-own"}, ids(s.Tick(now+13*time.Second)))
}

// The store becomes unavailable just after a target was removed. Nothing indicates that this
// node was cut off, so the target must not be restored.
func TestTargetThatLeftBeforeOutageIsNotRestored(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(time.Second)))
	s.MarkUnavailable(2 * time.Second)
	require.Nil(t, s.Tick(2*time.Second))
}

// The node notices that it is cut off before its own registration expires. A target whose
// registration expired a moment earlier has been dropped by then and must be restored.
func TestTargetExpiredJustBeforeOwnRegistrationIsRestored(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	s.Remove(5*time.Second, 12, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(5*time.Second)))
	s.MarkUnavailable(5500 * time.Millisecond)
	require.Nil(t, s.Tick(5500*time.Millisecond))
	s.Remove(6*time.Second, 13, "i-own")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(6*time.Second)))
}

// Guards against keeping targets for longer than it takes to renew their registrations.
func TestTargetIsDroppedWhenGracePeriodEnds(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	s.MarkUnavailable(0)
	s.MarkAvailable(10 * time.Second)
	s.Remove(11*time.Second, 12, "i-zone")
	require.Equal(t, 12*time.Second, s.NextDrop())
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(12*time.Second)))
}

// Guards against requests to targets that were removed before the store became unavailable.
func TestConfirmedEndIsNotRestoredDuringOutage(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	s.Remove(time.Second, 12, "i-own")
	require.True(t, s.OwnRegistrationEnded())
	s.ConfirmEnds(12)
	require.False(t, s.OwnRegistrationEnded())
	s.MarkUnavailable(2 * time.Second)
	require.Equal(t, []string{"i-far"}, ids(s.Tick(2*time.Second)))
}

// Guards against an answer that confirms the end of a registration newer than itself.
func TestAnswerConfirmsOnlyEarlierEnds(t *testing.T) {
	s := populatedState(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	s.Remove(time.Second, 12, "i-own")
	s.ConfirmEnds(11)
	s.MarkUnavailable(2 * time.Second)
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(2*time.Second)))
}

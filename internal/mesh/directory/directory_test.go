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

func ready(t *testing.T) *directory.State {
	s := newState()
	require.True(t, s.Configure(config(3), 1))
	s.Replace(0, 10, []directory.Registration{
		target("i-own", "10.1.0.1:8301", "rs-a", 2), target("i-zone", "10.2.0.1:8301", "rs-b", 3), target("i-far", "10.3.0.1:8301", "sc-a", 4),
	})
	return s
}

func TestTheViewShowsTargetsNearestFirst(t *testing.T) {
	v := ready(t).Tick(0)
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(v))
	require.Equal(t, "i-own", v.Own.ID)
	require.Equal(t, map[string]mesh.Peer{
		"10.2.0.1:8300": {Zone: "rs-b", Distance: place.SameRegion}, "10.3.0.1:8300": {Zone: "sc-a", Distance: place.OtherRegion},
	}, v.Peers)
	require.EqualValues(t, 10, v.Revision)
}

func TestNothingIsInForceUntilBothAreKnown(t *testing.T) {
	s := newState()
	require.Nil(t, s.Tick(0))
	s.Configure(config(1), 1)
	require.Nil(t, s.Tick(0))
	s.Replace(0, 1, nil)
	require.NotNil(t, s.Tick(0))
	require.Nil(t, s.Tick(0), "nothing has changed since")
}

// Two reads of the store overtake each other. The older configuration comes last
// and must not replace the newer one.
func TestAnOlderConfigurationIsNeverPutInForce(t *testing.T) {
	s := ready(t)
	require.False(t, s.Configure(config(2), 9))
	require.False(t, s.Configure(config(3), 9))
	require.True(t, s.Configure(config(7), 9))
	require.EqualValues(t, 7, s.Tick(0).Config.Version)
}

func TestADrainingTargetGetsNothingMore(t *testing.T) {
	s := ready(t)
	leaving := target("i-zone", "10.2.0.1:8301", "rs-b", 11)
	leaving.State = mesh.Draining
	s.Put(0, leaving)
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(0)))
	s.Put(0, target("i-zone", "10.2.0.1:8301", "rs-b", 3))
	require.Nil(t, s.Tick(0), "what was written before changes nothing")
}

// A target that never says it drains is removed from the store. It serves on for
// two seconds, and must be left within them.
func TestATargetThatIsRemovedIsDroppedAtOnce(t *testing.T) {
	s := ready(t)
	s.Remove(0, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(0)))
}

// The store is away for longer than registrations last. When it comes back all
// have run out, though every target runs; each is renewed a moment later. A node
// that drops them at once has nothing left to send requests to.
func TestRegistrationsThatRanOutDuringAnOutageAreHeld(t *testing.T) {
	s := ready(t)
	require.True(t, s.Lost(0))
	require.False(t, s.Lost(0), "known already")
	require.True(t, s.Regained(20*time.Second))
	for _, id := range []string{"i-own", "i-zone", "i-far"} {
		s.Remove(20*time.Second, 12, id)
	}
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(20*time.Second)))
	s.Put(21*time.Second, target("i-own", "10.1.0.1:8301", "rs-a", 13))
	s.Put(21*time.Second, target("i-far", "10.3.0.1:8301", "sc-a", 14))
	require.Equal(t, 22*time.Second, s.Due())
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(22*time.Second)), "one that isn't renewed is gone")
}

// The store goes away again while missing targets are held. Their time must start
// anew when it is back, or they would be dropped during the second outage.
func TestASecondOutageHoldsThemAgain(t *testing.T) {
	s := ready(t)
	s.Lost(0)
	s.Regained(10 * time.Second)
	s.Remove(10*time.Second, 11, "i-zone")
	s.Lost(0)
	require.Contains(t, ids(s.Tick(15*time.Second)), "i-zone")
	s.Regained(30 * time.Second)
	s.Replace(30*time.Second, 12, []directory.Registration{target("i-own", "10.1.0.1:8301", "rs-a", 2)})
	require.Contains(t, ids(s.Tick(31*time.Second)), "i-zone")
	require.Equal(t, []string{"i-own"}, ids(s.Tick(32*time.Second)))
}

// A target ends and its address goes to one of another service before the old
// entry runs out. Requests for the old one must not be sent there.
func TestAnAddressBelongsToWhoStartedLast(t *testing.T) {
	s := ready(t)
	next := target("i-new", "10.2.0.1:8301", "rs-b", 12)
	next.Service, next.Started = "stock", time.UnixMilli(9000)
	s.Put(0, next)
	v := s.Tick(0)
	require.Equal(t, []string{"i-own", "i-far"}, ids(v))
	require.Equal(t, "i-new", v.Targets["stock"][0].ID)
}

// A target starts again under the id that it had. What was measured of the former
// incarnation says nothing of this one.
func TestANewIncarnationStartsWithoutEvidence(t *testing.T) {
	s := ready(t)
	before := s.Tick(0).Targets["orders"][1]
	before.Stat.Begin()
	again := target("i-zone", "10.2.0.1:8301", "rs-b", 11)
	s.Put(0, again)
	require.Same(t, before.Stat, s.Tick(0).Targets["orders"][1].Stat, "the same incarnation")
	again.Started, again.Revision = time.UnixMilli(5000), 12
	s.Put(0, again)
	require.NotSame(t, before.Stat, s.Tick(0).Targets["orders"][1].Stat)
}

// Pages of a list are no snapshot: a target that registers while they are read
// may be in a change that came before, and not on its page.
func TestAListDoesNotRemoveWhatIsNewerThanIt(t *testing.T) {
	s := ready(t)
	s.Put(0, target("i-late", "10.2.0.9:8301", "rs-b", 21))
	s.Replace(0, 20, []directory.Registration{target("i-own", "10.1.0.1:8301", "rs-a", 2)})
	require.Equal(t, []string{"i-own", "i-late"}, ids(s.Tick(0)))
}

// The store was away, and registrations ran out that nobody could renew. A node that
// takes its news from another didn't notice the outage. Told of the ends, it keeps the
// targets as long as the node that did notice, or it would empty whole services.
func TestAnOutageThatAnotherNodeSawHoldsTargetsToo(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	now := 10 * time.Second
	s.OutageEnded(now - 500*time.Millisecond)
	s.Remove(now, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now)))
	require.Nil(t, s.Tick(now+1490*time.Millisecond))
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(now+1500*time.Millisecond)), "two seconds after the store came back")
	s.OutageEnded(now - 5*time.Second)
	s.Remove(now+2*time.Second, 12, "i-far")
	require.Equal(t, []string{"i-own"}, ids(s.Tick(now+2*time.Second)), "an older outage says nothing")
}

// A third of the VMs are cut off from the store, not from each other. Their targets'
// registrations run out; a node among them hears so from others, its own among them,
// asks the store and gets no answer. Its callers must not lose targets that run: those
// that ended with its own are used until the store answers, and dropped if they are
// missing two seconds after.
func TestWhatEndedWithTheOwnRegistrationIsUsedWhileCutOff(t *testing.T) {
	s := ready(t)
	s.Put(0, target("i-left", "10.4.0.1:8301", "rs-a", 5))
	s.Tick(0)
	s.Remove(time.Second, 11, "i-left")
	now := 6 * time.Second
	s.Tick(now)
	s.Remove(now, 12, "i-zone")
	s.Remove(now+time.Second, 13, "i-own")
	require.True(t, s.OwnEnded())
	require.Equal(t, []string{"i-far"}, ids(s.Tick(now+time.Second)))
	require.True(t, s.Lost(now+1600*time.Millisecond))
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now+1600*time.Millisecond)), "not the one that left long before")
	s.Remove(now+2*time.Second, 14, "i-far")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(now+10*time.Second)))
	require.True(t, s.Regained(now+11*time.Second))
	s.Put(now+12*time.Second, target("i-own", "10.1.0.1:8301", "rs-a", 15))
	require.Equal(t, []string{"i-own"}, ids(s.Tick(now+13*time.Second)))
}

// The store goes down just after a target has left. Nothing says that this node was
// cut off, so the target stays gone.
func TestATargetThatLeftBeforeAnOutageStaysGone(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(time.Second)))
	s.Lost(2 * time.Second)
	require.Nil(t, s.Tick(2*time.Second))
}

// The same, but the node notices that it is cut off before its own registration runs
// out. One that ended a moment earlier was dropped meanwhile and is used again, too.
func TestWhatEndedJustBeforeTheOwnRegistrationIsUsedAgain(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	s.Remove(5*time.Second, 12, "i-zone")
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(5*time.Second)))
	s.Lost(5500 * time.Millisecond)
	require.Nil(t, s.Tick(5500*time.Millisecond))
	s.Remove(6*time.Second, 13, "i-own")
	require.Equal(t, []string{"i-own", "i-zone", "i-far"}, ids(s.Tick(6*time.Second)))
}

// Guards against targets that are held beyond the time in which their registrations
// would be back.
func TestATargetIsHeldUntilItsRegistrationIsOverdue(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	s.Lost(0)
	s.Regained(10 * time.Second)
	s.Remove(11*time.Second, 12, "i-zone")
	require.Equal(t, 12*time.Second, s.Due())
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(12*time.Second)))
}

// Guards against requests to targets that left, sent once the store is lost.
func TestAnEndThatTheStoreConfirmedOutlastsTheLossOfTheStore(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	s.Remove(time.Second, 12, "i-own")
	require.True(t, s.OwnEnded())
	s.Answered(12)
	require.False(t, s.OwnEnded())
	s.Lost(2 * time.Second)
	require.Equal(t, []string{"i-far"}, ids(s.Tick(2*time.Second)))
}

// Guards against an answer that is older than an end and confirms it.
func TestAnAnswerConfirmsOnlyEndsBeforeIt(t *testing.T) {
	s := ready(t)
	s.Tick(0)
	s.Remove(time.Second, 11, "i-zone")
	s.Remove(time.Second, 12, "i-own")
	s.Answered(11)
	s.Lost(2 * time.Second)
	require.Equal(t, []string{"i-own", "i-far"}, ids(s.Tick(2*time.Second)))
}

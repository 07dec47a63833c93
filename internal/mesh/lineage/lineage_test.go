package lineage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
)

const (
	second = time.Second
	// inTime is when a request expires that may be a call of one that expires after two seconds, and
	// later when one does that can't.
	inTime = 2 * second
	later  = 2*second + 200*time.Millisecond
)

// fixture is a Tracker with a clock of the test's own.
type fixture struct {
	*lineage.Tracker
	now time.Duration
}

func newFixture() *fixture {
	f := &fixture{}
	f.Tracker = lineage.New(func() time.Duration { return f.now })
	return f
}

// Guards against calls that are taken for callers' requests, which would allow more retries.
func TestRequestThatExpiresWithARunIsNoCallers(t *testing.T) {
	f := newFixture()
	require.True(t, f.Arrived(inTime).Caller(), "nothing runs")
	run := f.Begin("", 2*second)
	require.False(t, f.Arrived(second).Caller())
	require.False(t, f.Arrived(inTime).Caller())
	require.False(t, f.Arrived(inTime+50*time.Millisecond).Caller(), "read some time after it was sent")
	require.False(t, f.Arrived(0).Caller(), "it says nothing of when it expires")
	require.True(t, f.Arrived(later).Caller())
	run.End(false)
	require.True(t, f.Arrived(inTime).Caller())
}

// Guards against calls of a run that goes on after its exchange broke off.
func TestRunThatMayContinueCountsUntilItExpires(t *testing.T) {
	f := newFixture()
	f.Begin("", 2*second).End(true)
	f.now = second
	require.False(t, f.Arrived(inTime).Caller())
	f.now = 3 * second
	require.True(t, f.Arrived(f.now).Caller())
}

// Guards against calls of runs that the node's process before a restart has begun.
func TestRunsOfEarlierProcessCountUntilTheyExpire(t *testing.T) {
	f := newFixture()
	f.ExpectEarlierRuns(2 * second)
	require.False(t, f.Arrived(inTime).Caller())
	require.True(t, f.Arrived(later).Caller())
	f.now = 3 * second
	require.True(t, f.Arrived(0).Caller())
}

// Guards against calls that are charged to no run, or more than once.
func TestCallsAreDividedAmongPossibleParents(t *testing.T) {
	f := newFixture()
	first, second, short := f.Begin("", 2*second), f.Begin("", 2*second), f.Begin("", 100*time.Millisecond)
	call := f.Arrived(inTime)
	call.AddCalls(mesh.Calls{"stock": 1})
	call.AddCalls(mesh.Calls{"prices": 3})
	require.Equal(t, mesh.Calls{"stock": 0.5, "prices": 1.5}, first.End(false))
	require.Equal(t, mesh.Calls{"stock": 0.5, "prices": 1.5}, second.End(true))
	require.Empty(t, short.End(false), "it ends before the call")
}

// Guards against callers' requests that go on counting as possible calls of runs that have ended.
func TestIdleServerRunsNothingOfBefore(t *testing.T) {
	f := newFixture()
	f.ExpectEarlierRuns(2 * second)
	f.Begin("", 2*second).End(true)
	f.ConfirmIdle()
	require.True(t, f.Arrived(inTime).Caller())
	f.Begin("", 2*second)
	f.ConfirmIdle()
	require.False(t, f.Arrived(inTime).Caller(), "the request had not arrived when the server was idle")
}

// Guards against a run that seems to have failed for another reason than its calls, and is repeated.
func TestFailedCallMarksPossibleParents(t *testing.T) {
	f := newFixture()
	first, other, short := f.Begin("", 2*second), f.Begin("", 2*second), f.Begin("", 100*time.Millisecond)
	call := f.Arrived(inTime)
	require.False(t, first.CallFailed())
	first.End(false)
	call.FailCall()
	require.True(t, first.CallFailed(), "it has just ended, as its call has failed")
	require.True(t, other.CallFailed())
	require.False(t, short.CallFailed(), "it ends before the call")
	require.False(t, f.Begin("", 2*second).CallFailed())
}

// Guards against routes that make no calls and are taken to make those of runs beside them.
func TestCalleeIsKnownOnlyFromRunsOfOneRoute(t *testing.T) {
	f := newFixture()
	f.Begin("orders", 2*second)
	reads := f.Begin("reads", 2*second)
	f.Arrived(second).NoteCall("stock")
	require.Empty(t, f.Callee("orders"))
	require.Empty(t, f.Callee("reads"))
	reads.End(false)
	f.Arrived(3 * second).NoteCall("stock")
	require.Empty(t, f.Callee("orders"), "a caller's own request")
	f.Arrived(second).NoteCall("prices")
	require.Equal(t, "prices", f.Callee("orders"))
	require.Empty(t, f.Callee("reads"))
}

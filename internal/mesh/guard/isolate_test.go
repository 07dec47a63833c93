package guard_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Guards against a suspect that is blamed for a death caused by a request that was given up and
// that the backend server still runs.
func TestSuspectWaitsForAbandonedRequest(t *testing.T) {
	started, end := make(chan struct{}, 1), make(chan struct{})
	var running, beside atomic.Int32
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("X-Load", map[bool]string{true: "1 1", false: "0 1"}[running.Load() > 0])
			return
		}
		if r.URL.Path == "/long" {
			running.Add(1)
			started <- struct{}{}
			<-end
			running.Add(-1)
			return
		}
		beside.Store(running.Load())
		signed(w, r)
	})
	x.handlesHealth.Store(true)
	long := request()
	long.URI, long.Idempotent = "/long", true
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan *kind.Error)
	go func() {
		_, e := x.Run(ctx, long)
		abandoned <- e
	}()
	<-started
	cancel()
	<-abandoned
	time.AfterFunc(30*time.Millisecond, func() { close(end) })
	r := request()
	r.Suspected = true
	_, e := x.Run(t.Context(), r)
	require.Nil(t, e)
	require.Zero(t, beside.Load(), "requests that ran beside the suspect")
}

// diedBackend dies with each request.
type diedBackend struct{}

func (diedBackend) Do(context.Context, *exchange.Message, func() bool) (*mesh.Answer, *exchange.Failure) {
	return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: context.DeadlineExceeded}
}

func (diedBackend) Investigate(context.Context, *exchange.Failure, func(context.Context) bool) death.Finding {
	return death.Refused
}

// Guards against a request that is sent once more to a backend server that it has crashed before.
func TestGuardBlocksRequestThatCrashedItsServerTwice(t *testing.T) {
	x := newFixture(t, 4, signed)
	x.Backend = diedBackend{}
	r := request()
	r.Suspected = true
	_, e := x.Run(t.Context(), r)
	require.Equal(t, kind.BackendDied, e.Kind)
	require.True(t, e.Alone)
	x.Suspects.Died(r.Fingerprint(), suspect.Death{ID: 1})
	_, e = x.Run(t.Context(), request())
	require.Equal(t, kind.Blocked, e.Kind)
	require.Equal(t, kind.NotRun, e.ReportedOutcome())
	require.Positive(t, e.RetryAfter)
}

// Guards against a suspect that closes its server to all others while a long request runs there.
func TestSuspectGivesWayToLongRequest(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			begun <- struct{}{}
			<-end
		}
		signed(w, r)
	})
	long, suspected := request(), request()
	long.URI, suspected.Suspected = "/long", true
	done := make(chan *kind.Error)
	go func() {
		_, e := x.Run(t.Context(), long)
		done <- e
	}()
	<-begun
	_, e := x.Run(t.Context(), suspected)
	require.Equal(t, kind.Overloaded, e.Kind, "another target may have room for it")
	require.Equal(t, kind.NotRun, e.ReportedOutcome())
	_, e = x.Run(t.Context(), request())
	require.Nil(t, e)
	close(end)
	require.Nil(t, <-done)
}

// Guards against a popular request that is blocked by deaths of long ago, as their news arrived after it had
// been answered.
func TestAnsweredRequestKeepsNoOldDeath(t *testing.T) {
	x := newFixture(t, 4, signed)
	fingerprint := request().Fingerprint()
	die := func(id uint64) {
		x.Suspects.Died(fingerprint, suspect.Death{ID: id, Alone: true, Served: true})
	}
	die(1)
	_, e := x.Run(t.Context(), request())
	require.Nil(t, e)
	x.now.Add(int64(8 * time.Second))
	die(2)
	die(3)
	require.Equal(t, suspect.Suspected, x.Suspects.Check(func() uint64 { return fingerprint }).Level)
}

package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// startSlowNode starts a node that answers with run, and a Client whose connections to it
// are slow; opened is called with the outbound direction of each. Both schedule their links if
// scheduled is true.
func startSlowNode(t *testing.T, scheduled bool, run func(ctx context.Context, r *mesh.Request) *mesh.Answer, opened func(outbound *wire)) (c *Client, s *Server, stop func()) {
	s = NewServer(fakeHandler{func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		return run(ctx, r), nil
	}}, mesh.Place{})
	c = NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
	s.now, c.now = stoppedClock, stoppedClock
	for _, set := range []func(*Uplink){s.SetUplink, c.SetUplink} {
		u := NewUplink(slowRate, DefaultQueueBytes)
		u.SetEnabled(scheduled)
		set(u)
	}
	var served sync.WaitGroup
	c.dial = func(string) (net.Conn, error) {
		near, far, outbound := slowLink(t)
		opened(outbound)
		served.Go(func() { s.serve(far) })
		return near, nil
	}
	return c, s, func() {
		// CloseUnused leaves connections open that are being dialled.
		synctest.Wait()
		c.CloseUnused(nil)
		s.Close()
		served.Wait()
	}
}

// withAndWithoutScheduling runs a test in virtual time for each state of the link's scheduling.
func withAndWithoutScheduling(t *testing.T, test func(t *testing.T, scheduled bool)) {
	for _, scheduled := range []bool{false, true} {
		t.Run(fmt.Sprintf("scheduled=%t", scheduled), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { test(t, scheduled) })
		})
	}
}

// drain stops a server once everything is delivered, within a minute.
func drain(s *Server) {
	s.StopBootstrap()
	for ends := time.Now().Add(time.Minute); !s.Delivered() && time.Now().Before(ends); {
		time.Sleep(20 * time.Millisecond)
	}
	s.Close()
}

// emptyAnswer answers without a body.
func emptyAnswer(context.Context, *mesh.Request) *mesh.Answer { return &mesh.Answer{} }

// Guards against outcome-unknown for requests that take a slow link longer than pongTimeout.
func TestSlowConnectionIsNotClosed(t *testing.T) {
	cases := map[string]struct {
		requests     int
		upload, body int
		work         time.Duration
	}{
		"a large upload":            {requests: 1, upload: 4 << 20},
		"a large answer":            {requests: 1, body: 4 << 20},
		"a large upload and answer": {requests: 1, upload: 4 << 20, body: 4 << 20},
		"several uploads":           {requests: 10, upload: 300 << 10, work: 2 * time.Second},
		"uploads and answers":       {requests: 10, upload: 300 << 10, body: 300 << 10, work: 2 * time.Second},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			withAndWithoutScheduling(t, func(t *testing.T, scheduled bool) {
				c, _, stop := startSlowNode(t, scheduled, func(ctx context.Context, r *mesh.Request) *mesh.Answer {
					wait(ctx, one.work)
					return &mesh.Answer{Status: 200, Body: make([]byte, one.body+len(r.Body)-one.upload)}
				}, func(*wire) {})
				defer stop()
				failures := make(chan *kind.Error, one.requests)
				for range one.requests {
					go func() {
						a, failure := c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, one.upload)})
						if failure == nil && len(a.Body) != one.body {
							failure = kind.New(kind.BackendBroken, "%d bytes received", len(a.Body))
						}
						failures <- failure
					}()
				}
				for range one.requests {
					require.Nil(t, <-failures)
				}
			})
		})
	}
}

// Guards against outcome-unknown for requests that share a slow link with a large state.
func TestAnswerMayBeQueuedBehindLargeState(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := NewServer(fakeHandler{func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: 200}, nil
		}}, mesh.Place{})
		s.SetStateSync(func() bool { return false }, StateSync{Answer: func(StateQuery) []byte { return make([]byte, 4<<20) }})
		c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
		taken := make(chan int, 1)
		c.SetStateSync(StateSync{Apply: func(state []byte) { taken <- len(state) }})
		near, far, _ := slowLink(t)
		c.dial = func(string) (net.Conn, error) { return near, nil }
		var served sync.WaitGroup
		served.Go(func() { s.serve(far) })
		require.NoError(t, c.Warm(t.Context(), ""))
		require.NoError(t, c.Ask("", StateQuery{Whole: true}))
		_, failure := c.Run(t.Context(), "", &mesh.Request{})
		require.Nil(t, failure)
		require.Equal(t, 4<<20, <-taken)
		c.CloseUnused(nil)
		served.Wait()
	})
}

// Guards against an unresponsive connection that is kept because it accepts more requests.
func TestUnresponsiveConnectionIsClosedWhileRequestsAreSent(t *testing.T) {
	withAndWithoutScheduling(t, func(t *testing.T, scheduled bool) {
		c, _, stop := startSlowNode(t, scheduled, emptyAnswer, func(outbound *wire) { outbound.lost.Store(true) })
		ctx, cancel := context.WithCancel(t.Context())
		var sent sync.WaitGroup
		defer func() {
			cancel()
			sent.Wait()
			stop()
		}()
		sent.Go(func() {
			for ctx.Err() == nil {
				sent.Go(func() { _, _ = c.Run(ctx, "", &mesh.Request{Body: make([]byte, 1000)}) })
				wait(ctx, 10*time.Millisecond)
			}
		})
		began := time.Now()
		limited, end := context.WithTimeout(t.Context(), time.Minute)
		defer end()
		_, failure := c.Run(limited, "", &mesh.Request{})
		require.Equal(t, kind.OutcomeUnknown, failure.Kind)
		require.ErrorIs(t, failure.Cause, errConnLost)
		require.LessOrEqual(t, time.Since(began), pingAfter+pongTimeout+checkInterval)
	})
}

// Guards against an upload that waits forever on a link that stopped in the middle.
func TestStalledUploadTimesOut(t *testing.T) {
	withAndWithoutScheduling(t, func(t *testing.T, scheduled bool) {
		var out *wire
		c, _, stop := startSlowNode(t, scheduled, emptyAnswer, func(outbound *wire) { out = outbound })
		defer stop()
		time.AfterFunc(2*time.Second, func() { out.stuck.Store(true) })
		began := time.Now()
		_, failure := c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, 8<<20)})
		require.Equal(t, kind.Unreachable, failure.Kind)
		require.Equal(t, kind.NotRun, failure.ReportedOutcome())
		require.ErrorIs(t, failure.Cause, errConnLost)
		require.LessOrEqual(t, time.Since(began), 2*time.Second+pingAfter+pongTimeout)
		require.Greater(t, time.Since(began), 2*time.Second)
	})
}

// Guards against an answer that is dropped because its node stops while it is in transit.
func TestAnswerInTransitIsDeliveredWhenNodeStops(t *testing.T) {
	const size = 4 << 20
	withAndWithoutScheduling(t, func(t *testing.T, scheduled bool) {
		ran := make(chan struct{})
		c, s, stop := startSlowNode(t, scheduled, func(context.Context, *mesh.Request) *mesh.Answer {
			defer close(ran)
			return &mesh.Answer{Body: make([]byte, size)}
		}, func(*wire) {})
		defer stop()
		var stopped sync.WaitGroup
		defer stopped.Wait()
		stopped.Go(func() {
			<-ran
			drain(s)
		})
		answer, failure := c.Run(t.Context(), "", &mesh.Request{})
		require.Nil(t, failure)
		require.Len(t, answer.Body, size)
	})
}

// Guards against a node that doesn't stop because another one is unresponsive.
func TestStoppingNodeDoesNotWaitForStalledConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		s := NewServer(fakeHandler{func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
			return emptyAnswer(ctx, r), nil
		}}, mesh.Place{})
		var served sync.WaitGroup
		served.Go(func() { s.serve(far) })
		hello, err := encode(frameHello, 0, &Hello{})
		require.NoError(t, err)
		_, err = near.Write(hello)
		require.NoError(t, err)
		synctest.Wait()
		request, err := encode(frameRequest, 1, fromRequest(&mesh.Request{}))
		require.NoError(t, err)
		_, err = near.Write(request)
		require.NoError(t, err)
		synctest.Wait()
		require.False(t, s.Delivered(), "the answer isn't read")
		began := time.Now()
		drain(s)
		require.Less(t, time.Since(began), time.Second)
		served.Wait()
		require.NoError(t, near.Close())
	})
}

package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// slowNode starts a node that answers by run, and a Client whose connections to it
// are slow; opened is told of the way there of each.
func slowNode(t *testing.T, run func(ctx context.Context, r *mesh.Request) *mesh.Answer, opened func(there *wire)) (c *Client, s *Server, stop func()) {
	s = NewServer(node{func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		return run(ctx, r), nil
	}}, mesh.Place{})
	c = NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
	var served sync.WaitGroup
	c.dial = func(string) (net.Conn, error) {
		near, far, there := slowLink(t)
		opened(there)
		served.Go(func() { s.serve(far) })
		return near, nil
	}
	return c, s, func() {
		c.Keep(nil)
		s.Close()
		served.Wait()
	}
}

// finish ends a node once everything is delivered, within a minute.
func finish(s *Server) {
	s.Stop()
	for ends := time.Now().Add(time.Minute); !s.Delivered() && time.Now().Before(ends); {
		time.Sleep(20 * time.Millisecond)
	}
	s.Close()
}

// nothing answers without a body.
func nothing(context.Context, *mesh.Request) *mesh.Answer { return &mesh.Answer{} }

// Guards against outcome-unknown for requests whose bytes take a slow link longer than a ping may.
func TestASlowConnectionIsNotTakenForSilent(t *testing.T) {
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
			synctest.Test(t, func(t *testing.T) {
				c, _, stop := slowNode(t, func(ctx context.Context, r *mesh.Request) *mesh.Answer {
					wait(ctx, one.work)
					return &mesh.Answer{Status: 200, Body: make([]byte, one.body+len(r.Body)-one.upload)}
				}, func(*wire) {})
				defer stop()
				failures := make(chan *kind.Error, one.requests)
				for range one.requests {
					go func() {
						a, failure := c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, one.upload)})
						if failure == nil && len(a.Body) != one.body {
							failure = kind.New(kind.BackendBroken, "%d bytes came", len(a.Body))
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

// Guards against outcome-unknown for requests beside a large state on a slow link.
func TestAnAnswerMayStandBehindALargeState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(node{func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: 200}, nil
		}}, mesh.Place{})
		s.OnNews(func() bool { return false }, News{Give: func(Question) []byte { return make([]byte, 4<<20) }})
		c := NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
		taken := make(chan int, 1)
		c.OnNews(News{Take: func(state []byte) { taken <- len(state) }})
		near, far, _ := slowLink(t)
		c.dial = func(string) (net.Conn, error) { return near, nil }
		var served sync.WaitGroup
		served.Go(func() { s.serve(far) })
		require.NoError(t, c.Warm(t.Context(), ""))
		require.NoError(t, c.Ask("", Question{Whole: true}))
		_, failure := c.Run(t.Context(), "", &mesh.Request{})
		require.Nil(t, failure)
		require.Equal(t, 4<<20, <-taken)
		c.Keep(nil)
		served.Wait()
	})
}

// Guards against a connection that gives nothing and is kept for the requests that it takes.
func TestASilentConnectionIsGivenUpWhileRequestsAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, stop := slowNode(t, nothing, func(there *wire) { there.lost.Store(true) })
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
		require.ErrorIs(t, failure.Cause, errSilent)
		require.LessOrEqual(t, time.Since(began), pingAfter+pongWithin+lookEvery)
	})
}

// Guards against an upload that waits for good on a link that stopped in the middle.
func TestAnUploadThatStandsStillIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out *wire
		c, _, stop := slowNode(t, nothing, func(there *wire) { out = there })
		defer stop()
		time.AfterFunc(2*time.Second, func() { out.stuck.Store(true) })
		began := time.Now()
		_, failure := c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, 8<<20)})
		require.Equal(t, kind.OutcomeUnknown, failure.Kind)
		require.ErrorIs(t, failure.Cause, errSilent)
		require.LessOrEqual(t, time.Since(began), 2*time.Second+pingAfter+pongWithin)
		require.Greater(t, time.Since(began), 2*time.Second)
	})
}

// Guards against an answer that is dropped because its node stops while it is on its way.
func TestAnAnswerOnItsWayArrivesThoughItsNodeStops(t *testing.T) {
	const size = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		ran := make(chan struct{})
		c, s, stop := slowNode(t, func(context.Context, *mesh.Request) *mesh.Answer {
			defer close(ran)
			return &mesh.Answer{Body: make([]byte, size)}
		}, func(*wire) {})
		defer stop()
		var stopped sync.WaitGroup
		defer stopped.Wait()
		stopped.Go(func() {
			<-ran
			finish(s)
		})
		answer, failure := c.Run(t.Context(), "", &mesh.Request{})
		require.Nil(t, failure)
		require.Len(t, answer.Body, size)
	})
}

// Guards against a node that doesn't stop because another one has gone silent.
func TestAStoppingNodeWaitsOnlyForWhatMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		s := NewServer(node{func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
			return nothing(ctx, r), nil
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
		finish(s)
		require.Less(t, time.Since(began), time.Second)
		served.Wait()
		require.NoError(t, near.Close())
	})
}

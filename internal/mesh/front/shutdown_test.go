package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

// Guards against a log that blames the caller for a request that the node itself ended.
func TestCanceledRequestReportsWhoEndedIt(t *testing.T) {
	cases := map[string]struct {
		end       func(s *front.Server, c *caller)
		cause     error
		abandoned uint64
	}{
		"the caller disconnects": {func(_ *front.Server, c *caller) { _ = c.Close() }, mesh.ErrCallerLeft, 1},
		"the node stops":         {func(s *front.Server, _ *caller) { s.Close() }, mesh.ErrStopping, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			running, cause := make(chan struct{}), make(chan error, 1)
			s, c := start(t, handler{serve: func(ctx context.Context, _ *front.Request) *front.Response {
				close(running)
				<-ctx.Done()
				cause <- context.Cause(ctx)
				return text("")
			}})
			c.get("/")
			<-running
			one.end(s, c)
			require.ErrorIs(t, <-cause, one.cause)
			require.Eventually(t, func() bool { return s.Active() == 0 }, time.Minute, time.Millisecond)
			require.Equal(t, one.abandoned, s.Counts.Abandoned.Load())
		})
	}
}

// Guards against a connection that is closed on a request that was read, when the node has to
// stop before the request has ended.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	running := make(chan struct{}, 2)
	s, c := start(t, handler{serve: func(ctx context.Context, r *front.Request) *front.Response {
		running <- struct{}{}
		<-ctx.Done()
		return text(r.Path)
	}})
	c.get("/1")
	c.get("/2")
	<-running
	<-running
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(t.Context()) }()
	_, body := c.answer()
	require.Equal(t, "/1", body)
	resp, body := c.answer()
	require.Equal(t, "/2", body)
	require.True(t, resp.Close)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, <-shutdown)
	require.Zero(t, s.Active())
}

// Guards against a request that is read while the server shuts down, and gets no answer.
func TestShutdownAnswersEveryRequestThatIsRead(t *testing.T) {
	const (
		rounds  = 30
		callers = 16
	)
	for range rounds {
		s, first := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("x") }})
		var answers atomic.Uint64
		var done sync.WaitGroup
		for range callers {
			c := dial(t, first.RemoteAddr().String())
			done.Go(func() {
				defer func() { _ = c.Close() }()
				for exchange(c) == nil {
					answers.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return answers.Load() > callers }, time.Minute, time.Microsecond)
		require.NoError(t, s.Shutdown(t.Context()))
		done.Wait()
		require.Equal(t, s.Counts.Requests.Load(), answers.Load())
	}
}

// exchange sends a request and reads its answer.
func exchange(c *caller) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against an answer that is cut off by a reset because its caller had sent more, which the
// server no longer reads.
func TestShutdownDeliversAnswerToCallerThatSendsMore(t *testing.T) {
	const size = 4 << 20
	running, sent := make(chan struct{}, 2), make(chan struct{})
	s, c := start(t, handler{serve: func(ctx context.Context, _ *front.Request) *front.Response {
		running <- struct{}{}
		<-ctx.Done()
		<-sent
		return &front.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	}})
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(128<<10))
	c.get("/1")
	<-running
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(t.Context()) }()
	require.Eventually(t, func() bool {
		other, err := net.Dial("tcp", c.RemoteAddr().String())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	}, time.Minute, time.Millisecond, "it shuts down")
	c.get("/2")
	close(sent)
	resp, body := c.answer()
	require.Len(t, body, size)
	if !resp.Close {
		// The second request was read just before the shutdown.
		_, body = c.answer()
		require.Len(t, body, size)
	}
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.NoError(t, <-shutdown)
}

// Guards against a stop that waits for ever, or misses a request, when an answer isn't ready in time.
func TestShutdownReportsRequestsThatAreNotAnsweredInTime(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response {
		close(running)
		<-release
		return text("")
	}})
	defer close(release)
	c.get("/")
	<-running
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Shutdown(ctx), context.Canceled)
	require.Equal(t, 1, s.Active())
	_, err := c.reader.ReadByte()
	require.Error(t, err)
}

func TestShutdownClosesListenerAndIdleConnections(t *testing.T) {
	s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("x") }})
	c.get("/")
	c.answer()
	require.NoError(t, s.Shutdown(t.Context()))
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, err = net.Dial("tcp", c.RemoteAddr().String())
	require.Error(t, err)
}

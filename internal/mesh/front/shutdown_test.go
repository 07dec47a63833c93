package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// Guards against a log that blames the caller for a request that the node itself ended.
func TestCanceledRequestReportsWhoEndedIt(t *testing.T) {
	cases := map[string]struct {
		end       func(s *front.Server, c *caller)
		cause     error
		abandoned uint64
	}{
		"the caller disconnects": {func(_ *front.Server, c *caller) { _ = c.Close() }, mesh.ErrCallerLeft, 1},
		"the node stops":         {func(s *front.Server, _ *caller) { s.Close() }, stopping.Err, 0},
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
func TestEndAnswersRequestsInFlight(t *testing.T) {
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
	ended := make(chan int, 1)
	go func() { ended <- s.End(t.Context()) }()
	_, body := c.answer()
	require.Equal(t, "/1", body)
	resp, body := c.answer()
	require.Equal(t, "/2", body)
	require.True(t, resp.Close)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.Zero(t, <-ended)
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

// Guards against a request that is cut off although the server has time left.
func TestShutdownLetsRequestsInFlightEnd(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, c := start(t, handler{serve: func(ctx context.Context, _ *front.Request) *front.Response {
		close(running)
		<-release
		require.NoError(t, ctx.Err())
		return text("x")
	}})
	c.get("/")
	<-running
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Shutdown(expired), context.Canceled)
	require.Equal(t, 1, s.Active())
	close(release)
	resp, _ := c.answer()
	require.True(t, resp.Close)
	require.NoError(t, c.Close())
	require.NoError(t, s.Shutdown(t.Context()))
}

// Guards against a stop that waits for ever, or counts wrongly, when an answer isn't ready in time
// or isn't read.
func TestEndCountsRequestsWithoutAnswer(t *testing.T) {
	const large = 64 << 20
	cases := map[string]struct {
		answer  *front.Response
		leave   bool
		waiting int
	}{
		"the answer isn't ready":      {nil, false, 1},
		"the caller doesn't read":     {&front.Response{Status: 200, Header: http.Header{}, Body: make([]byte, large)}, false, 1},
		"the caller has disconnected": {nil, true, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			running, release, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s, c := start(t, handler{serve: func(ctx context.Context, _ *front.Request) *front.Response {
				close(running)
				if one.answer != nil {
					return one.answer
				}
				<-ctx.Done()
				close(left)
				<-release
				return text("")
			}})
			defer close(release)
			c.get("/")
			<-running
			if one.leave {
				require.NoError(t, c.Close())
				<-left
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			require.Equal(t, one.waiting, s.End(ctx))
		})
	}
}

// Guards against an answer of 400 to a request that is incomplete only because the server stopped
// reading, after which its caller doesn't repeat it.
func TestIncompleteRequestIsNotAnsweredAtShutdown(t *testing.T) {
	const request = "GET /path HTTP/1.1\r\nHost: example\r\nX-Mine: 1\r\n\r\n"
	for sent := 1; sent < len(request); sent++ {
		s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("x") }})
		c.get("/")
		c.answer()
		c.send("%s", request[:sent])
		require.NoError(t, s.Shutdown(t.Context()))
		rest, _ := io.ReadAll(c.reader)
		require.Empty(t, string(rest), "after %q", request[:sent])
	}
}

// Guards against a reset that truncates the last answers while the server shuts down, because another
// request has arrived behind them.
func TestShutdownCompletesLargeAnswerThoughMoreArrives(t *testing.T) {
	const size = 4 << 20
	// The second request may be read if it arrives while reading stops.
	running, release := make(chan struct{}, 2), make(chan struct{})
	s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response {
		running <- struct{}{}
		<-release
		return &front.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	}})
	c.get("/1")
	<-running
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, s.Shutdown(expired))
	c.get("/2")
	close(release)
	_, body := c.answer()
	require.Len(t, body, size)
	require.NoError(t, c.Close())
	require.NoError(t, s.Shutdown(t.Context()))
}

// Guards against an answer that is cut off by a reset because its caller had sent more, which the
// server no longer reads.
func TestEndDeliversAnswerToCallerThatSendsMore(t *testing.T) {
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
	ended := make(chan int, 1)
	go func() { ended <- s.End(t.Context()) }()
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
	require.Zero(t, <-ended)
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

// Guards against a server that accepts connections after it was shut down, when a stop overtakes the start.
func TestServeAfterShutdownAcceptsNothing(t *testing.T) {
	s := front.New(handler{})
	s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Serve(l))
}

// Guards against a "100 Continue" after the answer that closes the connection.
func TestNoContinueIsSentAfterLastAnswer(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response {
		close(running)
		<-release
		return text("x")
	}})
	c.get("/1")
	<-running
	c.send("PUT /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	s.Drain()
	close(release)
	resp, _ := c.answer()
	require.True(t, resp.Close)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a request that was sent whole on an open connection before the server shut down, and is cut off without
// an answer because the server hadn't read all of it.
func TestShutdownAnswersRequestsThatHaveArrived(t *testing.T) {
	const rounds = 20
	body := strings.Repeat("x", 1<<20)
	for name, frame := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			for range rounds {
				s, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response { return text(fmt.Sprint(len(r.Body))) }})
				c.get("/")
				c.answer()
				c.send("POST / HTTP/1.1\r\nHost: h\r\n%s", frame)
				done := make(chan error, 1)
				go func() { done <- s.Shutdown(t.Context()) }()
				_, got := c.answer()
				require.Equal(t, fmt.Sprint(len(body)), got)
				require.NoError(t, c.Close())
				require.NoError(t, <-done)
			}
		})
	}
}

// Guards against an upload that is cut off by a server which has time left to read the rest.
func TestShutdownReadsUploadsInProgress(t *testing.T) {
	const pieces = 10
	s, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response { return text(fmt.Sprint(len(r.Body))) }})
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", pieces)
	time.Sleep(10 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for range pieces - 1 {
		time.Sleep(20 * time.Millisecond)
		c.send("x")
	}
	_, got := c.answer()
	require.Equal(t, fmt.Sprint(pieces), got)
	require.NoError(t, c.Close())
	require.NoError(t, <-done)
}

// Guards against a caller whose request never ends and that holds up the end of the server.
func TestShutdownGivesUpStalledUpload(t *testing.T) {
	s, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("x") }})
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, s.Shutdown(t.Context()))
	rest, _ := io.ReadAll(c.reader)
	require.Empty(t, string(rest))
}

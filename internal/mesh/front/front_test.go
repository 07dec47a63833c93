package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler answers requests with a function, under limits.
type handler struct {
	serve  func(ctx context.Context, r *front.Request) *front.Response
	limits mesh.Limits
}

func (h handler) Serve(ctx context.Context, r *front.Request) *front.Response { return h.serve(ctx, r) }

func (h handler) Reject(status int) *front.Response {
	return &front.Response{Status: status, Header: http.Header{}}
}
func (h handler) Limits() mesh.Limits { return h.limits }

func text(body string) *front.Response {
	return &front.Response{Status: 200, Header: http.Header{}, Body: []byte(body)}
}

// caller is a connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func start(t *testing.T, h handler) (*front.Server, *caller) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := front.New(h)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	c := dial(t, l.Addr().String())
	t.Cleanup(func() {
		_ = c.Close()
		_ = l.Close()
		<-ended
		s.Close()
	})
	return s, c
}

func dial(t *testing.T, addr string) *caller {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(format string, a ...any) {
	_, err := fmt.Fprintf(c, format, a...)
	require.NoError(c.t, err)
}

func (c *caller) get(path string) { c.send("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

func (c *caller) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(body)
}

// A caller sends three requests without waiting. They run concurrently, and their answers
// are sent in the order of the requests although the last is ready first.
func TestPipelinedRequestsRunConcurrentlyAndAnswersKeepOrder(t *testing.T) {
	gates := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	running := make(chan string, 3)
	_, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response {
		running <- r.Path
		<-gates[r.Path]
		return text(r.Path)
	}})
	for _, path := range []string{"/1", "/2", "/3"} {
		c.get(path)
	}
	for range gates {
		<-running
	}
	close(gates["/3"])
	close(gates["/2"])
	close(gates["/1"])
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body := c.answer()
		require.Equal(t, path, body)
	}
}

// Guards against a first request that isn't cancelled when its caller disconnects, because
// another request is in the node's buffer already.
func TestDisconnectCancelsAllRequestsOfConnection(t *testing.T) {
	running, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, c := start(t, handler{serve: func(ctx context.Context, _ *front.Request) *front.Response {
		running <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return text("")
	}})
	c.get("/1")
	c.get("/2")
	<-running
	<-running
	require.NoError(t, c.Close())
	<-ended
	<-ended
}

func TestBodyIsReadByLengthAndInChunks(t *testing.T) {
	_, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response {
		return text(r.Method + " " + r.URI + " " + string(r.Body))
	}})
	c.send("POST /a%%2Fb?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	_, body := c.answer()
	require.Equal(t, "POST /a%2Fb?x=1 body", body)
	c.send("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body = c.answer()
	require.Equal(t, "PUT / abcde", body)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	resp, _ := c.answer()
	require.Equal(t, http.StatusContinue, resp.StatusCode)
	c.send("ok")
	_, body = c.answer()
	require.Equal(t, "POST / ok", body)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	limits := mesh.Limits{HeaderBytes: 1000, BodyBytes: 10}
	cases := map[string]struct {
		sent string
		want int
	}{
		"no HTTP":         {"what is this\r\n\r\n", 400},
		"no host":         {"GET / HTTP/1.1\r\n\r\n", 400},
		"other URI":       {"GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"two lengths":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
		"long header":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431},
		"long body":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 413},
		"many chunks":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678\r\n0\r\n\r\n", 413},
		"broken chunk":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"unknown coding":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"space in header": {"GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", 400},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			_, c := start(t, handler{limits: limits, serve: func(context.Context, *front.Request) *front.Response {
				t.Error("served")
				return text("")
			}})
			c.send("%s", one.sent)
			resp, _ := c.answer()
			require.Equal(t, one.want, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

// Guards against a request that is sent again although it ran: a caller with two requests
// in flight that is asked to close the connection with the first answer takes the second
// for unread.
func TestDrainClosesConnectionWithLastAnswerOnly(t *testing.T) {
	gates := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{})}
	running := make(chan struct{}, 2)
	s, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response {
		running <- struct{}{}
		<-gates[r.Path]
		return text(r.Path)
	}})
	c.get("/1")
	c.get("/2")
	<-running
	<-running
	s.Drain()
	close(gates["/1"])
	resp, _ := c.answer()
	require.False(t, resp.Close)
	close(gates["/2"])
	resp, _ = c.answer()
	require.True(t, resp.Close)
}

func TestConnectionCloseHeaderClosesConnection(t *testing.T) {
	_, c := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("x") }})
	c.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, _ := c.answer()
	require.True(t, resp.Close)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	_, c := start(t, handler{
		limits: mesh.Limits{IdleTimeout: 15 * time.Second},
		serve: func(_ context.Context, r *front.Request) *front.Response {
			require.Equal(t, http.Header{"X-Mine": {"1"}}, r.Header)
			return &front.Response{Status: 200, Header: http.Header{"Transfer-Encoding": {"chunked"}, "X-Theirs": {"2"}}, Body: []byte("x")}
		},
	})
	c.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nX-Mine: 1\r\n\r\n")
	resp, body := c.answer()
	require.Equal(t, "x", body)
	require.Empty(t, resp.TransferEncoding)
	require.Equal(t, "2", resp.Header.Get("X-Theirs"))
	require.Equal(t, "timeout=15", resp.Header.Get("Keep-Alive"))
}

// Guards against a 100 Continue between the answers to earlier requests.
func TestContinueIsSentAfterEarlierAnswers(t *testing.T) {
	const work = 50 * time.Millisecond
	_, c := start(t, handler{serve: func(_ context.Context, r *front.Request) *front.Response {
		if r.Method == http.MethodGet {
			time.Sleep(work)
		}
		return text(r.Method + string(r.Body))
	}})
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"+
		"PUT /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "GET", string(body))
	answer, err = http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, answer.StatusCode)
	_, err = io.WriteString(c, "xy")
	require.NoError(t, err)
	answer, err = http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "PUTxy", string(body))
}

// Guards against large bodies that together take up a node's memory, and against small ones that are refused for it.
func TestLargeBodiesShareABound(t *testing.T) {
	const mb = 1 << 20
	s, first := start(t, handler{serve: func(context.Context, *front.Request) *front.Response { return text("") }})
	upload := func(c *caller, size, sent int) {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		_, err := c.Write(make([]byte, sent))
		require.NoError(t, err)
	}
	upload(first, 30*mb, 23*mb)
	require.Eventually(t, func() bool { return s.BodyBytes() >= 23*mb-256<<10 }, time.Minute, time.Millisecond)
	statusOf := func(size int) int {
		c := dial(t, first.RemoteAddr().String())
		defer func() { _ = c.Close() }()
		upload(c, size, size)
		resp, _ := c.answer()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, statusOf(2*mb))
	require.Equal(t, http.StatusOK, statusOf(200<<10))
	_, err := first.Write(make([]byte, 7*mb))
	require.NoError(t, err)
	resp, _ := first.answer()
	require.Equal(t, http.StatusOK, resp.StatusCode, "a body that was the only larger one")
	require.Eventually(t, func() bool { return s.BodyBytes() == 0 }, time.Minute, time.Millisecond)
	require.Equal(t, http.StatusOK, statusOf(2*mb))
}

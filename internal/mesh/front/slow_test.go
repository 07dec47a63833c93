package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// pipes is a listener for in-memory connections.
type pipes struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// half is a connection whose two directions are closed separately.
type half struct{ net.Conn }

func (half) CloseWrite() error { return nil }

// ask sends a request to an in-memory server that answers with a body of the given size.
func ask(t *testing.T, size int) (s *front.Server, c net.Conn, stop func()) {
	s, c, stop = connect(handler{serve: func(context.Context, *front.Request) *front.Response {
		return &front.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	}})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	return s, c, stop
}

// connect connects to an in-memory server.
func connect(h front.Handler) (s *front.Server, c net.Conn, stop func()) {
	l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	s = front.New(h)
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(l) })
	c, far := net.Pipe()
	l.conns <- half{far}
	return s, c, func() {
		_ = c.Close()
		_ = l.Close()
		served.Wait()
		s.Close()
	}
}

// Guards against a large answer that is truncated while its caller still reads.
func TestSlowCallerGetsCompleteAnswer(t *testing.T) {
	const size = 1 << 20
	virtualtime.Test(t, func(t *testing.T) {
		_, c, stop := ask(t, size)
		defer stop()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		for remaining := size; remaining > 0; remaining -= size / 16 {
			time.Sleep(2 * time.Second)
			_, err := io.CopyN(io.Discard, resp.Body, size/16)
			require.NoError(t, err, "%d bytes remaining", remaining)
		}
	})
}

// Guards against memory that is held for a caller that no longer reads.
func TestConnectionIsClosedWhenCallerStopsReading(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, c, stop := ask(t, 1<<20)
		defer stop()
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 1, s.Active())
		time.Sleep(20 * time.Second)
		require.Zero(t, s.Active())
	})
}

// Guards against closing a connection at an Expect header because the deadline of an earlier
// answer has passed.
func TestContinueIsSentLongAfterEarlierAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		_, c, stop := ask(t, 10)
		defer stop()
		reader := bufio.NewReader(c)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		time.Sleep(20 * time.Second)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		require.NoError(t, err)
		resp, err = http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, resp.StatusCode)
	})
}

// Guards against a reset that overtakes the rejection of an upload in progress.
func TestRejectedUploadIsReadToItsEnd(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		_, c, stop := connect(handler{limits: mesh.Limits{BodyBytes: 10}})
		defer stop()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		for i := range 30 {
			time.Sleep(200 * time.Millisecond)
			_, err := c.Write(make([]byte, 100))
			require.NoError(t, err, "piece %d", i)
		}
	})
}

// Guards against a connection that stays open for a caller that received its last answer.
func TestConnectionIsClosedAfterLastAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		_, c, stop := connect(handler{limits: mesh.Limits{BodyBytes: 10}})
		defer stop()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
		require.NoError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = c.Write(make([]byte, 100))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}

// Guards against requests in flight that are canceled and not answered because the request behind
// them on the connection doesn't arrive in time or is rejected.
func TestRequestsInFlightAreAnsweredWhateverArrivesBehindThem(t *testing.T) {
	const work = 30 * time.Second
	cases := map[string]struct {
		behind   string
		statuses []int
	}{
		"incomplete header": {"GET /2 HTTP/1.1\r\nHost: h\r\n", []int{200}},
		"incomplete body":   {"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", []int{200}},
		"no HTTP":           {"what is this\r\n\r\n", []int{200, 400}},
		"body too large":    {"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", []int{200, 413}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				limits := mesh.Limits{HeaderTimeout: time.Second, BodyBytes: 10}
				s, c, stop := connect(handler{limits: limits, serve: func(ctx context.Context, _ *front.Request) *front.Response {
					select {
					case <-time.After(work):
					case <-ctx.Done():
					}
					return text("")
				}})
				defer stop()
				_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+one.behind)
				require.NoError(t, err)
				reader := bufio.NewReader(c)
				for i, want := range one.statuses {
					resp, err := http.ReadResponse(reader, nil)
					require.NoError(t, err, "answer %d", i)
					require.Equal(t, want, resp.StatusCode)
					require.Equal(t, i == len(one.statuses)-1, resp.Close)
				}
				time.Sleep(2 * time.Second)
				require.Zero(t, s.Active())
				_, err = c.Write([]byte("x"))
				require.ErrorIs(t, err, io.ErrClosedPipe)
			})
		})
	}
}

// blockedLimits is a handler whose second call of Limits, by which the second request begins to
// be read, waits.
type blockedLimits struct {
	handler
	calls          *atomic.Int32
	began, release chan struct{}
}

func (b blockedLimits) Limits() mesh.Limits {
	if b.calls.Add(1) == 2 {
		close(b.began)
		<-b.release
	}
	return b.limits
}

// Guards against a reset that overtakes the last answer of a draining server, because the answer was
// written before the server began to read the next request.
func TestConnectionLingersThoughLastAnswerIsWrittenEarly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := blockedLimits{calls: &atomic.Int32{}, began: make(chan struct{}), release: make(chan struct{})}
		h.serve = func(context.Context, *front.Request) *front.Response {
			<-h.began
			return text("")
		}
		s, c, stop := connect(h)
		defer stop()
		s.Drain()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.True(t, resp.Close)
		synctest.Wait()
		close(h.release)
		synctest.Wait()
		_, err = c.Write(make([]byte, 100))
		require.NoError(t, err)
	})
}

// Guards against a caller that keeps the connection of a rejected request open for as long as it likes, by a byte
// now and then.
func TestCallerCannotProlongEndOfConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		_, c, stop := connect(handler{})
		defer stop()
		_, err := io.WriteString(c, "no request\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
		start := time.Now()
		for err == nil && time.Since(start) < time.Minute {
			time.Sleep(500 * time.Millisecond)
			_, err = c.Write([]byte{'a'})
		}
		require.Error(t, err)
		require.Less(t, time.Since(start), 10*time.Second)
	})
}

package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// serveOne serves one connection with a handler; end closes both ends of the
// connection.
func serveOne(h http.HandlerFunc, c *serverCounters) (near net.Conn, end func()) {
	srv := newHTTPPort("", h, 1, c).server
	near, far := net.Pipe()
	l := &oneConn{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conns <- far
	go func() { _ = srv.Serve(l) }()
	return near, func() {
		close(l.done)
		_ = near.Close()
		_ = srv.Close()
		synctest.Wait()
	}
}

// Guards against senders that stop in the middle of a body, or send a single byte
// now and then: the connection, and the slot of the request, would be held forever.
// An upload that makes progress may take as long as it needs.
func TestStalledBodiesAreAborted(t *testing.T) {
	tests := map[string]struct {
		chunk  int
		every  time.Duration
		chunks int
		// pause is the time that the backend server takes between two reads.
		pause   time.Duration
		stalled bool
	}{
		"stalls":                {100, 2 * stallLimit, 2, 0, true},
		"a byte now and then":   {1, stallLimit / 3, 1000, 0, true},
		"a slow, steady sender": {minRate * 20, 10 * time.Second, 100, 0, false},
		"a slow backend server": {100, 0, 20, 2 * stallLimit, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				c := &serverCounters{}
				ended := make(chan error, 1)
				near, end := serveOne(func(_ http.ResponseWriter, r *http.Request) {
					ended <- readSlowly(r.Body, test.pause)
				}, c)
				go func() { _, _ = io.Copy(io.Discard, near) }()
				var sender sync.WaitGroup
				sender.Go(func() { sendSlowly(near, test.chunk, test.chunks, test.every) })
				err := <-ended
				if test.stalled {
					var timeout net.Error
					require.True(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
					require.EqualValues(t, 1, c.stalled.Load())
				} else {
					require.NoError(t, err)
					require.Zero(t, c.stalled.Load())
				}
				end()
				sender.Wait()
			})
		})
	}
}

func readSlowly(body io.Reader, pause time.Duration) error {
	buf := make([]byte, 512)
	for {
		_, err := body.Read(buf)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(pause)
	}
}

func sendSlowly(conn net.Conn, chunk, chunks int, every time.Duration) {
	head := "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(chunk*chunks) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for range chunks {
		if _, err := conn.Write(bytes.Repeat([]byte("x"), chunk)); err != nil {
			return
		}
		time.Sleep(every)
	}
}

// Guards against deadlines that outlive the read or write they were set for: a
// booking may take longer than stallLimit, and its caller may reuse the connection
// after a pause.
func TestDeadlinesEndWithTheirReadOrWrite(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := &serverCounters{}
		near, end := serveOne(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			// Read again after the end of the body.
			_, err = r.Body.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			time.Sleep(3 * stallLimit)
			require.NoError(t, r.Context().Err(), "the caller is still there")
			_, err = w.Write([]byte("booked"))
			require.NoError(t, err)
			time.Sleep(3 * stallLimit)
		}, c)
		defer end()
		answers := bufio.NewReader(near)
		for range 3 {
			_, err := io.WriteString(near, "PUT / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			require.NoError(t, err)
			require.Equal(t, http.StatusContinue, status(t, answers))
			_, err = io.WriteString(near, "ok")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status(t, answers))
			time.Sleep(2 * stallLimit)
		}
		require.Zero(t, c.stalled.Load()+c.errors.Load()+c.panics.Load())
	})
}

func status(t *testing.T, answers *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// Guards against a caller that requests a long answer and stops reading it: it would
// hold the goroutine of the answer, the guard's slot and the connection to the
// backend server.
func TestStalledReaderIsDisconnected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := &serverCounters{}
		ended := make(chan error, 1)
		near, end := serveOne(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			ended <- err
		}, c)
		defer end()
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		begun := time.Now()
		require.Error(t, <-ended)
		require.Equal(t, stallLimit, time.Since(begun), "on the test's clock")
		require.EqualValues(t, 1, c.stalled.Load())
	})
}

// Guards against an answer that is cut while a slow client reads it, because it was
// written in a single call.
func TestSlowReaderGetsAnswerWrittenInOneCall(t *testing.T) {
	const size = 4 << 20
	virtualtime.Test(t, func(t *testing.T) {
		c := &serverCounters{}
		near, end := serveOne(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
		}, c)
		defer end()
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		for read := 0; read < size; {
			time.Sleep(time.Second)
			n, err := io.ReadFull(resp.Body, make([]byte, 64<<10))
			read += n
			require.NoError(t, err)
		}
		require.Zero(t, c.stalled.Load())
	})
}

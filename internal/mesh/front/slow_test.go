package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

// pipes is a listener of connections in memory.
type pipes struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// half is a connection whose two directions end by themselves.
type half struct{ net.Conn }

func (half) CloseWrite() error { return nil }

// ask sends a request to a server in memory that answers with so many bytes.
func ask(t *testing.T, size int) (s *front.Server, c net.Conn, stop func()) {
	s, c, stop = connect(handler{serve: func(context.Context, *front.Request) *front.Response {
		return &front.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	}})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	return s, c, stop
}

// connect connects to a server in memory.
func connect(h handler) (s *front.Server, c net.Conn, stop func()) {
	l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	s = front.New(h)
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(l) })
	c, far := net.Pipe()
	l.conns <- half{far}
	return s, c, func() {
		_ = c.Close()
		close(l.closed)
		served.Wait()
		s.Close()
	}
}

// Guards against a large answer that is cut off while its caller still reads.
func TestACallerThatReadsOnGetsItsWholeAnswer(t *testing.T) {
	const size = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		_, c, stop := ask(t, size)
		defer stop()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		for left := size; left > 0; left -= size / 16 {
			time.Sleep(2 * time.Second)
			_, err := io.CopyN(io.Discard, resp.Body, size/16)
			require.NoError(t, err, "%d bytes were left", left)
		}
	})
}

// Guards against memory that is held for a caller that has stopped reading.
func TestACallerThatStopsReadingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, stop := ask(t, 1<<20)
		defer stop()
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 1, s.Active())
		time.Sleep(20 * time.Second)
		require.Zero(t, s.Active())
	})
}

// Guards against a connection that ends at an Expect header because an earlier answer's time is over.
func TestAnUploadMayBeAnnouncedLongAfterAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// Guards against a reset that overtakes the refusal of an upload that is still on its way.
func TestARefusedUploadIsReadOnForAsLongAsItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// Guards against a connection that stays open for a caller that got its last answer.
func TestACallerThatSendsNothingMoreIsLeftAfterItsLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset of connections that are in the backlog of a port while its
// node stops, with their requests in transit.
func TestClosingPortServesItsBacklog(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &backlogListener{TCPListener: inner.(*net.TCPListener)}
	const waiting = 20
	conns := make([]net.Conn, waiting)
	for i := range conns {
		conns[i], err = net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})}
	served := make(chan error, 1)
	require.NoError(t, l.Close())
	go func() { served <- s.Serve(l) }()
	for _, conn := range conns {
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		answer := make([]byte, len("HTTP/1.1 200"))
		_, err := io.ReadFull(conn, answer)
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 200", string(answer))
		require.NoError(t, conn.Close())
	}
	require.Error(t, <-served, "the port is closed in the end")
	_, err = net.Dial("tcp", inner.Addr().String())
	require.Error(t, err)
	require.NoError(t, s.Shutdown(context.Background()))
}

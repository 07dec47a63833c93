package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against an eviction of a connection of which a request is being read: its sender
// would get no answer, though the request may run.
func TestEvictionSparesConnectionWhoseRequestIsBeingRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		conn := &drainConn{Conn: far, between: true}
		defer func() { _ = conn.Close() }()
		r := newConnLimiter(func() int { return 1 }, &serverCounters{})
		r.connState(conn, http.StateNew)
		go func() { _, _ = io.WriteString(near, "GET /") }()
		_, err := conn.Read(make([]byte, 5))
		require.NoError(t, err)
		time.Sleep(2 * minIdle)
		r.mu.Lock()
		require.False(t, r.evictIdle())
		r.mu.Unlock()
		go func() { _, _ = io.WriteString(near, " HTTP/1.1") }()
		_, err = conn.Read(make([]byte, 9))
		require.NoError(t, err)
	})
}

// racingConn calls arrived when bytes have arrived, before Read returns them.
type racingConn struct {
	net.Conn
	arrived func()
}

func (c *racingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.arrived()
	return n, err
}

// Guards against a request that is run although its connection was closed as unused while its
// first bytes arrived.
func TestRequestOnConnectionClosedAsUnusedIsNotRead(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	inner := &racingConn{Conn: far}
	conn := &drainConn{Conn: inner, between: true}
	inner.arrived = func() { require.True(t, conn.closeUnused()) }
	go func() { _, _ = io.WriteString(near, "GET /") }()
	n, err := conn.Read(make([]byte, 5))
	require.Zero(t, n)
	require.ErrorIs(t, err, net.ErrClosed)
}

package stall_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/stall"
)

// connect opens a connection on the loopback interface and returns both ends.
func connect(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	near, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// Guards against bytes in the kernel's send buffer that count as acknowledged.
func TestAcknowledgedExcludesBytesNotYetReceived(t *testing.T) {
	near, far := connect(t)
	opened := stall.Acknowledged(near)
	written := make(chan int64, 1)
	go func() {
		n, _ := near.Write(make([]byte, 64<<20))
		written <- int64(n)
	}()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := io.CopyN(io.Discard, far, 1<<20)
	require.NoError(t, err)
	require.Less(t, stall.Acknowledged(near), uint64(64<<20))
	_, err = io.CopyN(io.Discard, far, 63<<20)
	require.NoError(t, err)
	require.Equal(t, int64(64<<20), <-written)
	require.Eventually(t, func() bool {
		return stall.Acknowledged(near) == opened+64<<20
	}, time.Minute, time.Millisecond)
}

func TestAcknowledgedIsZeroWhereUnknown(t *testing.T) {
	near, far := net.Pipe()
	require.Zero(t, stall.Acknowledged(near))
	require.NoError(t, near.Close())
	require.NoError(t, far.Close())
	closed, _ := connect(t)
	require.NoError(t, closed.Close())
	require.Zero(t, stall.Acknowledged(closed))
}

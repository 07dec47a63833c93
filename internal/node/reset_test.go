package node

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/sockopt"
)

// Guards against a caller's connection whose reset is requested in vain because listeners have wrapped it.
func TestWrappedConnectionIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l = drainListener{newPerIPListener(l, 1, &serverCounters{})}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	c, err := l.Accept()
	require.NoError(t, err)
	sockopt.ResetOnClose(c)
	require.NoError(t, c.Close())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

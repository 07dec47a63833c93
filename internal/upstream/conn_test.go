package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/upstream"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (client net.Conn, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err = upstream.Dial(t.Context(), &net.Dialer{}, l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, c := range []io.Closer{l, client, accepted} {
			_ = c.Close()
		}
	})
	return client, accepted.(*net.TCPConn)
}

// writeUntilFailure writes until a write fails.
func writeUntilFailure(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against the end of a connection that was reset being taken for the end of the stream, after a write has got
// the error.
func TestReadAfterFailedWriteReportsReset(t *testing.T) {
	client, server := connect(t)
	_, err := io.WriteString(server, "part")
	require.NoError(t, err)
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
	require.ErrorIs(t, writeUntilFailure(client), syscall.ECONNRESET)
	got, err := io.ReadAll(client)
	require.Equal(t, "part", string(got))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a whole stream that is taken for a part of it, because the peer has reset the connection after its
// end.
func TestStreamThatEndedBeforeResetIsWhole(t *testing.T) {
	client, server := connect(t)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	time.Sleep(time.Millisecond)
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
	require.ErrorIs(t, writeUntilFailure(client), syscall.EPIPE)
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}

// Guards against a write that loses bytes when the reader is slow.
func TestWriteWaitsForReader(t *testing.T) {
	client, server := connect(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	go func() {
		defer func() { _ = client.Close() }()
		_, _ = client.(io.ReaderFrom).ReadFrom(bytes.NewReader(sent))
	}()
	time.Sleep(10 * time.Millisecond)
	got, err := io.ReadAll(server)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
}

// Guards against a write that goes on after its deadline or after the connection was closed.
func TestWriteEndsWithDeadlineAndClose(t *testing.T) {
	client, _ := connect(t)
	require.NoError(t, client.SetWriteDeadline(time.Now().Add(10*time.Millisecond)))
	err := writeUntilFailure(client)
	var timeout net.Error
	require.True(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	require.NoError(t, client.Close())
	_, err = client.Write([]byte("a"))
	require.ErrorIs(t, err, net.ErrClosed)
}

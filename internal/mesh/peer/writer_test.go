package peer

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against closing a connection whose long queue is written slowly.
func TestSlowQueueIsWrittenCompletely(t *testing.T) {
	const frames, size = 10, 1 << 20
	virtualtime.Test(t, func(t *testing.T) {
		near, far, _ := slowLink(t)
		w := newWriter(near, nil, nil)
		for i := range frames {
			require.NoError(t, w.send(bytes.Repeat([]byte{byte(i)}, size)))
		}
		got := make([]byte, frames*size)
		n, err := io.ReadFull(far, got)
		require.NoError(t, err, "%d bytes received", n)
		require.Equal(t, byte(frames-1), got[len(got)-1])
		w.close()
		require.NoError(t, far.Close())
	})
}

// Guards against memory that is held for a peer that no longer reads.
func TestStalledQueueClosesConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		w := newWriter(near, nil, nil)
		require.NoError(t, w.send(make([]byte, 1<<20)))
		_, err := io.CopyN(io.Discard, far, 1<<10)
		require.NoError(t, err)
		time.Sleep(2 * writeTimeout)
		require.ErrorIs(t, w.send([]byte{0}), net.ErrClosed)
		require.NoError(t, far.Close())
	})
}

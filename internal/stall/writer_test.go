package stall_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/stall"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

const timeout = 3 * time.Second

// Guards against a long write that fails although the peer continues to read.
func TestLongWriteWithProgressCompletes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		failed := make(chan error, 1)
		go func() {
			_, err := stall.NewWriter(near, timeout).Write(make([]byte, 1000))
			failed <- err
		}()
		for range 10 {
			time.Sleep(timeout - time.Second)
			_, err := io.CopyN(io.Discard, far, 100)
			require.NoError(t, err)
		}
		require.NoError(t, <-failed)
		require.NoError(t, near.Close())
		require.NoError(t, far.Close())
	})
}

// Guards against a write that never returns because the peer has stopped reading.
func TestWriteWithoutProgressFails(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() { _, _ = io.CopyN(io.Discard, far, 100) }()
		n, err := stall.NewWriter(near, timeout).WriteBuffers(net.Buffers{make([]byte, 50), make([]byte, 100)})
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, int64(100), n)
		require.NoError(t, near.Close())
		require.NoError(t, far.Close())
	})
}

// Guards against a write to a socket that sends some bytes twice or not at all.
func TestWriteContinuesAfterADeadlineWithoutLossOrRepetition(t *testing.T) {
	near, far := connect(t)
	sent := make([]byte, 32<<20)
	for i := range sent {
		sent[i] = byte(i / 1021)
	}
	failed := make(chan error, 1)
	go func() {
		// With the short timeout, deadlines pass in the middle of the write.
		failed <- writeAll(stall.NewWriter(near, time.Millisecond), sent)
	}()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Minute)))
	got := make([]byte, len(sent))
	_, err := io.ReadFull(far, got)
	require.NoError(t, err)
	require.NoError(t, <-failed)
	require.True(t, string(sent) == string(got))
}

// writeAll writes all of b, and continues after each time-out of the writer.
func writeAll(w *stall.Writer, b []byte) error {
	for len(b) > 0 {
		n, err := w.WriteBuffers(net.Buffers{b})
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
	}
	return nil
}

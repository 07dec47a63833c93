package stall_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/stall"
)

const limit = 3 * time.Second

// Guards against a write that is given up for its length though the other end reads on.
func TestAWriteThatMovesIsWrittenToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		failed := make(chan error, 1)
		go func() {
			_, err := stall.NewWriter(near, limit).Write(make([]byte, 1000))
			failed <- err
		}()
		for range 10 {
			time.Sleep(limit - time.Second)
			_, err := io.CopyN(io.Discard, far, 100)
			require.NoError(t, err)
		}
		require.NoError(t, <-failed)
		require.NoError(t, near.Close())
		require.NoError(t, far.Close())
	})
}

// Guards against a write that never returns because the other end has stopped reading.
func TestAWriteThatStandsStillIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() { _, _ = io.CopyN(io.Discard, far, 100) }()
		n, err := stall.NewWriter(near, limit).WriteBuffers(net.Buffers{make([]byte, 50), make([]byte, 100)})
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, int64(100), n)
		require.NoError(t, near.Close())
		require.NoError(t, far.Close())
	})
}

// Guards against a write to a socket that ends with some of its bytes sent twice or left out.
func TestAWriteOverASocketGoesOnWhereItStopped(t *testing.T) {
	near, far := pair(t)
	sent := make([]byte, 32<<20)
	for i := range sent {
		sent[i] = byte(i / 1021)
	}
	failed := make(chan error, 1)
	go func() {
		// The short limit makes deadlines pass in the middle of the write.
		failed <- writeOn(stall.NewWriter(near, time.Millisecond), sent)
	}()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Minute)))
	got := make([]byte, len(sent))
	_, err := io.ReadFull(far, got)
	require.NoError(t, err)
	require.NoError(t, <-failed)
	require.True(t, string(sent) == string(got))
}

// writeOn writes b however often the writer gives up.
func writeOn(w *stall.Writer, b []byte) error {
	for len(b) > 0 {
		n, err := w.WriteBuffers(net.Buffers{b})
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
	}
	return nil
}

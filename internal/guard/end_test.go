package guard

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against a part of an answer that is delivered as the whole one, because the write of the request takes the
// error of a connection that was reset and the read sees only its end.
func TestAnswerIsCompleteOnlyIfItsConnectionDeliveredAll(t *testing.T) {
	const repeats = 30
	for _, ending := range broken.Endings() {
		t.Run(ending.String(), func(t *testing.T) {
			g := newGuardFor(t, startRawBackend(t, func(c net.Conn, _ *http.Request) { ending.Send(c.(*net.TCPConn), "") }))
			for i := range repeats {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, readPath, bytes.NewReader(make([]byte, 8<<20)))
				require.NoError(t, err)
				resp, err := g.forward(withPermit(t.Context(), newPermit(r, time.Now().Add(time.Minute))), r)
				if err != nil {
					continue
				}
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, resp.Body.Close())
				if err == nil {
					require.True(t, ending.Complete(), "upload %d was answered with a part", i)
					require.Equal(t, broken.Body[:ending.Sent], string(got))
				}
			}
		})
	}
}

// startRawBackend starts a backend server that answers each request with a function.
func startRawBackend(t *testing.T, answer func(c net.Conn, r *http.Request)) *crashingBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			answer(c, r)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &crashingBackend{addr: l.Addr().String()}
}

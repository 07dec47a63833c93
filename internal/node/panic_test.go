package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// Guards against a connection that is closed without an answer when a handler panics; an
// answer that has begun must be visibly cut.
func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	c := &serverCounters{}
	port := newHTTPPort("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
		}
		panic("a fault")
	}), 16, c)
	require.NoError(t, port.listen())
	go func() { _ = port.serve() }()
	defer func() { _ = port.server.Close() }()
	get := func(path string) (*http.Response, error) {
		conn, err := net.Dial("tcp", port.listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}

	resp, err := get("/")
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%s", text)
	require.Equal(t, string(kind.Unknown), resp.Header.Get(headers.Outcome))
	require.True(t, resp.Close)

	resp, err = get("/begun")
	require.NoError(t, err)
	text, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "part", string(text))
	// The first answer is sent before net/http reports the panic.
	require.Eventually(t, func() bool { return c.panics.Load() == 2 }, time.Minute, time.Millisecond)
}

package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against bytes of a backend server that are no valid answer being passed on to callers.
func TestBrokenAnswerIsNotDelivered(t *testing.T) {
	for _, form := range broken.Answers {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/read", "/book"} {
				s := newScriptedBackend(t, form.Text(http.StatusOK, "", "not a valid answer"), false)
				got := newTestCluster(t, "http://"+s.Addr().String()).ask(0, http.MethodGet, path, "")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", path, got.body)
				require.Equal(t, "unknown", got.outcome)
			}
		})
	}
}

// Guards against a part of a streamed answer that looks complete to a caller of HTTP/1.0, whose answers have no chunks.
func TestTruncatedStreamIsVisibleToCallerWithoutChunks(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, response := range map[string]string{
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n",
		"until close": "HTTP/1.1 200 OK\r\n\r\n" + long,
	} {
		for _, path := range []string{"/read", "/book"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newScriptedBackend(t, response, true)
				w := newTestCluster(t, "http://"+s.Addr().String())
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.callers[0], "http://"))
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: s\r\n\r\n")
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode == http.StatusBadGateway {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				require.Error(t, err)
			})
		}
	}
}

package headers

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reused connection breaks after the server has read, and perhaps run, a request.
// net/http's transport would resend a GET over a new connection, and the entry
// would count one run when there were two.
func TestTransportDoesNotReplayRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			var got atomic.Int32
			go answerFirstOnly(l, &got)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			send := func() error {
				r, err := http.NewRequest(method, "http://"+l.Addr().String(), nil)
				require.NoError(t, err)
				r.Header.Set(IdempotencyKey, "k")
				DisableReplay(r)
				resp, err := transport.RoundTrip(r)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				return err
			}
			require.NoError(t, send())
			require.Error(t, send(), "the connection broke")
			require.EqualValues(t, 2, got.Load())
		})
	}
}

// answerFirstOnly answers the first request of each connection, and closes the
// connection once it has read a second one.
func answerFirstOnly(l net.Listener, got *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for answer := true; ; answer = false {
			if _, err := http.ReadRequest(in); err != nil {
				break
			}
			got.Add(1)
			if !answer {
				break
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		_ = c.Close()
	}
}

// A backend server that expects a body because of a declared length or encoding
// would wait for it, or refuse the GET as request smuggling.
func TestUnreplayableRequestDeclaresNoBody(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "http://a/x", nil)
	require.NoError(t, err)
	r.Header.Set("User-Agent", "u")
	DisableReplay(r)
	var wire bytes.Buffer
	require.NoError(t, r.Write(&wire))
	require.Equal(t, "GET /x HTTP/1.1\r\nHost: a\r\nUser-Agent: u\r\n\r\n", wire.String())
}

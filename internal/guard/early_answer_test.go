package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startRepeatingBackend starts a backend server that sends the head of a second answer, with another status, right
// behind each answer.
func startRepeatingBackend(t *testing.T) *crashingBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n")
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &crashingBackend{addr: l.Addr().String()}
}

// Guards against an answer that was received before the request was sent and is taken for the answer to it.
func TestSecondAnswerIsNotTakenForAnswerToNextRequest(t *testing.T) {
	g := newGuardFor(t, startRepeatingBackend(t))
	for range 200 {
		var requests sync.WaitGroup
		for range 20 {
			requests.Go(func() {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, readPath, http.NoBody)
				assert.NoError(t, err)
				p := newPermit(r, time.Now().Add(time.Minute))
				resp, err := g.forward(withPermit(t.Context(), p), r)
				if err != nil {
					assert.True(t, p.revoke(), "a request that isn't answered was not sent")
					return
				}
				defer func() { _ = resp.Body.Close() }()
				assert.Equal(t, http.StatusOK, resp.StatusCode)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NoError(t, err)
			})
		}
		requests.Wait()
	}
}

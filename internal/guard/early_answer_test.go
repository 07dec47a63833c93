package guard

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startRepeatingBackend starts a backend server that sends the head of a second answer, with another status, right
// behind each answer.
func startRepeatingBackend(t *testing.T) *crashingBackend {
	t.Helper()
	return startRawBackend(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n")
	})
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

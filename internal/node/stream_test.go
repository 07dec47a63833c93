package node

import (
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Guards against the first part of a streamed answer that is held back until the next one:
// its caller sees a closed connection without any answer if the stream is cut in between.
func TestFirstPartOfStreamedAnswerIsSentAtOnce(t *testing.T) {
	for _, contentType := range []string{"text/plain", "text/event-stream"} {
		t.Run(contentType, func(t *testing.T) {
			b := newBackend(t)
			release := make(chan struct{})
			b.setAnswer(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/stream" {
					return
				}
				w.Header().Set("Content-Type", contentType)
				_, _ = w.Write([]byte("first"))
				_ = http.NewResponseController(w).Flush()
				<-release
			})
			end := sync.OnceFunc(func() { close(release) })
			t.Cleanup(end)
			n := start(t, b, logr.Logger{})
			conn, answers := dial(t, n)
			send(t, conn, head("GET", "/stream", "\r\n"))
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			part := make([]byte, len("first"))
			_, err = io.ReadFull(resp.Body, part)
			require.NoError(t, err)
			require.Equal(t, "first", string(part))
			end()
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
		})
	}
}

package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// dial opens a connection to the callers' port of a node.
func dial(t *testing.T, n *testNode) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", n.set.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// Guards against a stop that cuts requests in flight: an upload would be lost, and
// nobody could know whether a booking ran.
func TestGracefulStopFinishesRequestsInFlight(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	booking, finish := make(chan struct{}), make(chan struct{})
	b.setAnswer(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(booking)
			<-finish
		}
		_, _ = w.Write([]byte("done"))
	})
	upload, uploadAnswers := dial(t, n)
	send(t, upload, "PUT /uploads/chart HTTP/1.1\r\nHost: orders\r\nLimpetdock-Timeout-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
	book, bookAnswers := dial(t, n)
	send(t, book, "POST /bookings HTTP/1.1\r\nHost: orders\r\nLimpetdock-Timeout-Ms: 60000\r\nContent-Length: 5\r\n\r\ncrate")
	<-booking
	require.Eventually(t, func() bool { return b.uploads.Load() == 1 }, time.Minute, time.Millisecond)

	stopped := make(chan struct{})
	go func() {
		n.stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", n.set.Callers)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, time.Minute, time.Millisecond, "the callers' port closes")
	send(t, upload, "4\r\nlast\r\n0\r\n\r\n")
	close(finish)
	for _, answers := range []*bufio.Reader{uploadAnswers, bookAnswers} {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)
		require.Equal(t, "done", string(body))
	}
	<-stopped
	var bodies []string
	for _, r := range b.takeRequests() {
		bodies = append(bodies, r.Body)
	}
	require.ElementsMatch(t, []string{"firstlast", "crate"}, bodies)
}

package node

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingListener counts the requests that are read from its connections, if the end of
// each arrives in one piece.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.HasSuffix(p[:n], []byte("\r\n\r\n")) {
		c.listener.read.Add(1)
	}
	return n, err
}

// Guards against a request that is read while the server shuts down, and gets no answer.
func TestShutdownAnswersEveryRequestThatIsRead(t *testing.T) {
	const (
		rounds  = 60
		callers = 16
	)
	for range rounds {
		port := newHTTPPort("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), callers, &serverCounters{})
		require.NoError(t, port.listen())
		counting := &countingListener{Listener: port.listener}
		port.listener = counting
		go func() { _ = port.serve() }()
		var answers atomic.Int64
		var done sync.WaitGroup
		for range callers {
			conn, err := net.Dial("tcp", counting.Addr().String())
			require.NoError(t, err)
			done.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for exchange(conn, reader) == nil {
					answers.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return answers.Load() > callers }, time.Minute, time.Microsecond)
		port.stopAccepting()
		require.NoError(t, port.shutdown(t.Context(), port.endRequests))
		done.Wait()
		require.Equal(t, counting.read.Load(), answers.Load())
	}
}

// exchange sends a request and reads its answer.
func exchange(conn io.Writer, answers *bufio.Reader) error {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

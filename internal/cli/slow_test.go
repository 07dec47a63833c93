package cli

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// oneConn is a listener that gives one connection.
type oneConn struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// askSlow asks a node that answers with h, over a pipe and in a bubble's time.
func askSlow(h http.HandlerFunc) ([]byte, error) {
	near, far := net.Pipe()
	l := &oneConn{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- far
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	defer transport.CloseIdleConnections()
	return askOver(&http.Client{Transport: transport}, "127.0.0.1:7400", "/v1/dump")
}

// pieces answers with so many pieces, each after a pause.
func pieces(n int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range n {
			_, _ = w.Write([]byte("piece "))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// Guards against an answer that is given up while it comes, as over a slow link, however
// often an operator asks again.
func TestASlowAnswerOfANodeIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text, err := askSlow(pieces(100, askTimeout/10))
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("piece ", 100), string(text))
	})
}

// Guards against a command that waits for good for a node that hangs.
func TestAStalledAnswerOfANodeIsGivenUp(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"before it begins": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"half way":         pieces(2, time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := askSlow(h)
				require.Error(t, err)
				require.Less(t, time.Since(start), time.Minute, "in the bubble's time")
			})
		})
	}
}

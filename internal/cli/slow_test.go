package cli

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// fetchFromHandler fetches from a server with handler h over an in-memory pipe, so
// that synctest's fake clock applies.
func fetchFromHandler(h http.HandlerFunc) ([]byte, error) {
	clientConn, serverConn := net.Pipe()
	l := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- serverConn
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return clientConn, nil }}
	defer transport.CloseIdleConnections()
	return fetchWith(&http.Client{Transport: transport}, "127.0.0.1:7400", "/v1/dump")
}

// slowResponse returns a handler that writes n pieces, with a pause after each.
func slowResponse(n int, pause time.Duration) http.HandlerFunc {
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

// Guards against a time limit on the whole answer: over a slow link, a large answer
// would then fail on every attempt although data keeps arriving.
func TestSlowNodeResponseIsReadInFull(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		text, err := fetchFromHandler(slowResponse(100, stallTimeout/10))
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("piece ", 100), string(text))
	})
}

// Guards against a command that waits forever for a node that hangs.
func TestStalledNodeResponseTimesOut(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"before it begins": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"half way":         slowResponse(2, time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := fetchFromHandler(h)
				require.Error(t, err)
				require.Less(t, time.Since(start), time.Minute, "in synctest's fake time")
			})
		})
	}
}

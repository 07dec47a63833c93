package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/upstream"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// pipes is a listener and a dialer over net.Pipe, for use inside a synctest bubble.
type pipes struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far
	return near, nil
}

// slowLink answers with text in several pieces, with a pause before each.
type slowLink struct {
	text string
	// begins is the delay before the answer begins; pause is the delay before each
	// piece.
	begins, pause time.Duration
	pieces        int
	// stalls is true if nothing follows the first half.
	stalls bool
	asked  int
}

func (s *slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.asked++
	if !sleep(r.Context(), s.begins) {
		return
	}
	w.Header().Set("X-Version", "7")
	w.Header().Set("Content-Length", strconv.Itoa(len(s.text)))
	w.WriteHeader(http.StatusOK)
	size := len(s.text) / s.pieces
	for i := range s.pieces {
		_ = http.NewResponseController(w).Flush()
		if s.stalls && i == s.pieces/2 {
			<-r.Context().Done()
			return
		}
		if !sleep(r.Context(), s.pause) {
			return
		}
		_, _ = w.Write([]byte(s.text[i*size : (i+1)*size]))
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// withSlowLink calls f with a client whose platform is behind a slow link.
func withSlowLink(t *testing.T, s *slowLink, f func(t *testing.T, c *HTTP)) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: s}
		go func() { _ = server.Serve(p) }()
		defer func() { _ = server.Close() }()
		c := NewHTTP(&url.URL{Scheme: "http", Host: "platform"})
		c.client.Transport.(*upstream.Transport).DialContext = p.dial
		defer c.Close()
		f(t, c)
	})
}

func reads(c *HTTP) map[string]func() (Value, error) {
	ctx := context.Background()
	return map[string]func() (Value, error){
		"Read":  func() (Value, error) { return c.Read(ctx, "index") },
		"Watch": func() (Value, error) { return c.Watch(ctx, "index", 3) },
		"WatchVMs": func() (Value, error) {
			list, err := c.WatchVMs(ctx, 3)
			return Value{Version: list.Version}, err
		},
	}
}

const (
	slowPieces = 64
	slowSize   = 8 << 10 // bytes
	slowPause  = 500 * time.Millisecond
)

func vmsText() string { return `{"version":7,"vms":[]}` + strings.Repeat(" ", slowPieces*slowSize-22) }

// Guards against a read that aborts an answer still in transfer over a slow link,
// and then requests it from the first byte over and over.
func TestSlowAnswerIsReadToItsEnd(t *testing.T) {
	for _, name := range []string{"Read", "Watch", "WatchVMs"} {
		t.Run(name, func(t *testing.T) {
			s := &slowLink{text: vmsText(), pause: slowPause, pieces: slowPieces}
			if name != "Read" {
				s.begins = watchWait
			}
			withSlowLink(t, s, func(t *testing.T, c *HTTP) {
				v, err := reads(c)[name]()
				require.NoError(t, err)
				require.EqualValues(t, 7, v.Version)
				if name != "WatchVMs" {
					require.Equal(t, s.text, string(v.Text))
				}
			})
			require.Equal(t, 1, s.asked)
		})
	}
}

// Guards against a read that waits forever for an answer that never begins, that
// stops halfway, or that arrives one byte at a time.
func TestStalledAnswerIsAborted(t *testing.T) {
	const never = 24 * time.Hour
	for _, name := range []string{"Read", "Watch", "WatchVMs"} {
		for _, s := range []*slowLink{
			{text: vmsText(), begins: never, pieces: 1},
			{text: vmsText(), pause: slowPause, pieces: slowPieces, stalls: true},
			{text: vmsText(), pause: time.Second, pieces: slowPieces * slowSize},
		} {
			t.Run(fmt.Sprintf("%s begins %v pieces %d", name, s.begins, s.pieces), func(t *testing.T) {
				withSlowLink(t, s, func(t *testing.T, c *HTTP) {
					start := time.Now()
					_, err := reads(c)[name]()
					require.Error(t, err)
					require.Less(t, time.Since(start), time.Minute, "in the bubble's time")
				})
			})
		}
	}
}

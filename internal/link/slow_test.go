package link

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// slowConn simulates a slow link: it transfers one chunk at a time, after a pause.
type slowConn struct {
	net.Conn
	chunk int
	pause time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), c.chunk)])
}

func (c *slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		time.Sleep(c.pause)
		var sent int
		sent, err = c.Conn.Write(p[n:min(len(p), n+c.chunk)])
		n += sent
	}
	return n, err
}

// documentServer answers each Fetch with a large document and acknowledges each
// KeysPart.
type documentServer struct{ text []byte }

func (documentServer) Welcome(*wire.Hello) bool { return true }

func (l documentServer) Answer(_ string, m wire.Message) wire.Message {
	switch m.(type) {
	case *wire.Fetch:
		return &wire.Document{Text: l.text}
	case *wire.KeysPart:
		return &wire.KeysAck{OK: true}
	}
	return nil
}

const (
	documentSize = 1 << 20
	slowChunk    = 8 << 10
	slowPause    = 200 * time.Millisecond
)

// serveDocuments serves large documents over pipes.
func serveDocuments(t *testing.T) *pipes {
	p := newPipes()
	s := NewServer(documentServer{make([]byte, documentSize)}, &Counters{})
	served := make(chan error)
	go func() { served <- s.Serve(p) }()
	t.Cleanup(func() {
		_ = p.Close()
		require.NoError(t, <-served)
		s.Close()
	})
	return p
}

func slowDialer(p *pipes) *Dialer {
	d := newTestDialer(p)
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := p.dial(ctx, network, addr)
		return &slowConn{conn, slowChunk, slowPause}, err
	}
	return d
}

// Guards against a timeout while a message is still arriving over a slow link, after
// which it would be sent again from its first byte, repeatedly.
func TestSlowMessageThatProgressesIsReadCompletely(t *testing.T) {
	for _, c := range []struct {
		name    string
		request wire.Message
		reply   wire.Message
	}{
		{"a large reply", &wire.Fetch{}, &wire.Document{Text: make([]byte, documentSize)}},
		{"a large request", &wire.KeysPart{Data: make([]byte, documentSize)}, &wire.KeysAck{OK: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				d := slowDialer(serveDocuments(t))
				defer d.Close()
				for _, connection := range []string{"new", "kept"} {
					reply, err := d.Call(t.Context(), "a", c.request)
					require.NoError(t, err, connection)
					require.Equal(t, c.reply, reply)
				}
				require.EqualValues(t, 1, d.counters.Dials.Load())
			})
		})
	}
}

// Guards against a peer that requests a large document and stops reading: each such
// connection would hold a goroutine and a document forever.
func TestConnectionIsClosedIfReplyIsNotRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := serveDocuments(t)
		conn, _ := p.dial(t.Context(), "", "")
		_, _ = conn.Write(frame(t, &wire.Hello{}))
		_, _ = conn.Write(frame(t, &wire.Fetch{}))
		_, err := conn.Read(make([]byte, documentSize/2))
		require.NoError(t, err)
		time.Sleep(idleTimeout / 2)
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, "closed")
	})
}

// Guards against a frame that stops arriving, or of which only single bytes arrive.
func TestStalledFrameFailsTheCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		pause time.Duration
	}{
		{"stalls", documentSize / 2, time.Hour},
		{"one byte per second", 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newPipes()
				var sender sync.WaitGroup
				sender.Go(func() { sendSlowly(t, p, c.bytes, c.pause) })
				defer sender.Wait()
				d := newTestDialer(p)
				start := time.Now()
				_, err := d.Call(t.Context(), "a", &wire.Fetch{})
				require.Error(t, err)
				require.Less(t, time.Since(start), time.Minute, "on the fake clock")
			})
		})
	}
}

// sendSlowly accepts one connection and sends a document in chunks of size bytes with
// a pause after each, as long as the other end reads.
func sendSlowly(t *testing.T, p *pipes, size int, pause time.Duration) {
	conn, _ := p.Accept()
	defer func() { _ = conn.Close() }()
	for range 2 {
		if _, err := wire.Read(conn); err != nil {
			return
		}
	}
	text := bytes.NewBuffer(frame(t, &wire.Document{Text: make([]byte, documentSize)}))
	for text.Len() > 0 {
		if _, err := conn.Write(text.Next(size)); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against an idle connection whose other end no longer reads and which uses up
// the whole time of a call, while new connections work.
func TestIdleConnectionWhosePeerDoesNotReadIsReplaced(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		d := newTestDialer(serveDocuments(t))
		defer d.Close()
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		d.putIdle("a", here)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := d.Call(ctx, "a", &wire.KeysPart{Data: make([]byte, documentSize)})
		require.NoError(t, err)
		require.Equal(t, &wire.KeysAck{OK: true}, reply)
	})
}

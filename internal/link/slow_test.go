package link

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// slowConn carries a piece at a time, each after a pause, as over a slow link.
type slowConn struct {
	net.Conn
	piece int
	pause time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), c.piece)])
}

func (c *slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		time.Sleep(c.pause)
		var sent int
		sent, err = c.Conn.Write(p[n:min(len(p), n+c.piece)])
		n += sent
	}
	return n, err
}

// library answers each question for a document with a large one, and takes parts of tables.
type library struct{ text []byte }

func (library) Welcome(*wire.Hello) bool { return true }

func (l library) Answer(_ string, m wire.Message) wire.Message {
	switch m.(type) {
	case *wire.Fetch:
		return &wire.Document{Text: l.text}
	case *wire.KeysPart:
		return &wire.KeysKept{OK: true}
	}
	return nil
}

const (
	documentSize = 1 << 20
	slowPiece    = 8 << 10
	slowPause    = 200 * time.Millisecond
)

// serveLibrary serves large documents over pipes.
func serveLibrary(t *testing.T) *pipes {
	p := newPipes()
	s := NewServer(library{make([]byte, documentSize)}, &Counters{})
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
		return &slowConn{conn, slowPiece, slowPause}, err
	}
	return d
}

// Guards against a message that is given up while it comes, as over a slow link, and is
// sent from its first byte again and again.
func TestAMessageThatKeepsComingIsReadToItsEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		ask   wire.Message
		reply wire.Message
	}{
		{"a large answer", &wire.Fetch{}, &wire.Document{Text: make([]byte, documentSize)}},
		{"a large question", &wire.KeysPart{Data: make([]byte, documentSize)}, &wire.KeysKept{OK: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := slowDialer(serveLibrary(t))
				defer d.Close()
				for _, connection := range []string{"new", "kept"} {
					reply, err := d.Call(t.Context(), "a", c.ask)
					require.NoError(t, err, connection)
					require.Equal(t, c.reply, reply)
				}
				require.EqualValues(t, 1, d.counters.Dials.Load())
			})
		})
	}
}

// Guards against a peer that asks for much and reads nothing: each such connection would
// hold a goroutine and a document for good.
func TestAnAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := serveLibrary(t)
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

// Guards against a frame of which a byte comes now and then, or nothing more.
func TestAFrameThatStandsStillIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		pause time.Duration
	}{
		{"stands still", documentSize / 2, time.Hour},
		{"a byte now and then", 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipes()
				var sender sync.WaitGroup
				sender.Go(func() { sendSlowly(t, p, c.bytes, c.pause) })
				defer sender.Wait()
				d := newTestDialer(p)
				start := time.Now()
				_, err := d.Call(t.Context(), "a", &wire.Fetch{})
				require.Error(t, err)
				require.Less(t, time.Since(start), time.Minute, "in the bubble's time")
			})
		})
	}
}

// sendSlowly answers one connection's question with a part of a document at a time, as
// long as the other end reads.
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

// Guards against a kept connection whose other end reads nothing any more and that takes
// up a call's whole time, while new connections work.
func TestAKeptConnectionThatTakesNothingIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDialer(serveLibrary(t))
		defer d.Close()
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		d.keep("a", here)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := d.Call(ctx, "a", &wire.KeysPart{Data: make([]byte, documentSize)})
		require.NoError(t, err)
		require.Equal(t, &wire.KeysKept{OK: true}, reply)
	})
}

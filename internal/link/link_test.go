package link

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// pipes is a listener and a dialer over net.Pipe, so that tests run on the fake
// clock of a synctest bubble.
type pipes struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
	fail   int
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	if p.fail > 0 {
		p.fail--
		return nil, errors.New("too many open files")
	}
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
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// echo answers each Gossip with a Gossip, for nodes of the fleet "test".
type echo struct{}

func (echo) Welcome(h *wire.Hello) bool { return h.Fleet == "test" }

func (echo) Answer(_ string, m wire.Message) wire.Message {
	if g, ok := m.(*wire.Gossip); ok {
		return &wire.Gossip{From: "server", Revision: g.Revision}
	}
	return nil
}

func serve(t *testing.T) (*pipes, *Counters) {
	p, c := newPipes(), &Counters{}
	s := NewServer(echo{}, c)
	served := make(chan error)
	go func() { served <- s.Serve(p) }()
	t.Cleanup(func() {
		_ = p.Close()
		require.NoError(t, <-served)
		s.Close()
	})
	return p, c
}

func frame(t *testing.T, m wire.Message) []byte {
	text, err := wire.Encode(m)
	require.NoError(t, err)
	return text
}

func head(size uint32, version, kind byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, size), version, kind)
}

func otherVersion(t *testing.T) []byte {
	text := frame(t, &wire.Gossip{})
	text[4]++
	return text
}

// A client that is faulty or isn't a node of the fleet connects to the control port.
// The connection must be closed within frameTimeout and counted, and the server must
// continue to answer others.
func TestInvalidFrameClosesOnlyItsConnection(t *testing.T) {
	hello := &wire.Hello{Fleet: "test", VM: "vm1"}
	cases := []struct {
		name  string
		hello wire.Message
		send  []byte
		count func(c *Counters) uint64
	}{
		{"wrong version", hello, otherVersion(t), badFrames},
		{"unknown type", hello, head(0, wire.Version, 200), badFrames},
		{"too large", hello, head(1<<30, wire.Version, byte(wire.TypeGossip)), badFrames},
		{"half sent", hello, head(100, wire.Version, byte(wire.TypeGossip)), badFrames},
		{"invalid msgpack", hello, append(head(2, wire.Version, byte(wire.TypeGossip)), 0xc1, 0xc1), badFrames},
		{"a message that is only sent as a reply", hello, nil, nil},
		{"no hello", nil, frame(t, &wire.Gossip{}), strangers},
		{"hello of another fleet", &wire.Hello{Fleet: "other"}, nil, strangers},
		{"HTTP", nil, []byte("GET / HTTP/1.1\r\n\r\n"), badFrames},
		{"silence", nil, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p, counters := serve(t)
				conn, _ := p.dial(t.Context(), "", "")
				if c.hello != nil {
					_, _ = conn.Write(frame(t, c.hello))
				}
				if c.name == "a message that is only sent as a reply" {
					_, _ = conn.Write(frame(t, &wire.Sealed{}))
				}
				start := time.Now()
				_, _ = conn.Write(c.send)
				_, err := conn.Read(make([]byte, 1))
				require.Error(t, err, "closed")
				if c.name == "half sent" || c.name == "silence" {
					require.Equal(t, frameTimeout, time.Since(start))
				} else {
					require.Zero(t, time.Since(start), "closed at once")
				}
				synctest.Wait()
				if c.count != nil {
					require.EqualValues(t, 1, c.count(counters))
				}
				requireAnswer(t, p)
			})
		})
	}
}

func badFrames(c *Counters) uint64 { return c.BadFrames.Load() }
func strangers(c *Counters) uint64 { return c.Strangers.Load() }

func newTestDialer(p *pipes) *Dialer {
	d := NewDialer(wire.Hello{Fleet: "test", VM: "vm2"}, &Counters{})
	d.dial = p.dial
	return d
}

func requireAnswer(t *testing.T, p *pipes) {
	d := newTestDialer(p)
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply, err := d.Call(ctx, "a", &wire.Gossip{Revision: 3})
	require.NoError(t, err)
	require.EqualValues(t, 3, reply.(*wire.Gossip).Revision)
}

// A sender sends one byte per second. If each byte reset the timeout, a few thousand
// such senders would occupy all of the server's goroutines.
func TestConnectionOfSlowSenderIsClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p, counters := serve(t)
		conn, _ := p.dial(t.Context(), "", "")
		_, _ = conn.Write(frame(t, &wire.Hello{Fleet: "test", VM: "vm1"}))
		start := time.Now()
		for _, b := range frame(t, &wire.Gossip{From: "vm1"}) {
			if _, err := conn.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, time.Since(start), 2*frameTimeout)
		require.EqualValues(t, 1, counters.BadFrames.Load())
		requireAnswer(t, p)
	})
}

// With more connections than the server accepts, the excess ones are closed and
// counted, and the open ones still work.
func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p, counters := serve(t)
		d := newTestDialer(p)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := d.Call(ctx, "kept", &wire.Gossip{})
		require.NoError(t, err)
		var open []net.Conn
		for range maxConns + 5 {
			conn, _ := p.dial(t.Context(), "", "")
			open = append(open, conn)
		}
		synctest.Wait()
		require.EqualValues(t, 6, counters.Full.Load())
		_, err = d.Call(ctx, "kept", &wire.Gossip{})
		require.NoError(t, err)
		for _, conn := range open {
			_ = conn.Close()
		}
		d.Close()
	})
}

// Accept fails temporarily because the machine is out of file descriptors. The
// server must continue to accept connections.
func TestFailedAcceptIsRetried(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p, c := newPipes(), &Counters{}
		p.fail = 3
		s := NewServer(echo{}, c)
		served := make(chan error)
		go func() { served <- s.Serve(p) }()
		requireAnswer(t, p)
		require.EqualValues(t, 3, c.AcceptErrors.Load())
		_ = p.Close()
		require.NoError(t, <-served)
		s.Close()
	})
}

// An idle connection no longer delivers replies, as when a middlebox has dropped its
// state, while new connections work. The call must still be answered before its
// deadline.
func TestUnresponsiveIdleConnectionIsReplaced(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p, _ := serve(t)
		d := newTestDialer(p)
		here, unresponsive := net.Pipe()
		go func() {
			buf := make([]byte, 1024)
			for {
				if _, err := unresponsive.Read(buf); err != nil {
					return
				}
			}
		}()
		d.putIdle("a", here)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := d.Call(ctx, "a", &wire.Gossip{Revision: 5})
		require.NoError(t, err)
		require.EqualValues(t, 5, reply.(*wire.Gossip).Revision)
		_ = unresponsive.Close()
		d.Close()
	})
}

// Idle connections to peers that are no longer called must not prevent connections to
// other peers from being reused.
func TestIdleConnectionsAreEvictedAtLimit(t *testing.T) {
	d := NewDialer(wire.Hello{}, &Counters{})
	for i := range maxIdle + 3 {
		conn, _ := net.Pipe()
		d.putIdle(string(rune('a'+i)), conn)
		require.NotNil(t, d.idle[string(rune('a'+i))])
		require.LessOrEqual(t, len(d.idle), maxIdle)
	}
	d.Close()
}

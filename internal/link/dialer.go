package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// Dialer sends messages to peers and waits for their answers. It keeps at most
// one idle connection per peer. Safe for concurrent use.
type Dialer struct {
	hello    wire.Hello
	counters *Counters
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	mu       sync.Mutex
	idle     map[string]net.Conn
}

const (
	// maxIdle bounds the idle connections a dialer keeps.
	maxIdle = 16
	// unbounded is the time that a call without a deadline has.
	unbounded = 24 * time.Hour
)

// NewDialer returns a Dialer that opens each connection with hello.
func NewDialer(hello wire.Hello, c *Counters) *Dialer {
	return &Dialer{hello: hello, counters: c, dial: new(net.Dialer).DialContext, idle: map[string]net.Conn{}}
}

// Call sends m to the peer at addr and returns its answer, all of it before ctx's
// deadline. A kept connection may have gone silent for good while new ones work, so
// the answer must begin there in half of the time; then, or when it is broken, a new
// one is tried. The peer may so get m twice.
func (d *Dialer) Call(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	return d.call(ctx, addr, m, timeLeft(ctx))
}

// Fetch does as Call for an answer that may be large: it must begin within the time
// given, and then only go on.
func (d *Dialer) Fetch(ctx context.Context, addr string, m wire.Message, within time.Duration) (wire.Message, error) {
	return d.call(ctx, addr, m, within)
}

func (d *Dialer) call(ctx context.Context, addr string, m wire.Message, within time.Duration) (wire.Message, error) {
	if conn := d.take(addr); conn != nil {
		reply, err := d.exchange(ctx, conn, m, within/2)
		if err == nil {
			d.keep(addr, conn)
			return reply, nil
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return d.callNew(ctx, addr, m, within)
}

// timeLeft gives the time until ctx's deadline, or unbounded if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return unbounded
	}
	return time.Until(deadline)
}

// Cost bounds the bytes that a Call of m sends: on a kept connection that turns
// out to be closed it is sent twice.
func (d *Dialer) Cost(m wire.Message) int {
	return wire.Size(&d.hello) + 2*wire.Size(m)
}

// CallNew sends m over a new connection.
func (d *Dialer) CallNew(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	return d.callNew(ctx, addr, m, timeLeft(ctx))
}

func (d *Dialer) callNew(ctx context.Context, addr string, m wire.Message, within time.Duration) (wire.Message, error) {
	conn, err := d.open(ctx, addr, within)
	if err != nil {
		return nil, err
	}
	reply, err := d.exchange(ctx, conn, m, within)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.keep(addr, conn)
	return reply, nil
}

// open opens a connection with a greeting.
func (d *Dialer) open(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	d.counters.Dials.Add(1)
	conn, err := d.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	if err := write(ctx, conn, &d.hello, within, d.counters); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "greet peer")
	}
	return conn, nil
}

// exchange sends m and reads the answer, which must begin within the time given.
func (d *Dialer) exchange(ctx context.Context, conn net.Conn, m wire.Message, within time.Duration) (wire.Message, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := write(ctx, conn, m, within, d.counters); err != nil {
		return nil, eris.Wrap(err, "send to peer")
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	reply, err := wire.Read(&frameReader{ctx: ctx, conn: conn, counters: d.counters})
	if err != nil {
		return nil, eris.Wrap(err, "read from peer")
	}
	_ = conn.SetDeadline(time.Time{})
	return reply, nil
}

func (d *Dialer) take(addr string) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn := d.idle[addr]
	delete(d.idle, addr)
	return conn
}

func (d *Dialer) keep(addr string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle[addr] != nil {
		_ = conn.Close()
		return
	}
	if len(d.idle) >= maxIdle {
		d.evict()
	}
	d.idle[addr] = conn
}

// evict closes any one idle connection, so that those of peers which are never
// called again don't keep new ones out. The mutex is held.
func (d *Dialer) evict() {
	for addr, conn := range d.idle {
		_ = conn.Close()
		delete(d.idle, addr)
		return
	}
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, conn := range d.idle {
		_ = conn.Close()
		delete(d.idle, addr)
	}
}

package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// Dialer sends messages to peers and waits for their replies. It keeps at most
// one idle connection per peer. It is safe for concurrent use.
type Dialer struct {
	hello    wire.Hello
	counters *Counters
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	mu       sync.Mutex
	idle     map[string]net.Conn
}

const (
	// maxIdle is the maximum number of idle connections of a dialer.
	maxIdle = 16
	// noDeadlineTimeout is the timeout of a call without a deadline.
	noDeadlineTimeout = 24 * time.Hour
)

// NewDialer returns a Dialer that sends hello first on each connection.
func NewDialer(hello wire.Hello, c *Counters) *Dialer {
	return &Dialer{hello: hello, counters: c, dial: new(net.Dialer).DialContext, idle: map[string]net.Conn{}}
}

// Call sends m to the peer at addr and returns the complete reply, before ctx's
// deadline. An idle connection may have become unresponsive while new ones work. If
// its reply hasn't begun after half of the time, or the connection fails, Call
// retries on a new connection, so that the peer may receive m twice.
func (d *Dialer) Call(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	return d.call(ctx, addr, m, remainingTime(ctx))
}

// Fetch is like Call, for replies that may be large: the reply must begin within the
// given time, and after that it must only keep progressing.
func (d *Dialer) Fetch(ctx context.Context, addr string, m wire.Message, within time.Duration) (wire.Message, error) {
	return d.call(ctx, addr, m, within)
}

func (d *Dialer) call(ctx context.Context, addr string, m wire.Message, within time.Duration) (wire.Message, error) {
	if conn := d.takeIdle(addr); conn != nil {
		reply, err := d.exchange(ctx, conn, m, within/2)
		if err == nil {
			d.putIdle(addr, conn)
			return reply, nil
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return d.callNew(ctx, addr, m, within)
}

// remainingTime returns the time until ctx's deadline, or noDeadlineTimeout if ctx
// has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadlineTimeout
	}
	return time.Until(deadline)
}

// Cost returns the maximum number of bytes that a Call of m sends. If the
// idle connection turns out to be closed, m is sent twice.
func (d *Dialer) Cost(m wire.Message) int {
	return wire.Size(&d.hello) + 2*wire.Size(m)
}

// CallNew is like Call but always opens a new connection.
func (d *Dialer) CallNew(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	return d.callNew(ctx, addr, m, remainingTime(ctx))
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
	d.putIdle(addr, conn)
	return reply, nil
}

// open opens a connection and sends the Hello.
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
		return nil, eris.Wrap(err, "send hello to peer")
	}
	return conn, nil
}

// exchange sends m and reads the reply, which must begin within the given time.
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

func (d *Dialer) takeIdle(addr string) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn := d.idle[addr]
	delete(d.idle, addr)
	return conn
}

func (d *Dialer) putIdle(addr string, conn net.Conn) {
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

// evict closes an arbitrary idle connection, so that connections to peers that are
// no longer called don't block new ones. The caller must hold d.mu.
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

package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/sockopt"
)

// pipe is one relayed connection.
type pipe struct {
	relay   *relay
	route   route
	in, out net.Conn
	silent  atomic.Bool
	// heldDirections counts the directions with held bytes.
	heldDirections atomic.Int32
}

// apply applies newly set faults to an open connection.
func (p *pipe) apply(list []fault) {
	for _, f := range list {
		forward := f.matches(p.route.From, p.route.To)
		reverse := f.matches(p.route.To, p.route.From)
		if f.Cut && (forward || reverse) {
			p.close()
		}
		if f.Silence && (forward || reverse) {
			p.silent.Store(true)
		}
	}
}

func (p *pipe) close() {
	for _, c := range []net.Conn{p.in, p.out} {
		sockopt.ResetOnClose(c)
		_ = c.Close()
	}
}

// chunk is data in transit, to be written at due. Nil data marks the end of the stream, or its reset if reset is true.
type chunk struct {
	due   time.Time
	data  []byte
	reset bool
}

const (
	chunkSize   = 32 << 10
	chunksAhead = 64
)

// pump forwards bytes from src to dst in order, each after the link's delay.
func (p *pipe) pump(dst, src net.Conn, from, to string) {
	queue := make(chan chunk, chunksAhead)
	passed := p.relay.passed[link{from, to}]
	go p.read(src, from, to, queue)
	failed := false
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if failed || p.silent.Load() || p.relay.activeFault(from, to).Drop {
			continue
		}
		if c.reset {
			failed = true
			p.close()
			continue
		}
		if c.data == nil {
			if tcp, ok := sockopt.Unwrap(dst).(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			continue
		}
		if !p.write(dst, c.data, from, to) {
			failed = true
			p.close()
		}
		passed.Add(uint64(len(c.data)))
	}
}

func (p *pipe) read(src net.Conn, from, to string, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkSize)
		n, err := src.Read(buf)
		f := p.relay.activeFault(from, to)
		delay := time.Duration((p.route.DelayMs + f.ExtraDelayMs) * float64(time.Millisecond))
		if n > 0 {
			if f.BytesPerSec > 0 {
				p.relay.limits[link{from, to}].wait(n, f.BytesPerSec)
			}
			queue <- chunk{due: time.Now().Add(delay), data: buf[:n]}
		}
		if err != nil {
			queue <- chunk{due: time.Now().Add(delay), reset: err != io.EOF}
			return
		}
	}
}

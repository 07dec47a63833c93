package node

import (
	"net"
	"sync"
)

// perIPListener limits the number of open connections per remote address and closes
// those beyond the limit.
type perIPListener struct {
	net.Listener
	limit    int
	counters *serverCounters
	mu       sync.Mutex
	open     map[string]int
}

func newPerIPListener(l net.Listener, limit int, c *serverCounters) *perIPListener {
	return &perIPListener{Listener: l, limit: limit, counters: c, open: map[string]int{}}
}

// Accept returns the next connection whose address is below the limit.
func (l *perIPListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil || l.acquire(ip) {
			l.counters.accepted.Add(1)
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.release(ip) })}, nil
		}
		l.counters.refused.Add(1)
		_ = conn.Close()
	}
}

func (l *perIPListener) acquire(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[ip] >= l.limit {
		return false
	}
	l.open[ip]++
	return true
}

func (l *perIPListener) release(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[ip]--; l.open[ip] <= 0 {
		delete(l.open, ip)
	}
}

// countedConn decrements its listener's count once, when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection that c wraps.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

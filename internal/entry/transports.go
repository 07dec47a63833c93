package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds opening a connection to a guard.
	dialTimeout = time.Second
	// remoteIdle is how long a kept connection to a guard is kept unused.
	remoteIdle = time.Minute
)

// transports keeps the connections to guards, a pool for each address, so that
// those to one guard can be dropped together: when one connection has gone
// silent, the kept ones beside it have as a rule as well, and a request sent
// on one of them would wait in vain. Safe for concurrent use.
type transports struct {
	mu   sync.RWMutex
	pool map[string]*http.Transport
	// size holds for the connections to each address.
	size connections
}

func newTransports() *transports {
	return &transports{pool: map[string]*http.Transport{}, size: unbounded}
}

func newTransport(size connections) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: size.idle, MaxConnsPerHost: size.open,
		IdleConnTimeout:    remoteIdle,
		DisableCompression: true, ExpectContinueTimeout: time.Hour,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10,
	}
}

// RoundTrip sends a request over a connection to the guard that its URL names.
func (t *transports) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.to(r.URL.Host).RoundTrip(r)
}

func (t *transports) to(addr string) *http.Transport {
	t.mu.RLock()
	one := t.pool[addr]
	t.mu.RUnlock()
	if one != nil {
		return one
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if one = t.pool[addr]; one == nil {
		one = newTransport(t.size)
		t.pool[addr] = one
	}
	return one
}

// Bound changes how many connections there may be to each address. Exchanges
// under way go on.
func (t *transports) Bound(size connections) {
	t.mu.Lock()
	same := t.size == size
	t.size = size
	t.mu.Unlock()
	if !same {
		t.CloseIdleConnections()
	}
}

// Drop makes every later request to addr use a new connection. Exchanges under
// way go on; their connections aren't kept.
func (t *transports) Drop(addr string) {
	t.mu.Lock()
	one := t.pool[addr]
	delete(t.pool, addr)
	t.mu.Unlock()
	if one != nil {
		one.CloseIdleConnections()
	}
}

// Keep drops the connections to all addresses but those in use.
func (t *transports) Keep(inUse map[string]bool) {
	t.mu.RLock()
	var gone []string
	for addr := range t.pool {
		if !inUse[addr] {
			gone = append(gone, addr)
		}
	}
	t.mu.RUnlock()
	for _, addr := range gone {
		t.Drop(addr)
	}
}

// CloseIdleConnections drops all kept connections.
func (t *transports) CloseIdleConnections() { t.Keep(nil) }

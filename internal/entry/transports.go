package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/upstream"
)

const (
	// dialTimeout bounds opening a connection to a guard.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection to a guard is kept.
	idleConnTimeout = time.Minute
	// maxHead bounds the head of a guard's answer, in bytes: that of the backend server's, and headers of the
	// guard's own.
	maxHead = 2 * readlimit.MaxHead
)

// transports keeps a connection pool for each guard address, so that all connections to one
// guard can be closed together. If one connection has become unresponsive, its other idle
// connections usually have too, and a request sent on one of them would never be answered.
// Safe for concurrent use.
type transports struct {
	mu   sync.RWMutex
	pool map[string]*upstream.Transport
	// size applies to the connections to each address.
	size connectionLimits
}

func newTransports() *transports {
	return &transports{pool: map[string]*upstream.Transport{}, size: defaultConnectionLimits}
}

func newTransport(size connectionLimits) *upstream.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
	}
	return &upstream.Transport{Transport: &http.Transport{
		DialContext: upstream.NewDialContext(dialer), MaxIdleConnsPerHost: size.maxIdle, MaxConnsPerHost: size.maxOpen,
		IdleConnTimeout:    idleConnTimeout,
		DisableCompression: true, ExpectContinueTimeout: time.Hour,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10, MaxResponseHeaderBytes: maxHead,
	}}
}

// RoundTrip sends a request over a connection to the guard in its URL.
func (t *transports) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.to(r.URL.Host).RoundTrip(r)
}

func (t *transports) to(addr string) *upstream.Transport {
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

// SetLimits changes the connection limits of each address. Exchanges in progress continue.
func (t *transports) SetLimits(size connectionLimits) {
	t.mu.Lock()
	same := t.size == size
	t.size = size
	t.mu.Unlock()
	if !same {
		t.CloseIdleConnections()
	}
}

// Drop makes every later request to addr use a new connection. Exchanges in progress continue;
// their connections aren't reused.
func (t *transports) Drop(addr string) {
	t.mu.Lock()
	one := t.pool[addr]
	delete(t.pool, addr)
	t.mu.Unlock()
	if one != nil {
		one.CloseIdleConnections()
	}
}

// RetainOnly closes the connections to all addresses that are not in use.
func (t *transports) RetainOnly(inUse map[string]bool) {
	t.mu.RLock()
	var unused []string
	for addr := range t.pool {
		if !inUse[addr] {
			unused = append(unused, addr)
		}
	}
	t.mu.RUnlock()
	for _, addr := range unused {
		t.Drop(addr)
	}
}

// CloseIdleConnections closes all idle connections.
func (t *transports) CloseIdleConnections() { t.RetainOnly(nil) }

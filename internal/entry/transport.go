package entry

import (
	"math/bits"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/pick"
)

const (
	// dialTimeout bounds opening a connection to a guard.
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the time after which guards close idle
	// connections, so that a request seldom meets one that is being closed.
	idleConnTimeout = time.Minute
	// firstIdle is how many idle connections are kept to a guard until a View is in force.
	firstIdle = 8
)

// transports holds the transport to guards. When the share of their connections
// changes, another one takes its place: requests in flight end on the old one.
// Safe for concurrent use.
type transports struct {
	now  atomic.Pointer[http.Transport]
	size connections
}

// connections bounds the connections to each guard.
type connections struct {
	// idle are kept open; open is the most at a time.
	idle, open int
}

// setView derives the bounds from the View. Only one goroutine may call it.
func (t *transports) setView(v *pick.View) {
	size := connectionsOf(v)
	if size == t.size {
		return
	}
	t.size = size
	if old := t.now.Swap(newTransport(size)); old != nil {
		old.CloseIdleConnections()
	}
}

// connectionsOf gives each entry its share of the connections that targets
// accept, rounded to a power of two so that a VM more or less changes nothing. A guard
// never has use for more requests of one entry than run and wait there.
func connectionsOf(v *pick.View) connections {
	size := connections{idle: 1, open: firstIdle}
	share := 0
	for _, s := range v.Services {
		accepted := 0
		for _, t := range s.Homes {
			accepted += t.Connections
			size.open = max(size.open, t.Slots+s.Queue)
		}
		users := max(v.Nodes, 1) * max(len(s.Targets), 1)
		if mine := accepted / users; share == 0 || mine < share {
			share = mine
		}
	}
	size.idle = 1 << max(bits.Len(uint(share))-1, 0)
	return size
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
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, ExpectContinueTimeout: time.Hour,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10,
	}
}

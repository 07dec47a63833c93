package node

import (
	"bytes"
	"log"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/limpetdock/limpetdock/internal/metrics"
)

// serverCounters count what the library would otherwise log, and what the
// limits turn away.
type serverCounters struct {
	// errors are lines that net/http wanted to log.
	errors atomic.Uint64
	// accepted are connections taken.
	accepted atomic.Uint64
	// refused are connections over the settings' limit per address.
	refused atomic.Uint64
	// madeRoom are idle connections closed for new ones, noRoom requests refused
	// because all connections were busy.
	madeRoom, noRoom atomic.Uint64
	// stalled are bodies and answers whose other end stopped moving.
	stalled atomic.Uint64
	// panics are handlers that broke down; the first one is logged with its stack.
	panics     atomic.Uint64
	firstPanic sync.Once
	log        logr.Logger
}

func (c *serverCounters) register(m *metrics.Metrics, name string) {
	labels := map[string]string{"server": name}
	m.LabelledFunc("limpetdock_http_server_errors_total",
		"Errors of connections and handlers that the HTTP server met.", labels, c.errors.Load)
	m.LabelledFunc("limpetdock_http_connections_total",
		"Connections accepted.", labels, c.accepted.Load)
	m.LabelledFunc("limpetdock_http_connections_refused_total",
		"Connections closed at once because their address had too many.", labels, c.refused.Load)
	m.LabelledFunc("limpetdock_http_idle_closed_total",
		"Idle connections closed for new ones at the target's limit of connections.", labels, c.madeRoom.Load)
	m.LabelledFunc("limpetdock_http_no_room_total",
		"Requests refused because the target's connections were all busy.", labels, c.noRoom.Load)
	m.LabelledFunc("limpetdock_http_panics_total",
		"Requests whose handler broke down; a fault of the program.", labels, c.panics.Load)
	m.LabelledFunc("limpetdock_http_stalled_total",
		"Exchanges cut because the other end stopped sending or reading.", labels, c.stalled.Load)
}

// panicPrefix begins the line that net/http logs for a handler that panicked.
const panicPrefix = "http: panic serving"

// Write counts a line that the server wanted to log. Callers can bring such
// lines about at will, with a bad chunk or a broken handshake, so none is
// written, but for the first panic, whose stack is needed to mend it.
func (c *serverCounters) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte(panicPrefix)) {
		c.errors.Add(1)
		return len(line), nil
	}
	c.panics.Add(1)
	c.firstPanic.Do(func() {
		c.log.Info("a handler broke down; later ones are only counted", "stack", string(line))
	})
	return len(line), nil
}

func (c *serverCounters) countStall(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.stalled.Add(1)
	}
}

// libraryLog counts the lines that libraries write by the standard logger.
// net/http's client writes one for each answer that nobody asked for, so
// a backend server could fill a node's log.
type libraryLog struct{ lines atomic.Uint64 }

// countLibraryLog takes over the standard logger of the process.
func countLibraryLog(m *metrics.Metrics) *libraryLog {
	l := &libraryLog{}
	m.Counter("limpetdock_library_log_lines_total", "Lines that libraries wanted to log.",
		func() float64 { return float64(l.lines.Load()) })
	log.SetOutput(l)
	return l
}

// Write counts a line instead of writing it.
func (l *libraryLog) Write(line []byte) (int, error) {
	l.lines.Add(1)
	return len(line), nil
}

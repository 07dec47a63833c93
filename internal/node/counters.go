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

// serverCounters counts the errors that net/http would otherwise log, and the
// connections and requests rejected by the limits.
type serverCounters struct {
	// errors counts the lines that net/http would have logged.
	errors atomic.Uint64
	// accepted counts accepted connections.
	accepted atomic.Uint64
	// refused counts connections closed because of a limit on their number: the
	// settings' limit per address, or the hard limit of the guard's port.
	refused atomic.Uint64
	// idleClosed counts idle connections closed in favour of new ones; allBusy counts
	// requests refused because all connections were busy.
	idleClosed, allBusy atomic.Uint64
	// stalled counts exchanges that timed out because the peer stopped sending or
	// reading.
	stalled atomic.Uint64
	// panics counts handlers that panicked; the first one is logged with its stack.
	panics     atomic.Uint64
	firstPanic sync.Once
	log        logr.Logger
}

func (c *serverCounters) register(m *metrics.Metrics, name string) {
	labels := map[string]string{"server": name}
	m.LabelledCounter("limpetdock_http_server_errors_total",
		"Errors of connections and handlers that the HTTP server met.", labels, c.errors.Load)
	m.LabelledCounter("limpetdock_http_connections_total",
		"Connections accepted.", labels, c.accepted.Load)
	m.LabelledCounter("limpetdock_http_connections_refused_total",
		"Connections closed at once because their address had too many.", labels, c.refused.Load)
	m.LabelledCounter("limpetdock_http_idle_closed_total",
		"Idle connections closed for new ones at the target's limit of connections.", labels, c.idleClosed.Load)
	m.LabelledCounter("limpetdock_http_no_room_total",
		"Requests refused because the target's connections were all busy.", labels, c.allBusy.Load)
	m.LabelledCounter("limpetdock_http_panics_total",
		"Requests whose handler broke down; a fault of the program.", labels, c.panics.Load)
	m.LabelledCounter("limpetdock_http_stalled_total",
		"Exchanges cut because the other end stopped sending or reading.", labels, c.stalled.Load)
}

// panicPrefix is the prefix of the line that net/http logs when a handler panics.
const panicPrefix = "http: panic serving"

// Write counts a line that net/http would have logged. Clients can provoke such
// lines at will, with a bad chunk or a broken handshake, so none is written except
// for the first panic, whose stack is needed to fix the fault.
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

// libraryLog counts the lines that libraries write to the standard logger.
// net/http's client writes one for each unsolicited response, so a backend server
// could otherwise fill a node's log.
type libraryLog struct{ lines atomic.Uint64 }

// countLibraryLog redirects the output of the process's standard logger to a
// counter.
func countLibraryLog(m *metrics.Metrics) *libraryLog {
	l := &libraryLog{}
	m.Counter("limpetdock_library_log_lines_total", "Lines that libraries wanted to log.",
		func() float64 { return float64(l.lines.Load()) })
	log.SetOutput(l)
	return l
}

// Write counts a line and discards it.
func (l *libraryLog) Write(line []byte) (int, error) {
	l.lines.Add(1)
	return len(line), nil
}

package node

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's headers, in bytes; more is answered 431. The
	// library adds 4096 to it.
	maxHeader = 32 << 10
)

// serverCounters count what the library would otherwise log, and what the
// limits turn away.
type serverCounters struct {
	// errors are lines that net/http wanted to log.
	errors atomic.Uint64
	// refused are connections over the settings' limit per address.
	refused atomic.Uint64
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
	m.LabelledFunc("limpetdock_http_connections_refused_total",
		"Connections closed at once because their address had too many.", labels, c.refused.Load)
	m.LabelledFunc("limpetdock_http_panics_total",
		"Requests whose handler broke down; a fault of the program.", labels, c.panics.Load)
	m.LabelledFunc("limpetdock_http_stalled_total",
		"Exchanges cut because the other end stopped sending or reading.", labels, c.stalled.Load)
}

// countersByServer are in the order of the HTTP servers' listeners.
type countersByServer []*serverCounters

// of adds the counters of a server.
func (list *countersByServer) of(m *metrics.Metrics, log logr.Logger, name string) *serverCounters {
	c := &serverCounters{log: log.WithValues("server", name)}
	c.register(m, name)
	*list = append(*list, c)
	return c
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

// newServer returns a server with the limits that hold towards strangers, and
// what tells its clients to close.
func newServer(h http.Handler, c *serverCounters) (*http.Server, *drainer) {
	d := newDrainer(watchProgress(h, c))
	return &http.Server{
		Handler: d, ConnState: d.connState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: log.New(c, "", 0),
	}, d
}

// onlyFleet refuses requests that don't carry the fleet's name. An address is
// given to another fleet's VM sooner or later, and an entry with an old list of
// VMs would have that fleet's servers run its requests. The name is no secret:
// whoever knows it passes.
func onlyFleet(fleet string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headers.Fleet) != fleet {
			kind.Write(w, kind.New(kind.WrongFleet, "this port takes requests of the fleet's own nodes only"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

const (
	// stallLimit is how long a read of a body or a write of an answer may take.
	// Entry and guard write at most 64 KB at once, so a reader slower than about
	// 2 KB/s counts as one that stands still.
	stallLimit = 30 * time.Second
	// minRate is the least rate of a request's body over its whole length, in
	// bytes per second, after stallLimit of grace. A sender that gives a byte
	// now and then would otherwise hold a connection, and a slot, for good.
	minRate = 256
)

// watchProgress bounds how long each read of a request's body and each write of
// an answer may wait. The whole exchange has no limit: long uploads are wanted.
func watchProgress(h http.Handler, c *serverCounters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &watchedBody{ReadCloser: r.Body, control: control, counters: c, start: time.Now()}
		}
		h.ServeHTTP(&watchedWriter{ResponseWriter: w, control: control, counters: c}, r)
		// What is still buffered is written once the handler has returned, perhaps
		// long after its last Write; the server clears the deadline after that.
		_ = control.SetWriteDeadline(time.Now().Add(stallLimit))
	})
}

// watchedBody moves the connection's read deadline on with the body.
type watchedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	counters *serverCounters
	start    time.Time
	read     int64
}

func (b *watchedBody) Read(p []byte) (int, error) {
	now := time.Now()
	limit := now.Add(stallLimit)
	if least := b.start.Add(stallLimit + time.Duration(b.read)*time.Second/minRate); least.Before(limit) {
		limit = least
	}
	// A connection that takes no deadline, as in a test, is read without one.
	_ = b.control.SetReadDeadline(limit)
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil {
		// The server reads on in the background to notice a caller that leaves;
		// an old deadline would end the request while it runs.
		_ = b.control.SetReadDeadline(time.Time{})
		b.counters.countStall(err)
	}
	return n, err
}

// watchedWriter moves the connection's write deadline on with the answer.
type watchedWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	counters *serverCounters
}

func (w *watchedWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(stallLimit))
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		w.counters.countStall(err)
	}
	return n, err
}

// Unwrap gives the writer to http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (c *serverCounters) countStall(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.stalled.Add(1)
	}
}

// perIPListener closes connections of an address that has too many open.
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

// Accept gives the next connection whose address has room.
func (l *perIPListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil || l.enter(ip) {
			return &countedConn{Conn: conn, leave: sync.OnceFunc(func() { l.leave(ip) })}, nil
		}
		l.counters.refused.Add(1)
		_ = conn.Close()
	}
}

func (l *perIPListener) enter(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[ip] >= l.limit {
		return false
	}
	l.open[ip]++
	return true
}

func (l *perIPListener) leave(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[ip]--; l.open[ip] <= 0 {
		delete(l.open, ip)
	}
}

// countedConn leaves its listener's count once, when it is closed.
type countedConn struct {
	net.Conn
	leave func()
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.leave()
	return err
}

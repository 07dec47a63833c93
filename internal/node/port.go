package node

import (
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's headers, in bytes; more is answered 431. The
	// library adds 4096 to it.
	maxHeader = 32 << 10
)

// httpPort is an HTTP server on one address, with the limits that hold towards
// strangers.
type httpPort struct {
	addr     string
	server   *http.Server
	drainer  *drainer
	counters *serverCounters
	perIP    int
	listener net.Listener
	// ended is closed once no connection is accepted any more.
	ended chan struct{}
}

func newHTTPPort(addr string, h http.Handler, perIP int, c *serverCounters) *httpPort {
	d := newDrainer(watchProgress(h, c))
	return &httpPort{
		addr: addr, drainer: d, counters: c, perIP: perIP, ended: make(chan struct{}),
		server: &http.Server{
			Handler: d, ConnState: d.connState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeader, ErrorLog: log.New(c, "", 0),
		},
	}
}

func (p *httpPort) listen() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		l = &lingeringListener{TCPListener: tcp}
	}
	p.listener = newPerIPListener(l, p.perIP, p.counters)
	return nil
}

// serve serves the port until it is closed; any other end is an error.
func (p *httpPort) serve() error {
	defer close(p.ended)
	err := p.server.Serve(p.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stopAccepting takes what is in the backlog and then no more. It must come
// before the server's Shutdown: from then on the library drops every request that
// it reads, without an answer.
func (p *httpPort) stopAccepting() {
	_ = p.listener.Close()
	<-p.ended
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

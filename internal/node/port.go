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
	// headerTimeout limits the time a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader limits the size of a request's headers, in bytes; larger ones are
	// answered with 431. net/http adds 4096 to it.
	maxHeader = 32 << 10
)

// httpPort is an HTTP server on one address, with limits that protect it from
// untrusted clients.
type httpPort struct {
	addr     string
	server   *http.Server
	drainer  *drainer
	counters *serverCounters
	perIP    int
	listener net.Listener
	// ended is closed once the port has stopped accepting connections.
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
		l = &backlogListener{TCPListener: tcp}
	}
	p.listener = newPerIPListener(l, p.perIP, p.counters)
	return nil
}

// serve serves the port until it is closed; any other end is returned as an error.
func (p *httpPort) serve() error {
	defer close(p.ended)
	err := p.server.Serve(p.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stopAccepting accepts the connections in the backlog and then closes the listener.
// It must be called before the server's Shutdown, because from then on net/http
// drops every request it reads without an answer.
func (p *httpPort) stopAccepting() {
	_ = p.listener.Close()
	<-p.ended
}

// requireFleet refuses requests that don't carry the fleet's name. Addresses are
// reused by VMs of other fleets, and an entry with an outdated VM list would
// otherwise run its requests on that fleet's servers. The name is no secret and is
// not used for authentication.
func requireFleet(fleet string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headers.Fleet) != fleet {
			kind.Write(w, kind.New(kind.WrongFleet, "this port accepts requests from nodes of its own fleet only"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

package node

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

const (
	// headerTimeout limits the time a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// answerMargin is how long the answers of requests that are ended at the stop limit may
	// take to be written and read.
	answerMargin = time.Second
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
	// endContexts ends the contexts of all requests. endedRequests counts those
	// that were in flight then.
	endContexts   func()
	endOnce       sync.Once
	endedRequests atomic.Int64
	// ended is closed once the port has stopped accepting connections.
	ended chan struct{}
}

func newHTTPPort(addr string, h http.Handler, perIP int, c *serverCounters) *httpPort {
	d := newDrainer(watchProgress(h, c))
	base, end := stopping.NewContext()
	return &httpPort{
		addr: addr, drainer: d, counters: c, perIP: perIP, endContexts: end, ended: make(chan struct{}),
		server: &http.Server{
			Handler: d, ConnState: d.connState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeader, ErrorLog: log.New(c, "", 0),
			BaseContext: func(net.Listener) context.Context { return base },
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
	err := p.server.Serve(drainListener{p.listener})
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stopAccepting accepts the connections in the backlog and then closes the listener.
// It must be called before shutdown.
func (p *httpPort) stopAccepting() {
	_ = p.listener.Close()
	<-p.ended
}

// endRequests ends the contexts of the requests in flight, which then get their final
// answers.
func (p *httpPort) endRequests() {
	p.endOnce.Do(func() {
		p.endedRequests.Store(p.drainer.active.Load())
		p.endContexts()
	})
}

// shutdown reads no further requests and waits for those in flight until limit ends. It
// then calls end, which must end the rest, and waits for their answers. The error says that
// some connections were closed without a complete answer.
func (p *httpPort) shutdown(limit context.Context, end func()) error {
	p.drainer.stopReading()
	err := p.drainer.drain(limit)
	if err != nil {
		end()
		final, cancel := context.WithTimeout(context.Background(), answerMargin)
		defer cancel()
		err = p.drainer.drain(final)
	}
	_ = p.server.Close()
	return err
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

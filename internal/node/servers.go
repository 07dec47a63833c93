package node

import (
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/settings"
)

// servers holds the listeners of a node: three HTTP ports and the control port.
type servers struct {
	callers, guard, admin *httpPort
	guardConns            *connLimiter
	control               *link.Server
	controlAddr           string
	controlListener       net.Listener
}

// serverDeps are the dependencies of servers.
type serverDeps struct {
	fx.In
	Settings *settings.Settings
	Entry    *entry.Entry
	Guard    *guard.Guard
	Loop     *control.Loop
	Metrics  *metrics.Metrics
	Control  *link.Server
	Limits   *limit.Table
	Clock    clock.Clock
	Log      logr.Logger
}

func newServers(p serverDeps) *servers {
	set := p.Settings
	port := func(name, addr string, h http.Handler) *httpPort {
		c := &serverCounters{log: p.Log.WithValues("server", name)}
		c.register(p.Metrics, name)
		return newHTTPPort(addr, h, set.ConnsPerIP, c)
	}
	api := adminNode{p.Loop, p.Entry, p.Guard, p.Limits, p.Clock}
	s := &servers{
		callers: port("callers", set.Callers, p.Entry),
		guard:   port("guard", set.Guard, requireFleet(set.Fleet, p.Guard)),
		admin:   port("admin", set.Admin, admin.New(api, p.Metrics)),
		control: p.Control, controlAddr: set.Control,
	}
	s.callers.server.ConnContext = entry.ConnContext
	s.guardConns = newConnLimiter(func() int { return connectionsOf(p.Entry.View()) }, s.guard.counters)
	s.guardConns.attach(s.guard)
	return s
}

// connectionsOf returns the declared number of connections that the local target
// accepts.
func connectionsOf(v *pick.View) int {
	if v != nil {
		if _, t := v.Config.Target(v.Here.VM); t != nil {
			return t.Connections
		}
	}
	return fleet.DefaultConnections
}

// listen opens every port, so that a node with an address in use fails to start.
func (s *servers) listen() error {
	for _, p := range []*httpPort{s.callers, s.guard, s.admin} {
		if err := p.listen(); err != nil {
			return err
		}
	}
	var err error
	s.controlListener, err = net.Listen("tcp", s.controlAddr)
	return err
}

// serve serves every port until it is closed and calls fail on any other end.
func (s *servers) serve(fail func(error)) {
	for _, p := range []*httpPort{s.callers, s.guard, s.admin} {
		go func() {
			if err := p.serve(); err != nil {
				fail(err)
			}
		}()
	}
	go func() {
		if err := s.control.Serve(s.controlListener); err != nil {
			fail(err)
		}
	}()
}

// endRequests ends the requests in flight. Those of other nodes end first, so that none of
// them starts to run in the place of a caller's.
func (s *servers) endRequests() {
	s.guard.endRequests()
	s.callers.endRequests()
}

// closeControl closes the control port and its connections.
func (s *servers) closeControl() {
	_ = s.controlListener.Close()
	s.control.Close()
}

// adminNode adapts the node to the administration API.
type adminNode struct {
	*control.Loop
	*entry.Entry
	*guard.Guard
	limits *limit.Table
	clock  clock.Clock
}

// Limits returns the limits on requests in flight, with their use.
func (f adminNode) Limits() []limit.Use { return f.limits.Uses() }

// Now returns the time since the node started.
func (f adminNode) Now() time.Duration { return f.clock() }

// Dump returns a copy of the control tables.
func (f adminNode) Dump() (core.Dump, bool) { return f.Loop.Dump() }

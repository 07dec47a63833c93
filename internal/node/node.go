// Package node puts a node together out of its roles and runs it (uber/fx).
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/settings"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Clock gives the time since the node's start, of the monotonic clock.
type Clock func() time.Duration

func newClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Module provides every part of a node. It needs *settings.Settings and
// logr.Logger from outside.
var Module = fx.Options(
	fx.Provide(
		newClock, newSelf, newGuard, newEntry, newLoop, newDialer, newServers,
		metrics.New,
		func() *link.Counters { return &link.Counters{} },
		func(s *settings.Settings) *platform.HTTP { return platform.NewHTTP(s.Platform) },
		func(l *control.Loop, c *link.Counters) *link.Server { return link.NewServer(l, c) },
	),
	fx.Invoke(registerGauges, run),
)

// newSelf draws the node's incarnation: milliseconds since 1970 with random low
// bits, so that a restarted node's is higher as long as its clock doesn't step
// back, and never the same.
func newSelf(s *settings.Settings) core.Self {
	const randomBits = 20
	incarnation := uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.Uint32()>>(32-randomBits))
	return core.Self{
		Place: pick.Place{VM: s.VM, Zone: s.Zone, Region: s.Region},
		Fleet: s.Fleet, Incarnation: incarnation, Seeds: s.Seeds,
	}
}

func newGuard(s *settings.Settings, self core.Self, now Clock) *guard.Guard {
	return guard.New(s.Backend, self.Incarnation, now)
}

func newEntry(g *guard.Guard, d *link.Dialer, m *metrics.Metrics, now Clock) *entry.Entry {
	return entry.New(entry.Config{Local: g, Seal: g.Seal, Peers: d, Observer: m, Now: now})
}

func newDialer(self core.Self, c *link.Counters) *link.Dialer {
	return link.NewDialer(wire.Hello{Fleet: self.Fleet, VM: self.VM, Incarnation: self.Incarnation}, c)
}

func newLoop(self core.Self, p *platform.HTTP, d *link.Dialer, g *guard.Guard, e *entry.Entry, log logr.Logger, now Clock) *control.Loop {
	return control.New(control.Config{
		State: core.New(self, rand.Uint64()), Platform: p, Peers: d, Guard: g, Entry: e, Log: log, Now: now,
	})
}

func registerGauges(m *metrics.Metrics, c *link.Counters, p *platform.HTTP, g *guard.Guard, e *entry.Entry) {
	m.Gauge("limpetdock_backend_slots", "Requests that the backend server runs at once, as declared.", func() float64 { return float64(g.Load().Slots) })
	m.Gauge("limpetdock_backend_slots_in_use", "Requests that the backend server runs now.", func() float64 { return float64(g.Load().InUse) })
	m.Gauge("limpetdock_backend_queue_length", "Requests that wait for a slot.", func() float64 { return float64(g.Load().Waiting) })
	m.Gauge("limpetdock_attempt_records", "Records of at-most-once attempts.", func() float64 { n, _ := g.Attempts(); return float64(n) })
	m.Gauge("limpetdock_attempt_stored_bytes", "Bytes of answers kept for at-most-once attempts.", func() float64 { _, n := g.Attempts(); return float64(n) })
	m.Gauge("limpetdock_config_revision", "Revision of the configuration in force, 0 for none.", func() float64 { return revision(e) })
	m.Counter("limpetdock_control_sent_bytes_total", "Bytes of control frames sent.", func() float64 { return float64(c.Sent.Load()) })
	m.Counter("limpetdock_control_received_bytes_total", "Bytes of control frames received.", func() float64 { return float64(c.Received.Load()) })
	m.Counter("limpetdock_control_strangers_total", "Control connections refused because of who dialled.", func() float64 { return float64(c.Strangers.Load()) })
	m.Counter("limpetdock_control_bad_frames_total", "Control connections closed because of a bad frame.", func() float64 { return float64(c.BadFrames.Load()) })
	m.Counter("limpetdock_platform_calls_total", "Calls to the platform, a waiting watch as one.", func() float64 { return float64(p.Calls.Load()) })
}

func revision(e *entry.Entry) float64 {
	if v := e.View(); v != nil {
		return float64(v.Config.Index.Version.Revision)
	}
	return 0
}

// face is the node as the admin API shows it.
type face struct {
	*control.Loop
	*entry.Entry
	*guard.Guard
	clock Clock
}

// Now is the time since the node's start.
func (f face) Now() time.Duration { return f.clock() }

// Dump copies the control tables.
func (f face) Dump() (core.Dump, bool) { return f.Loop.Dump() }

// servers are the HTTP servers of a node and their listeners.
type servers struct {
	callers, guard, admin *http.Server
	counters              countersByServer
	connsPerIP            int
	listeners             []net.Listener
	control               *link.Server
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

func newServers(set *settings.Settings, e *entry.Entry, g *guard.Guard, l *control.Loop, m *metrics.Metrics, c *link.Server, now Clock, log logr.Logger) *servers {
	s := &servers{control: c, connsPerIP: set.ConnsPerIP}
	s.callers = newServer(e, s.counters.of(m, log, "callers"))
	s.guard = newServer(onlyFleet(set.Fleet, g), s.counters.of(m, log, "guard"))
	s.admin = newServer(admin.New(face{l, e, g, now}, m), s.counters.of(m, log, "admin"))
	return s
}

func (s *servers) listen(set *settings.Settings) error {
	for _, addr := range []string{set.Callers, set.Guard, set.Admin, set.Control} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
	}
	return nil
}

func (s *servers) serve(fail func(error)) {
	for i, srv := range []*http.Server{s.callers, s.guard, s.admin} {
		go func() {
			l := newPerIPListener(s.listeners[i], s.connsPerIP, s.counters[i])
			if err := srv.Serve(l); err != http.ErrServerClosed {
				fail(err)
			}
		}()
	}
	go func() {
		if err := s.control.Serve(s.listeners[3]); err != nil {
			fail(err)
		}
	}()
}

type parts struct {
	fx.In
	Settings *settings.Settings
	Servers  *servers
	Loop     *control.Loop
	Entry    *entry.Entry
	Guard    *guard.Guard
	Dialer   *link.Dialer
	Platform *platform.HTTP
	Log      logr.Logger
	Shutdown fx.Shutdowner
}

func run(lc fx.Lifecycle, p parts) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.Servers.listen(p.Settings); err != nil {
				return err
			}
			p.Loop.Start()
			p.Servers.serve(func(err error) {
				p.Log.Error(err, "server ended")
				_ = p.Shutdown.Shutdown(fx.ExitCode(1))
			})
			go p.watchBackend(ctx)
			p.Log.Info("started", "vm", p.Settings.VM, "callers", p.Settings.Callers)
			return nil
		},
		OnStop: func(context.Context) error {
			defer cancel()
			p.stop()
			return nil
		},
	})
}

const (
	// healthEvery is how often the own backend server is asked how it is.
	healthEvery   = 100 * time.Millisecond
	healthTimeout = time.Second
)

// watchBackend asks the backend server beside the node how it is. It never
// leaves the VM, so it costs nothing of the measuring budget.
func (p parts) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ask, cancel := context.WithTimeout(ctx, healthTimeout)
		h, err := p.Guard.Health(ask, "/healthz")
		cancel()
		if err == nil {
			p.Loop.SetDraining(h.State == "draining")
		}
	}
}

// leaveFirst is how long a stopping node refuses new work at its guard while
// its entry still takes callers, so that peers hear of it.
const leaveFirst = 300 * time.Millisecond

// stop ends the node without cutting what is in flight: the guard refuses new
// work, callers' servers close idle connections and finish the rest, and the
// control side answers about attempts until the end.
func (p parts) stop() {
	p.Log.Info("stopping")
	p.Loop.SetStopping()
	p.Guard.SetLeaving(true)
	time.Sleep(leaveFirst)
	limit, cancel := context.WithTimeout(context.Background(), stopLimit(p.Settings.StopLimit, p.Entry.View()))
	defer cancel()
	if err := p.Servers.callers.Shutdown(limit); err != nil {
		p.Log.Error(err, "callers cut off at the stop limit")
	}
	if err := p.Servers.guard.Shutdown(limit); err != nil {
		p.Log.Error(err, "entries cut off at the stop limit")
	}
	p.Loop.Stop()
	_ = p.Servers.listeners[3].Close()
	p.Servers.control.Close()
	_ = p.Servers.admin.Close()
	p.Entry.Close()
	p.Guard.Close()
	p.Dialer.Close()
	p.Platform.Close()
	p.Log.Info("stopped")
}

// stopLimit is how long a stop may wait for requests in flight: the service's
// declared drain time, but no longer than the node's settings allow.
func stopLimit(allowed time.Duration, v *pick.View) time.Duration {
	if v == nil {
		return allowed
	}
	svc, _ := v.Config.Target(v.Here.VM)
	if svc == nil || svc.Drain == 0 {
		return allowed
	}
	return min(allowed, svc.Drain)
}

// stopSlack is what a stop may take beyond the limit for requests in flight.
const stopSlack = 5 * time.Second

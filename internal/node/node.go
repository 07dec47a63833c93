// Package node puts a node together out of its roles and runs it (uber/fx).
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
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
	g := guard.New(s.Backend, self.Incarnation, now)
	if host, _, err := net.SplitHostPort(s.Guard); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			g.SetAddr(host)
		}
	}
	return g
}

func newEntry(g *guard.Guard, d *link.Dialer, m *metrics.Metrics, now Clock) *entry.Entry {
	return entry.New(entry.Config{Local: g, Seal: g.Seal, Peers: d, Observer: m, Now: now})
}

func newDialer(self core.Self, c *link.Counters) *link.Dialer {
	return link.NewDialer(wire.Hello{Fleet: self.Fleet, VM: self.VM, Incarnation: self.Incarnation}, c)
}

func newLoop(self core.Self, p *platform.HTTP, d *link.Dialer, g *guard.Guard, e *entry.Entry, log logr.Logger, now Clock) *control.Loop {
	return control.New(control.Config{
		VM: self.VM, State: core.New(self, rand.Uint64()), Platform: p, Peers: d, Guard: g, Entry: e, Log: log, Now: now,
	})
}

func registerGauges(m *metrics.Metrics, c *link.Counters, p *platform.HTTP, e *entry.Entry, g *guard.Guard) {
	registerAttempts(m, e, g)
	m.Counter("limpetdock_control_sent_bytes_total", "Bytes of control frames sent.", func() float64 { return float64(c.Sent.Load()) })
	m.Counter("limpetdock_control_received_bytes_total", "Bytes of control frames received.", func() float64 { return float64(c.Received.Load()) })
	m.Counter("limpetdock_control_strangers_total", "Control connections refused because of who dialled.", func() float64 { return float64(c.Strangers.Load()) })
	m.Counter("limpetdock_control_bad_frames_total", "Control connections closed because of a bad frame.", func() float64 { return float64(c.BadFrames.Load()) })
	m.Counter("limpetdock_platform_calls_total", "Calls to the platform, a waiting watch as one.", func() float64 { return float64(p.Calls.Load()) })
}

func registerAttempts(m *metrics.Metrics, e *entry.Entry, g *guard.Guard) {
	counters := []struct {
		name, help string
		value      *atomic.Uint64
	}{
		{"limpetdock_progress_checks_total", "Questions to targets about exchanges in which nothing moved.", &e.Counters().Checks},
		{"limpetdock_silent_connections_total", "Exchanges given up because their connection had gone silent.", &e.Counters().Silent},
		{"limpetdock_attempts_resolved_total", "At-most-once attempts whose fate had to be asked for.", &e.Counters().Resolved},
		{"limpetdock_attempts_refused_total", "Copies of attempts that the guard didn't run: stale, conflicting, or of a key not taken.", &g.Counters.Refused},
		{"limpetdock_attempts_sealed_total", "Answers of the guard that an attempt is sealed and will never run.", &g.Counters.Sealed},
		{"limpetdock_answers_redelivered_total", "Kept answers of attempts that were given again.", &g.Counters.Redelivered},
	}
	for _, c := range counters {
		m.Counter(c.name, c.help, func() float64 { return float64(c.value.Load()) })
	}
	m.Gauge("limpetdock_attempt_records", "Records of at-most-once attempts.", func() float64 { n, _ := g.Attempts(); return float64(n) })
	m.Gauge("limpetdock_attempt_answer_bytes", "Bytes of kept answers.", func() float64 { _, n := g.Attempts(); return float64(n) })
}

// face is the node as the admin API shows it.
type face struct {
	*control.Loop
	*entry.Entry
	*guard.Guard
}

// Dump copies the control tables.
func (f face) Dump() (core.Dump, bool) { return f.Loop.Dump() }

// servers are the HTTP servers of a node and their listeners.
type servers struct {
	callers, guard, admin *http.Server
	listeners             []net.Listener
	control               *link.Server
}

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's headers, in bytes; more is answered 431.
	maxHeader = 32 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: nil,
	}
}

func newServers(e *entry.Entry, g *guard.Guard, l *control.Loop, m *metrics.Metrics, c *link.Server) *servers {
	callers := newServer(e)
	callers.ConnContext = entry.ConnContext
	return &servers{
		callers: callers, guard: newServer(g),
		admin:   newServer(admin.New(face{l, e, g}, m.Registry)),
		control: c,
	}
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
			if err := srv.Serve(s.listeners[i]); err != http.ErrServerClosed {
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
	limit, cancel := context.WithTimeout(context.Background(), p.Settings.StopLimit)
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

// stopSlack is what a stop may take beyond the limit for requests in flight.
const stopSlack = 5 * time.Second

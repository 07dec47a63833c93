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
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/limit"
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
		metrics.New, limit.New,
		func(now Clock) *budget.Measuring { return budget.NewMeasuring(now) },
		func() *link.Counters { return &link.Counters{} },
		func(s *settings.Settings) *platform.HTTP { return platform.NewHTTP(s.Platform) },
		func(l *control.Loop, c *link.Counters) *link.Server { return link.NewServer(l, c) },
	),
	fx.Invoke(registerGauges, registerMeasuring, run, func(e *entry.Entry, l *control.Loop) { e.SetAccuser(l) }),
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

func newGuard(s *settings.Settings, self core.Self, b *budget.Measuring, now Clock) *guard.Guard {
	g := guard.New(s.Backend, self.Incarnation, now)
	g.SetMeasuring(b)
	return g
}

func newEntry(g *guard.Guard, d *link.Dialer, m *metrics.Metrics, limits *limit.Table, b *budget.Measuring, now Clock) *entry.Entry {
	m.Registry.MustRegister(limits)
	return entry.New(entry.Config{
		Local: g, Seal: g.Seal, Peers: d, Observer: m, Load: g.Load, Limits: limits, Measuring: b, Now: now,
	})
}

func newDialer(self core.Self, c *link.Counters) *link.Dialer {
	return link.NewDialer(wire.Hello{Fleet: self.Fleet, VM: self.VM, Incarnation: self.Incarnation}, c)
}

func newLoop(self core.Self, p *platform.HTTP, d *link.Dialer, g *guard.Guard, e *entry.Entry, log logr.Logger, now Clock) *control.Loop {
	return control.New(control.Config{
		VM: self.VM, State: core.New(self, rand.Uint64()), Platform: p, Peers: d, Guard: g, Entry: e, Log: log, Now: now,
	})
}

func registerGauges(m *metrics.Metrics, c *link.Counters, p *platform.HTTP, l *control.Loop, e *entry.Entry, g *guard.Guard) {
	registerAttempts(m, e, g)
	count := func(name, help string, read func(core.Counters) uint64) {
		m.Counter(name, help, func() float64 { return float64(read(l.Counters())) })
	}
	count("limpetdock_config_applied_total", "Configurations put in force.", func(c core.Counters) uint64 { return c.Applied })
	count("limpetdock_config_refused_total", "Configurations refused; the dump says why.", func(c core.Counters) uint64 { return c.Refused })
	count("limpetdock_config_older_total", "Reads of the platform that gave an older revision than the one in force.", func(c core.Counters) uint64 { return c.OlderIndexes })
	count("limpetdock_config_behind_total", "Requests that showed a peer under another configuration.", func(c core.Counters) uint64 { return c.Behind })
	count("limpetdock_suspicions_total", "Peers that this node came to suspect.", func(c core.Counters) uint64 { return c.Suspicions })
	count("limpetdock_name_clashes_total", "News of another process under this VM's name.", func(c core.Counters) uint64 { return c.NameClashes })
	m.Gauge("limpetdock_config_revision", "Revision in force; 0 is none.", func() float64 { return float64(l.Counters().Revision) })
	m.Counter("limpetdock_control_full_total", "Control connections refused because there were too many.", func() float64 { return float64(c.Full.Load()) })
	m.Counter("limpetdock_control_dials_total", "Control connections opened to peers.", func() float64 { return float64(c.Dials.Load()) })
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
	// callersDrain and guardDrain tell clients of the two to close.
	callersDrain, guardDrain *drainer
	listeners                []net.Listener
	control                  *link.Server
}

func newServers(e *entry.Entry, g *guard.Guard, l *control.Loop, m *metrics.Metrics, c *link.Server) *servers {
	s := &servers{control: c}
	s.callers, s.callersDrain = newServer(e)
	s.callers.ConnContext = entry.ConnContext
	s.guard, s.guardDrain = newServer(g)
	s.admin, _ = newServer(admin.New(face{l, e, g}, m.Registry))
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
			p.Guard.OnBehind(p.Loop.Behind)
			p.Entry.OnBehind(p.Loop.Behind)
			p.Loop.Start()
			p.Servers.serve(func(err error) {
				p.Log.Error(err, "server ended")
				_ = p.Shutdown.Shutdown(fx.ExitCode(1))
			})
			go p.watchBackend(ctx)
			go p.Entry.Run(ctx)
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

// Package node assembles a node from its components and runs it (uber/fx).
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/clock"
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

// Module provides every component of a node. *settings.Settings and logr.Logger must
// be supplied by the caller.
var Module = fx.Options(
	fx.Provide(
		clock.New, newSelf, newGuard, newEntry, newLoop, newDialer, newServers,
		metrics.New, limit.New, countLibraryLog,
		func(now clock.Clock) *budget.Measuring { return budget.NewMeasuring(now) },
		func() *link.Counters { return &link.Counters{} },
		func(s *settings.Settings) *platform.HTTP { return platform.NewHTTP(s.Platform) },
		func(l *control.Loop, c *link.Counters) *link.Server { return link.NewServer(l, c) },
	),
	fx.Invoke(registerGauges, registerMeasuring, func(*libraryLog) {}, run, func(e *entry.Entry, l *control.Loop) { e.ReportSuspects(l) }),
)

// newSelf generates the node's incarnation: milliseconds since 1970, followed by
// random low bits. A restarted node has a higher incarnation as long as its clock
// isn't set back, and never the same one.
func newSelf(s *settings.Settings) core.Self {
	const randomBits = 20
	incarnation := uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.Uint32()>>(32-randomBits))
	return core.Self{
		Place: pick.Place{VM: s.VM, Zone: s.Zone, Region: s.Region},
		Fleet: s.Fleet, Incarnation: incarnation, Seeds: s.Seeds,
	}
}

func newGuard(s *settings.Settings, self core.Self, b *budget.Measuring, now clock.Clock) *guard.Guard {
	g := guard.New(s.Backend, self.Incarnation, now)
	g.SetMeasuring(b)
	g.SetVM(s.VM)
	if host, _, err := net.SplitHostPort(s.Guard); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			g.SetAddr(host)
		}
	}
	return g
}

func newEntry(g *guard.Guard, d *link.Dialer, m *metrics.Metrics, limits *limit.Table, b *budget.Measuring, now clock.Clock) *entry.Entry {
	m.Registry.MustRegister(limits)
	return entry.New(entry.Config{
		Local: g, Seal: g.Seal, Peers: d, Observer: m, Load: g.Load, Limits: limits, Measuring: b, Now: now,
	})
}

func newDialer(self core.Self, c *link.Counters) *link.Dialer {
	return link.NewDialer(wire.Hello{Fleet: self.Fleet, VM: self.VM, Incarnation: self.Incarnation}, c)
}

func newLoop(self core.Self, p *platform.HTTP, d *link.Dialer, g *guard.Guard, e *entry.Entry, log logr.Logger, now clock.Clock) *control.Loop {
	return control.New(control.Config{
		State: core.New(self, rand.Uint64()), Platform: p, Peers: d, Guard: g, Entry: e, Log: log, Now: now,
	})
}

type params struct {
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

func run(lc fx.Lifecycle, p params) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.Servers.listen(); err != nil {
				return err
			}
			p.Guard.OnStaleConfig(p.Loop.Behind)
			p.Entry.OnStaleConfig(p.Loop.Behind)
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

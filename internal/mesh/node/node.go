// Package node puts a node of a deployment together whose targets register
// themselves, and runs it (uber/fx).
package node

import (
	"context"
	"net"
	"time"

	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/daemon"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/directory"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// Platform is what a platform's adapter gives to a node.
type Platform struct {
	Dialect mesh.Dialect
	// ReadyPath is where the platform asks whether the node takes callers.
	ReadyPath string
	// Source opens the platform's store at an address. alone says whether the node
	// hears of no other.
	Source func(address string, log *decision.Log, sink *directory.Loop, alone func() bool) Source
}

// Source reads the platform's store and hands its news to the control goroutine.
type Source interface {
	// Run reads until ctx ends.
	Run(ctx context.Context)
	// Seen tells the revision that another node has seen.
	Seen(revision uint64)
	// Snapshot gives what the store held when it was last read, for Restore of a node
	// that starts while the store is away; nil if it wasn't read yet.
	Snapshot() []byte
	// Restore takes another node's snapshot, unless the node knows as much itself.
	Restore(ctx context.Context, snapshot []byte) error
	// Calls gives how many calls were made, and how many of them failed.
	Calls() (made, failed uint64)
}

// Module provides every part of a node. It needs *settings.Settings, Platform and
// *decision.Log from outside.
var Module = fx.Options(
	fx.Provide(
		clock.New, metrics.New, newBackend, newGuard, newTeller, newPeerServer, newPeerClient, newEntry,
		newCallers, newFront, newLoop, newSource, newAdmin, newReports,
	),
	fx.Invoke(registerMetrics, run),
)

func newBackend(s *settings.Settings, p Platform) *exchange.Client {
	return exchange.NewClient(s.Backend, p.Dialect.Headers)
}

func newGuard(s *settings.Settings, p Platform, b *exchange.Client, now clock.Clock, log *decision.Log, t *teller) *guard.Guard {
	g := guard.New(guard.Config{
		Here: s.Here, Dialect: p.Dialect, Backend: b, Now: now, Log: log, Changed: t.changed,
	})
	g.SetFill(s.Tunable.Fill)
	return g
}

func newPeerServer(s *settings.Settings, g *guard.Guard) *peer.Server {
	return peer.NewServer(g, s.Here)
}

func newPeerClient(s *settings.Settings, r *reports) *peer.Client {
	return peer.NewClient(s.Here, r)
}

func newEntry(s *settings.Settings, g *guard.Guard, p *peer.Client, m *metrics.Metrics, now clock.Clock, log *decision.Log) *entry.Entry {
	e := entry.New(entry.Config{
		Here: s.Here, Guard: g, Peers: p, Repeats: s.Repeats, Observer: m, Log: log, Now: now,
	})
	e.SetPrices(s.Tunable.Prices)
	return e
}

func newCallers(e *entry.Entry, p Platform, now clock.Clock) *callers {
	return &callers{entry: e, dialect: p.Dialect, now: now}
}

func newFront(c *callers) *front.Server { return front.New(c) }

func newLoop(s *settings.Settings, now clock.Clock, log *decision.Log, e *entry.Entry, g *guard.Guard, c *peer.Client, r *reports) (*directory.Loop, error) {
	_, port, err := net.SplitHostPort(s.Peers)
	if err != nil {
		return nil, err
	}
	state := directory.New(s.Here, s.Backend, s.Regions, port)
	return directory.NewLoop(state, log, now, func(v *mesh.View) {
		r.setView(v)
		g.SetView(v)
		e.SetView(v)
		c.Keep(v.Peers)
	}), nil
}

func newSource(s *settings.Settings, p Platform, log *decision.Log, l *directory.Loop, r *reports) Source {
	source := p.Source(s.Store, log, l, r.alone)
	r.onRevision(source.Seen)
	return source
}

// parts are what a running node acts on.
type parts struct {
	fx.In
	Settings *settings.Settings
	Guard    *guard.Guard
	Entry    *entry.Entry
	Front    *front.Server
	Peers    *peer.Server
	Client   *peer.Client
	Backend  *exchange.Client
	Loop     *directory.Loop
	Source   Source
	Admin    *admin
	Teller   *teller
	Log      *decision.Log
	Now      clock.Clock
	Shutdown fx.Shutdowner
}

func run(lc fx.Lifecycle, p parts) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listeners, err := listen(p.Settings)
			if err != nil {
				return err
			}
			p.serve(ctx, listeners)
			h := p.Settings.Here
			p.Log.Change("started", "vm", h.VM, "zone", h.Zone, "region", h.Region, "service", h.Service, "callers", p.Settings.Callers)
			return nil
		},
		OnStop: func(context.Context) error {
			defer cancel()
			p.stop()
			return nil
		},
	})
}

// listeners are the node's open ports.
type listeners struct{ callers, peers, ready, admin net.Listener }

func listen(s *settings.Settings) (*listeners, error) {
	l := &listeners{}
	for _, one := range []struct {
		at   *net.Listener
		addr string
	}{{&l.peers, s.Peers}, {&l.callers, s.Callers}, {&l.ready, s.Ready}, {&l.admin, s.Admin}} {
		opened, err := net.Listen("tcp", one.addr)
		if err != nil {
			return nil, err
		}
		*one.at = opened
	}
	return l, nil
}

// serve starts the goroutines of the node.
func (p *parts) serve(ctx context.Context, l *listeners) {
	p.Client.OnAsked(p.Source.Snapshot)
	p.Peers.OnState(p.lacksState, func(snapshot []byte) {
		if err := p.Source.Restore(ctx, snapshot); err != nil {
			p.Log.Trouble("another node's state can't be used", "error", err.Error())
		}
	})
	go p.Loop.Run(ctx)
	go p.Source.Run(ctx)
	go p.Guard.Probe(ctx)
	go p.Teller.run(ctx, p.Peers, p.Guard)
	go p.warm(ctx)
	for _, serve := range []func() error{
		func() error { return p.Peers.Serve(l.peers) },
		func() error { return p.Front.Serve(l.callers) },
		func() error { return p.Admin.serveReady(l.ready) },
		func() error { return p.Admin.serve(l.admin) },
	} {
		go func() {
			if err := serve(); err != nil {
				p.Log.Trouble("a server ended", "error", err.Error())
				// The process ends and is started again with all of its ports.
				_ = p.Shutdown.Shutdown(fx.ExitCode(daemon.ExitFailed))
			}
		}()
	}
}

// lacksState says whether the node has nothing in force yet.
func (p *parts) lacksState() bool { return p.Entry.View() == nil }

const (
	// warmEvery is the pause between looks for nodes of the region that no
	// connection is open to. Load reports come over these connections.
	warmEvery = 500 * time.Millisecond
	// warmTimeout bounds opening one.
	warmTimeout = 500 * time.Millisecond
)

// warm keeps connections open to the nodes of the own region.
func (p *parts) warm(ctx context.Context) {
	ticker := time.NewTicker(warmEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		v := p.Entry.View()
		if v == nil {
			continue
		}
		for addr, distance := range v.Peers {
			if distance > mesh.SameRegion {
				continue
			}
			one, cancel := context.WithTimeout(ctx, warmTimeout)
			// One that can't be reached is tried again; requests will tell as well.
			_ = p.Client.Warm(one, addr)
			cancel()
		}
	}
}

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
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/place"
)

// Platform is what a platform's adapter gives to a node.
type Platform struct {
	Dialect mesh.Dialect
	// ReadyPath is where the platform asks whether the node takes callers.
	ReadyPath string
	// Source opens the platform's store at an address.
	Source func(address string, log *decision.Log, sink *directory.Loop, part Part) Source
}

// Part tells a Source what the node has to do with the store.
type Part struct {
	// Reads says whether the node reads the store itself, and if not, at which time
	// since its start to ask again.
	Reads func() (reads bool, again time.Duration)
	// Alone says whether the node hears of no other.
	Alone func() bool
	// First says whether the node is among the first of its zone to read the store, and
	// Served whether it hears of any node that reads it.
	First, Served func() bool
	// Now gives the time since the node's start.
	Now func() time.Duration
	// Observe is told of each call to the store once it has ended.
	Observe func(StoreCall)
}

// Bootstrap asks the nodes beside some backend servers for what they know of the store. It
// returns once one has told it, or none is going to.
type Bootstrap func(ctx context.Context, registered []directory.Registration)

// Source reads the platform's store and hands its news to the control goroutine.
type Source interface {
	reader.Store
	// Run reads until ctx ends. While nothing is known yet, it gives bootstrap some of
	// the registrations.
	Run(ctx context.Context, bootstrap Bootstrap)
	// Calls gives how many calls were made, and how many of them failed.
	Calls() (made, failed uint64)
	// CallsFor gives how many calls were made for a cause.
	CallsFor(StoreCause) uint64
}

// Module provides every part of a node. It needs *settings.Settings, Platform and
// *decision.Log from outside.
var Module = fx.Options(
	fx.Provide(
		clock.New, metrics.New, newBackend, newGuard, newTeller, newPeerServer, newPeerClient, newEntry,
		newCallers, newFront, newLoop, newStoreCalls, newSource, newAdmin, newReports, newReaders, newFollower, newReporter,
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

func newPeerServer(s *settings.Settings, r *reporter) *peer.Server {
	return peer.NewServer(r, s.Here)
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

func newLoop(s *settings.Settings, now clock.Clock, log *decision.Log, e *entry.Entry, g *guard.Guard, c *peer.Client, r *reports, readers *reader.Table) *directory.Loop {
	state := directory.New(s.Here, s.Backend, s.Regions, s.PeersPort())
	return directory.NewLoop(state, log, now, func(v *mesh.View) {
		r.setView(v)
		readers.SetView(v)
		g.SetView(v)
		e.SetView(v)
		c.Keep(v.Peers)
	})
}

// newReaders makes the Table of the node as others know it: by its VM's address, which
// needn't be the one that it listens on.
func newReaders(s *settings.Settings, now clock.Clock) *reader.Table {
	return reader.NewTable(net.JoinHostPort(s.Here.IP, s.PeersPort()), s.Here, now)
}

func newSource(s *settings.Settings, p Platform, log *decision.Log, l *directory.Loop, r *reports, t *reader.Table, now clock.Clock, c *storeCalls) Source {
	source := p.Source(s.Store, log, l, Part{
		Reads: t.Reads, First: t.First, Served: t.Served, Alone: r.alone, Now: now, Observe: c.observe,
	})
	// Told by others that the own backend server is gone, the node finds out whether it
	// is itself cut off from the store.
	l.OnOwnEnded(func() { source.Refresh(reader.AnyRevision) })
	return source
}

func newFollower(t *reader.Table, s Source, c *peer.Client, log *decision.Log, r *reports, o *reporter) *reader.Follower {
	f := reader.NewFollower(t, s, c, log)
	r.onReport(f.Heard)
	o.reads(s.Reading)
	return f
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
	Readers  *reader.Table
	Follower *reader.Follower
	Reporter *reporter
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
	news := p.Follower.News(ctx)
	p.Client.OnNews(news)
	p.Peers.OnNews(p.lacksState, news)
	go p.Loop.Run(ctx)
	go p.Source.Run(ctx, p.bootstrap)
	go p.Guard.Probe(ctx)
	go p.Follower.Run(ctx)
	go p.Teller.run(ctx, p.Peers, p.Reporter)
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

// bootstrap asks other nodes for what they know of the store.
func (p *parts) bootstrap(ctx context.Context, registered []directory.Registration) {
	p.Follower.Bootstrap(ctx, p.peersBeside(registered))
}

// peersBeside gives the nodes beside backend servers.
func (p *parts) peersBeside(registered []directory.Registration) map[string]mesh.Peer {
	s := p.Settings
	peers := make(map[string]mesh.Peer, len(registered))
	for _, r := range registered {
		addr, distance, err := r.Peer(s.Here, s.Regions, s.PeersPort())
		if err != nil {
			// The directory names no target by it either.
			continue
		}
		peers[addr] = mesh.Peer{Zone: r.Zone, Distance: distance}
	}
	return peers
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

// warm keeps connections open to the nodes of the own region, and from a node that
// reads the store to the likely readers of all zones.
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
		for addr, other := range v.Peers {
			if other.Distance <= place.SameRegion {
				p.warmOne(ctx, addr)
			}
		}
		if !p.Source.Reading() {
			continue
		}
		for _, addr := range p.Readers.Leads() {
			p.warmOne(ctx, addr)
		}
	}
}

// warmOne opens a connection that isn't open. A node that can't be reached is tried
// again; requests will tell as well.
func (p *parts) warmOne(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	_ = p.Client.Warm(ctx, addr)
}

// Package node assembles and runs a node (uber/fx) of a deployment whose targets register
// themselves.
package node

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/daemon"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/directory"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/place"
)

// Platform is what a platform's adapter provides to a node.
type Platform struct {
	Dialect mesh.Dialect
	// ReadyPath is the path at which the platform checks whether the node accepts callers.
	ReadyPath string
	// Source returns a Source for the platform's store at an address.
	Source func(address string, log *decision.Log, sink *directory.Loop, part SourceConfig) Source
}

// SourceConfig is what a node provides to its Source.
type SourceConfig struct {
	// ShouldRead reports whether the node must read the store itself, and if not, when to
	// check again, as time since the node's start.
	ShouldRead func() (reads bool, recheckAt time.Duration)
	// Isolated reports whether the node receives no reports from other nodes.
	Isolated func() bool
	// IsPreferredReader reports whether the node ranks among the first readers of its zone,
	// and HasOtherReader whether another node reports that it reads the store.
	IsPreferredReader, HasOtherReader func() bool
	// ReadersStopped reports whether running nodes have just stopped reading the store and no
	// other node reads it.
	ReadersStopped func() bool
	// Heartbeat is how often a backend server renews its registration.
	Heartbeat time.Duration
	// Now returns the time since the node's start.
	Now func() time.Duration
	// Observe is called after each call to the store has ended.
	Observe func(StoreCall)
}

// Bootstrap asks the nodes beside registered backend servers for a snapshot of the store. It
// returns once one has sent it or the search is given up.
type Bootstrap func(ctx context.Context, registered []directory.Registration)

// Source reads the platform's store and passes its updates to the control goroutine.
type Source interface {
	reader.Store
	// Run reads until ctx ends. While the node has no state yet, it calls bootstrap with some
	// of the registrations.
	Run(ctx context.Context, bootstrap Bootstrap)
	// Calls returns how many calls were made and how many of them failed.
	Calls() (made, failed uint64)
	// CallsFor returns how many calls were made for a cause.
	CallsFor(StoreCause) uint64
}

// Module provides all components of a node. It requires *settings.Settings, Platform and
// *decision.Log.
var Module = fx.Options(
	fx.Provide(
		clock.New, metrics.New, quarantine.New, newBackend, newLineage, newGuard, newLoadSender, newPeerServer, newPeerClient, newEntry,
		calladmission.NewRecorder, newCallerHandler, newFront, newLoop, newStoreCalls, newSource, newAdmin, newReportDispatcher, newReaderTable, newFollower, newReportingGuard, newUplink,
	),
	fx.Invoke(registerMetrics, run),
)

func newBackend(s *settings.Settings, p Platform) *exchange.Client {
	return exchange.NewClient(s.Backend, p.Dialect.Headers)
}

func newLineage(now clock.Clock) *lineage.Tracker { return lineage.New(now) }

func newGuard(s *settings.Settings, p Platform, b *exchange.Client, now clock.Clock, log *decision.Log, t *loadSender, q *quarantine.Tracker, l *lineage.Tracker) *guard.Guard {
	g := guard.New(guard.Config{
		Here: s.Here, Dialect: p.Dialect, Backend: b, Now: now, Log: log, LoadChanged: t.changed,
		ColdStart: s.ColdStart, Suspects: q, Lineage: l,
	})
	g.SetSlotShare(s.Tunable.Fill)
	return g
}

func newUplink(s *settings.Settings) *peer.Uplink {
	return peer.NewUplink(s.Features.LinkRate, s.LinkQueueBytes)
}

func newPeerServer(s *settings.Settings, r *reportingGuard, q *quarantine.Tracker, u *peer.Uplink) *peer.Server {
	server := peer.NewServer(r, s.Here)
	server.SetUplink(u)
	server.SetInitialSuspects(q.Initial)
	return server
}

func newPeerClient(s *settings.Settings, r *reportDispatcher, q *quarantine.Tracker, u *peer.Uplink) *peer.Client {
	client := peer.NewClient(s.Here, r)
	client.SetUplink(u)
	client.OnSuspects(q.Merge)
	return client
}

func newEntry(s *settings.Settings, platform Platform, g *guard.Guard, p *peer.Client, m *metrics.Metrics, now clock.Clock, log *decision.Log, q *quarantine.Tracker, l *lineage.Tracker, calls *calladmission.Recorder) *entry.Entry {
	e := entry.New(entry.Config{
		Here: s.Here, Guard: g, Peers: p, Suspects: q, Lineage: l, Calls: calls, Repeats: s.Repeats, Observer: m, Log: log, Now: now,
		Promises: platform.Dialect.Promises,
	})
	e.SetPrices(s.Tunable.Prices)
	return e
}

func newCallerHandler(e *entry.Entry, p Platform, now clock.Clock, log *decision.Log) *callerHandler {
	return &callerHandler{entry: e, dialect: p.Dialect, now: now, log: log}
}

func newFront(c *callerHandler) *front.Server { return front.New(c) }

func newLoop(s *settings.Settings, now clock.Clock, log *decision.Log, e *entry.Entry, g *guard.Guard, c *peer.Client, r *reportDispatcher, readers *reader.Table, runs *lineage.Tracker, u *peer.Uplink) *directory.Loop {
	state := directory.New(s.Here, s.Backend, s.Regions, s.PeersPort())
	var first sync.Once
	return directory.NewLoop(state, log, now, func(v *mesh.View) {
		v.SetFeatures(s.Features)
		first.Do(func() { runs.ExpectEarlierRuns(v.Config.LongestTimeout()) })
		u.SetEnabled(v.LinkScheduling)
		r.setView(v)
		readers.SetView(v)
		g.SetView(v)
		e.SetView(v)
		c.CloseUnused(v.Peers)
	})
}

// newReaderTable identifies the node by its VM's address, as other nodes do. It may listen on a
// different address.
func newReaderTable(s *settings.Settings, now clock.Clock) *reader.Table {
	return reader.NewTable(net.JoinHostPort(s.Here.IP, s.PeersPort()), s.Here, now)
}

func newSource(s *settings.Settings, p Platform, log *decision.Log, l *directory.Loop, r *reportDispatcher, t *reader.Table, now clock.Clock, c *storeCalls) Source {
	source := p.Source(s.Store, log, l, SourceConfig{
		ShouldRead: t.ShouldRead, IsPreferredReader: t.IsPreferredReader, HasOtherReader: t.HasOtherReader, ReadersStopped: t.ReadersStopped, Isolated: r.isolated,
		Heartbeat: s.Heartbeat, Now: now, Observe: c.observe,
	})
	// If other nodes report that the local backend server's registration has ended, the node
	// has to find out whether it is itself cut off from the store.
	l.OnOwnRegistrationEnded(func() { source.Refresh(reader.AnyRevision) })
	return source
}

func newFollower(t *reader.Table, s Source, c *peer.Client, log *decision.Log, r *reportDispatcher, o *reportingGuard) *reader.Follower {
	f := reader.NewFollower(t, s, c, log)
	r.onReport(f.HandleReport)
	o.setReading(s.Reading)
	return f
}

// components are the components that a running node starts and stops.
type components struct {
	fx.In
	Settings   *settings.Settings
	Guard      *guard.Guard
	Entry      *entry.Entry
	Front      *front.Server
	Peers      *peer.Server
	Client     *peer.Client
	Backend    *exchange.Client
	Loop       *directory.Loop
	Source     Source
	Readers    *reader.Table
	Quarantine *quarantine.Tracker
	Follower   *reader.Follower
	Reporter   *reportingGuard
	Admin      *admin
	LoadSender *loadSender
	Log        *decision.Log
	Now        clock.Clock
	Shutdown   fx.Shutdowner
}

func run(lc fx.Lifecycle, p components) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listeners, err := listen(p.Settings)
			if err != nil {
				return err
			}
			p.serve(ctx, listeners)
			h := p.Settings.Here
			p.Log.Event("started", "vm", h.VM, "zone", h.Zone, "region", h.Region, "service", h.Service, "callers", p.Settings.Callers)
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
	for _, port := range []struct {
		listener *net.Listener
		addr     string
	}{{&l.peers, s.Peers}, {&l.callers, s.Callers}, {&l.ready, s.Ready}, {&l.admin, s.Admin}} {
		opened, err := net.Listen("tcp", port.addr)
		if err != nil {
			return nil, err
		}
		*port.listener = opened
	}
	return l, nil
}

// serve starts the goroutines of the node.
func (p *components) serve(ctx context.Context, l *listeners) {
	updates := p.Follower.UpdateHandler(ctx)
	p.Client.SetStateSync(updates)
	p.Peers.SetStateSync(p.needsSnapshot, updates)
	go p.Loop.Run(ctx)
	go p.Source.Run(ctx, p.bootstrap)
	go p.Guard.Probe(ctx)
	go p.Follower.Run(ctx)
	go p.Quarantine.Run(ctx, p.Peers)
	go p.LoadSender.run(ctx, p.Peers, p.Reporter)
	go p.keepConnected(ctx)
	for _, serve := range []func() error{
		func() error { return p.Peers.Serve(l.peers) },
		func() error { return p.Front.Serve(l.callers) },
		func() error { return p.Admin.serveReady(l.ready) },
		func() error { return p.Admin.serve(l.admin) },
	} {
		go func() {
			if err := serve(); err != nil {
				p.Log.Warn("a server ended", "error", err.Error())
				// The process exits and is restarted with all of its ports.
				_ = p.Shutdown.Shutdown(fx.ExitCode(daemon.ExitFailed))
			}
		}()
	}
}

// bootstrap asks other nodes for a snapshot of the store.
func (p *components) bootstrap(ctx context.Context, registered []directory.Registration) {
	p.Follower.Bootstrap(ctx, p.peersOf(registered))
}

// peersOf returns the nodes beside registered backend servers.
func (p *components) peersOf(registered []directory.Registration) map[string]mesh.Peer {
	s := p.Settings
	peers := make(map[string]mesh.Peer, len(registered))
	for _, r := range registered {
		addr, distance, err := r.Peer(s.Here, s.Regions, s.PeersPort())
		if err != nil {
			// The directory drops such a target as well.
			continue
		}
		peers[addr] = mesh.Peer{Zone: r.Zone, Distance: distance}
	}
	return peers
}

// needsSnapshot reports whether the node has nothing in force yet.
func (p *components) needsSnapshot() bool { return p.Entry.View() == nil }

const (
	// connectInterval is the pause between checks for nodes to which no connection is
	// open. Load reports arrive over these connections.
	connectInterval = 500 * time.Millisecond
	// connectTimeout bounds opening one connection.
	connectTimeout = 500 * time.Millisecond
)

// keepConnected keeps connections open to the nodes of the local region, and, if the node reads
// the store, to the likely readers of all zones.
func (p *components) keepConnected(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
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
				p.connect(ctx, addr)
			}
		}
		if !p.Source.Reading() {
			continue
		}
		for _, addr := range p.Readers.RemoteReaders() {
			p.connect(ctx, addr)
		}
	}
}

// connect opens a connection if none is open. It ignores failures: the next check tries again,
// and requests to the node fail visibly.
func (p *components) connect(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	_ = p.Client.Warm(ctx, addr)
}

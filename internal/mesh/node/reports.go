package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
)

// reports hands load reports of other nodes to the targets they are about.
type reports struct {
	now clock.Clock
	// byPeer finds the targets beside a node.
	byPeer atomic.Pointer[map[string]*mesh.Target]
	// heard is when a report last came, in nanoseconds since the start.
	heard atomic.Int64
	// listener is told of each report.
	listener atomic.Pointer[func(addr string, l mesh.Load)]
}

func newReports(now clock.Clock) *reports { return &reports{now: now} }

func (r *reports) setView(v *mesh.View) {
	byPeer := map[string]*mesh.Target{}
	for _, list := range v.Targets {
		for _, t := range list {
			byPeer[t.Peer] = t
		}
	}
	r.byPeer.Store(&byPeer)
}

// onReport sets what is told of each report.
func (r *reports) onReport(f func(addr string, l mesh.Load)) { r.listener.Store(&f) }

// aloneAfter is how long nothing comes from any node before the node takes itself
// for alone: two of the reports that come in any case.
const aloneAfter = 2*tellAnyway + tellAnyway/2

// alone says whether the node hears of no other.
func (r *reports) alone() bool { return r.now()-time.Duration(r.heard.Load()) > aloneAfter }

// Reported takes the load of the backend server beside the node at addr.
func (r *reports) Reported(addr string, l mesh.Load) {
	r.heard.Store(int64(r.now()))
	if listener := r.listener.Load(); listener != nil {
		(*listener)(addr, l)
	}
	targets := r.byPeer.Load()
	if targets == nil {
		return
	}
	if t := (*targets)[addr]; t != nil {
		t.Stat.Report(l, r.now())
	}
}

const (
	// tellEvery is the least pause between two load reports to the nodes that use the
	// backend server.
	tellEvery = 60 * time.Millisecond
	// tellAlways is the longest pause while anything runs or waits.
	tellAlways = 250 * time.Millisecond
	// tellAnyway is the longest pause between two reports to the whole region: they
	// show that the node is there, its load, and what it has seen of the store.
	tellAnyway = time.Second
)

// reporter is the guard as other nodes see it, with what its node has to do with
// the store.
type reporter struct {
	*guard.Guard
	reading atomic.Pointer[func() bool]
}

func newReporter(g *guard.Guard) *reporter { return &reporter{Guard: g} }

// reads sets what says whether the node reads the store.
func (r *reporter) reads(f func() bool) { r.reading.Store(&f) }

// Load gives the load to tell other nodes.
func (r *reporter) Load() mesh.Load {
	l := r.Guard.Load()
	if reading := r.reading.Load(); reading != nil {
		l.Reading = (*reading)()
	}
	return l
}

// teller tells other nodes the load of the own backend server when it changes.
type teller struct {
	wake   chan struct{}
	urgent atomic.Bool
}

func newTeller() *teller { return &teller{wake: make(chan struct{}, 1)} }

// changed notes that there is something to tell; urgent news go to all regions.
func (t *teller) changed(urgent bool) {
	if urgent {
		t.urgent.Store(true)
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run tells until ctx ends.
func (t *teller) run(ctx context.Context, peers *peer.Server, r *reporter) {
	told := telling{}
	ticker := time.NewTicker(tellAlways)
	defer ticker.Stop()
	for {
		select {
		case <-t.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l := r.Load()
		if reach, due := told.next(l, t.urgent.Swap(false), time.Now()); due {
			peers.Tell(l, reach)
		}
		clock.Sleep(ctx, tellEvery)
	}
}

// telling is what was told last, and when.
type telling struct {
	load mesh.Load
	// region is when all nodes of the region were last told.
	region time.Time
}

// next says whether a load is to be told now, and to whom.
//
// Changes of load go to those who use the backend server: told to a whole region of a
// hundred nodes, they would be most of the bytes between its availability zones. News of the
// store that a node was told itself wait for the next report to the region: told by all nodes
// to all, each change in the store would be as many frames as the square of their number.
func (t *telling) next(l mesh.Load, urgent bool, now time.Time) (reach peer.Reach, due bool) {
	anyway := tellAnyway
	if l.Reading {
		anyway = reader.ReportEvery
	}
	changed := l != t.load
	turned := l.Reading != t.load.Reading
	news := turned || l.Revision != t.load.Revision
	switch {
	case urgent, news && l.Reading:
		reach = peer.Everybody
	case turned, now.Sub(t.region) >= anyway:
		reach = peer.Region
	case !changed:
		return 0, false
	}
	t.load = l
	if reach > peer.Users {
		t.region = now
	}
	return reach, true
}

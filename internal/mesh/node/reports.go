package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
)

// reportDispatcher passes load reports of other nodes to the targets they are about.
type reportDispatcher struct {
	now clock.Clock
	// byPeer maps the address of a node to the target beside it.
	byPeer atomic.Pointer[map[string]*mesh.Target]
	// lastReportAt is when the last report arrived, in nanoseconds since the start.
	lastReportAt atomic.Int64
	// listener is called with each report.
	listener atomic.Pointer[func(addr string, l mesh.Load)]
}

func newReportDispatcher(now clock.Clock) *reportDispatcher { return &reportDispatcher{now: now} }

func (r *reportDispatcher) setView(v *mesh.View) {
	byPeer := map[string]*mesh.Target{}
	for _, list := range v.Targets {
		for _, t := range list {
			byPeer[t.Peer] = t
		}
	}
	r.byPeer.Store(&byPeer)
}

// onReport sets the function to call with each report.
func (r *reportDispatcher) onReport(f func(addr string, l mesh.Load)) { r.listener.Store(&f) }

// isolatedAfter is how long no report may arrive from any node before the node considers
// itself isolated: the time of two regular reports and a half.
const isolatedAfter = 2*regionReportInterval + regionReportInterval/2

// isolated reports whether the node receives no reports from other nodes.
func (r *reportDispatcher) isolated() bool {
	return r.now()-time.Duration(r.lastReportAt.Load()) > isolatedAfter
}

// Reported records the load of the backend server beside the node at addr.
func (r *reportDispatcher) Reported(addr string, l mesh.Load) {
	r.lastReportAt.Store(int64(r.now()))
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
	// minReportInterval is the shortest pause between two load reports to the nodes that
	// use the backend server.
	minReportInterval = 60 * time.Millisecond
	// reportCheckInterval is the longest pause between two checks whether a report is due.
	reportCheckInterval = 250 * time.Millisecond
	// regionReportInterval is the longest pause between two reports to the whole region.
	// They show that the node is alive, its load and its store revision.
	regionReportInterval = time.Second
)

// reportingGuard is the guard as other nodes see it: its load reports include whether the
// node reads the store, how nested calls fare and the state of its link, and it refuses requests
// whose answers the link has no room for.
type reportingGuard struct {
	*guard.Guard
	calls   *calladmission.Recorder
	uplink  *peer.Uplink
	reading atomic.Pointer[func() bool]
}

func newReportingGuard(g *guard.Guard, calls *calladmission.Recorder, u *peer.Uplink) *reportingGuard {
	return &reportingGuard{Guard: g, calls: calls, uplink: u}
}

// Run runs a request of another node, or refuses it.
func (r *reportingGuard) Run(ctx context.Context, request *mesh.Request) (*mesh.Answer, *kind.Error) {
	if wait, full := r.uplink.Full(); full {
		if e := r.RefuseBulk(request, wait); e != nil {
			r.uplink.CountRefusal()
			return nil, e
		}
	}
	return r.Guard.Run(ctx, request)
}

// setReading sets the function that reports whether the node reads the store.
func (r *reportingGuard) setReading(f func() bool) { r.reading.Store(&f) }

// Load returns the load to report to other nodes.
func (r *reportingGuard) Load() mesh.Load {
	l := r.Guard.Load()
	l.LinkRate, l.LinkBacklog = r.uplink.Load()
	if reading := r.reading.Load(); reading != nil {
		l.ReadsStore = (*reading)()
	}
	l.CallsTo, l.CallSuccess = r.calls.Lowest(r.Now())
	return l
}

// loadSender sends the load of the local backend server to other nodes when it changes.
type loadSender struct {
	wake   chan struct{}
	urgent atomic.Bool
}

func newLoadSender() *loadSender { return &loadSender{wake: make(chan struct{}, 1)} }

// changed records that there is a change to report; an urgent one goes to all regions.
func (s *loadSender) changed(urgent bool) {
	if urgent {
		s.urgent.Store(true)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends reports until ctx ends.
func (s *loadSender) run(ctx context.Context, peers *peer.Server, r *reportingGuard) {
	schedule := reportSchedule{}
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l := r.Load()
		if reach, due := schedule.next(l, s.urgent.Swap(false), time.Now()); due {
			peers.SendLoad(l, reach)
		}
		clock.Sleep(ctx, minReportInterval)
	}
}

// reportSchedule decides when to send load reports; load is the last one sent.
type reportSchedule struct {
	load mesh.Load
	// region is when the last report was sent to the whole region.
	region time.Time
}

// next reports whether a load report is due now, and which nodes receive it.
//
// Changes of load go to the nodes that use the backend server: sent to a whole region of a
// hundred nodes, they would be most of the traffic between its availability zones. A store
// revision received from another node waits for the next report to the region: if all nodes
// reported it to all others, each change in the store would cause a number of messages that
// is quadratic in the number of nodes.
func (s *reportSchedule) next(l mesh.Load, urgent bool, now time.Time) (reach peer.Scope, due bool) {
	interval := regionReportInterval
	if l.ReadsStore {
		interval = reader.ReportInterval
	}
	changed := l != s.load
	readingChanged := l.ReadsStore != s.load.ReadsStore
	storeChanged := readingChanged || l.Revision != s.load.Revision
	switch {
	case urgent, storeChanged && l.ReadsStore:
		reach = peer.ScopeAll
	case readingChanged, now.Sub(s.region) >= interval:
		reach = peer.ScopeRegion
	case !changed:
		return 0, false
	}
	s.load = l
	if reach > peer.ScopeSenders {
		s.region = now
	}
	return reach, true
}

package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

const (
	// probeCheckInterval is how often the age of the load report is checked. The load of
	// neighbours on shared machines changes a few times a second; a report older than
	// half of such a phase is misleading.
	probeCheckInterval = 100 * time.Millisecond
	// staleLoadAge is the age of the load report from which the backend server is probed
	// while requests arrive.
	staleLoadAge = 120 * time.Millisecond
	// busyPeriod is how long after a request the load report is kept fresh.
	busyPeriod = 500 * time.Millisecond
	// idleProbeInterval is the time between probes while no requests arrive. Entries
	// that look for a free target need the load of an idle one as well.
	idleProbeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

// Probe requests the load from the backend server whenever responses to requests don't
// report it often enough, until ctx ends.
func (g *Guard) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		g.ProbeIfDue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ProbeIfDue requests the load if the last report of it is too old.
func (g *Guard) ProbeIfDue(ctx context.Context) {
	if g.probeDue() {
		g.probe(ctx)
	}
	// The slowness also ends by its decay, without a request.
	g.noteSlowness()
}

func (g *Guard) probeDue() bool {
	if g.probeTarget() == nil {
		return false
	}
	age := g.Now() - time.Duration(g.reportedAt.Load())
	if g.reportedAt.Load() == 0 || g.awaitsRestart() {
		return true
	}
	if g.announcedLeaving.Load() {
		return age >= leavingProbeInterval
	}
	if g.limited() {
		return age >= g.limitedProbeInterval()
	}
	if g.Now()-time.Duration(g.lastRequestAt.Load()) < busyPeriod {
		return age >= staleLoadAge
	}
	return age >= idleProbeInterval
}

// probeTarget returns the backend server to probe, or nil if it must not be probed: it isn't
// registered, or its zone is evacuated.
func (g *Guard) probeTarget() *mesh.Target {
	v := g.view.Load()
	if v == nil || v.LocalTarget == nil || v.EvacuatedZones[v.LocalTarget.Zone] {
		return nil
	}
	return v.LocalTarget
}

// probe asks the backend server for its load and returns it. It returns false if there is no answer,
// or a probe is in progress already.
func (g *Guard) probe(ctx context.Context) (mesh.BackendLoad, bool) {
	if g.probing.Swap(true) {
		return mesh.BackendLoad{}, false
	}
	defer g.probing.Store(false)
	target := g.probeTarget()
	if target == nil {
		// The registration may end while requests that arrived before still wait.
		return mesh.BackendLoad{}, false
	}
	probe := g.probeMessage(target)
	if probe == nil {
		return mesh.BackendLoad{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.probes.Add(1)
	// Set before the exchange, so that a failed probe is repeated only after the usual
	// interval.
	asked := g.Now()
	g.reportedAt.Store(int64(asked))
	answer, failure := g.Backend.Do(ctx, probe, func() bool { return true })
	if failure != nil {
		return mesh.BackendLoad{}, false
	}
	g.noteAnswer()
	if id := answer.Header.Get(g.Dialect.Headers.Target); id == "" || id == target.ID {
		g.recordNotices(answer.Header)
	}
	g.recordColdness(asked, answer.Header)
	return g.recordLoad(answer.Header)
}

// probeMessage returns a request for the backend server's health, or nil if its service has no path for that.
func (g *Guard) probeMessage(target *mesh.Target) *exchange.Message {
	service := g.view.Load().Config.Services[g.Here.Service]
	if service == nil || service.HealthPath == "" {
		return nil
	}
	return &exchange.Message{Method: http.MethodGet, URI: service.HealthPath, Host: target.Addr, Header: http.Header{}}
}

// mayServe reports whether the backend server may serve requests. It doesn't if something answers a probe in
// its place, or nothing listens.
func (g *Guard) mayServe(ctx context.Context) bool {
	target := g.probeTarget()
	if target == nil {
		return true
	}
	probe := g.probeMessage(target)
	if probe == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.probes.Add(1)
	_, failure := g.Backend.Do(ctx, probe, func() bool { return true })
	return failure == nil || !failure.ByIntermediary() && failure.Outcome != exchange.Unreachable
}

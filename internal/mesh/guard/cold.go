package guard

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// permitCold takes a permit of the limit for a cold backend server. Without one, it has the backend
// server asked whether it is cold at all.
func (g *Guard) permitCold() bool {
	if g.cold.Permit(g.Now()) {
		return true
	}
	if !g.cold.Cold(g.Now()) {
		go g.probeWithin(refreshTimeout)
	}
	return false
}

// expectedColdWait returns how long the n-th request from now is expected to wait: 0 unless the
// backend server is known to be cold, as its answer to the probe takes a moment and is expected to
// lift the limit.
func (g *Guard) expectedColdWait(n int) time.Duration {
	now := g.Now()
	if !g.cold.Cold(now) {
		return 0
	}
	each := float64(time.Second) / g.cold.Rate().PerSecond
	return g.cold.NextPermit(now) + time.Duration(each*float64(n-1))
}

// probeWithin probes the backend server with a timeout.
func (g *Guard) probeWithin(timeout time.Duration) (mesh.BackendLoad, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return g.probe(ctx)
}

// recordColdness records whether the backend server is cold, from the answer to a probe that was
// sent at asked.
func (g *Guard) recordColdness(asked time.Duration, h http.Header) {
	names := g.Dialect.Headers
	if !g.cold.Limited() || h.Get(names.Target) == "" {
		return
	}
	now := g.Now()
	wasCold := g.cold.Cold(now)
	remaining := coldRemaining(h.Get(names.ColdRemainingMs))
	if remaining > 0 {
		g.cold.ReportCold(remaining, now)
		g.slowdown.setWarmAt(now + remaining)
	} else {
		g.cold.ReportWarm(asked, now)
	}
	g.gate.Dispatch()
	if isCold := remaining > 0; isCold != wasCold {
		g.Log.Event("backend server's cold start began or ended", "cold", isCold, "remaining_ms", remaining.Milliseconds())
		g.LoadChanged(true)
	}
}

// coldRemaining parses for how much longer a backend server reports to be cold; 0 means that it
// is warm or doesn't report it.
func coldRemaining(ms string) time.Duration {
	v, err := strconv.ParseFloat(ms, 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return time.Duration(min(v, maxColdMs) * float64(time.Millisecond))
}

// maxColdMs bounds a reported cold start, in milliseconds, against overflow.
const maxColdMs = 3600e3

// reportedSlots returns the number of slots to report to entries. While the backend server is cold,
// these are as many as its limited rate keeps in use.
func (g *Guard) reportedSlots(limit int, serviceTime time.Duration) int {
	if !g.cold.Cold(g.Now()) || !g.cold.Limited() || serviceTime == 0 {
		return limit
	}
	usable := g.cold.Rate().PerSecond * serviceTime.Seconds()
	return max(min(limit, int(usable+roundingSlack)), 1)
}

// permitLifetime is how long after its permit a request may be sent to the backend server. Requests
// that are held up longer need another permit, as they could otherwise arrive together with later
// ones.
const permitLifetime = 100 * time.Millisecond

// renewPermit reports whether a request may be sent now: its permit is valid, or there is another
// one.
func (g *Guard) renewPermit(s *requestState) bool {
	now := g.Now()
	if now-s.permittedAt > permitLifetime {
		if !g.cold.Permit(now) {
			return false
		}
		s.permittedAt = now
	}
	return true
}

// awaitPermit waits until a request that was held up after its permit has another one.
func (g *Guard) awaitPermit(ctx context.Context, s *requestState, deadline time.Duration) *kind.Error {
	for !g.renewPermit(s) {
		if !g.cold.Cold(g.Now()) {
			g.probeWithin(refreshTimeout)
			if g.renewPermit(s) {
				return nil
			}
		}
		wait := g.cold.NextPermit(g.Now())
		if g.Now()+wait+s.minRemaining() > deadline || !clock.Sleep(ctx, min(max(wait, time.Millisecond), recoveryCheckInterval)) {
			e := kind.New(kind.Overloaded, "the backend server is cold and has no room for the request")
			e.Wait, e.RetryAfter = wait, wait
			return e
		}
	}
	return nil
}

// setColdRate applies the limit of the service's cold backend servers.
func (g *Guard) setColdRate(v *mesh.View) {
	if s := v.Config.Services[g.Here.Service]; s != nil {
		g.cold.SetRate(g.ColdStart.Rate(s.ColdPerSecond), g.Now())
	}
}

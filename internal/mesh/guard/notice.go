package guard

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/ratelimit"
)

// recordLimit applies the limit that the backend server names in the headers of a response. It is
// in force until a response names another one or none. One that can't be read changes nothing.
func (g *Guard) recordLimit(h http.Header) {
	values := h.Values(g.Dialect.Headers.RequestsPerSecond)
	if len(values) == 0 {
		if g.limit.Lift() {
			g.limitChanged("limited", false)
		}
		return
	}
	perSecond, err := parseLimit(values)
	if err != nil {
		g.Log.InfoLimited("backend server's limit can't be read", "error", err.Error())
		return
	}
	if g.limit.SetLimit(perSecond, g.Now()) {
		g.limitChanged("limited", true, "per_second", perSecond)
	}
}

// limitChanged makes a change of the limit known.
func (g *Guard) limitChanged(pairs ...any) {
	g.gate.Dispatch()
	g.Log.InfoLimited("backend server's limit changed", pairs...)
	g.LoadChanged(true)
}

// recordLeaving records whether the backend server says in the headers of a response that it leaves.
// It gets no new requests from then on, whatever its registration says.
func (g *Guard) recordLeaving(h http.Header) {
	value := h.Get(g.Dialect.Headers.Leaving)
	g.setAnnouncedLeaving(value != "" && value != "0")
}

func (g *Guard) setAnnouncedLeaving(leaving bool) {
	if g.announcedLeaving.Swap(leaving) == leaving {
		return
	}
	g.admission.update(g.accepts)
	g.Log.InfoLimited("backend server says whether it leaves", "leaving", leaving)
	g.LoadChanged(true)
}

// recordNotices applies what the backend server says about itself in the headers of a response.
func (g *Guard) recordNotices(h http.Header) {
	g.recordLimit(h)
	g.recordLeaving(h)
	g.heard.Store(true)
}

const (
	// firstAnswerAttempts is how often a backend server is probed before the first request is sent
	// without an answer, and firstAnswerPause the pause between two probes.
	firstAnswerAttempts = 15
	firstAnswerPause    = 5 * time.Millisecond
)

// awaitFirstAnswer waits for the first answer of the backend server since the node started. Other
// nodes may already have passed on answers with a limit or a notice that it leaves.
func (g *Guard) awaitFirstAnswer(ctx context.Context) {
	for !g.heard.Load() && g.accepts() {
		if g.probes.Load() >= firstAnswerAttempts || !g.hasHealthPath() {
			g.heard.Store(true)
			return
		}
		g.probeWithin(refreshTimeout)
		if !g.heard.Load() && !clock.Sleep(ctx, firstAnswerPause) {
			return
		}
	}
}

// hasHealthPath reports whether the backend server can be probed at all.
func (g *Guard) hasHealthPath() bool {
	v := g.view.Load()
	if v == nil {
		return false
	}
	service := v.Config.Services[g.Here.Service]
	return service != nil && service.HealthPath != ""
}

var errNoLimit = eris.New("not a number of 0 or more")

// parseLimit returns the lowest of the limits, which may stand in several headers.
func parseLimit(values []string) (float64, error) {
	lowest, err := math.Inf(1), error(nil)
	for _, text := range strings.Split(strings.Join(values, ","), ",") {
		v, parseError := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if parseError != nil || !(v >= 0) || math.IsInf(v, 0) {
			err = errors.Join(err, eris.Wrapf(errNoLimit, "%q", text))
			continue
		}
		lowest = min(lowest, v)
	}
	if math.IsInf(lowest, 1) {
		return 0, err
	}
	return lowest, nil
}

const (
	// permitsPerProbe is how many permits of a limited backend server accumulate between two probes:
	// these are few in comparison with the requests.
	permitsPerProbe = 4
	// minLimitedProbeInterval is the shortest time without a response after which it is probed.
	minLimitedProbeInterval = time.Second
	// leavingProbeInterval is the time between two probes of a backend server that says that it
	// leaves, as it may take that back.
	leavingProbeInterval = time.Second
)

// limitedProbeInterval is the time without a response after which a limited backend server is
// probed, as its responses show when the limit is lifted.
func (g *Guard) limitedProbeInterval() time.Duration {
	return min(max(permitsPerProbe*g.limit.Interval(), minLimitedProbeInterval), ratelimit.MaxInterval)
}

// limited reports whether the backend server names a limit.
func (g *Guard) limited() bool {
	_, limited := g.limit.Limit()
	return limited
}

// LimitPerSecond returns the limit that the backend server names, in requests per second, or
// infinity.
func (g *Guard) LimitPerSecond() float64 {
	if perSecond, limited := g.limit.Limit(); limited {
		return perSecond
	}
	return math.Inf(1)
}

// followRegistration forgets what the backend server said about itself when another process has
// registered; target is nil while none has.
func (g *Guard) followRegistration(target *mesh.Target) {
	if target == nil || target.ID == g.registeredAs {
		return
	}
	g.registeredAs = target.ID
	g.slowdown.forgetSlowness()
	if g.limit.Lift() {
		g.limitChanged("limited", false)
	}
	g.setAnnouncedLeaving(false)
}

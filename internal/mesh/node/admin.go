package node

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Paths on the operators' port.
const (
	// PathMetrics serves all metrics, PathNodeMetrics only the node's counters and
	// gauges without labels.
	PathMetrics     = "/metrics"
	PathNodeMetrics = "/metrics/node"
	// PathState serves a dump of the node's state.
	PathState = "/state"
)

// admin serves the platform's readiness check and the operators' port.
type admin struct {
	readyPath string
	entry     *entry.Entry
	guard     *reportingGuard
	metrics   *metrics.Metrics
	suspects  *quarantine.Tracker
	uplink    *peer.Uplink
	now       clock.Clock
	stopping  atomic.Bool
}

func newAdmin(p Platform, e *entry.Entry, g *reportingGuard, m *metrics.Metrics, q *quarantine.Tracker, u *peer.Uplink, now clock.Clock) *admin {
	gin.SetMode(gin.ReleaseMode)
	return &admin{readyPath: p.ReadyPath, entry: e, guard: g, metrics: m, suspects: q, uplink: u, now: now}
}

// adminTimeout bounds reading a request's header on these ports, and adminHeader its size in bytes.
const (
	adminTimeout = 5 * time.Second
	adminHeader  = 32 << 10
)

func serveHTTP(l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: adminTimeout, MaxHeaderBytes: adminHeader}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveReady serves the readiness check. The node accepts callers while it has a
// configuration and a list of targets and is not stopping.
func (a *admin) serveReady(l net.Listener) error {
	r := gin.New()
	r.GET(a.readyPath, func(c *gin.Context) {
		if a.entry.View() == nil || a.stopping.Load() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return serveHTTP(l, r)
}

// serve serves the operators' port.
func (a *admin) serve(l net.Listener) error {
	r := gin.New()
	r.GET(PathMetrics, gin.WrapH(promhttp.HandlerFor(a.metrics.Registry, promhttp.HandlerOpts{})))
	r.GET(PathNodeMetrics, gin.WrapH(promhttp.HandlerFor(a.metrics.Node, promhttp.HandlerOpts{})))
	r.GET(PathState, func(c *gin.Context) { c.JSON(http.StatusOK, a.state()) })
	return serveHTTP(l, r)
}

// state is the JSON dump of a node's state.
type state struct {
	Stopping bool `json:"stopping"`
	// Config is the version in force, 0 if none; Revision is the store's.
	Config   uint64 `json:"config"`
	Revision uint64 `json:"revision"`
	// Reading is true if the node reads the store itself.
	Reading bool      `json:"reading"`
	Active  int       `json:"active"`
	Load    mesh.Load `json:"load"`
	// Scheduling are the ranks of requests at the backend server; it is left out while goodput scheduling
	// isn't in force.
	Scheduling []gate.RankState `json:"scheduling,omitempty"`
	// Link is the scheduling of the bytes that the node sends to others.
	Link peer.UplinkState `json:"link"`
	// MeasuredSlowness is included in the slowdown of Load; 1 is none.
	MeasuredSlowness float64 `json:"measured_slowness"`
	// EvacuatedZones are the zones whose targets get no new requests.
	EvacuatedZones []string `json:"evacuated_zones"`
	// Suspects are the requests that may crash backend servers.
	Suspects []wire.Suspect `json:"suspects"`
	// CallAdmissions are the shares of requests that are admitted by the calls that their runs make.
	CallAdmissions []calladmission.State `json:"call_admissions"`
	Targets        []targetState         `json:"targets"`
}

type targetState struct {
	ID       string        `json:"id"`
	Service  string        `json:"service"`
	Addr     string        `json:"address"`
	Zone     string        `json:"zone"`
	Region   string        `json:"region"`
	Estimate mesh.Estimate `json:"estimate"`
}

func (a *admin) state() state {
	s := state{Stopping: a.stopping.Load(), Active: a.entry.Active(), Load: a.guard.Load(), Suspects: a.suspects.Dump(), CallAdmissions: a.entry.CallAdmissions(), Link: a.uplink.State()}
	s.Reading = s.Load.ReadsStore
	if schedule := a.guard.Schedule(); schedule.InForce {
		s.Scheduling = schedule.Ranks
	}
	s.MeasuredSlowness = a.guard.MeasuredSlowness()
	v := a.entry.View()
	if v == nil {
		return s
	}
	s.Config, s.Revision = v.Config.Version, v.Revision
	s.EvacuatedZones = slices.Sorted(maps.Keys(v.EvacuatedZones))
	for _, list := range v.Targets {
		for _, t := range list {
			s.Targets = append(s.Targets, targetState{t.ID, t.Service, t.Addr, t.Zone, t.Region, t.Stat.Estimate(a.now())})
		}
	}
	return s
}

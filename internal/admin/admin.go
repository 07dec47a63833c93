// Package admin implements a node's read-only HTTP API, which has its own address.
package admin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// Paths of the API.
const (
	PathMetrics   = "/metrics"
	PathHealth    = "/v1/health"
	PathReady     = "/v1/ready"
	PathStatus    = "/v1/status"
	PathDump      = "/v1/dump"
	PathConfig    = "/v1/config"
	PathDocuments = "/v1/config/documents"
	PathTeams     = "/v1/teams"
	PathRefusals  = "/v1/refusals"
	PathExplain   = "/v1/explain"
)

// Node is the state of a node that the API exposes. Its methods are safe for
// concurrent use.
type Node interface {
	// Dump returns a copy of the control tables; ok is false while the node is stopping.
	Dump() (d core.Dump, ok bool)
	// View returns the view of the fleet that requests use, or nil.
	View() *pick.View
	Load() gate.Load
	Attempts() (records, stored int)
	KeyState() attempt.KeyState
	// Limits returns the limits on requests in flight, with their use.
	Limits() []limit.Use
	// Now returns the time since the node started.
	Now() time.Duration
}

type api struct {
	node    Node
	metrics *metrics.Metrics
}

// New returns the API's handler.
func New(n Node, m *metrics.Metrics) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	a := &api{node: n, metrics: m}
	r := gin.New()
	r.HandleMethodNotAllowed = true
	// gin would print each panic to stderr. The error response and the HTTP client's
	// counter are enough to notice it, and clients must not be able to write log
	// lines at will.
	r.Use(gin.RecoveryWithWriter(io.Discard), requireAddressHost)
	r.GET(PathMetrics, gin.WrapH(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})))
	r.GET(PathHealth, func(c *gin.Context) { c.JSON(http.StatusOK, Health{State: "live"}) })
	r.GET(PathReady, a.ready)
	r.GET(PathStatus, a.status)
	r.GET(PathDump, a.dump)
	r.GET(PathConfig, a.config)
	r.GET(PathDocuments, a.documents)
	r.GET(PathTeams, a.teams)
	r.GET(PathRefusals, a.refusals)
	r.GET(PathExplain, a.explain)
	return r
}

// Failure is the body of an error response.
type Failure struct {
	Message string `json:"message"`
}

func fail(c *gin.Context, status int, message string) {
	c.AbortWithStatusJSON(status, Failure{Message: message})
}

// requireAddressHost refuses requests whose Host is a name. Otherwise a page in an
// operator's browser could have its own name resolved to 127.0.0.1 and read the
// loopback API through it (DNS rebinding).
func requireAddressHost(c *gin.Context) {
	host := c.Request.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.Trim(host, "[]")
	if host != "localhost" && net.ParseIP(host) == nil {
		fail(c, http.StatusForbidden, "Host must be an IP address or localhost, not another name")
	}
}

// Health reports that the process is up.
type Health struct {
	State string `json:"state"`
}

// Readiness reports whether the node accepts callers' requests.
type Readiness struct {
	Ready bool   `json:"ready"`
	Why   string `json:"why,omitempty"`
}

func (a *api) ready(c *gin.Context) {
	why := ""
	switch {
	case a.node.View() == nil:
		why = "no configuration is in force yet"
	case !a.running():
		why = "the node is stopping"
	}
	if why != "" {
		c.JSON(http.StatusServiceUnavailable, Readiness{Why: why})
		return
	}
	c.JSON(http.StatusOK, Readiness{Ready: true})
}

func (a *api) running() bool {
	_, ok := a.node.Dump()
	return ok
}

// tables returns the control tables, or responds with an error if the node is
// stopping.
func (a *api) tables(c *gin.Context) (core.Dump, bool) {
	d, ok := a.node.Dump()
	if !ok {
		fail(c, http.StatusServiceUnavailable, "the node is stopping")
	}
	return d, ok
}

// view returns the View in force, or responds with an error if there is none.
func (a *api) view(c *gin.Context) *pick.View {
	v := a.node.View()
	if v == nil {
		fail(c, http.StatusServiceUnavailable, "no configuration is in force yet")
	}
	return v
}

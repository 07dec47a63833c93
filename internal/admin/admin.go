// Package admin is the read-only HTTP API of a node, on an address of its own.
package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// Node is what the API shows of a node. Its methods are safe for concurrent use.
type Node interface {
	Dump() (core.Dump, bool)
	View() *pick.View
	Load() gate.Load
	Attempts() (records, stored int)
}

// Dump is a node's whole state.
type Dump struct {
	Control  core.Dump    `json:"control"`
	Load     gate.Load    `json:"load"`
	Attempts AttemptsDump `json:"attempts"`
}

// AttemptsDump sums up the table of at-most-once attempts.
type AttemptsDump struct {
	Records     int `json:"records"`
	StoredBytes int `json:"stored_bytes"`
}

// New returns the API's handler.
func New(n Node, metrics *prometheus.Registry) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})))
	r.GET("/v1/dump", func(c *gin.Context) { dump(c, n) })
	r.GET("/v1/health", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"state": "live"}) })
	r.GET("/v1/ready", func(c *gin.Context) { ready(c, n) })
	return r
}

func dump(c *gin.Context, n Node) {
	control, ok := n.Dump()
	if !ok {
		c.JSON(http.StatusServiceUnavailable, gin.H{"message": "the node is stopping"})
		return
	}
	records, stored := n.Attempts()
	c.JSON(http.StatusOK, Dump{Control: control, Load: n.Load(), Attempts: AttemptsDump{records, stored}})
}

func ready(c *gin.Context, n Node) {
	if n.View() == nil {
		c.JSON(http.StatusServiceUnavailable, gin.H{"ready": false})
		return
	}
	c.JSON(http.StatusOK, gin.H{"ready": true})
}

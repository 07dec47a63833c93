package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// Explanation describes how the node would handle a request now, and why.
type Explanation struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	// Route is the route that applies; empty if none matches.
	Route string `json:"route"`
	Runs  string `json:"runs"`
	Class int    `json:"class"`
	// Timeout is the default deadline of a request, MaxTimeout the longest that a
	// request may ask for; both as durations.
	Timeout    string `json:"timeout"`
	MaxTimeout string `json:"max_timeout"`
	Hops       int    `json:"hops"`
	// HedgeAfter is the time without an answer after which a request is also sent to a
	// second target; empty if requests aren't hedged.
	HedgeAfter string        `json:"hedge_after,omitempty"`
	Policy     string        `json:"policy"`
	Limits     []Limit       `json:"limits"`
	Targets    []TargetState `json:"targets"`
	// Chosen is the target that a request would go to first; empty if there is none.
	Chosen string `json:"chosen"`
	Why    string `json:"why"`
}

// Limit is a limit that applies to the request.
type Limit struct {
	What  string `json:"what"`
	Value int    `json:"value"`
}

// explain describes how a request would be handled, given by the parameters service
// or host, method and path.
func (a *api) explain(c *gin.Context) {
	v := a.view(c)
	if v == nil {
		return
	}
	name, host := c.Query("service"), c.Query("host")
	method, path := strings.ToUpper(c.DefaultQuery("method", http.MethodGet)), c.DefaultQuery("path", "/")
	if name == "" && host == "" {
		fail(c, http.StatusBadRequest, "service or host is required")
		return
	}
	if !strings.HasPrefix(path, "/") {
		fail(c, http.StatusBadRequest, fmt.Sprintf("path %q doesn't start with /", path))
		return
	}
	declared := v.Config.Lookup(name, host)
	if declared == nil {
		fail(c, http.StatusNotFound, fmt.Sprintf("no service %q is declared", name+host))
		return
	}
	c.JSON(http.StatusOK, explanation(v, v.Services[declared.Name], method, path, a.node.Now()))
}

func explanation(v *pick.View, s *pick.Service, method, path string, now time.Duration) Explanation {
	e := Explanation{
		Service: s.Name, Team: s.Team, Runs: fleet.RunsAtMostOnce, Hops: s.Hops, Policy: s.Policy,
		Timeout: s.Timeout.String(), MaxTimeout: s.MaxTimeout.String(), Targets: []TargetState{},
	}
	route := s.Match(method, path)
	if route != nil {
		e.Route, e.Runs, e.Class, e.Hops = route.Name, route.Runs(), route.Class, s.HopsFor(route)
	}
	if after := s.HedgeDelay(); after > 0 && route != nil && route.Idempotent && s.HedgePercent > 0 {
		e.HedgeAfter = after.String()
	}
	e.Limits = limits(v, s, route)
	for _, t := range s.Targets {
		e.Targets = append(e.Targets, stateOf(v, t, now))
	}
	e.Why = "no target has a known address: the answer would be no-target"
	request := &pick.Selection{Draw: pick.Draw{Now: now, Rand: pick.SharedRand}}
	if chosen := s.Choose(request); chosen != nil {
		e.Chosen = chosen.Place.VM
		e.Why = selectionReason(v, s, chosen, now)
	}
	return e
}

func selectionReason(v *pick.View, s *pick.Service, chosen *pick.Target, now time.Duration) string {
	reason := fmt.Sprintf("chosen by policy %s (%s)", s.Policy, distance(v, chosen))
	switch {
	case chosen.Leaving:
		reason += ", though it is said to leave, because every other does too; its node refuses if so"
	case chosen.Stat.Excluded(now):
		reason += ", though it is passed over for now, because nothing better is left"
	case chosen.Region != v.Here.Region && anyUsable(s.Targets[:s.InRegion], now):
		reason += ", because a part of the requests leaves the own region while that is slower than the way there"
	case chosen.Region != v.Here.Region:
		reason += ", because the own region has no usable target"
	}
	return reason + "; another request may go to another target"
}

func anyUsable(targets []*pick.Target, now time.Duration) bool {
	return slices.ContainsFunc(targets, func(t *pick.Target) bool {
		return !t.Leaving && t.Guard != "" && !t.Stat.Excluded(now)
	})
}

// limits returns the limits that apply to a request; unset limits are omitted.
func limits(v *pick.View, s *pick.Service, route *fleet.Route) []Limit {
	list := []Limit{
		{"queue at each target", s.Queue},
		{"retries in percent of requests", s.RetryPercent},
	}
	if s.HedgePercent > 0 {
		list = append(list, Limit{"hedged requests in percent of requests", s.HedgePercent})
	}
	if route != nil && route.InFlight > 0 {
		list = append(list, Limit{"route " + route.Name + ": requests at once here", route.InFlight})
	}
	if s.InFlight > 0 {
		list = append(list, Limit{"service " + s.Name + ": requests at once here", s.InFlight})
	}
	for _, t := range v.Config.Index.Fleet.Teams {
		if t.Name == s.Team && t.InFlight > 0 {
			list = append(list, Limit{"team " + t.Name + ": requests at once here", t.InFlight})
		}
	}
	return list
}

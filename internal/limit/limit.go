// Package limit bounds the requests in flight of each service, team and route
// at one node, before a target is chosen, so that excess load of one team is
// refused at that team's limit and doesn't affect the others.
package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	// reserve is the inverse of the share of a limit that is reserved for the
	// highest class of routes under it: reads are refused while bookings still pass.
	reserve = 10
	// retryAfter is the shortest delay that a refused caller is asked to wait. A
	// random delay of up to the same length is added, so that callers refused
	// together don't retry together.
	retryAfter = time.Second
)

// Scope is the kind of object that a limit applies to.
type Scope string

// The scopes.
const (
	Team    Scope = "team"
	Service Scope = "service"
	Route   Scope = "route"
)

// Row counts the requests in flight under one limit. Safe for concurrent use.
type Row struct {
	Scope Scope
	Name  string
	// limit is 0 if there is no limit.
	limit    atomic.Int64
	inFlight atomic.Int64
	refused  atomic.Uint64
}

// acquire counts a request as in flight and reports whether the limit allows it.
// A request below the highest class under the limit can't use the reserve.
func (r *Row) acquire(highest bool) bool {
	limit := r.limit.Load()
	if limit > 0 && !highest {
		limit -= limit / reserve
	}
	if n := r.inFlight.Add(1); limit > 0 && n > limit {
		r.inFlight.Add(-1)
		r.refused.Add(1)
		return false
	}
	return true
}

// Table holds a node's limits. Safe for concurrent use; Admit takes no lock.
type Table struct {
	mu    sync.Mutex
	rows  map[rowKey]*Row
	plans atomic.Pointer[map[string]*plan]
}

type rowKey struct {
	scope Scope
	name  string
}

// plan holds the limits that apply to one service's requests.
type plan struct {
	team, service *Row
	// teamMaxClass and serviceMaxClass are the highest route classes of the team
	// and of the service.
	teamMaxClass, serviceMaxClass int
	routes                        map[string]*Row
}

// New returns a Table that admits everything until SetConfig is called.
func New() *Table {
	t := &Table{rows: map[rowKey]*Row{}}
	t.plans.Store(&map[string]*plan{})
	return t
}

// SetConfig applies the limits of a configuration. Requests in flight stay
// counted.
func (t *Table) SetConfig(c *config.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows
	t.rows = map[rowKey]*Row{}
	teamMaxClass := map[string]int{}
	for _, s := range c.Services {
		teamMaxClass[s.Team] = max(teamMaxClass[s.Team], maxClass(s))
	}
	for _, team := range c.Index.Fleet.Teams {
		t.row(old, Team, team.Name, team.InFlight)
	}
	plans := make(map[string]*plan, len(c.Services))
	for name, s := range c.Services {
		p := &plan{
			team: t.rows[rowKey{Team, s.Team}], service: t.row(old, Service, name, s.InFlight),
			teamMaxClass: teamMaxClass[s.Team], serviceMaxClass: maxClass(s), routes: map[string]*Row{},
		}
		for _, r := range s.Routes {
			p.routes[r.Name] = t.row(old, Route, name+"/"+r.Name, r.InFlight)
		}
		plans[name] = p
	}
	t.plans.Store(&plans)
}

func maxClass(s *config.Service) int {
	top := 0
	for _, r := range s.Routes {
		top = max(top, r.Class)
	}
	return top
}

// row reuses the old row of a limit or creates one. The caller holds the mutex.
func (t *Table) row(old map[rowKey]*Row, scope Scope, name string, limit int) *Row {
	key := rowKey{scope, name}
	r := old[key]
	if r == nil {
		r = &Row{Scope: scope, Name: name}
	}
	r.limit.Store(int64(limit))
	t.rows[key] = r
	return r
}

// Hold is the reservation of an admitted request under its limits.
type Hold struct{ rows [3]*Row }

// Release ends the reservation. It must be called exactly once.
func (h Hold) Release() {
	for _, r := range h.rows {
		if r != nil {
			r.inFlight.Add(-1)
		}
	}
}

// Admit reserves capacity for a request of a service, or refuses it at once. A
// refused request has not run and will not run. route is nil for a request that
// no route matches.
func (t *Table) Admit(service string, route *fleet.Route) (Hold, *kind.Error) {
	p := (*t.plans.Load())[service]
	if p == nil {
		return Hold{}, nil
	}
	class := 0
	var h Hold
	if route != nil {
		class = route.Class
		h.rows[2] = p.routes[route.Name]
	}
	h.rows[0], h.rows[1] = p.team, p.service
	highest := [3]bool{class >= p.teamMaxClass, class >= p.serviceMaxClass, true}
	for i, r := range h.rows {
		if r == nil || r.acquire(highest[i]) {
			continue
		}
		clear(h.rows[i:])
		h.Release()
		return Hold{}, refusal(r)
	}
	return h, nil
}

func refusal(r *Row) *kind.Error {
	e := kind.New(kind.OverLimit, "%s %s has too many requests in flight at this node", r.Scope, r.Name)
	e.RetryAfter = retryAfter + rand.N(retryAfter)
	return e
}

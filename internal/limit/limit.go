// Package limit bounds the requests in flight of each service, team and route
// at one node, before a target is chosen, so that one team's flood ends at its
// own limit and costs the others nothing.
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
	// reserve is the part of a limit, 1/reserve, that is kept for the highest
	// class of routes under it: reads are refused while bookings still pass.
	reserve = 10
	// retryAfter is when a refused caller is told to come back; as long again is
	// added at random, so that callers refused together don't return together.
	retryAfter = time.Second
)

// Scope is what a limit is on.
type Scope string

// The scopes.
const (
	Team    Scope = "team"
	Service Scope = "service"
	Route   Scope = "route"
)

// Row counts what is in flight under one limit. Safe for concurrent use.
type Row struct {
	Scope Scope
	Name  string
	// limit is 0 for none.
	limit    atomic.Int64
	inFlight atomic.Int64
	refused  atomic.Uint64
}

// take counts a request in, if there is room. A request of a lower class than
// the highest one under the limit leaves the reserve alone.
func (r *Row) take(highest bool) bool {
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

// plan is what limits one service's requests.
type plan struct {
	team, service *Row
	// teamTop and serviceTop are the highest classes under either.
	teamTop, serviceTop int
	routes              map[string]*Row
}

// New returns a Table that admits everything until SetConfig is called.
func New() *Table {
	t := &Table{rows: map[rowKey]*Row{}}
	t.plans.Store(&map[string]*plan{})
	return t
}

// SetConfig puts the limits of a configuration in force. What is in flight
// stays counted.
func (t *Table) SetConfig(c *config.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows
	t.rows = map[rowKey]*Row{}
	teamTop := map[string]int{}
	for _, s := range c.Services {
		teamTop[s.Team] = max(teamTop[s.Team], topClass(s))
	}
	for _, team := range c.Index.Fleet.Teams {
		t.row(old, Team, team.Name, team.InFlight)
	}
	plans := make(map[string]*plan, len(c.Services))
	for name, s := range c.Services {
		p := &plan{
			team: t.rows[rowKey{Team, s.Team}], service: t.row(old, Service, name, s.InFlight),
			teamTop: teamTop[s.Team], serviceTop: topClass(s), routes: map[string]*Row{},
		}
		for _, r := range s.Routes {
			p.routes[r.Name] = t.row(old, Route, name+"/"+r.Name, r.InFlight)
		}
		plans[name] = p
	}
	t.plans.Store(&plans)
}

func topClass(s *config.Service) int {
	top := 0
	for _, r := range s.Routes {
		top = max(top, r.Class)
	}
	return top
}

// row takes over an old row or makes a new one. The mutex is held.
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

// Hold is the place of an admitted request under its limits.
type Hold struct{ rows [3]*Row }

// Release gives the place back. It must be called exactly once.
func (h Hold) Release() {
	for _, r := range h.rows {
		if r != nil {
			r.inFlight.Add(-1)
		}
	}
}

// Admit takes a place for a request of a service, or refuses it at once: it has
// not run and will not. route is nil for a request that no route matches.
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
	highest := [3]bool{class >= p.teamTop, class >= p.serviceTop, true}
	for i, r := range h.rows {
		if r == nil || r.take(highest[i]) {
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

package admin

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// Team holds a team's limits and the answers that callers of its services received
// from this node.
type Team struct {
	Name string `json:"name"`
	// Limit is the declared limit on concurrent requests at each node; 0 means none.
	Limit int `json:"in_flight_limit"`
	// InFlight is the current number of concurrent requests at this node.
	InFlight int64         `json:"in_flight"`
	Services []TeamService `json:"services"`
	metrics.Usage
}

// TeamService holds a service's limits and usage.
type TeamService struct {
	Name     string       `json:"name"`
	Limit    int          `json:"in_flight_limit"`
	InFlight int64        `json:"in_flight"`
	Queue    int          `json:"queue_limit"`
	Routes   []RouteLimit `json:"routes"`
	metrics.Usage
}

// RouteLimit holds a route's limits.
type RouteLimit struct {
	Name     string `json:"name"`
	Runs     string `json:"runs"`
	Class    int    `json:"class"`
	Limit    int    `json:"in_flight_limit"`
	InFlight int64  `json:"in_flight"`
}

func (a *api) teams(c *gin.Context) {
	v := a.view(c)
	if v == nil {
		return
	}
	counted := tally{usage: a.metrics.Usage(), inFlight: map[limit.Scope]map[string]int64{}}
	for _, u := range a.node.Limits() {
		if counted.inFlight[u.Scope] == nil {
			counted.inFlight[u.Scope] = map[string]int64{}
		}
		counted.inFlight[u.Scope][u.Name] = u.InFlight
	}
	teams := []Team{}
	for _, declared := range v.Config.Index.Fleet.Teams {
		teams = append(teams, counted.team(v, declared))
	}
	slices.SortFunc(teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	c.JSON(http.StatusOK, teams)
}

// tally holds usage and requests in flight, by name.
type tally struct {
	usage    map[string]metrics.Usage
	inFlight map[limit.Scope]map[string]int64
}

func (t tally) team(v *pick.View, declared fleet.Team) Team {
	team := Team{
		Name: declared.Name, Limit: declared.InFlight, InFlight: t.inFlight[limit.Team][declared.Name],
		Services: []TeamService{}, Usage: newUsage(),
	}
	for _, s := range v.Config.Services {
		if s.Team != team.Name {
			continue
		}
		add(team.Usage, t.usage[s.Name])
		team.Services = append(team.Services, t.service(s))
	}
	slices.SortFunc(team.Services, func(a, b TeamService) int { return cmp.Compare(a.Name, b.Name) })
	return team
}

func (t tally) service(s *config.Service) TeamService {
	row := TeamService{
		Name: s.Name, Limit: s.InFlight, InFlight: t.inFlight[limit.Service][s.Name], Queue: s.Queue, Usage: newUsage(),
	}
	add(row.Usage, t.usage[s.Name])
	for i := range s.Routes {
		r := &s.Routes[i]
		row.Routes = append(row.Routes, RouteLimit{
			Name: r.Name, Runs: r.Runs(), Class: r.Class, Limit: r.InFlight,
			InFlight: t.inFlight[limit.Route][s.Name+"/"+r.Name],
		})
	}
	return row
}

func newUsage() metrics.Usage {
	return metrics.Usage{Answers: map[string]uint64{}, Recent: map[string]uint64{}}
}

func add(to, from metrics.Usage) {
	for k, n := range from.Answers {
		to.Answers[k] += n
	}
	for k, n := range from.Recent {
		to.Recent[k] += n
	}
}

// Refusals counts the recent answers that the system itself made.
type Refusals struct {
	// WindowSeconds is the length of the period that is counted.
	WindowSeconds int `json:"window_seconds"`
	// ByKind counts over all services, ByService by service. Requests for undeclared
	// services are counted under "_unknown".
	ByKind    map[string]uint64            `json:"by_kind"`
	ByService map[string]map[string]uint64 `json:"by_service"`
}

func (a *api) refusals(c *gin.Context) {
	out := Refusals{
		WindowSeconds: int(metrics.RecentWindow.Seconds()),
		ByKind:        map[string]uint64{}, ByService: map[string]map[string]uint64{},
	}
	for name, u := range a.metrics.Usage() {
		if len(u.Recent) == 0 {
			continue
		}
		out.ByService[name] = u.Recent
		for k, n := range u.Recent {
			out.ByKind[k] += n
		}
	}
	c.JSON(http.StatusOK, out)
}

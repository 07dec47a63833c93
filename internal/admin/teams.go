package admin

import (
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/limpetdock/limpetdock/internal/metrics"
)

// Team is a team's limits and what its services' callers were answered here.
type Team struct {
	Name string `json:"name"`
	// InFlight is the declared limit of requests at once at each node; 0 is none.
	InFlight int           `json:"in_flight_limit"`
	Services []TeamService `json:"services"`
	metrics.Usage
}

// TeamService is a service's limits and usage.
type TeamService struct {
	Name     string       `json:"name"`
	InFlight int          `json:"in_flight_limit"`
	Queue    int          `json:"queue_limit"`
	Routes   []RouteLimit `json:"routes"`
	metrics.Usage
}

// RouteLimit is a route's limits.
type RouteLimit struct {
	Name     string `json:"name"`
	Runs     string `json:"runs"`
	Class    int    `json:"class"`
	InFlight int    `json:"in_flight_limit"`
}

func (a *api) teams(c *gin.Context) {
	v := a.view(c)
	if v == nil {
		return
	}
	usage := a.metrics.Usage()
	teams := []Team{}
	for _, declared := range v.Config.Index.Fleet.Teams {
		t := Team{Name: declared.Name, InFlight: declared.InFlight, Services: []TeamService{}, Usage: newUsage()}
		for _, s := range v.Config.Services {
			if s.Team != t.Name {
				continue
			}
			row := TeamService{Name: s.Name, InFlight: s.InFlight, Queue: s.Queue, Usage: newUsage()}
			for i := range s.Routes {
				r := &s.Routes[i]
				row.Routes = append(row.Routes, RouteLimit{Name: r.Name, Runs: r.Runs(), Class: r.Class, InFlight: r.InFlight})
			}
			add(row.Usage, usage[s.Name])
			add(t.Usage, usage[s.Name])
			t.Services = append(t.Services, row)
		}
		slices.SortFunc(t.Services, func(a, b TeamService) int { return compare(a.Name, b.Name) })
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b Team) int { return compare(a.Name, b.Name) })
	c.JSON(http.StatusOK, teams)
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
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

// Refusals are the system's own answers of the last while.
type Refusals struct {
	// WindowSeconds is how far back they are counted.
	WindowSeconds int `json:"window_seconds"`
	// ByKind are those of all services; ByService those of each, "_unknown"
	// being requests for no declared service.
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

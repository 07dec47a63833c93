package limit

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// Use is a snapshot of a Row for state dumps and metrics.
type Use struct {
	Scope    Scope  `json:"scope"`
	Name     string `json:"name"`
	Limit    int64  `json:"limit"`
	InFlight int64  `json:"in_flight"`
	Refused  uint64 `json:"refused"`
}

// Uses returns a snapshot of every row, ordered by scope and name.
func (t *Table) Uses() []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Use, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, Use{r.Scope, r.Name, r.limit.Load(), r.inFlight.Load(), r.refused.Load()})
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	return list
}

var (
	labels       = []string{"scope", "name"}
	inFlightDesc = prometheus.NewDesc("limpetdock_in_flight", "Requests in flight at this node, by service, team and route.", labels, nil)
	limitDesc    = prometheus.NewDesc("limpetdock_in_flight_limit", "Declared limit of requests in flight; 0 is none.", labels, nil)
	refusedDesc  = prometheus.NewDesc("limpetdock_limit_refused_total", "Requests refused because a limit was reached.", labels, nil)
)

// Describe implements prometheus.Collector.
func (t *Table) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{inFlightDesc, limitDesc, refusedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (t *Table) Collect(out chan<- prometheus.Metric) {
	for _, u := range t.Uses() {
		at := []string{string(u.Scope), u.Name}
		out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(u.InFlight), at...)
		out <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(u.Limit), at...)
		out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(u.Refused), at...)
	}
}

package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/load"
)

// measurement holds the measurements of one run of a scenario with a variant.
type measurement struct {
	report  *load.Report
	metrics sample
	cross   float64
	took    time.Duration
	nodes   int
}

// failed returns the number of calls that failed at the backend server, on the
// connection or by the caller's timeout.
func (m measurement) failed() int {
	o := m.report.All.Outcomes
	return o[load.BackendError] + o[load.Broken] + o[load.Cut] + o[load.CallerTimeout]
}

// refused returns the number of calls that the load balancer itself refused.
func (m measurement) refused() int {
	return m.report.All.Calls - m.failed() - m.report.All.Outcomes[load.OK]
}

// perNode returns the rate of a metric per second and node, or NaN if the nodes
// don't export it.
func (m measurement) perNode(name string) float64 {
	v, ok := m.metrics[name]
	if !ok {
		return math.NaN()
	}
	return v / m.took.Seconds() / float64(m.nodes)
}

// column is a column of a comparison table.
type column struct {
	title, format string
	figure        func(m measurement, best float64) float64
}

// columns lists the columns of every comparison table; best is the lowest p99.9
// of the table.
var columns = []column{
	{"p50 ms", "%.2f", func(m measurement, _ float64) float64 { return m.report.All.Latency.P50 }},
	{"p99 ms", "%.2f", func(m measurement, _ float64) float64 { return m.report.All.Latency.P99 }},
	{"p99.9 ms", "%.2f", tail},
	{"p99.9 to best", "%.2f", func(m measurement, best float64) float64 { return tail(m, best) / best }},
	{"good %", "%.2f", func(m measurement, _ float64) float64 {
		return 100 * float64(m.report.All.Good) / float64(m.report.All.Calls)
	}},
	{"good/s", "%.0f", func(m measurement, _ float64) float64 { return m.report.All.Goodput }},
	{"refused", "%.0f", func(m measurement, _ float64) float64 { return float64(m.refused()) }},
	{"failed", "%.0f", func(m measurement, _ float64) float64 { return float64(m.failed()) }},
	{"hops", "%.0f", func(m measurement, _ float64) float64 { return m.metrics[metricHops] }},
	{"hedges", "%.0f", func(m measurement, _ float64) float64 { return m.metrics[metricHedges] }},
	{"won", "%.0f", func(m measurement, _ float64) float64 { return m.metrics[metricHedgesWon] }},
	{"probes/s", "%.1f", func(m measurement, _ float64) float64 { return m.perNode(metricMeasureRequests) }},
	{"measuring B/s", "%.1f", func(m measurement, _ float64) float64 { return m.perNode(metricMeasureBytes) }},
	{"of these cross-region", "%.1f", func(m measurement, _ float64) float64 { return m.perNode(metricMeasureCross) }},
	{"all cross-region kB/s", "%.1f", func(m measurement, _ float64) float64 { return m.cross / m.took.Seconds() / 1000 }},
}

func tail(m measurement, _ float64) float64 { return m.report.All.Latency.P999 }

// bestTail returns the lowest median p99.9 of all variants.
func bestTail(runs [][]measurement) float64 {
	best := math.Inf(1)
	for _, variantRuns := range runs {
		best = min(best, median(figures(variantRuns, tail, 0)))
	}
	return best
}

// rowOf returns the table row of a variant.
func rowOf(name string, runs []measurement, best float64) []string {
	cells := []string{name}
	for _, col := range columns {
		cells = append(cells, ranged(col.format, figures(runs, col.figure, best)))
	}
	return append(cells, allSchedules(runs))
}

// figures returns a figure of all runs, sorted.
func figures(runs []measurement, of func(measurement, float64) float64, best float64) []float64 {
	var list []float64
	for _, m := range runs {
		list = append(list, of(m, best))
	}
	slices.Sort(list)
	return list
}

// median returns the median of sorted figures.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// ranged formats the median of sorted figures and, if they differ, the minimum
// and maximum.
func ranged(format string, sorted []float64) string {
	minimum, maximum := sorted[0], sorted[len(sorted)-1]
	if math.IsNaN(minimum) {
		return "-"
	}
	text := fmt.Sprintf(format, median(sorted))
	if minimum == maximum {
		return text
	}
	return fmt.Sprintf("%s ("+format+"-"+format+")", text, minimum, maximum)
}

// allSchedules describes whether the sender kept its schedule in every run.
func allSchedules(runs []measurement) string {
	for _, m := range runs {
		if !m.report.ScheduleKept() {
			return scheduleStatus(m.report)
		}
	}
	return "kept"
}

package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/load"
)

// measurement is one run of a scenario with a variant.
type measurement struct {
	report  *load.Report
	metrics sample
	cross   float64
	took    time.Duration
	nodes   int
}

// failed are calls that backend servers or broken connections failed.
func (m measurement) failed() int {
	o := m.report.All.Outcomes
	return o[load.BackendError] + o[load.Broken] + o[load.Cut] + o[load.CallerTimeout]
}

// refused are calls that the system answered itself.
func (m measurement) refused() int {
	return m.report.All.Calls - m.failed() - m.report.All.Outcomes[load.OK]
}

// perNode gives a metric's rate for a node, NaN if nodes don't have it.
func (m measurement) perNode(name string) float64 {
	v, ok := m.metrics[name]
	if !ok {
		return math.NaN()
	}
	return v / m.took.Seconds() / float64(m.nodes)
}

// column is a figure of a measurement in a table.
type column struct {
	title, format string
	figure        func(m measurement, best float64) float64
}

// columns are those of every table of a comparison; best is the lowest p99.9 of
// the table.
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

// bestTail is the lowest median of p99.9.
func bestTail(runs [][]measurement) float64 {
	best := math.Inf(1)
	for _, one := range runs {
		best = min(best, median(figures(one, tail, 0)))
	}
	return best
}

// rowOf gives a variant's row of a table.
func rowOf(name string, runs []measurement, best float64) []string {
	cells := []string{name}
	for _, col := range columns {
		cells = append(cells, ranged(col.format, figures(runs, col.figure, best)))
	}
	return append(cells, allKept(runs))
}

// figures gives a figure of each run, sorted.
func figures(runs []measurement, of func(measurement, float64) float64, best float64) []float64 {
	var list []float64
	for _, m := range runs {
		list = append(list, of(m, best))
	}
	slices.Sort(list)
	return list
}

// median of sorted figures.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// ranged writes the median of sorted figures and, if they differ, the least and the most.
func ranged(format string, sorted []float64) string {
	least, most := sorted[0], sorted[len(sorted)-1]
	if math.IsNaN(least) {
		return "-"
	}
	text := fmt.Sprintf(format, median(sorted))
	if least == most {
		return text
	}
	return fmt.Sprintf("%s ("+format+"-"+format+")", text, least, most)
}

// allKept says whether the sender kept its schedule in every run.
func allKept(runs []measurement) string {
	for _, m := range runs {
		if !m.report.Kept() {
			return kept(m.report)
		}
	}
	return "kept"
}

package main

import (
	"fmt"
	"math"
	"strings"
)

// row is one measured quantity in the capacity table.
type row struct {
	name, unit, limit string
	scale             float64
	of                func(usage) float64
	// perCall is true for a quantity of one call. It isn't extrapolated, because
	// a call's path doesn't grow with the deployment.
	perCall bool
}

var rows = []row{
	{name: "control frames sent, idle", unit: "B/s a node", limit: "4 KB/s", scale: 1, of: func(c usage) float64 { return c.idle.bytes }},
	{name: "control frames sent, a region cut off", unit: "B/s a node", limit: "4 KB/s", scale: 1, of: func(c usage) float64 { return c.regionCut.bytes }},
	{name: "control frames sent, a zone restarted", unit: "B/s a node", limit: "4 KB/s", scale: 1, of: func(c usage) float64 { return c.zoneRestarted.bytes }},
	{name: "processor, idle", unit: "% of a core", limit: "5 %", scale: 100, of: func(c usage) float64 { return c.idle.cpu }},
	{name: "processor, a region cut off", unit: "% of a core", limit: "5 %", scale: 100, of: func(c usage) float64 { return c.regionCut.cpu }},
	{name: "processor, a zone restarted", unit: "% of a core", limit: "5 %", scale: 100, of: func(c usage) float64 { return c.zoneRestarted.cpu }},
	{name: "memory, idle", unit: "MB", limit: "128 MB", scale: 1e-6, of: func(c usage) float64 { return c.rss }},
	{name: "memory, loaded", unit: "MB", limit: "128 MB", scale: 1e-6, of: func(c usage) float64 { return c.rssLoaded }},
	{name: "platform calls, idle", unit: "calls/s, all nodes", limit: "2 000/s", scale: 1, of: func(c usage) float64 { return c.idle.calls }},
	{name: "platform calls, a region cut off", unit: "calls/s, all nodes", limit: "2 000/s", scale: 1, of: func(c usage) float64 { return c.regionCut.calls }},
	{name: "platform calls, a zone restarted", unit: "calls/s, all nodes", limit: "2 000/s", scale: 1, of: func(c usage) float64 { return c.zoneRestarted.calls }},
	{name: "platform calls for a change", unit: "calls, all nodes", limit: "-", scale: 1, of: func(c usage) float64 { return c.changeCalls }},
	{name: "change in force everywhere", unit: "s", limit: "11 s", scale: 1, of: func(c usage) float64 { return c.changeTime }},
	{name: "control frames for a change", unit: "B a node", limit: "-", scale: 1, of: func(c usage) float64 { return c.changeBytes }},
	{name: "processor for a call, all nodes on its way", unit: "µs", limit: "-", scale: 1e6, of: func(c usage) float64 { return c.cpuPerCall }, perCall: true},
}

func (c *capacity) table(usages []usage) *table {
	t := &table{
		Title: "Cost of the control side by size",
		Note: fmt.Sprintf("`make capacity`: %v idle, then %g calls/s for each node for %v, then one change, a region cut off for %v, "+
			"and all nodes of a zone killed, %v. Lines are fitted by least squares, over the number of nodes n and over log2 n.",
			c.Idle, c.Rate, c.Load, faultPhase, faultPhase),
		Columns: []string{"cost", "unit"},
	}
	for _, u := range usages {
		t.Columns = append(t.Columns, fmt.Sprintf("%d nodes", u.nodes))
	}
	at := fmt.Sprintf("at %d", targetNodes)
	t.Columns = append(t.Columns, "line over n", at, "line over log2 n", at, "limit")
	for _, r := range rows {
		t.add(r.cells(usages)...)
	}
	return t
}

func (r row) cells(usages []usage) []string {
	cells := []string{r.name, r.unit}
	var sizes, logs, values []float64
	for _, u := range usages {
		v := r.of(u) * r.scale
		sizes = append(sizes, float64(u.nodes))
		logs = append(logs, math.Log2(float64(u.nodes)))
		values = append(values, v)
		cells = append(cells, fmt.Sprintf("%.3g", v))
	}
	if r.perCall {
		return append(cells, "one call", "-", "-", "-", r.limit)
	}
	cells = append(cells, line(sizes, values, "n", targetNodes)...)
	cells = append(cells, line(logs, values, "log2 n", math.Log2(targetNodes))...)
	return append(cells, r.limit)
}

// line fits a line to y over x and returns its text and its value at the point
// at, or "unmeasured" for both if there are fewer than two sizes.
func line(x, y []float64, name string, at float64) []string {
	a, b, ok := fit(x, y)
	if !ok {
		return []string{"unmeasured", "unmeasured"}
	}
	text := strings.ReplaceAll(fmt.Sprintf("%.3g + %.3g %s", a, b, name), "+ -", "- ")
	return []string{text, fmt.Sprintf("%.3g", a+b*at)}
}

// fit returns the least squares line a + b x. ok is false if all x are equal.
func fit(x, y []float64) (a, b float64, ok bool) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, 0, false
	}
	b = (n*sxy - sx*sy) / d
	return (sy - b*sx) / n, b, true
}

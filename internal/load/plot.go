package load

import (
	"io"
	"strconv"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Series is one run in a plot.
type Series struct {
	Name   string
	Report *Report
}

// WritePlot writes an HTML page that plots the latency of runs over time: p50, p99
// and p99.9 of each second, on a logarithmic scale. The page contains the data but
// loads the script of the chart library from the library's host. If assets isn't
// empty, the script comes from there instead: a URL or directory that ends in "/"
// and contains echarts.min.js. The plot can't be drawn without the script; the JSON
// report has the same figures.
func WritePlot(w io.Writer, title, assets string, runs ...Series) error {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithInitializationOpts(opts.Initialization{Width: "1200px", Height: "640px", PageTitle: title, AssetsHost: assets}),
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: "milliseconds from the scheduled time, each second"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "ms", Type: "log"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Top: "60px", Type: "scroll"}),
		charts.WithGridOpts(opts.Grid{Top: "110px"}),
	)
	longest := 0
	for _, run := range runs {
		longest = max(longest, len(run.Report.Timeline))
		steps := run.Report.Timeline
		line.AddSeries(run.Name+" p50", points(steps, func(l Latency) float64 { return l.P50 }))
		line.AddSeries(run.Name+" p99", points(steps, func(l Latency) float64 { return l.P99 }))
		line.AddSeries(run.Name+" p99.9", points(steps, func(l Latency) float64 { return l.P999 }))
	}
	seconds := make([]string, longest)
	for i := range seconds {
		seconds[i] = strconv.Itoa(i)
	}
	line.SetXAxis(seconds)
	return line.Render(w)
}

func points(steps []Step, percentile func(Latency) float64) []opts.LineData {
	list := make([]opts.LineData, 0, len(steps))
	for _, s := range steps {
		value := any(percentile(s.Latency))
		if s.Calls == 0 {
			value = nil
		}
		list = append(list, opts.LineData{Value: value})
	}
	return list
}

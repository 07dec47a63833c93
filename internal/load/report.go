package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a latency distribution, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// Row holds the results of the calls of one kind, or of all.
type Row struct {
	Name  string `json:"name"`
	Calls int    `json:"calls"`
	// Latency is measured from the scheduled time and includes every outcome.
	Latency Latency `json:"latency"`
	// FromSending is measured from the time the call was actually sent.
	FromSending Latency `json:"from_sending"`
	// Goodput is the number of complete successful answers within the deadline, per
	// second.
	Goodput  float64         `json:"goodput_per_s"`
	Good     int             `json:"good"`
	Outcomes map[Outcome]int `json:"outcomes"`
}

// Step is one second of the timeline. Calls are assigned by scheduled time.
type Step struct {
	Second  int     `json:"second"`
	Calls   int     `json:"calls"`
	Good    int     `json:"good"`
	Latency Latency `json:"latency"`
}

// Report is the result of a run.
type Report struct {
	Rate     float64  `json:"rate_per_s"`
	Arrivals Arrivals `json:"arrivals"`
	Seed     uint64   `json:"seed"`
	// Took is the length of the run in seconds, including the wait for the last answers.
	Took float64 `json:"took_s"`
	// Late is the number of calls that began more than 10 ms after their scheduled
	// time, because all workers or the machine were busy. WorstLateMs is the longest
	// such delay of any call.
	Late        int     `json:"late"`
	WorstLateMs float64 `json:"worst_late_ms"`
	All         Row     `json:"all"`
	Kinds       []Row   `json:"kinds"`
	Timeline    []Step  `json:"timeline"`
}

func (r *recorder) report(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Rate: r.plan.Rate, Arrivals: r.plan.Arrivals, Seed: r.plan.Seed, Took: took.Seconds(),
		Late: r.late, WorstLateMs: float64(r.worstLate.Microseconds()) / 1000,
		All: r.row("all", r.all, took),
	}
	for i, k := range r.plan.Kinds {
		out.Kinds = append(out.Kinds, r.row(k.Name, r.kinds[i], took))
	}
	for i, s := range r.steps {
		out.Timeline = append(out.Timeline, Step{
			Second: i, Calls: int(s.latency.TotalCount()), Good: s.good, Latency: latencyOf(s.latency),
		})
	}
	return out
}

func (r *recorder) row(name string, t *tally, took time.Duration) Row {
	seconds := min(took, r.plan.Duration).Seconds()
	return Row{
		Name: name, Calls: int(t.fromSchedule.TotalCount()),
		Latency: latencyOf(t.fromSchedule), FromSending: latencyOf(t.fromSending),
		Goodput: float64(t.good) / seconds, Good: t.good, Outcomes: maps.Clone(t.outcomes),
	}
}

// ScheduleKept reports whether the schedule was kept: at most one call in a thousand began
// late. Otherwise the figures also reflect limits of the sender itself.
func (r *Report) ScheduleKept() bool {
	const perMille = 1000
	return r.Late*perMille <= r.All.Calls
}

// WriteText writes the report as human-readable text.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d calls in %.1f s, %s arrivals at %g/s, seed %d\n", r.All.Calls, r.Took, r.Arrivals, r.Rate, r.Seed)
	if !r.ScheduleKept() {
		fmt.Fprintf(w, "SCHEDULE NOT KEPT: %d calls began more than %v late, the worst %.1f ms\n", r.Late, lateThreshold, r.WorstLateMs)
	}
	fmt.Fprintln(w, "latency in ms from the scheduled time; good: whole answers within the deadline")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tcalls\tgood/s\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, row := range append(slices.Clone(r.Kinds), r.All) {
		l := row.Latency
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.Name, row.Calls, row.Goodput, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, row := range append(slices.Clone(r.Kinds), r.All) {
		if _, err := fmt.Fprintf(w, "%s: %s\n", row.Name, outcomes(row.Outcomes)); err != nil {
			return err
		}
	}
	return nil
}

// outcomes formats counts, sorted by outcome.
func outcomes(counts map[Outcome]int) string {
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", o, counts[o]))
	}
	return strings.Join(parts, ", ")
}

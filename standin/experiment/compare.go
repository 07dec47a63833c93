package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// comparison runs scenarios with several variants of the service one after
// another, on one deployment and with the same schedules.
type comparison struct {
	common
	Scenarios []string      `long:"scenario" description:"only this one; may be repeated"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the first schedule; each repeat has the next"`
	Repeat    int           `long:"repeat" description:"runs of each scenario with each variant; tables give median, least and most"`
	Length    time.Duration `long:"length" description:"end each scenario after that long"`
	Short     bool          `long:"short" description:"the same as --length 4s"`
	Assets    string        `long:"plot-assets" description:"URL or directory with the chart script, ending in /"`
	// shortDeadlines gives half of the calls a short deadline.
	shortDeadlines bool
	revision       uint64
}

const (
	shortLength = 4 * time.Second
	// runPause is the pause between two runs, in which queues drain and moving
	// averages decay.
	runPause = 500 * time.Millisecond
)

// run compares the variants and publishes the tables under name.
func (c *comparison) run(ctx context.Context, name string, variants []variant) error {
	chosen, err := c.choose()
	if err != nil {
		return err
	}
	c.revision = 1
	var tables []*table
	return c.withDeployment(ctx, name, variants[0].fleet(c.revision), meanMs, func(d *deploy.Deployment) error {
		for _, sc := range chosen {
			t, err := c.compare(ctx, d, sc, variants)
			if err != nil {
				return err
			}
			tables = append(tables, t)
			fmt.Fprintf(os.Stderr, "%s done, %d of %d\n", sc.name, len(tables), len(chosen))
		}
		return c.publish(name, tables...)
	})
}

// choose returns the scenarios to run. It fails if a given name is unknown.
func (c *comparison) choose() ([]scenario, error) {
	if c.Repeat < 0 || c.Length < 0 {
		return nil, fmt.Errorf("--repeat and --length can't be negative")
	}
	var names []string
	var chosen []scenario
	for _, sc := range scenarios {
		names = append(names, sc.name)
		if len(c.Scenarios) == 0 || slices.Contains(c.Scenarios, sc.name) {
			chosen = append(chosen, sc)
		}
	}
	for _, name := range c.Scenarios {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(names, ", "))
		}
	}
	return chosen, nil
}

// shorten limits the length of a scenario according to the options.
func (c *comparison) shorten(sc scenario) scenario {
	if c.Short {
		sc.length = min(sc.length, shortLength)
	}
	if c.Length > 0 {
		sc.length = min(sc.length, c.Length)
	}
	return sc
}

// compare runs one scenario with every variant.
func (c *comparison) compare(ctx context.Context, d *deploy.Deployment, sc scenario, variants []variant) (*table, error) {
	sc = c.shorten(sc)
	sc.shortDeadlines = c.shortDeadlines
	repeats := max(c.Repeat, 1)
	t := &table{
		Title:   sc.name,
		Note:    fmt.Sprintf("%s; %v, seed %d, %.0f calls/s to begin with", sc.about, sc.length, c.Seed, rate(d)),
		Columns: []string{"variant"},
	}
	if repeats > 1 {
		t.Note += fmt.Sprintf("; median of %d runs with seeds from there on, least and most in brackets", repeats)
	}
	for _, col := range columns {
		t.Columns = append(t.Columns, col.title)
	}
	t.Columns = append(t.Columns, "schedule")
	runs := make([][]measurement, len(variants))
	// All variants run one schedule before the next schedule starts, so that a
	// change of the machine's load affects all of them.
	for i := range repeats {
		for v := range variants {
			m, err := c.measure(ctx, d, sc, variants[v], c.Seed+uint64(i))
			if err != nil {
				return nil, err
			}
			runs[v] = append(runs[v], m)
		}
	}
	best := bestTail(runs)
	var plots []load.Series
	for i, v := range variants {
		t.add(rowOf(v.name, runs[i], best)...)
		plots = append(plots, load.Series{Name: v.name, Report: runs[i][0].report})
	}
	return t, c.plot(sc, plots)
}

func (c *comparison) plot(sc scenario, runs []load.Series) error {
	f, err := os.Create(filepath.Join(c.Out, sc.name+".html"))
	if err != nil {
		return err
	}
	if err := load.WritePlot(f, sc.name+": "+sc.about, c.Assets, runs...); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// rate returns the call rate at which the share utilization of all slots is busy.
func rate(d *deploy.Deployment) float64 {
	return utilization * slots * float64(len(d.VMs)) / (meanMs / 1000)
}

func (c *comparison) measure(ctx context.Context, d *deploy.Deployment, sc scenario, v variant, seed uint64) (measurement, error) {
	m := measurement{nodes: len(d.VMs)}
	if err := c.prepare(ctx, d, v); err != nil {
		return m, err
	}
	crossed, err := crossRegion(ctx, d)
	if err != nil {
		return m, err
	}
	m.metrics, _, err = measureDuring(ctx, d, func() error {
		start := time.Now()
		done := play(ctx, d, sc)
		m.report = send(ctx, d, sc, seed)
		m.took = time.Since(start)
		return <-done
	})
	if err != nil {
		return m, err
	}
	m.cross, err = crossRegion(ctx, d)
	m.cross -= crossed
	return m, err
}

// prepare removes all faults and puts a variant into force.
func (c *comparison) prepare(ctx context.Context, d *deploy.Deployment, v variant) error {
	if err := reset(ctx, d); err != nil {
		return err
	}
	c.revision++
	if err := d.Publish(ctx, v.fleet(c.revision)); err != nil {
		return err
	}
	if err := awaitRevision(ctx, d, c.revision); err != nil {
		return err
	}
	time.Sleep(runPause)
	return ctx.Err()
}

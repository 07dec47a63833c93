package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// policies compares routing policies: every scenario with every policy in turn,
// on one deployment, with the same schedule.
type policies struct {
	common
	Scenarios []string `long:"scenario" description:"only this one; may be repeated"`
	Policies  []string `long:"policy" description:"only this one; may be repeated"`
	Hedges    []int    `long:"hedge" description:"hedged requests in percent, 0 is off; may be repeated"`
	Seed      uint64   `long:"seed" default:"1" description:"seed of the schedules"`
	Short     bool     `long:"short" description:"end each scenario after its first 4 seconds"`
	Assets    string   `long:"plot-assets" description:"URL or directory with the chart script, ending in /"`
	revision  uint64
}

var allPolicies = []string{
	fleet.PolicyRandom, fleet.PolicyRoundRobin, fleet.PolicyTwoChoices,
	fleet.PolicyTwoLoad, fleet.PolicyLeastLoad, fleet.PolicyIdleHints, fleet.PolicyProbe,
}

const (
	shortLength = 4 * time.Second
	// settle is the pause between two runs, in which queues empty and averages
	// forget.
	settle = 500 * time.Millisecond
)

func (c *policies) run(ctx context.Context) error {
	chosen, err := c.choose()
	if err != nil {
		return err
	}
	c.revision = 1
	var tables []*table
	return c.with(ctx, "policies", experimentFleet("", c.revision), meanMs, func(d *deploy.Deployment) error {
		for _, one := range chosen {
			t, err := c.compare(ctx, d, one)
			if err != nil {
				return err
			}
			tables = append(tables, t)
			fmt.Fprintf(os.Stderr, "%s done, %d of %d\n", one.name, len(tables), len(chosen))
		}
		return c.publish("policies", tables...)
	})
}

// choose gives the scenarios to run, and checks the names given.
func (c *policies) choose() ([]scenario, error) {
	if len(c.Policies) == 0 {
		c.Policies = allPolicies
	}
	for _, p := range c.Policies {
		if !slices.Contains(allPolicies, p) {
			return nil, fmt.Errorf("no policy %q; there are %s", p, strings.Join(allPolicies, ", "))
		}
	}
	if len(c.Hedges) == 0 {
		c.Hedges = []int{0}
	}
	var names []string
	var chosen []scenario
	for _, one := range scenarios {
		names = append(names, one.name)
		if len(c.Scenarios) == 0 || slices.Contains(c.Scenarios, one.name) {
			chosen = append(chosen, one)
		}
	}
	for _, name := range c.Scenarios {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(names, ", "))
		}
	}
	return chosen, nil
}

// compare runs one scenario with every policy.
func (c *policies) compare(ctx context.Context, d *deploy.Deployment, one scenario) (*table, error) {
	if c.Short {
		one.length = min(one.length, shortLength)
	}
	t := &table{
		Title: one.name,
		Note:  fmt.Sprintf("%s; %v, seed %d, %.0f calls/s to begin with", one.about, one.length, c.Seed, rate(d)),
		Columns: []string{
			"policy", "p50 ms", "p99 ms", "p99.9 ms", "p99.9 to best", "good %", "good/s", "refused", "failed", "hops", "hedges", "won",
			"probes/s", "measuring B/s", "of these cross-region", "all cross-region kB/s", "schedule",
		},
	}
	var runs []load.Series
	var all []measurement
	best := math.Inf(1)
	variants := c.variants()
	for _, v := range variants {
		m, err := c.measure(ctx, d, one, v)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
		best = min(best, m.report.All.Latency.P999)
		runs = append(runs, load.Series{Name: v.String(), Report: m.report})
	}
	for i, m := range all {
		t.add(append([]string{variants[i].String()}, m.cells(len(d.Places), best)...)...)
	}
	return t, c.plot(one, runs)
}

// variant is one row of a comparison.
type variant struct {
	policy string
	// hedge is the share of hedged requests, in percent.
	hedge int
}

// String names the row.
func (v variant) String() string {
	if v.hedge == 0 {
		return v.policy
	}
	return fmt.Sprintf("%s, hedges %d %%", v.policy, v.hedge)
}

// variants gives every policy with every share of hedged requests.
func (c *policies) variants() []variant {
	var list []variant
	for _, p := range c.Policies {
		for _, h := range c.Hedges {
			list = append(list, variant{p, h})
		}
	}
	return list
}

func (c *policies) plot(one scenario, runs []load.Series) error {
	f, err := os.Create(filepath.Join(c.Out, one.name+".html"))
	if err != nil {
		return err
	}
	if err := load.WritePlot(f, one.name+": "+one.about, c.Assets, runs...); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// rate is the load at which utilization of all slots are busy.
func rate(d *deploy.Deployment) float64 {
	return utilization * slots * float64(len(d.Places)) / (meanMs / 1000)
}

// measurement is one scenario with one policy.
type measurement struct {
	report  *load.Report
	metrics sample
	cross   float64
	took    time.Duration
}

// cells gives the row of a table; best is the lowest p99.9 of its scenario.
func (m measurement) cells(nodes int, best float64) []string {
	all := m.report.All
	failed := all.Outcomes[load.BackendError] + all.Outcomes[load.Broken] + all.Outcomes[load.Cut] + all.Outcomes[load.CallerTimeout]
	refused := all.Calls - failed - all.Outcomes[load.OK]
	return []string{
		ms(all.Latency.P50), ms(all.Latency.P99), ms(all.Latency.P999), fmt.Sprintf("%.2f", all.Latency.P999/best),
		fmt.Sprintf("%.2f", 100*float64(all.Good)/float64(all.Calls)), count(all.Goodput),
		count(float64(refused)), count(float64(failed)), count(m.metrics[metricHops]), count(m.metrics[metricHedges]), count(m.metrics[metricHedgesWon]),
		m.metrics.perSecond(metricMeasureRequests, m.took, nodes),
		m.metrics.perSecond(metricMeasureBytes, m.took, nodes),
		m.metrics.perSecond(metricMeasureCross, m.took, nodes),
		fmt.Sprintf("%.1f", m.cross/m.took.Seconds()/1000), kept(m.report),
	}
}

func (c *policies) measure(ctx context.Context, d *deploy.Deployment, one scenario, v variant) (measurement, error) {
	var m measurement
	if err := c.prepare(ctx, d, v); err != nil {
		return m, err
	}
	crossed, err := crossRegion(ctx, d)
	if err != nil {
		return m, err
	}
	m.metrics, _, err = during(ctx, d, func() error {
		start := time.Now()
		done := play(ctx, d, one)
		m.report = send(ctx, d, one, c.Seed)
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

// prepare makes all well and puts a variant in force.
func (c *policies) prepare(ctx context.Context, d *deploy.Deployment, v variant) error {
	if err := reset(ctx, d); err != nil {
		return err
	}
	c.revision++
	f := experimentFleet(v.policy, c.revision)
	f.Services[0].HedgePercent = v.hedge
	if err := d.Publish(ctx, f); err != nil {
		return err
	}
	if err := awaitRevision(ctx, d, c.revision); err != nil {
		return err
	}
	time.Sleep(settle)
	return ctx.Err()
}

// play carries out the steps of a scenario as their times come.
func play(ctx context.Context, d *deploy.Deployment, one scenario) <-chan error {
	done := make(chan error, 1)
	start := time.Now()
	go func() {
		for _, next := range one.steps {
			if next.at >= one.length {
				break
			}
			time.Sleep(time.Until(start.Add(next.at)))
			if err := next.do(ctx, d); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	return done
}

func send(ctx context.Context, d *deploy.Deployment, one scenario, seed uint64) *load.Report {
	plan := planOf(one, rate(d), seed)
	for _, p := range d.Places {
		plan.To = append(plan.To, p.Callers())
	}
	client := load.NewClient(plan)
	defer client.Close()
	return load.Run(ctx, plan, load.Options{Sender: client})
}

// planOf gives the load of a scenario; steady is the rate at the usual utilization.
func planOf(one scenario, steady float64, seed uint64) load.Plan {
	const workers = 20_000
	plain := load.Kind{Name: "plain", Service: service, Timeout: timeout}
	plan := load.Plan{
		Rate: steady, Duration: one.length, Seed: seed, Surges: one.surges, Workers: workers, Kinds: []load.Kind{plain},
	}
	if one.chains > 0 {
		others := steady * chainsUtilization / utilization
		plan.Rate = others + one.chains
		plan.Kinds[0].Weight = int(others)
		plan.Kinds = append(plan.Kinds, load.Kind{
			Name: "chain", Service: service, Timeout: chainTimeout, Weight: int(one.chains),
			Chain: slices.Repeat([]string{service}, load.MaxChain),
		})
	}
	return plan.WithDefaults()
}

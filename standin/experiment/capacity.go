package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// capacity measures what the control side costs at several sizes, fits a line
// through each cost and reads it off at the target size.
type capacity struct {
	common
	Nodes []int         `long:"nodes" description:"size of a deployment; may be repeated" default:"6" default:"18" default:"36" default:"72"`
	Idle  time.Duration `long:"idle" default:"10s" description:"length of the idle part of each size"`
	Load  time.Duration `long:"load" default:"5s" description:"length of the loaded part of each size"`
	Rate  float64       `long:"rate" default:"50" description:"calls per second for each node in the loaded part"`
}

// The size to design for.
const (
	targetNodes     = 890
	targetsPerGroup = 15 // 890 targets in 59 services
)

func capacityFleet(nodes int, revision uint64) fleet.Fleet {
	f := fleet.Fleet{Name: "capacity", Revision: revision, Teams: []fleet.Team{{Name: "measuring"}}}
	for _, region := range []string{"one", "two", "three"} {
		f.Zones = append(f.Zones, fleet.Zone{Name: region + "-a", Region: region}, fleet.Zone{Name: region + "-b", Region: region})
	}
	groups := (nodes + targetsPerGroup - 1) / targetsPerGroup
	for i := range groups {
		f.Services = append(f.Services, fleet.Service{
			Name: fmt.Sprintf("s%d", i), Team: "measuring", Timeout: timeout,
			Routes: []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
		})
	}
	for i := range nodes {
		svc := &f.Services[i%groups]
		zone := f.Zones[i%len(f.Zones)].Name
		svc.Targets = append(svc.Targets, fleet.Target{VM: fmt.Sprintf("vm-%d", i), Zone: zone, Slots: slots})
	}
	return f
}

// cost is what was measured at one size, for one node unless said otherwise.
type cost struct {
	nodes int
	// controlBytes is bytes of control frames sent each second, cpu the share
	// of a core, both when idle; platformCalls is calls a second of all nodes.
	controlBytes, cpu, platformCalls float64
	// rss is bytes of memory when idle, rssLoaded under load.
	rss, rssLoaded float64
	// cpuPerCall is processor seconds of all nodes for each call.
	cpuPerCall float64
	// changeTime is how long a change took until it was in force everywhere, in
	// seconds; changeBytes the control bytes of a node for it.
	changeTime, changeBytes float64
}

func (c *capacity) run(ctx context.Context) error {
	var costs []cost
	for _, n := range c.Nodes {
		name := fmt.Sprintf("capacity-%d", n)
		err := c.with(ctx, name, capacityFleet(n, 1), 1, func(d *deploy.Deployment) error {
			one, err := c.measure(ctx, d, n)
			costs = append(costs, one)
			return err
		})
		if err != nil {
			return err
		}
	}
	return c.publish("capacity", c.table(costs))
}

func (c *capacity) measure(ctx context.Context, d *deploy.Deployment, n int) (cost, error) {
	one := cost{nodes: n}
	nodes := float64(n)
	// The first seconds have the traffic of joining, which isn't the idle cost.
	time.Sleep(3 * settle)
	idle, after, err := c.during(ctx, d, func() error {
		time.Sleep(c.Idle)
		return nil
	})
	if err != nil {
		return one, err
	}
	seconds := c.Idle.Seconds()
	one.controlBytes = idle[metricControlSent] / nodes / seconds
	one.cpu = idle[metricCPU] / nodes / seconds
	one.platformCalls = idle[metricPlatformCalls] / seconds
	one.rss = after[metricRSS] / nodes
	loaded, after, err := c.during(ctx, d, func() error { return c.send(ctx, d) })
	if err != nil {
		return one, err
	}
	calls := loaded["limpetdock_requests_total"]
	one.cpuPerCall = max(0, loaded[metricCPU]-one.cpu*nodes*c.Load.Seconds()) / calls
	one.rssLoaded = after[metricRSS] / nodes
	start := time.Now()
	changed, _, err := c.during(ctx, d, func() error {
		if err := d.Publish(ctx, capacityFleet(n, 2)); err != nil {
			return err
		}
		return awaitRevision(ctx, d, 2)
	})
	took := time.Since(start).Seconds()
	one.changeTime = took
	one.changeBytes = max(0, changed[metricControlSent]/nodes-one.controlBytes*took)
	return one, err
}

// during gives what metrics changed while f ran, and their values after.
func (c *capacity) during(ctx context.Context, d *deploy.Deployment, f func() error) (diff, after sample, err error) {
	before, err := scrapeAll(ctx, d)
	if err != nil {
		return nil, nil, err
	}
	if err := f(); err != nil {
		return nil, nil, err
	}
	after, err = scrapeAll(ctx, d)
	return after.minus(before), after, err
}

func (c *capacity) send(ctx context.Context, d *deploy.Deployment) error {
	plan := load.Plan{Rate: c.Rate * float64(len(d.Places)), Duration: c.Load, Seed: 1}
	for _, svc := range d.Fleet().Services {
		plan.Kinds = append(plan.Kinds, load.Kind{Service: svc.Name, Timeout: timeout})
	}
	for _, p := range d.Places {
		plan.To = append(plan.To, p.Callers())
	}
	plan = plan.WithDefaults()
	client := load.NewClient(plan)
	defer client.Close()
	r := load.Run(ctx, plan, load.Options{Sender: client})
	if r.All.Outcomes[load.OK] == 0 {
		return fmt.Errorf("no call was answered: %v", r.All.Outcomes)
	}
	return ctx.Err()
}

// row is a cost in the table.
type row struct {
	name, unit string
	limit      string
	scale      float64
	of         func(cost) float64
}

var rows = []row{
	{"control frames sent, idle", "B/s a node", "4 KB/s", 1, func(c cost) float64 { return c.controlBytes }},
	{"processor, idle", "% of a core", "5 %", 100, func(c cost) float64 { return c.cpu }},
	{"memory, idle", "MB", "128 MB", 1e-6, func(c cost) float64 { return c.rss }},
	{"memory, loaded", "MB", "128 MB", 1e-6, func(c cost) float64 { return c.rssLoaded }},
	{"platform calls, idle", "calls/s, all nodes", "2 000/s", 1, func(c cost) float64 { return c.platformCalls }},
	{"processor for a call, all nodes on its way", "µs", "-", 1e6, func(c cost) float64 { return c.cpuPerCall }},
	{"change in force everywhere", "s", "11 s", 1, func(c cost) float64 { return c.changeTime }},
	{"control frames for a change", "B a node", "-", 1, func(c cost) float64 { return c.changeBytes }},
}

func (c *capacity) table(costs []cost) *table {
	t := &table{
		Title: "Cost of the control side by size",
		Note: fmt.Sprintf("`make capacity`: %v idle, then %g calls/s for each node for %v, then one change. "+
			"The line is fitted by least squares over n nodes.", c.Idle, c.Rate, c.Load),
		Columns: []string{"cost", "unit"},
	}
	var sizes []float64
	for _, one := range costs {
		sizes = append(sizes, float64(one.nodes))
		t.Columns = append(t.Columns, fmt.Sprintf("%d nodes", one.nodes))
	}
	t.Columns = append(t.Columns, "line", fmt.Sprintf("at %d", targetNodes), "limit")
	for _, r := range rows {
		cells := []string{r.name, r.unit}
		var values []float64
		for _, one := range costs {
			v := r.of(one) * r.scale
			values = append(values, v)
			cells = append(cells, fmt.Sprintf("%.3g", v))
		}
		cells = append(cells, line(sizes, values)...)
		t.add(append(cells, r.limit)...)
	}
	return t
}

// line fits a line and gives it with its value at the target size, or the word
// unmeasured where there are fewer than two sizes.
func line(x, y []float64) []string {
	a, b, ok := fit(x, y)
	if !ok {
		return []string{"unmeasured", "unmeasured"}
	}
	text := fmt.Sprintf("%.3g + %.3g n", a, b)
	return []string{strings.ReplaceAll(text, "+ -", "- "), fmt.Sprintf("%.3g", a+b*targetNodes)}
}

// fit gives the least squares line a + b x.
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

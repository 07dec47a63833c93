package main

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// capacity measures what the control side costs at several sizes, fits a line
// through each cost and reads it off at the target size.
type capacity struct {
	common
	Nodes []int         `long:"nodes" description:"size of a deployment; may be repeated" default:"6" default:"18" default:"72"`
	Idle  time.Duration `long:"idle" default:"6s" description:"length of the idle part of each size"`
	Load  time.Duration `long:"load" default:"4s" description:"length of the loaded part of each size"`
	Rate  float64       `long:"rate" default:"50" description:"calls per second for each node in the loaded part"`
}

// The size to design for.
const (
	targetNodes     = 890
	targetsPerGroup = 15 // 890 targets in 59 services
	// firstQueue is the length of the queues before any change.
	firstQueue = 16
)

// capacityFleet declares a fleet; its first service changes with each revision.
func capacityFleet(nodes int, revision uint64) fleet.Fleet {
	f := fleet.Fleet{Name: "capacity", Revision: revision, Teams: []fleet.Team{{Name: "measuring"}}}
	for _, region := range []string{"one", "two", "three"} {
		f.Zones = append(f.Zones, fleet.Zone{Name: region + "-a", Region: region}, fleet.Zone{Name: region + "-b", Region: region})
	}
	groups := (nodes + targetsPerGroup - 1) / targetsPerGroup
	for i := range groups {
		f.Services = append(f.Services, fleet.Service{
			Name: fmt.Sprintf("s%d", i), Team: "measuring", Timeout: timeout, Queue: firstQueue,
			Routes: []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
		})
	}
	f.Services[0].Queue += int(revision)
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
	// idle, parted (a region cut off) and restarted (all nodes of a zone killed)
	// are rates each second.
	idle, parted, restarted rates
	// rss is bytes of memory when idle, rssLoaded under load.
	rss, rssLoaded float64
	// cpuPerCall is processor seconds of all nodes for each call.
	cpuPerCall float64
	// changeTime is how long a change took until it was in force everywhere, in
	// seconds; changeBytes the control bytes of a node for it, changeCalls
	// the platform calls of all nodes.
	changeTime, changeBytes, changeCalls float64
}

// rates are bytes of control frames and the share of a core, of one node, and
// platform calls of all nodes, each second.
type rates struct{ bytes, cpu, calls float64 }

func ratesOf(s sample, nodes int, took time.Duration) rates {
	each := took.Seconds() * float64(nodes)
	return rates{s[metricControlSent] / each, s[metricCPU] / each, s[metricPlatformCalls] / took.Seconds()}
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

// measure measures one size. The order matters: what is restarted comes last.
func (c *capacity) measure(ctx context.Context, d *deploy.Deployment, n int) (cost, error) {
	one := cost{nodes: n}
	if err := pause(ctx, calmDown); err != nil {
		return one, err
	}
	for _, part := range []func(context.Context, *deploy.Deployment, *cost) error{
		c.idle, c.loaded, c.change, c.parted, c.restarted,
	} {
		if err := part(ctx, d, &one); err != nil {
			return one, err
		}
	}
	return one, ctx.Err()
}

func (c *capacity) idle(ctx context.Context, d *deploy.Deployment, one *cost) error {
	diff, after, err := during(ctx, d, func() error { return pause(ctx, c.Idle) })
	one.idle = ratesOf(diff, one.nodes, c.Idle)
	one.rss = after[metricRSS] / float64(one.nodes)
	return err
}

func (c *capacity) loaded(ctx context.Context, d *deploy.Deployment, one *cost) error {
	diff, after, err := during(ctx, d, func() error { return c.send(ctx, d) })
	idle := one.idle.cpu * float64(one.nodes) * c.Load.Seconds()
	one.cpuPerCall = max(0, diff[metricCPU]-idle) / diff[metricRequests]
	one.rssLoaded = after[metricRSS] / float64(one.nodes)
	return err
}

func (c *capacity) change(ctx context.Context, d *deploy.Deployment, one *cost) error {
	start := time.Now()
	diff, _, err := during(ctx, d, func() error {
		if err := d.Publish(ctx, capacityFleet(one.nodes, 2)); err != nil {
			return err
		}
		return awaitRevision(ctx, d, 2)
	})
	one.changeTime = time.Since(start).Seconds()
	one.changeBytes = max(0, diff[metricControlSent]/float64(one.nodes)-one.idle.bytes*one.changeTime)
	one.changeCalls = diff[metricPlatformCalls]
	return err
}

const (
	// badHour is how long each of the bad hours is looked at.
	badHour = 6 * time.Second
	// calmDown is how long the traffic of joining, or of links that are back,
	// is let pass, which isn't the idle cost.
	calmDown = 3 * time.Second
)

func (c *capacity) parted(ctx context.Context, d *deploy.Deployment, one *cost) error {
	diff, _, err := during(ctx, d, func() error {
		err := d.SetLinks(ctx,
			deploy.LinkFault{From: "one-*", To: "t*", Cut: true}, deploy.LinkFault{From: "t*", To: "one-*", Cut: true})
		if err != nil {
			return err
		}
		return pause(ctx, badHour)
	})
	if err != nil {
		return err
	}
	one.parted = ratesOf(diff, one.nodes, badHour)
	if err := d.SetLinks(ctx); err != nil {
		return err
	}
	return pause(ctx, calmDown)
}

func (c *capacity) restarted(ctx context.Context, d *deploy.Deployment, one *cost) error {
	diff, _, err := during(ctx, d, func() error {
		for _, p := range d.Places {
			if p.Zone != "one-a" {
				continue
			}
			if err := d.Node(p.VM).Kill(); err != nil {
				return err
			}
		}
		return pause(ctx, badHour)
	})
	one.restarted = ratesOf(diff, one.nodes, badHour)
	return err
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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

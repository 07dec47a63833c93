package main

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// capacity measures the resource usage of the control plane at several
// deployment sizes, fits a line to each quantity and extrapolates it to
// targetNodes.
type capacity struct {
	common
	Nodes []int         `long:"nodes" description:"size of a deployment; may be repeated" default:"6" default:"18" default:"72"`
	Idle  time.Duration `long:"idle" default:"6s" description:"length of the idle part of each size"`
	Load  time.Duration `long:"load" default:"4s" description:"length of the loaded part of each size"`
	Rate  float64       `long:"rate" default:"50" description:"calls per second for each node in the loaded part"`
}

// The deployment size to design for.
const (
	targetNodes     = 890
	targetsPerGroup = 15 // 890 targets in 59 services
	// firstQueue is the queue limit of the services before any change.
	firstQueue = 16
)

// capacityFleet returns a fleet whose first service changes with each revision.
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

// usage is the resource usage at one size, per node unless noted otherwise.
type usage struct {
	nodes int
	// idle, regionCut (a region cut off) and zoneRestarted (all nodes of a zone
	// killed) are rates per second.
	idle, regionCut, zoneRestarted rates
	// rss is the resident memory in bytes when idle, rssLoaded under load.
	rss, rssLoaded float64
	// cpuPerCall is the processor time of all nodes per call, in seconds.
	cpuPerCall float64
	// changeTime is the time in seconds until a configuration change was in force
	// at all nodes, changeBytes the control bytes of a node for it, and
	// changeCalls the platform calls of all nodes.
	changeTime, changeBytes, changeCalls float64
}

// rates holds values per second: bytes of control frames and processor seconds
// of one node, and platform calls of all nodes.
type rates struct{ bytes, cpu, calls float64 }

func ratesOf(s sample, nodes int, took time.Duration) rates {
	each := took.Seconds() * float64(nodes)
	return rates{s[metricControlSent] / each, s[metricCPU] / each, s[metricPlatformCalls] / took.Seconds()}
}

func (c *capacity) run(ctx context.Context) error {
	var usages []usage
	for _, n := range c.Nodes {
		name := fmt.Sprintf("capacity-%d", n)
		err := c.withDeployment(ctx, name, capacityFleet(n, 1), 1, func(d *deploy.Deployment) error {
			u, err := c.measure(ctx, d, n)
			usages = append(usages, u)
			return err
		})
		if err != nil {
			return err
		}
	}
	return c.publish("capacity", c.table(usages))
}

// measure measures one size. The order matters: the part that restarts nodes
// comes last.
func (c *capacity) measure(ctx context.Context, d *deploy.Deployment, n int) (usage, error) {
	u := usage{nodes: n}
	if err := pause(ctx, settleTime); err != nil {
		return u, err
	}
	for _, part := range []func(context.Context, *deploy.Deployment, *usage) error{
		c.idle, c.loaded, c.change, c.regionCut, c.zoneRestarted,
	} {
		if err := part(ctx, d, &u); err != nil {
			return u, err
		}
	}
	return u, ctx.Err()
}

func (c *capacity) idle(ctx context.Context, d *deploy.Deployment, u *usage) error {
	diff, after, err := measureDuring(ctx, d, func() error { return pause(ctx, c.Idle) })
	u.idle = ratesOf(diff, u.nodes, c.Idle)
	u.rss = after[metricRSS] / float64(u.nodes)
	return err
}

func (c *capacity) loaded(ctx context.Context, d *deploy.Deployment, u *usage) error {
	diff, after, err := measureDuring(ctx, d, func() error { return c.send(ctx, d) })
	idle := u.idle.cpu * float64(u.nodes) * c.Load.Seconds()
	u.cpuPerCall = max(0, diff[metricCPU]-idle) / diff[metricRequests]
	u.rssLoaded = after[metricRSS] / float64(u.nodes)
	return err
}

func (c *capacity) change(ctx context.Context, d *deploy.Deployment, u *usage) error {
	start := time.Now()
	diff, _, err := measureDuring(ctx, d, func() error {
		if err := d.Publish(ctx, capacityFleet(u.nodes, 2)); err != nil {
			return err
		}
		return awaitRevision(ctx, d, 2)
	})
	u.changeTime = time.Since(start).Seconds()
	u.changeBytes = max(0, diff[metricControlSent]/float64(u.nodes)-u.idle.bytes*u.changeTime)
	u.changeCalls = diff[metricPlatformCalls]
	return err
}

const (
	// faultPhase is the duration of each measurement with a fault.
	faultPhase = 6 * time.Second
	// settleTime is the wait for the traffic after joining or after links recover
	// to end, as it isn't part of the idle usage.
	settleTime = 3 * time.Second
)

func (c *capacity) regionCut(ctx context.Context, d *deploy.Deployment, u *usage) error {
	diff, _, err := measureDuring(ctx, d, func() error {
		err := d.SetLinkFaults(ctx,
			deploy.LinkFault{From: "one-*", To: "t*", Cut: true}, deploy.LinkFault{From: "t*", To: "one-*", Cut: true})
		if err != nil {
			return err
		}
		return pause(ctx, faultPhase)
	})
	if err != nil {
		return err
	}
	u.regionCut = ratesOf(diff, u.nodes, faultPhase)
	if err := d.SetLinkFaults(ctx); err != nil {
		return err
	}
	return pause(ctx, settleTime)
}

func (c *capacity) zoneRestarted(ctx context.Context, d *deploy.Deployment, u *usage) error {
	diff, _, err := measureDuring(ctx, d, func() error {
		for _, p := range d.VMs {
			if p.Zone != "one-a" {
				continue
			}
			if err := d.Node(p.Name).Kill(); err != nil {
				return err
			}
		}
		return pause(ctx, faultPhase)
	})
	u.zoneRestarted = ratesOf(diff, u.nodes, faultPhase)
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
	plan := load.Plan{Rate: c.Rate * float64(len(d.VMs)), Duration: c.Load, Seed: 1}
	for _, svc := range d.Fleet().Services {
		plan.Kinds = append(plan.Kinds, load.Kind{Service: svc.Name, Timeout: timeout})
	}
	for _, p := range d.VMs {
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

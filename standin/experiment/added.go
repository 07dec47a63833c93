package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// addedLatency measures the latency that entry and guard add to a call. Each run
// sends two loads concurrently from one process: through the node and directly
// to the same backend server, so that both are subject to the same noise.
type addedLatency struct {
	common
	Rates     []float64     `long:"rate" description:"calls per second of each of the two loads; may be repeated" default:"500" default:"2000"`
	For       time.Duration `long:"for" default:"10s" description:"length of each run"`
	Uploads   float64       `long:"uploads" description:"uploads of 1 MiB a second that go through the same entry to the same target, beside the two loads" default:"0"`
	ServiceMs float64       `long:"service-ms" default:"0" description:"service time of the backend servers"`
}

// The names of the two loads of a run.
const (
	direct  = "direct"
	through = "through"
)

// uploadSize is the size in bytes of an upload that runs along with the two loads.
const uploadSize = 1 << 20

// addedSlots is large enough that requests never queue for the backend server.
const addedSlots = 128

func addedFleet() fleet.Fleet {
	service := func(name string) fleet.Service {
		return fleet.Service{
			Name: name, Team: "measuring",
			Routes:  []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
			Targets: []fleet.Target{{VM: name, Zone: "one-a", Slots: addedSlots}},
		}
	}
	return fleet.Fleet{
		Name: "added-latency", Revision: 1, Zones: []fleet.Zone{{Name: "one-a", Region: "one"}},
		Teams:    []fleet.Team{{Name: "measuring"}},
		Services: []fleet.Service{service("here"), service("there")},
	}
}

func (a *addedLatency) run(ctx context.Context) error {
	t := &table{
		Title: "Added latency",
		Note: fmt.Sprintf("`make added-latency`: one calling process, two loads at once of the given rate each, %v a run, "+
			"service time %g ms, Poisson arrivals, latency in ms from sending. The target is 0.32 ms at p99.", a.For, a.ServiceMs),
		Columns: []string{"target stands", "calls/s", "direct p50", "through p50", "added p50", "direct p99", "through p99", "added p99", "not ok", "schedule"},
	}
	err := a.withDeployment(ctx, "added-latency", addedFleet(), a.ServiceMs, func(d *deploy.Deployment) error {
		here, there := d.VMs[0], d.VMs[1]
		for _, rate := range a.Rates {
			a.measure(ctx, t, "on the entry's VM", rate, here, here)
			a.measure(ctx, t, "on another VM of the zone", rate, here, there)
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	return a.publish("added-latency", t)
}

func (a *addedLatency) measure(ctx context.Context, t *table, where string, rate float64, entry, target deploy.VM) {
	const warmUp = 2 * time.Second
	plan := load.Plan{Rate: 2*rate + a.Uploads, Duration: warmUp, Seed: 1, Kinds: a.kinds(rate, entry, target)}.WithDefaults()
	client := load.NewClient(plan)
	defer client.Close()
	load.Run(ctx, plan, load.Options{Sender: client})
	plan.Duration = a.For
	r := load.Run(ctx, plan, load.Options{Sender: client})
	directStats, throughStats := r.Kinds[0].FromSending, r.Kinds[1].FromSending
	notOK := r.All.Calls - r.All.Outcomes[load.OK]
	t.add(where, count(rate), ms(directStats.P50), ms(throughStats.P50), ms(throughStats.P50-directStats.P50),
		ms(directStats.P99), ms(throughStats.P99), ms(throughStats.P99-directStats.P99), count(float64(notOK)), scheduleStatus(r))
}

func (a *addedLatency) kinds(rate float64, entry, target deploy.VM) []load.Kind {
	kinds := []load.Kind{
		{Name: direct, Service: target.Service, To: []string{target.Backend()}, Weight: int(rate)},
		{Name: through, Service: target.Service, To: []string{entry.Callers()}, Weight: int(rate)},
	}
	if a.Uploads >= 1 {
		kinds = append(kinds, load.Kind{
			Name: "upload", Service: target.Service, To: []string{entry.Callers()},
			Method: http.MethodPost, Body: uploadSize, Weight: int(a.Uploads),
		})
	}
	return kinds
}

// scheduleStatus describes whether the sender kept its schedule.
func scheduleStatus(r *load.Report) string {
	if r.ScheduleKept() {
		return "kept"
	}
	return fmt.Sprintf("not kept: %d late", r.Late)
}

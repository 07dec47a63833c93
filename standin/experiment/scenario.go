package main

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// The experiments' fleet has one service with three targets in each of six
// zones. An entry can choose from six targets in its region; one of the users'
// services has only two there.
const (
	service       = "work"
	targetsInZone = 3
	slots         = 6
	// meanMs is the mean service time. The part given by spread is random.
	meanMs = 40.0
	spread = 0.5
	// timeout is the deadline of a call, shortTimeout that of a call with a
	// short deadline.
	timeout      = time.Second
	shortTimeout = 250 * time.Millisecond
	// utilization is the load of a steady run, as a share of all slots.
	utilization = 0.7
)

// variant is a configuration of the service; zero fields mean the default.
type variant struct {
	name, policy, order string
	budget              fleet.Budget
	// hedge is the share of hedged requests, in percent.
	hedge int
}

func (v variant) fleet(revision uint64) fleet.Fleet {
	f := fleet.Fleet{
		Name: "experiment", Revision: revision, Teams: []fleet.Team{{Name: "measuring"}}, Budget: v.budget,
	}
	svc := fleet.Service{
		Name: service, Team: "measuring", Policy: v.policy, QueueOrder: v.order, HedgePercent: v.hedge, Timeout: timeout,
		Routes: []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
	}
	for _, region := range []string{"rs", "sc", "pr"} {
		for _, letter := range []string{"a", "b"} {
			zone := region + "-" + letter
			f.Zones = append(f.Zones, fleet.Zone{Name: zone, Region: region})
			for i := range targetsInZone {
				vm := fmt.Sprintf("%s-%s-%d", service, zone, i+1)
				svc.Targets = append(svc.Targets, fleet.Target{VM: vm, Zone: zone, Slots: slots})
			}
		}
	}
	f.Services = []fleet.Service{svc}
	return f
}

// step is an action of a scenario, at a time since the start of the load.
type step struct {
	at time.Duration
	do func(context.Context, *deploy.Deployment) error
}

// scenario is a load with a sequence of actions.
type scenario struct {
	name, about string
	length      time.Duration
	surges      []load.Surge
	steps       []step
	// chains is the rate per second of calls that each cause a chain of ten more
	// nested calls. The rate of other calls is then lower, see chainsUtilization.
	chains float64
	// shortDeadlines is true if half of the calls have a short deadline.
	shortDeadlines bool
}

// A chain of calls holds a slot at each level while the levels below run: eleven
// levels of meanMs together use 66 times meanMs of slot time.
const (
	chainsUtilization = 0.3
	chainTimeout      = 5 * time.Second
)

// setBackends changes the behaviour of every stride-th backend server, starting
// with the first, or of the first one only if stride is 0.
func setBackends(stride int, behaviour map[string]any) func(context.Context, *deploy.Deployment) error {
	return func(ctx context.Context, d *deploy.Deployment) error {
		for i, p := range d.VMs {
			if i > 0 && (stride == 0 || i%stride != 0) {
				continue
			}
			if err := d.SetBackend(ctx, p.Name, behaviour); err != nil {
				return err
			}
		}
		return nil
	}
}

// reset restores the default behaviour of all backend servers and removes all
// link faults.
func reset(ctx context.Context, d *deploy.Deployment) error {
	if err := d.SetLinkFaults(ctx); err != nil {
		return err
	}
	return setBackends(1, map[string]any{
		"service_ms": meanMs, "spread": spread, "jitter_ms": 0, "shift_every_ms": 0,
		"state": "live", "fail_fast": false, "lie": -1, "cold_ms": 0,
	})(ctx, d)
}

// cutRegion cuts the links between sc and the other regions.
func cutRegion(ctx context.Context, d *deploy.Deployment) error {
	return d.SetLinkFaults(
		ctx, deploy.LinkFault{From: "sc-*", To: "rs-*", Cut: true}, deploy.LinkFault{From: "rs-*", To: "sc-*", Cut: true},
		deploy.LinkFault{From: "sc-*", To: "pr-*", Cut: true}, deploy.LinkFault{From: "pr-*", To: "sc-*", Cut: true},
	)
}

// drainTwo drains two of the six targets of sc; the remaining four can't handle
// the region's load.
func drainTwo(ctx context.Context, d *deploy.Deployment) error {
	for _, vm := range []string{"work-sc-a-1", "work-sc-b-1"} {
		if err := d.SetBackend(ctx, vm, map[string]any{"state": "draining"}); err != nil {
			return err
		}
	}
	return nil
}

const sec = time.Second

var scenarios = []scenario{
	{name: "steady", about: "all servers well", length: 5 * sec},
	{name: "slow", about: "one server takes 10 times as long from second 2 to 5", length: 7 * sec, steps: []step{
		{2 * sec, setBackends(0, map[string]any{"service_ms": 10 * meanMs})},
		{5 * sec, setBackends(0, map[string]any{"service_ms": meanMs})},
	}},
	{name: "fail-fast", about: "one server answers 500 at once from second 2 to 5", length: 7 * sec, steps: []step{
		{2 * sec, setBackends(0, map[string]any{"fail_fast": true})},
		{5 * sec, setBackends(0, map[string]any{"fail_fast": false})},
	}},
	{
		name: "chains", about: "30 % of all slots busy with plain calls, and 8 chains of eleven calls a second, which hold 20 % more",
		length: 6 * sec, chains: 8,
	},
	{name: "neighbours", about: "service time shifts by 0 to 60 ms every 8 ms, at each server by itself, the mean as before", length: 5 * sec, steps: []step{
		{0, setBackends(1, map[string]any{"service_ms": 10, "jitter_ms": 60, "shift_every_ms": 8})},
	}},
	{name: "lying", about: "a third of the load endpoints say idle always, and one of these servers is 5 times slower from second 2", length: 5 * sec, steps: []step{
		{0, setBackends(3, map[string]any{"lie": 0})},
		{2 * sec, setBackends(0, map[string]any{"service_ms": 5 * meanMs})},
	}},
	{name: "cold", about: "a third of the servers starts cold at second 2: 10 times slower for 3 s", length: 7 * sec, steps: []step{
		{2 * sec, setBackends(3, map[string]any{"cold_ms": 3000})},
	}},
	{
		name: "overload", about: "1.3 times what all slots can do from second 2 to 12", length: 14 * sec,
		surges: []load.Surge{{From: 2 * sec, To: 12 * sec, Factor: 1.3 / utilization}},
	},
	{name: "region-cut", about: "two of six servers of a region drain, and it is cut off the others from second 1 to 21", length: 23 * sec, steps: []step{
		{0, drainTwo},
		{1 * sec, cutRegion},
		{21 * sec, func(ctx context.Context, d *deploy.Deployment) error { return d.SetLinkFaults(ctx) }},
	}},
}

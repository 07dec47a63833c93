package main

import (
	"context"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/load"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// play executes the steps of a scenario at their times, in the background.
func play(ctx context.Context, d *deploy.Deployment, sc scenario) <-chan error {
	done := make(chan error, 1)
	start := time.Now()
	go func() {
		for _, next := range sc.steps {
			if next.at >= sc.length {
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

func send(ctx context.Context, d *deploy.Deployment, sc scenario, seed uint64) *load.Report {
	plan := planOf(sc, rate(d), seed)
	for _, p := range d.VMs {
		plan.To = append(plan.To, p.Callers())
	}
	client := load.NewClient(plan)
	defer client.Close()
	return load.Run(ctx, plan, load.Options{Sender: client})
}

// planOf returns the load plan of a scenario; steady is the call rate at the
// default utilization.
func planOf(sc scenario, steady float64, seed uint64) load.Plan {
	const workers = 20_000
	plain := load.Kind{Name: "plain", Service: service, Timeout: timeout}
	plan := load.Plan{
		Rate: steady, Duration: sc.length, Seed: seed, Surges: sc.surges, Workers: workers, Kinds: []load.Kind{plain},
	}
	if sc.shortDeadlines {
		plan.Kinds = append(plan.Kinds, load.Kind{Name: "hurried", Service: service, Timeout: shortTimeout})
	}
	if sc.chains > 0 {
		others := steady * chainsUtilization / utilization
		plan.Rate = others + sc.chains
		plan.Kinds[0].Weight = int(others)
		plan.Kinds = append(plan.Kinds, load.Kind{
			Name: "chain", Service: service, Timeout: chainTimeout, Weight: int(sc.chains),
			Chain: slices.Repeat([]string{service}, load.MaxChain),
		})
	}
	return plan.WithDefaults()
}

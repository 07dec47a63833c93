// Command experiment starts deployments of real processes, applies load and
// writes the measurements as Markdown, JSON and plots: a comparison of routing
// policies under faults, the latency that entry and guard add, and the resource
// usage of the control plane at several sizes. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// common are the options of every command.
type common struct {
	Bin     string   `long:"bin" default:"build/bin" description:"directory of the programs"`
	Out     string   `long:"out" default:"build/experiments" description:"directory for tables, plots and logs"`
	NodeEnv []string `long:"node-env" description:"NAME=value for the nodes' environment, to try settings of the runtime; may be repeated"`
	Commit  string   `long:"commit" default:"unknown" description:"what was built, for the tables"`
	Page    string   `long:"page" description:"Markdown page whose marked section gets the tables"`
	// environment describes when and on which machine the run was made.
	environment string
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parser := flags.NewParser(nil, flags.Default)
	commands := []struct {
		name, about string
		command     interface{ run(context.Context) error }
	}{
		{"policies", "compare routing policies under faults", &policies{}},
		{"budgets", "compare budgets for measuring load", &budgets{}},
		{"orders", "compare orders of the guards' queues", &orders{}},
		{"added-latency", "measure what entry and guard add to a call", &addedLatency{}},
		{"capacity", "measure how the control side's cost grows", &capacity{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.about, c.about, c.command); err != nil {
			fail(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(2)
	}
	for _, c := range commands {
		if parser.Active.Name != c.name {
			continue
		}
		if err := c.command.run(ctx); err != nil {
			fail(err)
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "experiment:", err)
	os.Exit(1)
}

// withDeployment starts a deployment on a free network, calls run and stops the
// deployment.
func (c *common) withDeployment(ctx context.Context, name string, f fleet.Fleet, serviceMs float64, run func(*deploy.Deployment) error) error {
	if c.environment == "" {
		c.environment = c.describe()
	}
	octet, release, err := deploy.FreeNet()
	if err != nil {
		return err
	}
	defer release()
	d, err := deploy.New(deploy.Options{
		Bin: c.Bin, Out: c.Out + "/" + name, Net: octet, Fleet: f, ServiceMs: serviceMs, NodeEnv: c.NodeEnv,
	})
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := d.Start(ctx); err != nil {
		return err
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	return run(d)
}

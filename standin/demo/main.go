// Command demo starts one of the examples on loopback addresses: 18 nodes with a
// backend server stand-in each, the platform stand-in, and a relay per
// availability zone, each as a separate process. With --check it sends a mixed
// load and exits with 0 only if every answer was correct. It is not part of a
// release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

type options struct {
	Bin       string        `long:"bin" default:"build/bin" description:"directory of the programs"`
	Out       string        `long:"out" default:"build/demo" description:"directory for settings, logs and ledgers"`
	Net       int           `long:"net" default:"10" description:"second octet of the loopback addresses"`
	Fleet     string        `long:"fleet" default:"cestaviva" choice:"cestaviva" choice:"eisbruecke" description:"which of the examples to start"`
	Check     bool          `long:"check" description:"send a load, report, and exit"`
	For       time.Duration `long:"for" default:"10s" description:"length of the check's load"`
	ServiceMs float64       `long:"service-ms" default:"5" description:"service time of the backend servers"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts options) error {
	chosen := deploymentsByName[opts.Fleet]
	d, err := deploy.New(deploy.Options{
		Bin: opts.Bin, Out: opts.Out, Net: opts.Net, Fleet: chosen.declare(1), ServiceMs: opts.ServiceMs,
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
	fmt.Println("ready")
	if opts.Check {
		return check(ctx, d, chosen.calls, opts.For)
	}
	<-ctx.Done()
	return nil
}

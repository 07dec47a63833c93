package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/load"
)

const loadHelp = `Sends an open-loop load: calls leave by a schedule that waits for no answer,
and latency counts from the scheduled time, so that a stalled system can't hide
its queue. The plan is a file, or the flags for a single kind of call.

A plan file:
  [load]
  to = 127.10.1.1:7100, 127.10.2.1:7100
  rate = 500
  duration = 30s
  arrivals = poisson
  seed = 1
  [kind browse]
  service = catalogue
  path = /catalogue/week
  weight = 6
  timeout = 2s
  [kind confirm]
  service = orders
  method = POST
  path = /orders/confirm
  body = 300

Flags win over the file. Exit codes: 0 the load was sent as scheduled and some
calls were answered; 1 it wasn't, or nothing was answered; 2 wrong usage or a wrong plan.

Example:
  limpetdock load --to 127.10.1.1:7100 --service catalogue --rate 200 --duration 10s`

// progressInterval is the time between progress lines of a run.
const progressInterval = 5 * time.Second

type loadCommand struct {
	command
	Plan     string        `long:"plan" description:"INI file with the plan"`
	To       []string      `long:"to" description:"address of a node for callers, IP:PORT; may be repeated"`
	Rate     float64       `long:"rate" description:"calls per second"`
	Duration time.Duration `long:"duration" description:"how long calls are scheduled"`
	Arrivals string        `long:"arrivals" choice:"poisson" choice:"constant" description:"times between calls"`
	Seed     *uint64       `long:"seed" description:"seed of the schedule"`
	Workers  int           `long:"workers" description:"most calls in flight"`
	Service  string        `long:"service" description:"service, when there is no plan file"`
	Method   string        `long:"method" description:"method, when there is no plan file"`
	Path     string        `long:"path" description:"path, when there is no plan file"`
	Body     int           `long:"body" description:"bytes of body, when there is no plan file"`
	Timeout  time.Duration `long:"timeout" description:"deadline, when there is no plan file"`
	Chain    []string      `long:"chain" description:"next service of the call chain; may be repeated, when there is no plan file"`
	JSON     string        `long:"json" description:"file for the report as JSON; - for the output"`
	Plot     string        `long:"plot" description:"file for an HTML plot of latency over time"`
	Assets   string        `long:"plot-assets" description:"URL or directory with the chart script, ending in /, to read the plot offline"`
	Quiet    bool          `long:"quiet" description:"no progress on the error output"`
}

func addLoad(p *flags.Parser) error {
	_, err := p.AddCommand("load", "send an open-loop load", loadHelp, &loadCommand{})
	return err
}

func (c *loadCommand) run(out io.Writer) error {
	plan, err := c.plan()
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	client := load.NewClient(plan)
	defer client.Close()
	o := load.Options{Sender: client}
	if !c.Quiet {
		o.Progress, o.Every = showProgress(os.Stderr, plan.Duration), progressInterval
	}
	report := load.Run(ctx, plan, o)
	if err := c.write(out, report); err != nil {
		return err
	}
	return checkReport(report)
}

// checkReport returns an error if the run isn't a valid measurement.
func checkReport(r *load.Report) error {
	switch {
	case r.All.Outcomes[load.OK] == 0:
		return eris.New("no call was answered by a backend server")
	case !r.ScheduleKept():
		return eris.Errorf("the schedule wasn't kept: %d of %d calls began late; use a lower rate or more --workers", r.Late, r.All.Calls)
	}
	return nil
}

func showProgress(w io.Writer, total time.Duration) func(load.Progress) {
	return func(p load.Progress) {
		_, _ = fmt.Fprintf(w, "%v of %v: %d sent, %d answered, %d ok\n", p.After.Round(time.Second), total, p.Sent, p.Answered, p.OK)
	}
}

// plan returns the plan of the file or the flags. Flags override the file.
func (c *loadCommand) plan() (load.Plan, error) {
	p, err := c.source()
	if err != nil {
		return p, err
	}
	c.override(&p)
	p = p.WithDefaults()
	return p, p.Check()
}

// source reads the plan file, or builds a plan with one kind from the flags.
func (c *loadCommand) source() (load.Plan, error) {
	hasKindFlags := c.Service+c.Method+c.Path != "" || c.Body != 0 || c.Timeout != 0 || len(c.Chain) > 0
	switch {
	case c.Plan != "" && hasKindFlags:
		return load.Plan{}, eris.New("--service, --method, --path, --body, --timeout and --chain don't go with --plan")
	case c.Plan != "":
		return readPlan(c.Plan)
	case c.Service == "":
		return load.Plan{}, eris.New("--plan or --service is needed")
	}
	return load.Plan{Kinds: []load.Kind{{
		Service: c.Service, Method: c.Method, Path: c.Path, Body: c.Body, Timeout: c.Timeout, Chain: c.Chain,
	}}}, nil
}

func readPlan(file string) (load.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return load.Plan{}, eris.Errorf("the plan can't be read: %v", err)
	}
	p, err := load.ReadPlan(text)
	if err != nil {
		return p, eris.Errorf("%s: %v", file, err)
	}
	return p, nil
}

func (c *loadCommand) override(p *load.Plan) {
	if len(c.To) > 0 {
		p.To = c.To
	}
	if c.Rate != 0 {
		p.Rate = c.Rate
	}
	if c.Duration != 0 {
		p.Duration = c.Duration
	}
	if c.Arrivals != "" {
		p.Arrivals = load.Arrivals(c.Arrivals)
	}
	if c.Seed != nil {
		p.Seed = *c.Seed
	}
	if c.Workers != 0 {
		p.Workers = c.Workers
	}
}

func (c *loadCommand) write(out io.Writer, r *load.Report) error {
	if c.Plot != "" {
		err := writeFile(c.Plot, func(w io.Writer) error {
			return load.WritePlot(w, "limpetdock load", c.Assets, load.Series{Name: "all", Report: r})
		})
		if err != nil {
			return err
		}
	}
	asJSON := func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	if c.JSON == "-" {
		return asJSON(out)
	}
	if c.JSON != "" {
		if err := writeFile(c.JSON, asJSON); err != nil {
			return err
		}
	}
	return r.WriteText(out)
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Errorf("the report can't be written: %v", err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return eris.Errorf("%s: %v", name, err)
	}
	return f.Close()
}

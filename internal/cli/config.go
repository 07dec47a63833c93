package cli

import (
	"fmt"
	"io"
	"slices"

	"github.com/jessevdk/go-flags"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/diff"
)

const (
	configLong = "Checks, shows and compares configuration documents.\n" + sourceHelp
	checkLong  = "Reads the documents of each source as a node would and checks them as a whole. " + sourceHelp +
		"\n\nExamples:\n  go run ./examples/eisbruecke | limpetdock config check -\n  limpetdock config check out http://10.0.0.5:8500"
	printLong = "Prints the documents of a source as a node would read them, the index last. " + sourceHelp +
		"\n\nExamples:\n  limpetdock config print http://10.0.0.5:8500\n  limpetdock config print --json 127.10.1.1:7400"
	diffLong = "Says in words what changes for callers from OLD to NEW. Ends with 3 if anything in it is a warning: " +
		"a request that goes from at most once to idempotent, a service or host that is gone, a revision that nodes will refuse. " +
		sourceHelp + "\n\nExamples:\n  limpetdock config diff 127.10.1.1:7400 out\n  limpetdock config diff --json in-force out"
)

func addConfig(p *flags.Parser, stdin io.Reader) error {
	group, err := p.AddCommand("config", "check, show and compare configuration documents", configLong, &struct{}{})
	if err != nil {
		return err
	}
	return registerAll(group, []commandSpec{
		{"check", "check documents", checkLong, &configCheck{stdin: stdin}},
		{"print", "print documents as a node would read them", printLong, &configPrint{stdin: stdin}},
		{"diff", "say what changes for callers", diffLong, &configDiff{stdin: stdin}},
	})
}

type configCheck struct {
	command
	stdin io.Reader
	Args  struct {
		Sources []string `positional-arg-name:"SOURCE" description:"directory, file, -, http://IP:PORT or IP:PORT" required:"1"`
	} `positional-args:"true" required:"true"`
}

func (c *configCheck) run(out io.Writer) error {
	for _, name := range c.Args.Sources {
		conf, err := source{name, c.stdin}.config()
		if err != nil {
			return err
		}
		targets := 0
		for _, s := range conf.Services {
			targets += len(s.Targets)
		}
		_, err = fmt.Fprintf(out, "%s: good: fleet %s, revision %d, %d services, %d targets\n",
			name, conf.Fleet(), conf.Index.Version.Revision, len(conf.Services), targets)
		if err != nil {
			return err
		}
	}
	return nil
}

type configPrint struct {
	command
	stdin io.Reader
	JSON  bool `long:"json" description:"print the declaration as JSON"`
	Args  struct {
		Source string `positional-arg-name:"SOURCE" description:"directory, file, -, http://IP:PORT or IP:PORT" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *configPrint) run(out io.Writer) error {
	conf, err := source{c.Args.Source, c.stdin}.config()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, declaration(conf))
	}
	_, err = conf.Publication().WriteTo(out)
	return err
}

// declaration returns the fleet with its services, in the order of the index.
func declaration(c *config.Config) fleet.Fleet {
	f := c.Index.Fleet
	for _, e := range c.Index.Entries {
		f.Services = append(f.Services, c.Services[e.Service].Service)
	}
	return f
}

type configDiff struct {
	command
	stdin io.Reader
	JSON  bool `long:"json" description:"print the changes as JSON"`
	Args  struct {
		Old string `positional-arg-name:"OLD" description:"source of what is in force" required:"true"`
		New string `positional-arg-name:"NEW" description:"source of what is to be published" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *configDiff) run(out io.Writer) error {
	before, err := source{c.Args.Old, c.stdin}.config()
	if err != nil {
		return err
	}
	after, err := source{c.Args.New, c.stdin}.config()
	if err != nil {
		return err
	}
	changes := diff.Compare(before, after)
	if err := c.print(out, changes); err != nil {
		return err
	}
	if slices.ContainsFunc(changes, func(c diff.Change) bool { return c.Level == diff.Warning }) {
		return errFindings
	}
	return nil
}

func (c *configDiff) print(out io.Writer, changes []diff.Change) error {
	if c.JSON {
		return printJSON(out, append([]diff.Change{}, changes...))
	}
	if len(changes) == 0 {
		_, err := fmt.Fprintln(out, "nothing changes")
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(out, change); err != nil {
			return err
		}
	}
	return nil
}

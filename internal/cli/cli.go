// Package cli is the operators' command-line tool: each command is a type of
// its own with a run method.
package cli

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// runner is a command that has been parsed.
type runner interface {
	run(out io.Writer) error
}

// Main runs the tool with command-line arguments and gives its exit code.
func Main(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("limpetdock", flags.HelpFlag|flags.PassDoubleDash)
	var chosen runner
	parser.CommandHandler = func(c flags.Commander, _ []string) error {
		chosen, _ = c.(runner)
		return nil
	}
	if err := addCommands(parser); err != nil {
		return complain(errOut, err, ExitFailed)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(out, err)
			return ExitOK
		}
		return complain(errOut, err, ExitUsage)
	}
	if chosen == nil {
		return complain(errOut, errNoCommand, ExitUsage)
	}
	if err := chosen.run(out); err != nil {
		return complain(errOut, err, ExitFailed)
	}
	return ExitOK
}

func complain(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "limpetdock:", err)
	return code
}

// command lets a runner be registered with the flags library.
type command struct{}

// Execute satisfies flags.Commander; the tool runs the command itself.
func (command) Execute([]string) error { return nil }

func addCommands(p *flags.Parser) error {
	if err := addLoad(p); err != nil {
		return err
	}
	_, err := p.AddCommand("dump", "show a node's state",
		"Shows every table of a node's state as JSON.\nExample: limpetdock dump 127.10.1.1:7400", &dumpCommand{})
	return err
}

// Package cli is the operators' command-line tool: each command is a type of
// its own with a run method.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit codes of the tool.
const (
	// ExitOK means that the command did what it was asked, and found nothing amiss.
	ExitOK = 0
	// ExitFailed means that it couldn't: a file can't be read, a node doesn't
	// answer, a document is wrong.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitFound means that it worked and found something to look at.
	ExitFound = 3
)

var errNoCommand = eris.New("a command is needed; see limpetdock --help")

// errFound ends a command that has printed what it found.
var errFound = errors.New("found something to look at")

// usageError is a wrong argument that the flags library can't know of.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// runner is a command that has been parsed.
type runner interface {
	run(out io.Writer) error
}

// Main runs the tool with command-line arguments and gives its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var chosen runner
	parser, err := newParser(os.Stdin)
	if err != nil {
		return complain(errOut, err, ExitFailed)
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		chosen, _ = c.(runner)
		if len(rest) > 0 {
			return usagef("unexpected argument %q", rest[0])
		}
		return nil
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
	return exit(chosen.run(out), errOut)
}

// exit gives the exit code for a command's error.
func exit(err error, errOut io.Writer) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFound):
		return ExitFound
	case errors.As(err, &usage):
		return complain(errOut, err, ExitUsage)
	}
	return complain(errOut, err, ExitFailed)
}

func complain(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "limpetdock:", err)
	return code
}

// command lets a runner be registered with the flags library.
type command struct{}

// Execute satisfies flags.Commander; the tool runs the command itself.
func (command) Execute([]string) error { return nil }

// newParser returns the parser with every command. stdin is what "-" reads.
func newParser(stdin io.Reader) (*flags.Parser, error) {
	p := flags.NewNamedParser("limpetdock", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "The operators' tool of limpetdock.\n" + exitCodesText
	return p, addCommands(p, stdin)
}

const exitCodesText = `Exit codes: 0 done, nothing amiss; 1 failed, with the reason on stderr; ` +
	`2 wrong command line; 3 done, and found something to look at.`

// entry is a command as it is registered.
type entry struct {
	name, short, long string
	data              flags.Commander
}

// adder is a parser or a command that takes subcommands.
type adder interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func addAll(to adder, entries []entry) error {
	for _, e := range entries {
		if _, err := to.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return err
		}
	}
	return nil
}

func addCommands(p *flags.Parser, stdin io.Reader) error {
	if err := addConfig(p, stdin); err != nil {
		return err
	}
	if err := addSettings(p); err != nil {
		return err
	}
	if err := addLoad(p); err != nil {
		return err
	}
	return addAll(p, []entry{
		{"dump", "show a node's state", dumpLong, &dumpCommand{}},
		{"explain", "say which target a request would go to, and why", explainLong, &explainCommand{}},
		{"status", "compare many nodes", statusLong, &statusCommand{}},
		{"version", "show the version of the tool", versionLong, &versionCommand{}},
		{"completion", "print a script for shell completion", completionLong, &completionCommand{}},
	})
}

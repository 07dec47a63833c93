// Package cli implements the operators' command-line tool. Each command is a type
// that implements runner.
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
	// ExitOK means that the command succeeded and has no findings.
	ExitOK = 0
	// ExitFailed means that the command failed: a file can't be read, a node doesn't
	// answer, or a document is invalid.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitFindings means that the command succeeded and printed findings that need
	// attention.
	ExitFindings = 3
)

var errNoCommand = eris.New("a command is needed; see limpetdock --help")

// errFindings is returned by a command that has printed findings. Main prints no
// message for it.
var errFindings = errors.New("found something to look at")

// usageError is an invalid argument that the flags library doesn't detect.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// runner is a command whose arguments have been parsed.
type runner interface {
	run(out io.Writer) error
}

// Main runs the tool with command-line arguments and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var chosen runner
	parser, err := newParser(os.Stdin)
	if err != nil {
		return printError(errOut, err, ExitFailed)
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
		return printError(errOut, err, ExitUsage)
	}
	if chosen == nil {
		return printError(errOut, errNoCommand, ExitUsage)
	}
	return exitCode(chosen.run(out), errOut)
}

// exitCode prints a command's error and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFindings
	case errors.As(err, &usage):
		return printError(errOut, err, ExitUsage)
	}
	return printError(errOut, err, ExitFailed)
}

func printError(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "limpetdock:", err)
	return code
}

// command is embedded in each runner so that the flags library accepts it.
type command struct{}

// Execute implements flags.Commander. It does nothing: Main calls run instead.
func (command) Execute([]string) error { return nil }

// newParser returns a parser with all commands registered. Commands read stdin for
// the argument "-".
func newParser(stdin io.Reader) (*flags.Parser, error) {
	p := flags.NewNamedParser("limpetdock", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "The operators' tool of limpetdock.\n" + exitCodesText
	return p, addCommands(p, stdin)
}

const exitCodesText = `Exit codes: 0 done, nothing amiss; 1 failed, with the reason on stderr; ` +
	`2 wrong command line; 3 done, and found something to look at.`

// commandSpec describes a command for registration.
type commandSpec struct {
	name, short, long string
	data              flags.Commander
}

// commandAdder is a parser or a command to which commands can be added.
type commandAdder interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func registerAll(to commandAdder, entries []commandSpec) error {
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
	return registerAll(p, []commandSpec{
		{"dump", "show a node's state", dumpLong, &dumpCommand{}},
		{"explain", "say which target a request would go to, and why", explainLong, &explainCommand{}},
		{"status", "compare many nodes", statusLong, &statusCommand{}},
		{"version", "show the version of the tool", versionLong, &versionCommand{}},
		{"completion", "print a script for shell completion", completionLong, &completionCommand{}},
	})
}

// Package daemon implements the command line that the daemon programs share.
package daemon

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemon.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Options are the command-line options.
type Options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// Main parses the command line, loads the settings file it names and calls serve
// with the settings. It returns the exit code.
func Main[S any](program string, args []string, load func(path string) (S, error), serve func(path string, settings S) int) int {
	var opts Options
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return ReportError(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return ExitOK
		}
		return ReportError(err)
	}
	settings, err := load(opts.Settings)
	if err != nil {
		return ReportError(err)
	}
	if opts.Check {
		fmt.Println("settings are good")
		return ExitOK
	}
	return serve(opts.Settings, settings)
}

// ReportError prints the error that prevents a start and returns the exit code.
func ReportError(err error) int {
	fmt.Fprintln(os.Stderr, "limpetdockd:", err)
	return ExitUsage
}

package deployments

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/limpetdock/limpetdock/fleet"
)

// Exit codes of the example commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Revision uint64 `short:"r" long:"revision" default:"1" description:"revision to print"`
	Out      string `short:"o" long:"out" value-name:"DIR" description:"write each document into a file of DIR instead of printing all"`
}

// Main is the main function of an example. It prints the documents of the fleet
// that declare returns, or writes them to a directory, and returns the exit code.
func Main(name string, declare func(revision uint64) fleet.Fleet, args []string, out, errOut io.Writer) int {
	var opts options
	parser := flags.NewNamedParser(name, flags.HelpFlag)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return printError(errOut, name, err, exitFailed)
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(out, err)
		return exitOK
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return printError(errOut, name, err, exitUsage)
	}
	if err := publish(declare(opts.Revision), opts.Out, out); err != nil {
		return printError(errOut, name, err, exitFailed)
	}
	return exitOK
}

func publish(f fleet.Fleet, dir string, out io.Writer) error {
	pub, err := f.Print()
	if err != nil {
		return err
	}
	if dir != "" {
		return pub.WriteDir(dir)
	}
	_, err = pub.WriteTo(out)
	return err
}

func printError(w io.Writer, name string, err error, code int) int {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
	return code
}

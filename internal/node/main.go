package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/settings"
)

// Exit codes of the daemon.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// Main runs the daemon with command-line arguments and gives its exit code.
func Main(args []string) int {
	var opts options
	parser := flags.NewNamedParser("limpetdockd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return complain(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return ExitOK
		}
		return complain(err)
	}
	set, err := settings.Load(opts.Settings)
	if err != nil {
		return complain(err)
	}
	if opts.Check {
		fmt.Println("settings are good")
		return ExitOK
	}
	return serve(set)
}

func complain(err error) int {
	fmt.Fprintln(os.Stderr, "limpetdockd:", err)
	return ExitUsage
}

func serve(set *settings.Settings) int {
	tuneCollector()
	log := newLogger(set.LogLevel)
	app := fx.New(Module, fx.NopLogger, fx.Supply(set),
		fx.Provide(func() logr.Logger { return log }),
		fx.StopTimeout(set.StopGrace+set.StopLimit+stopSlack))
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		log.Error(err, "start failed")
		return ExitFailed
	}
	signal := <-app.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.Error(err, "stop failed")
		return ExitFailed
	}
	return signal.ExitCode
}

func newLogger(level int) logr.Logger {
	// logr's verbosity n is slog's level -n.
	handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler)
}

package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
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

// Main runs a node with command-line arguments on a platform and gives its exit code.
func Main(args []string, p Platform) int {
	var opts options
	parser := flags.NewNamedParser("limpetdockd mesh", flags.HelpFlag|flags.PassDoubleDash)
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
	s, err := settings.Load(opts.Settings)
	if err != nil {
		return complain(err)
	}
	if opts.Check {
		fmt.Println("settings are good")
		return ExitOK
	}
	return serve(opts.Settings, s, p)
}

func complain(err error) int {
	fmt.Fprintln(os.Stderr, "limpetdockd:", err)
	return ExitUsage
}

const (
	// gcPercent lets the heap grow to four times what is live before it is
	// collected; memoryLimit is where the collector works harder whatever gcPercent
	// says, in bytes.
	gcPercent   = 300
	memoryLimit = 96 << 20
)

func serve(path string, s *settings.Settings, p Platform) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := decision.New(ctx, os.Stdout, slog.LevelInfo+slog.Level(s.Tunable.LogLevel)*(slog.LevelWarn-slog.LevelInfo))
	var watch *watcher
	app := fx.New(Module, fx.NopLogger, fx.Supply(s, p, log),
		fx.Provide(func(t tunables) *watcher { return newWatcher(path, s, t, log) }),
		fx.Populate(&watch),
		fx.StopTimeout(2*s.StopGrace))
	if err := app.Err(); err != nil {
		return complain(err)
	}
	start, cancelStart := context.WithTimeout(ctx, app.StartTimeout())
	defer cancelStart()
	if err := app.Start(start); err != nil {
		log.Trouble("start failed", "error", err.Error())
		log.Flush(flushWithin)
		return ExitFailed
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go watch.run(ctx, hup)
	end := <-app.Wait()
	stop, cancelStop := context.WithTimeout(ctx, app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.Trouble("stop failed", "error", err.Error())
		return ExitFailed
	}
	return end.ExitCode
}

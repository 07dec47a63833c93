package node

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/daemon"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
)

// Main runs a node on a platform with command-line arguments and returns its exit code.
func Main(args []string, p Platform) int {
	return daemon.Main("limpetdockd mesh", args, settings.Load, func(path string, s *settings.Settings) int { return serve(path, s, p) })
}

const (
	// gcPercent lets the heap grow to four times the live data between collections.
	// memoryLimit, in bytes, is where the collector runs more often regardless of
	// gcPercent.
	gcPercent   = 300
	memoryLimit = 96 << 20
)

func serve(path string, s *settings.Settings, p Platform) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	// By default, writing to a closed standard output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	reload, terminate := notify(syscall.SIGHUP), notify(syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := decision.New(ctx, os.Stdout, slog.LevelInfo+slog.Level(s.Tunable.LogLevel)*(slog.LevelWarn-slog.LevelInfo))
	var settingsWatch *settingsWatcher
	app := fx.New(Module, fx.NopLogger, fx.Supply(s, p, log),
		fx.Provide(func(t tunables) *settingsWatcher { return newSettingsWatcher(path, s, t, log) }),
		fx.Populate(&settingsWatch),
		fx.StopTimeout(2*s.StopGrace))
	if err := app.Err(); err != nil {
		return daemon.ReportError(err)
	}
	start, cancelStart := context.WithTimeout(ctx, app.StartTimeout())
	defer cancelStart()
	if err := app.Start(start); err != nil {
		log.Warn("start failed", "error", err.Error())
		log.Flush(flushTimeout)
		return daemon.ExitFailed
	}
	go settingsWatch.run(ctx, reload)
	code := daemon.ExitOK
	select {
	case <-terminate:
	case end := <-app.Wait():
		code = end.ExitCode
	}
	stop, cancelStop := context.WithTimeout(ctx, app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.Warn("stop failed", "error", err.Error())
		return daemon.ExitFailed
	}
	return code
}

// notify returns a channel that receives signals from now on. A signal that arrives before would
// end the process at once.
func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

package node

import (
	"context"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/daemon"
	"github.com/limpetdock/limpetdock/internal/settings"
)

// Main runs the daemon with the given command-line arguments and returns its exit
// code.
func Main(args []string) int {
	return daemon.Main("limpetdockd", args, settings.Load, func(_ string, set *settings.Settings) int { return serve(set) })
}

func serve(set *settings.Settings) int {
	tuneGC()
	log := newLogger(set.LogLevel)
	app := fx.New(Module, fx.NopLogger, fx.Supply(set),
		fx.Provide(func() logr.Logger { return log }),
		fx.StopTimeout(set.StopGrace+set.StopLimit+stopMargin))
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		log.Error(err, "start failed")
		return daemon.ExitFailed
	}
	signal := <-app.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.Error(err, "stop failed")
		return daemon.ExitFailed
	}
	return signal.ExitCode
}

func newLogger(level int) logr.Logger {
	// logr's verbosity n is slog's level -n.
	handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler)
}

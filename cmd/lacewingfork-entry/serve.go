package main

import (
	"context"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
)

// serve runs the application until SIGINT, SIGTERM, a drain request or a
// failure, and returns the exit code.
func serve(app *fx.App, logger *log.Logger) int {
	if err := app.Start(context.Background()); err != nil {
		logger.Error("cannot start the instance", "event", "start_failed", "error", err)
		return exitFailed
	}
	signal := <-app.Wait()
	logger.Info("stopping", "event", "stop_started")
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		logger.Error("stop did not complete", "event", "stop_cut_off", "error", err)
		return exitFailed
	}
	logger.Info("stopped", "event", "stopped")
	return signal.ExitCode
}

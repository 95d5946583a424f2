// Package entry provides the root supervisor of an entry instance.
//
// fx builds the graph of supervisors and rings and runs its start and stop; the
// supervisor tree runs the duties. When a duty exceeds its restart intensity,
// restarts with empty state do not help, so the root shuts the process down in
// order and the platform replaces the instance.
package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/entry/operations"
	"lacewingfork.example/lacewingfork/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

// stopTimeoutMargin is added to the stop timeout of the settings for the steps of
// the stop that have their own timeouts.
const stopTimeoutMargin = 15 * time.Second

// New returns the fx application of one entry instance.
func New(s settings.Settings, listeners *Listeners, logger *log.Logger) *fx.App {
	return fx.New(options(s, listeners, logger))
}

func options(s settings.Settings, listeners *Listeners, logger *log.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(s.Process.StopTimeout+stopTimeoutMargin),
		fx.Supply(s, listeners, logger),
		fx.Provide(newRegistry, newTree, operations.NewEvents),
		providers,
		fx.Invoke(run),
	)
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// newTree returns the root supervisor. It records the events of the tree in the
// log and in the explanation history.
func newTree(logger *log.Logger, events *supervise.Ring[message.Event]) *supervise.Tree {
	return supervise.NewTree("entry", supervise.DefaultIntensity, func(e supervise.Event) {
		var panicked *supervise.PanicError
		stack := ""
		if errors.As(e.Err, &panicked) {
			stack = panicked.Stack
		}
		logger.Error("supervisor event", "event", string(e.Kind), "duty", e.Duty, "error", e.Err, "stack", stack)
		_ = events.Put(context.Background(), message.Event{
			At: time.Now(), Subject: e.Duty, Event: string(e.Kind), Detail: map[string]any{"error": errorText(e.Err)},
		})
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// run serves the tree between start and stop. If the tree ends before the stop,
// the application shuts down with exit code 1.
func run(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, tree *supervise.Tree, stop *stopper, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(served)
				err := tree.Serve(ctx)
				if ctx.Err() == nil {
					logger.Error("root supervisor ended before the stop", "event", "root_ended", "error", err)
					_ = shutdowner.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			stop.drain(stopCtx)
			cancel()
			<-served
			return nil
		},
	})
}

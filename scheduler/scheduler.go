// Package scheduler is the root supervisor of an entry instance that schedules
// jobs on a platform, as a library.
//
// fx builds the graph of supervisors and rings and runs start and stop; the
// tree supervises the duties. The root ends the process in order when a duty
// exceeds its restart intensity, because a restart with clean state did not
// help; the platform then starts the process anew.
package scheduler

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/internal/listen"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

// stopMargin is the time that fx grants beyond the grace of the platform, so
// that the platform's kill and not fx ends a stop that takes too long.
const stopMargin = 5 * time.Second

// Listeners are the sockets of an entry instance.
type Listeners = listen.Listeners

// Listen opens all sockets or none.
func Listen(s settings.Listen) (*Listeners, error) {
	return listen.Open(listen.Addresses{Callers: s.Callers, Peers: s.Peers, Operations: s.Operations})
}

// New returns the application of one entry instance. Log lines go to output;
// reload, unless nil, reads the settings again on SIGHUP.
func New(s settings.Settings, l *Listeners, p api.Platform, c *clock.Clock, output io.Writer, reload Reload) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(s.Bounds.Grace+stopMargin),
		fx.Supply(s, l, p, c),
		fx.Provide(newRegistry, logs.New, newTree),
		providers,
		fx.Invoke(func(tree *supervise.Tree, lines *logs.Log) {
			level, err := log.ParseLevel(s.Process.LogLevel)
			if err != nil {
				level = log.InfoLevel // the settings were checked when they were read
			}
			lines.Start(tree, output, s.Instance.ID, level)
			startReload(tree, reload, s, lines)
		}),
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

// newTree returns the root supervisor. Its actions go to the log.
func newTree(lines *logs.Log) *supervise.Tree {
	return supervise.NewTree("scheduler", supervise.DefaultIntensity, func(e supervise.Event) {
		stack := ""
		var panicked *supervise.PanicError
		if errors.As(e.Err, &panicked) {
			stack = panicked.Stack
		}
		lines.Event(string(e.Kind), "duty", e.Duty, "error", e.Err, "stack", stack)
	})
}

// run serves the tree between start and stop. A tree that ends by itself shuts
// the application down with exit code 1.
func run(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, tree *supervise.Tree, stop *stopper, lines *logs.Log, s settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{}) // closed once, at the end of the tree
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			lines.Event("started", "region", s.Instance.Region, "data_centre", s.Instance.DataCentre, "callers", s.Listen.Callers, "peers", s.Listen.Peers)
			go func() {
				defer close(served)
				err := tree.Serve(ctx)
				if ctx.Err() == nil {
					lines.Event("root_ended", "error", err)
					_ = shutdowner.Shutdown(fx.ExitCode(1)) // it fails only when a shutdown is under way
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			stop.run(stopCtx)
			cancel()
			<-served
			return nil
		},
	})
}

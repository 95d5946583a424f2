// Package scheduler assembles an entry instance that schedules jobs on a
// platform and runs it under a root supervisor. It is a library.
//
// fx builds the graph of supervisors and rings and runs start and stop; the
// supervisor tree runs the duties. When a duty exceeds its restart intensity,
// restarts with clean state have not helped: the root shuts the process down in
// order, and the platform starts it again.
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

// stopMargin is added to the platform's grace period to form the stop timeout
// of fx, so that a stop that takes too long is ended by the platform's kill and
// not by fx.
const stopMargin = 5 * time.Second

// Listeners are the listening sockets of an entry instance.
type Listeners = listen.Listeners

// Listen opens all sockets; if one fails, it opens none.
func Listen(s settings.Listen) (*Listeners, error) {
	return listen.Open(listen.Addresses{Callers: s.Callers, Peers: s.Peers, Operations: s.Operations})
}

// New returns the fx application of one entry instance. Log lines go to output.
// If reload is not nil, SIGHUP calls it to read the settings again.
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
				level = log.InfoLevel // unreachable: the settings were validated when they were read
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

// newTree returns the root supervisor, which logs its events.
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

// run serves the tree between start and stop. If the tree ends by itself, run
// shuts the application down with exit code 1.
func run(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, tree *supervise.Tree, stop *stopper, lines *logs.Log, s settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}) // closed when the tree has ended
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			lines.Event("started", "region", s.Instance.Region, "data_centre", s.Instance.DataCentre, "callers", s.Listen.Callers, "peers", s.Listen.Peers)
			go func() {
				defer close(ended)
				err := tree.Serve(ctx)
				if ctx.Err() == nil {
					lines.Event("root_ended", "error", err)
					_ = shutdowner.Shutdown(fx.ExitCode(1)) // fails only if a shutdown is already in progress
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			stop.run(stopCtx)
			cancel()
			<-ended
			return nil
		},
	})
}

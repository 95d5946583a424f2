// Package callers is the supervisor of the HTTP server for callers. It owns the
// routing configuration as an immutable value. net/http runs a goroutine for
// each connection, which decodes the call, sends a request to the holder
// through a ring, waits for the response and encodes it. The intake duty of package
// frontend bounds what unfinished calls hold. When the server duty fails, its
// connections break and callers retry.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/peers"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// defaultBodyBytes and defaultHeaderBytes apply if no configuration sets
	// other limits.
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 16 << 10
	// defaultWait applies if neither the caller nor the route sets a timeout.
	defaultWait = 3 * time.Second
	// responseMargin is the part of the caller's timeout that is reserved for
	// sending the response.
	responseMargin = 60 * time.Millisecond
)

// Settings are the limits on clients.
type Settings struct {
	Limits        frontend.Limits
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Supervisor runs the HTTP server and the routing duty.
type Supervisor struct {
	listener      net.Listener
	gate          *frontend.Gate
	server        *http.Server
	format        api.CallerFormat
	clock         *clock.Clock
	log           *logs.Log
	requests      *supervise.Ring[message.Request]
	countRequests *supervise.Ring[peers.CountRequest]
	callSeconds   *prometheus.HistogramVec
	routes        atomic.Pointer[routeTable]
	draining      atomic.Bool

	// Configurations carries the configuration in force to the routing duty.
	Configurations *message.ConfigurationRing
}

// New adds the supervisor below root.
func New(
	root *supervise.Tree, settings Settings, listener net.Listener, format api.CallerFormat, c *clock.Clock, log *logs.Log,
	rings *peers.Rings, registry prometheus.Registerer,
) *Supervisor {
	s := &Supervisor{
		listener: listener, format: format, clock: c, log: log, requests: rings.Requests, countRequests: rings.CountRequests,
		Configurations: message.NewConfigurationRing("callers.configurations"),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingfork_caller_seconds", Help: "Time from a call's arrival to its answer.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 3},
		}, []string{"method", "status"}),
	}
	registry.MustRegister(s.callSeconds)
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(s.handle)
	tree := root.Child("callers", supervise.DefaultIntensity)
	s.gate = frontend.New(tree, "callers", settings.Limits, log.Event, registry, func(w http.ResponseWriter, r *http.Request) {
		s.write(w, r, c.Steady(), cutOff())
	})
	s.server = &http.Server{
		Handler: s.gate.Handler(router), ConnContext: s.gate.ConnContext,
		ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout, MaxHeaderBytes: defaultHeaderBytes,
	}
	tree.Start(supervise.Duty{Name: "server", Run: s.serve})
	tree.Start(supervise.Duty{Name: "routes", Rings: []supervise.AnyRing{s.Configurations}, Run: s.updateRoutes})
	return s
}

func (s *Supervisor) serve(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() }) // the process is stopping
	defer stop()
	err := s.server.Serve(s.gate.Listen(ctx, s.listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// updateRoutes is the routing duty: it replaces the route table when a
// configuration comes into force.
func (s *Supervisor) updateRoutes(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	s.Configurations.Replay()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case configuration := <-s.Configurations.Items():
			s.routes.Store(newRouteTable(configuration))
		case r := <-dumps:
			table := s.routes.Load()
			if table == nil {
				r.Answer(nil)
				continue
			}
			r.Answer(map[string]any{"version": table.version, "hosts": len(table.byHost)})
		}
	}
}

// Drain makes each response close its connection, so that callers reconnect to
// other instances.
func (s *Supervisor) Drain() {
	s.draining.Store(true)
	s.server.SetKeepAlivesEnabled(false)
}

// Shutdown waits until the calls in progress are answered.
func (s *Supervisor) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down HTTP server for callers")
	}
	return nil
}

// Package operations is the supervisor of the endpoints for operators and the
// load balancer: readiness, metrics and the state dump. It owns the readiness
// of the instance. When the readiness duty fails, the readiness is determined
// from the messages that arrive after its restart.
package operations

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
	"lacewingfork.example/lacewingfork/supervise/ringmetrics"
)

const (
	headerTimeout = 2 * time.Second // for the header of a request
	// idleTimeout is above the 15 s between two scrapes of the metrics.
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// holderLossGrace is how long the instance stays ready without a link to a
	// holder. It covers a takeover, which takes one to two seconds and during
	// which callers wait.
	holderLossGrace = 3 * time.Second
	// readinessInterval is the time after which readiness is evaluated again
	// without a message.
	readinessInterval = 250 * time.Millisecond
)

// Supervisor runs the HTTP server and the readiness duty.
type Supervisor struct {
	listener  net.Listener
	server    *http.Server
	directory *supervise.Directory
	log       *logs.Log
	ready     atomic.Bool

	// Linked says whether requests can reach the holder.
	Linked *supervise.Ring[bool]
	// Configurations signals that a configuration is in force.
	Configurations *message.ConfigurationRing
	// Draining makes the instance not ready permanently.
	Draining *supervise.Ring[struct{}]
}

// New adds the supervisor below root.
func New(root *supervise.Tree, listener net.Listener, log *logs.Log, registry *prometheus.Registry) *Supervisor {
	s := &Supervisor{
		listener: listener, directory: root.Directory(), log: log,
		Linked:         supervise.NewStateRing[bool]("operations.linked"),
		Configurations: message.NewConfigurationRing("operations.configurations"),
		Draining:       supervise.NewStateRing[struct{}]("operations.draining"),
	}
	registry.MustRegister(ringmetrics.New(s.directory))
	s.server = &http.Server{
		Handler: s.routes(registry), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	tree := root.Child("operations", supervise.DefaultIntensity)
	tree.Start(supervise.Duty{Name: "server", Run: s.serve})
	tree.Start(supervise.Duty{
		Name: "readiness", Rings: []supervise.AnyRing{s.Linked, s.Configurations, s.Draining}, Run: s.trackReadiness,
	})
	return s
}

func (s *Supervisor) serve(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() }) // the process is stopping
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operations")
}

// readiness is the state that determines whether the instance is ready.
type readiness struct {
	linked     bool
	unlinkedAt time.Time
	configured bool
	draining   bool
}

// ready reports whether the instance is ready at the given time.
func (r readiness) ready(now time.Time) bool {
	return r.configured && !r.draining && (r.linked || !r.unlinkedAt.IsZero() && now.Sub(r.unlinkedAt) < holderLossGrace)
}

// trackReadiness is the readiness duty.
func (s *Supervisor) trackReadiness(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	var state readiness
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	supervise.Replay(s.Linked, s.Configurations, s.Draining)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case linked := <-s.Linked.Items():
			if state.linked && !linked {
				state.unlinkedAt = time.Now()
			}
			state.linked = linked
		case <-s.Configurations.Items():
			state.configured = true
		case <-s.Draining.Items():
			state.draining = true
		case <-ticker.C:
		case r := <-dumps:
			r.Answer(map[string]bool{"ready": s.ready.Load(), "linked": state.linked, "configured": state.configured, "draining": state.draining})
		}
		if ready := state.ready(time.Now()); s.ready.Swap(ready) != ready {
			s.log.Event("readiness", "ready", ready, "linked", state.linked, "configured", state.configured, "draining", state.draining)
		}
	}
}

func (s *Supervisor) routes(registry *prometheus.Registry) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", s.handleState).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/profile").HandlerFunc(pprof.Profile)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return router
}

func (s *Supervisor) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleState writes the state of every duty, or of the duties whose path
// contains the query parameter duty.
func (s *Supervisor) handleState(w http.ResponseWriter, r *http.Request) {
	pathPart := r.URL.Query().Get("duty")
	states, err := s.directory.Dump(r.Context(), func(path string) bool { return strings.Contains(path, pathPart) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(states); err != nil {
		s.log.Event("state_dump_not_written", "error", err)
	}
}

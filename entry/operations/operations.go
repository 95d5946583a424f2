// Package operations provides the supervisor of the HTTP interface for operators
// and the load balancer: metrics, state dumps, readiness, status, explanations
// and the planned stop.
//
// Its duties own the bounded history of explanations and the status of the
// instance. When one of them fails, the history is lost or the status is
// collected again; requests are not affected.
package operations

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/supervise"
	"lacewingfork.example/lacewingfork/supervise/ringmetrics"
)

const (
	// queryTimeout bounds the wait for the answers of duties.
	queryTimeout = time.Second
	// idleTimeout is above the 15 s between two scrapes of the metrics.
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Settings describes the instance and bounds its history.
type Settings struct {
	Instance   fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
	// History is the largest number of events kept for explanations.
	History int
}

// Supervisor runs the duties of this package: the HTTP server, the history and
// the status.
type Supervisor struct {
	settings   Settings
	listener   net.Listener
	directory  *supervise.Directory
	server     *http.Server
	startDrain func()

	// Events is the input ring of the history duty; Configurations, Holdings and
	// Snapshots are those of the status duty.
	Events         *supervise.Ring[message.Event]
	Configurations *message.ConfigurationRing
	Holdings       *message.HoldingsRing
	Snapshots      *message.SnapshotRing
	// Resends asks the configuration duty to send the version in force again. It
	// must be set before the tree serves.
	Resends        *supervise.Ring[message.ResendConfiguration]
	historyQueries *supervise.Ring[message.ExplainQuery] // of the history duty
	explainers     []*supervise.Ring[message.ExplainQuery]
	statusQueries  *supervise.Ring[*supervise.Ring[operationsapi.Status]]
	drainRequests  *supervise.Ring[struct{}]
}

// NewEvents returns the ring that receives the events for explanations. It is
// created before the supervisor, because every duty reports to it.
func NewEvents() *supervise.Ring[message.Event] {
	return supervise.NewRing[message.Event]("operations.events", eventRingCapacity, supervise.DropOldest)
}

// New starts the operations supervisor below root. startDrain starts the planned
// stop of the process and returns at once. explainers are the rings of the
// duties that answer explain queries besides the history duty.
func New(
	root *supervise.Tree, settings Settings, listener net.Listener,
	events *supervise.Ring[message.Event], registry *prometheus.Registry, startDrain func(),
	explainers ...*supervise.Ring[message.ExplainQuery],
) *Supervisor {
	s := &Supervisor{
		settings: settings, listener: listener, directory: root.Directory(), startDrain: startDrain, Events: events,
		Configurations: supervise.NewRing[message.ConfigurationInForce]("operations.configurations", 1, supervise.DropOldest),
		Holdings:       supervise.NewRing[message.Holdings]("operations.holdings", 1, supervise.DropOldest),
		Snapshots:      supervise.NewRing[message.ListSnapshot]("operations.snapshots", 1, supervise.DropOldest),
		historyQueries: supervise.NewRing[message.ExplainQuery]("operations.explain", 16, supervise.Refuse),
		statusQueries:  supervise.NewRing[*supervise.Ring[operationsapi.Status]]("operations.statuses", 16, supervise.Wait),
		drainRequests:  supervise.NewRing[struct{}]("operations.drained", 1, supervise.DropOldest),
	}
	s.explainers = append([]*supervise.Ring[message.ExplainQuery]{s.historyQueries}, explainers...)
	registry.MustRegister(ringmetrics.New(s.directory))
	s.server = &http.Server{
		Handler: s.routes(registry), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	tree := root.Child("operations", supervise.DefaultIntensity)
	tree.Start(supervise.Duty{Name: "server", Run: s.serve})
	tree.Start(supervise.Duty{Name: "history", Rings: []supervise.AnyRing{s.Events, s.historyQueries}, Run: s.runHistory})
	tree.Start(supervise.Duty{
		Name:  "status",
		Rings: []supervise.AnyRing{s.Configurations, s.Holdings, s.Snapshots, s.statusQueries, s.drainRequests},
		Run:   s.runStatus,
	})
	return s
}

// SetDraining makes the instance report that it is not ready, until the process
// ends.
func (s *Supervisor) SetDraining() { _ = s.drainRequests.Put(context.Background(), struct{}{}) }

func (s *Supervisor) serve(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operations")
}

func (s *Supervisor) routes(registry *prometheus.Registry) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", s.handleState).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/profile").HandlerFunc(pprof.Profile)
	router.PathPrefix("/debug/pprof/trace").HandlerFunc(pprof.Trace)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	router.HandleFunc("/v1/status", s.handleStatus).Methods(http.MethodGet)
	router.HandleFunc("/v1/explain/{id:.+}", s.handleExplain).Methods(http.MethodGet)
	router.HandleFunc("/v1/drain", s.handleDrain).Methods(http.MethodPost)
	return router
}

func (s *Supervisor) handleReady(w http.ResponseWriter, r *http.Request) {
	status, err := s.Status(r.Context())
	if err != nil || !status.Ready {
		writeJSON(w, http.StatusServiceUnavailable, status)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Supervisor) handleStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// handleState writes the state of every duty, or of those whose path contains
// the query parameter duty.
func (s *Supervisor) handleState(w http.ResponseWriter, r *http.Request) {
	part := r.URL.Query().Get("duty")
	states, err := s.directory.Dump(r.Context(), func(path string) bool { return strings.Contains(path, part) })
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, states)
}

func (s *Supervisor) handleExplain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.explainAll(r.Context(), mux.Vars(r)["id"]))
}

func (s *Supervisor) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.startDrain()
	w.WriteHeader(http.StatusAccepted)
}

// Status returns the status of the instance as of now.
func (s *Supervisor) Status(ctx context.Context) (operationsapi.Status, error) {
	reply := supervise.NewRing[operationsapi.Status]("operations.status", 1, supervise.Refuse)
	return sendQuery(ctx, s.statusQueries, reply, reply)
}

// sendQuery puts a query on a ring and waits up to queryTimeout for its answer.
func sendQuery[Q, A any](ctx context.Context, ring *supervise.Ring[Q], query Q, reply *supervise.Ring[A]) (A, error) {
	var none A
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := ring.Put(ctx, query); err != nil {
		return none, err
	}
	select {
	case a := <-reply.Items():
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
}

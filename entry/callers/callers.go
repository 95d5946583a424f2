// Package callers is the supervisor of the HTTP front end for callers.
//
// The server duty owns the listener. net/http runs a goroutine for each
// connection, which decodes the request, puts a submission on the routing ring,
// waits for the answer and encodes it. The intake duty of package frontend bounds
// what unfinished requests hold. A failed server duty is restarted on the
// same listener. Requests of the failed run get no answer, so their callers must
// treat the outcome as unknown.
package callers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// waitGrace is how long after the deadline the front end still waits for
	// an answer. The routing duty's own timer ends every request before that.
	waitGrace = 500 * time.Millisecond
)

// Settings holds the settings of the front end.
type Settings struct {
	Instance fleet.InstanceID
	// StopTimeout bounds the wait for requests in progress at shutdown.
	StopTimeout time.Duration
	// MaxBodyBytes and MaxHeaderBytes are the maximum sizes of a request's
	// body and header, in bytes.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxDeadline bounds the deadline of a request even if the configuration
	// allows a longer one.
	MaxDeadline time.Duration
	// Limits bound what the requests in progress hold. HeaderTimeout and
	// IdleTimeout are the longest times for a header and between two requests.
	Limits                     frontend.Limits
	HeaderTimeout, IdleTimeout time.Duration
	// Log logs what was cut off.
	Log frontend.Log
}

// Supervisor runs the server duty and a duty that publishes the configuration in
// force to the decoding goroutines.
type Supervisor struct {
	settings    Settings
	listener    net.Listener
	submissions *supervise.Ring[message.Submission]
	metrics     *Metrics

	// Configurations takes the versions of the configuration as they come into
	// force.
	Configurations *message.ConfigurationRing
	// Resends asks the configuration duty to send the version in force again. It
	// must be set before the tree serves.
	Resends       *supervise.Ring[message.ResendConfiguration]
	configuration atomic.Pointer[message.ConfigurationInForce]
	stopping      atomic.Bool
	sequence      atomic.Uint64
	incarnation   string
	server        *http.Server
	gate          *frontend.Gate
}

// New adds the callers supervisor below root. The register functions add further
// routes, such as those of batch jobs.
func New(
	root *supervise.Tree, settings Settings, listener net.Listener,
	submissions *supervise.Ring[message.Submission], metrics *Metrics, registry prometheus.Registerer, register ...func(*mux.Router),
) *Supervisor {
	s := &Supervisor{
		settings: settings, listener: listener, submissions: submissions, metrics: metrics,
		Configurations: supervise.NewRing[message.ConfigurationInForce]("callers.configurations", 1, supervise.DropOldest),
		incarnation:    randomHex(6),
	}
	router := mux.NewRouter()
	router.HandleFunc(callerapi.PathServices+"{service}/{operation}", s.handleRequest).Methods(http.MethodPost)
	router.HandleFunc(callerapi.PathKeys+"{service}", s.handleKey).Methods(http.MethodPost)
	for _, add := range register {
		add(router)
	}
	tree := root.Child("callers", supervise.DefaultIntensity)
	s.gate = frontend.New(tree, "callers", settings.Limits, settings.Log, registry, func(w http.ResponseWriter, r *http.Request) {
		s.reject(w, r, message.Refusal(s.nextID(), outcome.Overloaded, time.Second))
	})
	s.server = &http.Server{
		Handler: s.gate.Handler(router), ConnContext: s.gate.ConnContext, MaxHeaderBytes: settings.MaxHeaderBytes,
		ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout,
	}
	tree.Start(supervise.Duty{Name: "server", Run: s.serve})
	tree.Start(supervise.Duty{Name: "configuration", Rings: []supervise.AnyRing{s.Configurations}, Run: s.followConfigurations})
	return s
}

func (s *Supervisor) serve(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.gate.Listen(ctx, s.listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// followConfigurations publishes the newest configuration to the decoding
// goroutines, which read it without a lock.
func (s *Supervisor) followConfigurations(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	_ = s.Resends.Put(ctx, message.ResendConfiguration{Ring: s.Configurations})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-s.Configurations.Items():
			s.configuration.Store(&c)
		case r := <-dumps:
			version := int64(0)
			if c := s.configuration.Load(); c != nil {
				version = c.Version
			}
			r.Answer(map[string]int64{"configuration_version": version})
		}
	}
}

// RefuseRequests makes the front end refuse new requests as not run. Requests
// in progress continue.
func (s *Supervisor) RefuseRequests() { s.stopping.Store(true) }

// Shutdown refuses new requests, closes the listener and waits until every
// request in progress is answered, for StopTimeout at most.
func (s *Supervisor) Shutdown(ctx context.Context) error {
	s.RefuseRequests()
	ctx, cancel := context.WithTimeout(ctx, s.settings.StopTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down the front end for callers")
	}
	return nil
}

// reject answers a call that was refused before it was decoded into a request.
func (s *Supervisor) reject(w http.ResponseWriter, r *http.Request, refusal message.Answer) {
	s.metrics.countRejected(refusal.Reason)
	s.write(w, r, refusal)
}

func (s *Supervisor) handleRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	request, refusal := s.decode(w, r)
	if refusal != nil {
		s.reject(w, r, *refusal)
		return
	}
	answer := s.submitWithKey(r.Context(), request)
	s.metrics.observe(request, answer, time.Since(started))
	s.write(w, r, answer)
}

func (s *Supervisor) handleKey(w http.ResponseWriter, r *http.Request) {
	c := s.configuration.Load()
	id := s.nextID()
	if c == nil || s.stopping.Load() {
		s.write(w, r, message.Refusal(id, s.unavailableReason(), time.Second))
		return
	}
	request := &message.Request{
		ID: id, Service: fleet.Service(mux.Vars(r)["service"]), Idempotent: true, Deadline: time.Now().Add(keyDeadline),
	}
	if c.Value.Service(request.Service) == nil {
		s.write(w, r, message.Refusal(id, outcome.NoSuchService, 0))
		return
	}
	if _, refusal := s.readBody(w, r, id); refusal != nil { // a request that runs must be complete
		s.write(w, r, *refusal)
		return
	}
	answer := s.submit(r.Context(), message.Submission{Request: request, IssueKey: true})
	if answer.Outcome == outcome.Answered {
		answer.Status, answer.Body = http.StatusOK, encodeKey(answer.Key)
		answer.Fields = []message.Field{{Name: "Content-Type", Value: "application/json"}}
	}
	s.write(w, r, answer)
}

// submitWithKey sends a request with a request key to the partition that issued
// the key. The key may have been used before, so a refusal proves that the request
// was not run only if the holder looked the key up; otherwise the outcome is
// unknown.
func (s *Supervisor) submitWithKey(ctx context.Context, request *message.Request) message.Answer {
	if request.Key == "" {
		return s.submit(ctx, message.Submission{Request: request})
	}
	key, err := requestkey.Parse(request.Key)
	if err != nil {
		return message.Refusal(request.ID, outcome.KeyInvalid, 0)
	}
	answer := s.submit(ctx, message.Submission{Request: request, Partition: key.Partition})
	if answer.Outcome == outcome.RefusedNotRun && !answer.KeyChecked {
		answer.Outcome = outcome.Unknown
	}
	return answer
}

// submit passes the request to the routing duty and waits for its single answer.
// When the caller disconnects, the request is cancelled if it has not started.
func (s *Supervisor) submit(ctx context.Context, sub message.Submission) message.Answer {
	sub.Reply = supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	if err := s.submissions.Put(ctx, sub); err != nil {
		return message.Refusal(sub.Request.ID, outcome.Overloaded, time.Second)
	}
	timer := time.NewTimer(time.Until(sub.Request.Deadline) + waitGrace)
	defer timer.Stop()
	select {
	case a := <-sub.Reply.Items():
		return a
	case <-ctx.Done():
		_ = s.submissions.Put(context.WithoutCancel(ctx), message.Submission{Cancel: true, Request: sub.Request})
		return message.UnknownOutcome(sub.Request.ID, outcome.Cancelled)
	case <-timer.C:
		return message.UnknownOutcome(sub.Request.ID, outcome.DutyFailed)
	}
}

// unavailableReason returns the reason for refusing every request: the instance is
// stopping or has no configuration yet.
func (s *Supervisor) unavailableReason() outcome.Reason {
	if s.stopping.Load() {
		return outcome.Stopping
	}
	return outcome.NotReady
}

// nextID returns a request identifier that is unique among all instances and their
// restarts.
func (s *Supervisor) nextID() fleet.RequestID {
	return fleet.RequestID(fmt.Sprintf("%s-%s-%d", s.settings.Instance, s.incarnation, s.sequence.Add(1)))
}

func randomHex(n int) string {
	buffer := make([]byte, n)
	_, _ = rand.Read(buffer) // does not fail on supported systems
	return hex.EncodeToString(buffer)
}

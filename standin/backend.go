package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/fleet"
)

// Headers of requests to backend servers and of their responses.
const (
	// HeaderRunMillis is the run time to simulate for the request, in milliseconds.
	HeaderRunMillis = "Lacewingfork-Simulated-Run-Ms"
	// HeaderRequestID identifies the request; the response repeats it.
	HeaderRequestID = "Lacewingfork-Request-Id"
	// HeaderKey is the idempotency key of the request.
	HeaderKey = "Idempotency-Key"
	// HeaderLeaving is "true" in the responses of a leaving backend server.
	HeaderLeaving = "Lacewingfork-Leaving"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 1 << 20
	// maxRunTime limits the simulated run time. It is ten times the longest
	// deadline of a request (60 s), the factor by which declared run times may
	// be wrong.
	maxRunTime = 10 * time.Minute
)

// RunAnswer is the body of a backend server's response to a request.
type RunAnswer struct {
	BackendServer fleet.BackendServerID `json:"backend_server"`
	RequestID     string                `json:"request_id"`
	BodySHA256    string                `json:"body_sha256"`
	BodyBytes     int                   `json:"body_bytes"`
}

// addBackendServer starts a backend server and puts it on the list.
func (s *StandIn) addBackendServer(b fleet.BackendServer) (fleet.BackendServer, error) {
	b, err := s.openBackendServer(b)
	if err == nil {
		s.registry.putServer(b)
	}
	return b, err
}

// openBackendServer opens a listener for a backend server and serves it. It
// returns the server with its address, and with the configured capacity and
// connections where none are given.
func (s *StandIn) openBackendServer(b fleet.BackendServer) (fleet.BackendServer, error) {
	if _, exists := s.registry.server(b.ID); exists {
		return b, errors.Errorf("backend server %q already exists", b.ID)
	}
	inner, err := s.listen(net.JoinHostPort(s.settings.BackendHost, "0"))
	if err != nil {
		return b, errors.Wrap(err, "listen for backend server")
	}
	b.Address = inner.Addr().String()
	if b.Capacity == (fleet.Resources{}) {
		b.Capacity = s.settings.Capacity.resources()
	}
	if b.Connections == 0 {
		b.Connections = s.settings.Capacity.Connections
	}
	listener := newTrackedListener(inner, b.Connections)
	server := newHTTPServer(s.machines.backendRouter(b.ID))
	s.machines.add(b, listener, func() { _ = server.Close() })
	s.serve(server, listener)
	return b, nil
}

// backendRouter returns the HTTP handler of a backend server.
func (m *machines) backendRouter(id fleet.BackendServerID) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/run/{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		m.serveRun(w, req, id)
	}).Methods(http.MethodPost)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		m.serveHealth(w, id)
	}).Methods(http.MethodGet)
	return r
}

// serveHealth answers a health check.
func (m *machines) serveHealth(w http.ResponseWriter, id fleet.BackendServerID) {
	mode, leaving := m.modeOf(id)
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	if mode == BackendFailing {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// modeOf returns the fault mode of a backend server and whether it is leaving. A
// removed server counts as failing and leaving.
func (m *machines) modeOf(id fleet.BackendServerID) (mode BackendMode, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if server := m.servers[id]; server != nil {
		return server.faults.Mode, server.leaving
	}
	return BackendFailing, true
}

// serveRun runs one request. The simulated work continues after the client has
// disconnected, as on a real backend server.
func (m *machines) serveRun(w http.ResponseWriter, req *http.Request, id fleet.BackendServerID) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body exceeds 1 MiB or cannot be read", http.StatusRequestEntityTooLarge)
		return
	}
	requested, err := runTime(req.Header.Get(HeaderRunMillis))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	service := fleet.Service(mux.Vars(req)["service"])
	requestID := req.Header.Get(HeaderRequestID)
	run := m.beginRequest(id, requestID, req.Header.Get(HeaderKey), requested)
	m.sleep(run.duration)
	m.endRequest(id, service, run)

	sum := sha256.Sum256(body)
	answer := RunAnswer{
		BackendServer: id, RequestID: requestID,
		BodySHA256: hex.EncodeToString(sum[:]), BodyBytes: len(body),
	}
	if run.mode == BackendMismatching {
		answer.RequestID = run.otherRequest
	}
	writeRun(w, run, answer)
}

// runTime parses the value of HeaderRunMillis. An empty one means 0.
func runTime(header string) (time.Duration, error) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 0 || ms > maxRunTime.Milliseconds() {
		return 0, errors.Errorf("header %s is %q, expected a run time of 0 to %d ms", HeaderRunMillis, header, maxRunTime.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// requestRun is a running request with the state of its backend server at the
// start.
type requestRun struct {
	mode         BackendMode
	leaving      bool
	otherRequest string        // request identifier of a response with BackendMismatching
	startedAt    time.Time     // start of the request
	duration     time.Duration // simulated run time
}

// beginRequest counts the request and its slot, and determines its run time from
// the requested one.
func (m *machines) beginRequest(id fleet.BackendServerID, requestID, key string, requested time.Duration) requestRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if requestID != "" {
		m.requests.add(requestID)
	}
	if key != "" && m.keys.add(key) > 1 {
		m.violations.KeysRunAgain++
	}
	server := m.servers[id]
	if server == nil {
		return requestRun{mode: BackendFailing, leaving: true, startedAt: now}
	}
	m.updateTasks(server, now)
	server.requestSlots++
	server.stats.Requests++
	m.countStart(server, now)
	run := requestRun{
		mode: server.faults.Mode, leaving: server.leaving, startedAt: now,
		otherRequest: "other-" + server.lastRequest, duration: m.effectiveRunTime(server, requested),
	}
	server.lastRequest = requestID
	return run
}

// effectiveRunTime returns the requested run time, extended by the interference
// of the tasks that run on the server and by BackendSlow. It is 0 for a failing
// server. The caller holds the lock.
func (m *machines) effectiveRunTime(s *machine, requested time.Duration) time.Duration {
	percent := int64(100)
	for _, t := range s.tasks {
		if t.running() && !t.throttled {
			percent += int64(m.settings.interference(t.start.Class))
		}
	}
	d := time.Duration(int64(requested) / 100 * percent)
	if s.faults.Mode == BackendSlow {
		d *= time.Duration(max(1, s.faults.Factor))
	}
	if s.faults.Mode == BackendFailing {
		return 0
	}
	return min(d, maxRunTime)
}

// sleep waits for the duration or until the stand-in stops.
func (m *machines) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.ctx.Done():
	}
}

// endRequest frees the slot of the request and records its latency.
func (m *machines) endRequest(id fleet.BackendServerID, service fleet.Service, run requestRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := m.servers[id]
	if server == nil {
		return
	}
	server.requestSlots--
	l := server.latencies[service]
	l.total += time.Since(run.startedAt)
	l.count++
	server.latencies[service] = l
}

// writeRun writes the response to a request, subject to the fault mode.
func writeRun(w http.ResponseWriter, run requestRun, answer RunAnswer) {
	if run.leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.Header().Set(HeaderRequestID, answer.RequestID)
	if run.mode == BackendFailing {
		http.Error(w, "backend server fails every request", http.StatusInternalServerError)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if run.mode == BackendTruncating {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection before the rest is sent
	}
	_, _ = w.Write(data)
}

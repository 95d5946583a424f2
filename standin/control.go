package standin

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// Faults holds all faults that are set.
type Faults struct {
	Log            LogFaults                               `json:"log"`
	List           ListFaults                              `json:"list"`
	BackendServers map[fleet.BackendServerID]BackendFaults `json:"backend_servers"`
}

// Leaving is the body of a call that marks an instance or backend server as
// leaving or not.
type Leaving struct {
	Leaving bool `json:"leaving"`
}

// Runs is how often requests with a request identifier and with an idempotency
// key ran.
type Runs struct {
	Request int `json:"request"`
	Key     int `json:"key"`
}

// controlRoutes adds the routes of the control API, with which a test or the demo
// controls the stand-in. The bodies are types of this package as JSON. A PUT of
// faults replaces all earlier faults of the same part, so an empty object clears
// them.
func (s *StandIn) controlRoutes(r *mux.Router) {
	put, get, remove := http.MethodPut, http.MethodGet, http.MethodDelete
	r.HandleFunc("/control/violations", s.serveViolations).Methods(get)
	r.HandleFunc("/control/backend-servers", s.serveStats).Methods(get)
	r.HandleFunc("/control/streams", s.serveStreams).Methods(get)
	r.HandleFunc("/control/runs", s.serveRuns).Methods(get)
	r.HandleFunc("/control/faults", s.serveFaults).Methods(get)
	r.HandleFunc("/control/faults/log", s.serveLogFaults).Methods(put)
	r.HandleFunc("/control/faults/list", s.serveListFaults).Methods(put)
	r.HandleFunc("/control/faults/connections", s.serveStallConnections).Methods(http.MethodPost)
	r.HandleFunc("/control/faults/backend-servers/{id}", s.serveBackendFaults).Methods(put)
	r.HandleFunc("/control/instances", s.servePutInstance).Methods(put)
	r.HandleFunc("/control/instances/{id}/leaving", s.serveInstanceLeaving).Methods(put)
	r.HandleFunc("/control/instances/{id}", s.serveRemoveInstance).Methods(remove)
	r.HandleFunc("/control/backend-servers", s.serveAddBackend).Methods(put)
	r.HandleFunc("/control/backend-servers/{id}/leaving", s.serveBackendLeaving).Methods(put)
	r.HandleFunc("/control/backend-servers/{id}", s.serveRemoveBackend).Methods(remove)
}

// Violations returns how often the scheduler has violated each rule.
func (s *StandIn) Violations() Violations { return s.machines.currentViolations() }

// BackendServers returns the counters of each backend server, sorted by
// identifier.
func (s *StandIn) BackendServers() []BackendStats { return s.machines.stats() }

// Streams returns the state of each stream, sorted by name.
func (s *StandIn) Streams() []StreamState { return s.log.states() }

// Runs returns how often requests with the request identifier and with the
// idempotency key ran.
func (s *StandIn) Runs(requestID, key string) Runs {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	return Runs{Request: s.machines.requests.counts[requestID], Key: s.machines.keys.counts[key]}
}

// SetLogFaults replaces the faults of the log service.
func (s *StandIn) SetLogFaults(f LogFaults) { s.log.setFaults(f) }

// SetListFaults replaces the faults of the instance list.
func (s *StandIn) SetListFaults(f ListFaults) { s.registry.setFaults(f) }

// SetBackendFaults replaces the faults of a backend server. It reports whether
// the server exists.
func (s *StandIn) SetBackendFaults(id fleet.BackendServerID, f BackendFaults) bool {
	return s.machines.setFaults(id, f)
}

// StallConnections permanently stalls every open connection to the platform. New
// connections work.
func (s *StandIn) StallConnections() { s.listener.stallOpen(nil) }

// PutInstance adds an entry instance to the list or replaces it.
func (s *StandIn) PutInstance(i fleet.Instance) { s.registry.putInstance(i) }

// RemoveInstance removes an entry instance from the list. It reports whether the
// instance existed.
func (s *StandIn) RemoveInstance(id fleet.InstanceID) bool { return s.registry.removeInstance(id) }

// SetBackendLeaving marks a backend server as leaving or not. It reports whether
// the server exists.
func (s *StandIn) SetBackendLeaving(id fleet.BackendServerID, leaving bool) bool {
	b, ok := s.registry.server(id)
	if !ok {
		return false
	}
	b.Leaving = leaving
	s.registry.putServer(b)
	s.machines.setLeaving(id, leaving)
	return true
}

// RemoveBackend stops a backend server and removes it from the list. It reports
// whether the server existed.
func (s *StandIn) RemoveBackend(id fleet.BackendServerID) bool {
	s.registry.removeServer(id)
	return s.machines.remove(id)
}

func (s *StandIn) serveViolations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Violations())
}

func (s *StandIn) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.BackendServers())
}

func (s *StandIn) serveStreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Streams())
}

func (s *StandIn) serveRuns(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, s.Runs(q.Get("request_id"), q.Get("key")))
}

func (s *StandIn) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Faults{
		Log: s.log.currentFaults(), List: s.registry.currentFaults(),
		BackendServers: s.machines.currentFaults(),
	})
}

func (s *StandIn) serveLogFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if readJSON(w, r, &f) {
		s.SetLogFaults(f)
		writeJSON(w, f)
	}
}

func (s *StandIn) serveListFaults(w http.ResponseWriter, r *http.Request) {
	var f ListFaults
	if readJSON(w, r, &f) {
		s.SetListFaults(f)
		writeJSON(w, f)
	}
}

// serveStallConnections stalls all connections except that of the call.
func (s *StandIn) serveStallConnections(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	s.listener.stallOpen(conn)
	writeJSON(w, struct{}{})
}

func (s *StandIn) serveBackendFaults(w http.ResponseWriter, r *http.Request) {
	var f BackendFaults
	if !readJSON(w, r, &f) {
		return
	}
	if !f.Mode.valid() {
		writeError(w, errors.Wrapf(platformapi.ErrInvalid, "unknown fault mode %q", f.Mode))
		return
	}
	id := fleet.BackendServerID(pathVar(r, "id"))
	writeFound(w, f, s.SetBackendFaults(id, f))
}

func (s *StandIn) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var i fleet.Instance
	if !readJSON(w, r, &i) {
		return
	}
	if i.ID == "" || i.PeerAddress == "" || i.Region == "" || i.DataCentre == "" {
		writeError(w, errors.Wrap(platformapi.ErrInvalid, "instance must have id, peer_address, region and data_centre"))
		return
	}
	s.PutInstance(i)
	writeJSON(w, i)
}

func (s *StandIn) serveInstanceLeaving(w http.ResponseWriter, r *http.Request) {
	var body Leaving
	if !readJSON(w, r, &body) {
		return
	}
	i, ok := s.registry.instance(fleet.InstanceID(pathVar(r, "id")))
	if ok {
		i.Leaving = body.Leaving
		s.PutInstance(i)
	}
	writeFound(w, i, ok)
}

func (s *StandIn) serveRemoveInstance(w http.ResponseWriter, r *http.Request) {
	writeFound(w, struct{}{}, s.RemoveInstance(fleet.InstanceID(pathVar(r, "id"))))
}

func (s *StandIn) serveAddBackend(w http.ResponseWriter, r *http.Request) {
	var b fleet.BackendServer
	if !readJSON(w, r, &b) {
		return
	}
	if b.ID == "" || b.Region == "" || b.DataCentre == "" || b.Rack == "" {
		writeError(w, errors.Wrap(platformapi.ErrInvalid, "backend server must have id, region, data_centre and rack"))
		return
	}
	added, err := s.addBackendServer(b)
	if err != nil {
		err = errors.Wrapf(platformapi.ErrInvalid, "%v", err)
	}
	writeResult(w, added, err)
}

func (s *StandIn) serveBackendLeaving(w http.ResponseWriter, r *http.Request) {
	var body Leaving
	if readJSON(w, r, &body) {
		writeFound(w, body, s.SetBackendLeaving(fleet.BackendServerID(pathVar(r, "id")), body.Leaving))
	}
}

func (s *StandIn) serveRemoveBackend(w http.ResponseWriter, r *http.Request) {
	writeFound(w, struct{}{}, s.RemoveBackend(fleet.BackendServerID(pathVar(r, "id"))))
}

// writeFound writes the body, or a not-found error when found is false.
func writeFound(w http.ResponseWriter, body any, found bool) {
	if !found {
		writeError(w, errors.Wrap(platformapi.ErrUnknown, "no such instance or backend server"))
		return
	}
	writeJSON(w, body)
}

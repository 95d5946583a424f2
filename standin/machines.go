package standin

import (
	"context"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// leavingGrace is how long a leaving backend server may still receive new work,
// counted from the first list that shows it as leaving.
const leavingGrace = 3 * time.Second

// Violations counts how often the scheduler has violated each rule.
type Violations struct {
	SlotsOverCapacity       int `json:"slots_over_capacity"`
	ConnectionsOverCapacity int `json:"connections_over_capacity"`
	TasksInTwoPlaces        int `json:"tasks_in_two_places"`
	KeysRunAgain            int `json:"keys_run_again"`
	CheckpointsResumedAgain int `json:"checkpoints_resumed_again"`
	WorkOnLeaving           int `json:"work_on_leaving"`
}

// machines holds every machine under one lock, because detecting a task that runs
// on two workers requires a consistent view of all workers.
type machines struct {
	ctx      context.Context // ends simulated waits when the stand-in stops
	settings Settings

	mu          sync.Mutex
	servers     map[fleet.BackendServerID]*machine
	violations  Violations
	requests    runCounts
	keys        runCounts
	checkpoints checkpoints
}

// machine is a backend server with its worker.
type machine struct {
	id         fleet.BackendServerID
	dataCentre fleet.DataCentre
	capacity   fleet.Resources
	leaving    bool
	// noWorkFrom is the time from which the server may receive no new work. It is
	// zero until a response with the list has shown the server as leaving.
	noWorkFrom time.Time
	faults     BackendFaults
	listener   *trackedListener
	close      func()

	requestSlots int // slots in use by requests
	stats        BackendStats
	latencies    map[fleet.Service]latency
	lastRequest  string // identifier of the previous request, for BackendMismatching
	samples      []usageSample
	tasks        []*task
	epochs       map[fleet.PartitionID]fleet.Epoch // newest epoch seen
}

// latency is the sum and the number of service times.
type latency struct {
	total time.Duration
	count int64
}

// BackendStats holds the counters of a backend server that the control API
// reports.
type BackendStats struct {
	ID              fleet.BackendServerID `json:"id"`
	Address         string                `json:"address"`
	Requests        int                   `json:"requests"`
	Slots           int                   `json:"slots"`
	PeakSlots       int                   `json:"peak_slots"`
	Connections     int                   `json:"connections"`
	PeakConnections int                   `json:"peak_connections"`
	TasksStarted    int                   `json:"tasks_started"`
}

func newMachines(ctx context.Context, settings Settings) *machines {
	return &machines{
		ctx: ctx, settings: settings, servers: map[fleet.BackendServerID]*machine{},
		requests: newRunCounts(), keys: newRunCounts(), checkpoints: newCheckpoints(),
	}
}

// add adds the machine of a backend server; closeServer closes its listener and
// connections.
func (m *machines) add(b fleet.BackendServer, listener *trackedListener, closeServer func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers[b.ID] = &machine{
		id: b.ID, dataCentre: b.DataCentre, capacity: b.Capacity,
		listener: listener, close: closeServer,
		stats:     BackendStats{ID: b.ID, Address: b.Address},
		latencies: map[fleet.Service]latency{}, epochs: map[fleet.PartitionID]fleet.Epoch{},
	}
}

// remove closes a backend server's listener and connections and stops its tasks.
// It reports whether the server existed.
func (m *machines) remove(id fleet.BackendServerID) bool {
	m.mu.Lock()
	server, ok := m.servers[id]
	if ok {
		m.endTasks(server, "machine removed")
	}
	delete(m.servers, id)
	m.mu.Unlock()
	if ok {
		server.close()
	}
	return ok
}

func (m *machines) close() {
	m.mu.Lock()
	servers := sortedByID(m.servers)
	m.mu.Unlock()
	for _, server := range servers {
		server.close()
	}
}

// setLeaving marks a backend server as leaving or not and resets its grace
// period.
func (m *machines) setLeaving(id fleet.BackendServerID, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if server := m.servers[id]; server != nil {
		server.leaving = leaving
		server.noWorkFrom = time.Time{}
	}
}

// startLeavingGrace starts the grace period of each backend server that the list
// shows as leaving for the first time.
func (m *machines) startLeavingGrace(list []fleet.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range list {
		server := m.servers[b.ID]
		if b.Leaving && server != nil && server.leaving && server.noWorkFrom.IsZero() {
			server.noWorkFrom = time.Now().Add(leavingGrace)
		}
	}
}

// setFaults replaces the faults of a backend server. It reports whether the
// server exists.
func (m *machines) setFaults(id fleet.BackendServerID, f BackendFaults) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := m.servers[id]
	if server == nil {
		return false
	}
	stall := f.StallOpen
	f.StallOpen = false
	server.faults = f
	server.listener.setUnresponsive(f.Mode == BackendUnresponsive)
	server.listener.setDown(f.Mode == BackendDown)
	if f.Mode == BackendDown {
		m.endTasks(server, "machine is down")
	}
	if stall {
		server.listener.stallOpen(nil)
	}
	return true
}

// endTasks stops all running tasks of a worker. The caller holds the lock.
func (m *machines) endTasks(s *machine, cause string) {
	m.updateTasks(s, time.Now())
	for _, t := range s.tasks {
		if t.running() {
			t.end(platformapi.TaskStopped, cause)
		}
	}
}

// currentFaults returns the faults of each backend server that has any.
func (m *machines) currentFaults() map[fleet.BackendServerID]BackendFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	faults := map[fleet.BackendServerID]BackendFaults{}
	for id, server := range m.servers {
		if server.faults != (BackendFaults{}) {
			faults[id] = server.faults
		}
	}
	return faults
}

// currentViolations returns the violations so far, including the connections
// accepted above the limit of each backend server.
func (m *machines) currentViolations() Violations {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.violations
	for _, server := range m.servers {
		v.ConnectionsOverCapacity += server.listener.overLimitCount()
	}
	return v
}

// stats returns the counters of each backend server, sorted by identifier.
func (m *machines) stats() []BackendStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	list := make([]BackendStats, 0, len(m.servers))
	for _, server := range sortedByID(m.servers) {
		m.updateTasks(server, now)
		s := server.stats
		s.Slots = server.slots()
		s.Connections, s.PeakConnections = server.listener.counts()
		list = append(list, s)
	}
	return list
}

// slots returns the slots that requests and running tasks use.
func (s *machine) slots() int {
	n := s.requestSlots
	for _, t := range s.tasks {
		if t.running() {
			n += t.slots()
		}
	}
	return n
}

// countStart updates the peak of used slots after new work has been added and
// counts violations of the rules for new work. The caller holds the lock.
func (m *machines) countStart(s *machine, now time.Time) {
	used := s.slots()
	s.stats.PeakSlots = max(s.stats.PeakSlots, used)
	if used > s.capacity.Slots {
		m.violations.SlotsOverCapacity++
	}
	if !s.noWorkFrom.IsZero() && now.After(s.noWorkFrom) {
		m.violations.WorkOnLeaving++
	}
}

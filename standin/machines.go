package standin

import (
	"context"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// leavingGrace is the time after which a leaving backend server may receive no
// new work, counted from its appearance on the list.
const leavingGrace = 3 * time.Second

// Violations counts what no scheduler may cause.
type Violations struct {
	SlotsOverCapacity       int `json:"slots_over_capacity"`
	ConnectionsOverCapacity int `json:"connections_over_capacity"`
	TasksInTwoPlaces        int `json:"tasks_in_two_places"`
	KeysRunAgain            int `json:"keys_run_again"`
	CheckpointsResumedAgain int `json:"checkpoints_resumed_again"`
	WorkOnLeaving           int `json:"work_on_leaving"`
}

// machines holds every backend server with its worker, under one lock, because
// a task on two workers shows only when both are looked at together.
type machines struct {
	ctx      context.Context // ends simulated run times when the stand-in stops
	settings Settings

	mu          sync.Mutex
	servers     map[fleet.BackendServerID]*machine
	violations  Violations
	requests    runCounts
	keys        runCounts
	checkpoints checkpoints
}

// machine is a backend server and its worker.
type machine struct {
	id         fleet.BackendServerID
	dataCentre fleet.DataCentre
	capacity   fleet.Resources
	leaving    bool
	// noWorkFrom is when the server may receive no new work any more; zero
	// until an answer of the list has shown it as leaving.
	noWorkFrom time.Time
	faults     BackendFaults
	listener   *trackedListener
	close      func()

	requestSlots int
	stats        BackendStats
	latencies    map[fleet.Service]latency
	lastRequest  string
	samples      []usageSample
	tasks        []*task
	epochs       map[fleet.PartitionID]fleet.Epoch
}

type latency struct {
	total time.Duration
	count int64
}

// BackendStats is what the control API shows of a backend server.
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

// remove closes a backend server's listener and connections. Its tasks end.
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

func (m *machines) setLeaving(id fleet.BackendServerID, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if server := m.servers[id]; server != nil {
		server.leaving = leaving
		server.noWorkFrom = time.Time{}
	}
}

// startLeavingGrace starts the grace of each leaving backend server that the list shows
// for the first time.
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

func (m *machines) setFaults(id fleet.BackendServerID, f BackendFaults) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := m.servers[id]
	if server == nil {
		return false
	}
	silence := f.StallOpen
	f.StallOpen = false
	server.faults = f
	server.listener.setUnresponsive(f.Mode == BackendUnresponsive)
	server.listener.setDown(f.Mode == BackendDown)
	if f.Mode == BackendDown {
		m.endTasks(server, "machine is down")
	}
	if silence {
		server.listener.stallOpen(nil)
	}
	return true
}

func (m *machines) endTasks(s *machine, cause string) {
	m.updateTasks(s, time.Now())
	for _, t := range s.tasks {
		if t.running() {
			t.end(platformapi.TaskStopped, cause)
		}
	}
}

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

func (m *machines) currentViolations() Violations {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.violations
	for _, server := range m.servers {
		v.ConnectionsOverCapacity += server.listener.overLimitCount()
	}
	return v
}

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

// slots is what requests and tasks use together.
func (s *machine) slots() int {
	n := s.requestSlots
	for _, t := range s.tasks {
		if t.running() {
			n += t.slots()
		}
	}
	return n
}

// countStart checks the rules that hold for all new work. The caller has added
// the work already.
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

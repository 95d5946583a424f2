package standin

import (
	"context"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
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
	maxConns   int
	// leavingFrom is when the server may receive no new work any more; zero
	// while it is not leaving.
	leavingFrom time.Time
	leaving     bool
	faults      BackendFaults
	listener    *trackedListener
	close       func()

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
		id: b.ID, dataCentre: b.DataCentre, capacity: b.Capacity, maxConns: b.Connections,
		listener: listener, close: closeServer,
		stats:     BackendStats{ID: b.ID, Address: b.Address},
		latencies: map[fleet.Service]latency{}, epochs: map[fleet.PartitionID]fleet.Epoch{},
	}
}

// remove closes a backend server's listener and connections. Its tasks end.
func (m *machines) remove(id fleet.BackendServerID) bool {
	m.mu.Lock()
	server, ok := m.servers[id]
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

// setLeaving marks a backend server; listLag is when the list shows it.
func (m *machines) setLeaving(id fleet.BackendServerID, leaving bool, listLag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if server := m.servers[id]; server != nil {
		server.leaving = leaving
		server.leavingFrom = time.Now().Add(listLag + leavingGrace)
	}
}

func (m *machines) setFaults(id fleet.BackendServerID, f BackendFaults) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := m.servers[id]
	if server == nil {
		return false
	}
	silence := f.SilenceOpen
	f.SilenceOpen = false
	server.faults = f
	server.listener.setSilent(f.Mode == BackendSilent)
	if silence {
		server.listener.silenceOpen()
	}
	return true
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
		v.ConnectionsOverCapacity += server.listener.breaches()
	}
	return v
}

func (m *machines) stats() []BackendStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	list := make([]BackendStats, 0, len(m.servers))
	for _, server := range sortedByID(m.servers) {
		m.settle(server, now)
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
	if s.leaving && now.After(s.leavingFrom) {
		m.violations.WorkOnLeaving++
	}
}

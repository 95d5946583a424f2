package partition

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// model simulates the environment of a State: the work that actually runs on the
// servers and the result of each request. It checks every action of the State
// against that.
type model struct {
	t             *rapid.T
	state         *State
	now           time.Time
	servers       []fleet.BackendServer
	leavingSince  map[fleet.BackendServerID]time.Time
	occupants     map[fleet.BackendServerID]map[fleet.RequestID]*occupant
	tasks         map[fleet.BackendServerID]map[fleet.TaskID]fleet.Resources
	requests      map[fleet.RequestID]*trackedRequest
	completions   []Completion
	samples       []Usage
	firstAttempts int
	attempts      int
	nextID        int
}

// taskResources needs more CPU than the share of one slot, so that free slots
// alone don't show whether a task fits.
var taskResources = fleet.Resources{Slots: 1, MilliCPU: 9000, MemoryMiB: 100}

// occupant is a request that may use a slot of a server. It counts against the
// capacity from its Run action on, and in usage reports after its arrival.
type occupant struct {
	arrived  bool
	orphaned bool // its result is no longer expected
	until    time.Time
}

type trackedRequest struct {
	work    Work
	running fleet.BackendServerID
	attempt int
	written bool
	ended   bool
}

var testConfiguration = &configuration.Configuration{
	Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{
		{Name: "short", ExpectedRunTime: 50 * time.Millisecond},
		{Name: "long", Class: fleet.Normal, ExpectedRunTime: 10 * time.Second},
		{Name: "unknown"},
	}}},
	Teams:  []configuration.Team{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.2}},
	Limits: configuration.DefaultLimits,
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: start, leavingSince: map[fleet.BackendServerID]time.Time{},
		occupants: map[fleet.BackendServerID]map[fleet.RequestID]*occupant{},
		tasks:     map[fleet.BackendServerID]map[fleet.TaskID]fleet.Resources{},
		requests:  map[fleet.RequestID]*trackedRequest{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
		id := fleet.BackendServerID(fmt.Sprint("b", i))
		m.servers = append(m.servers, fleet.BackendServer{ID: id, Capacity: fleet.Resources{
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"), MilliCPU: 16_000, MemoryMiB: 1000, Accelerators: 1,
		}})
		m.occupants[id] = map[fleet.RequestID]*occupant{}
		m.tasks[id] = map[fleet.TaskID]fleet.Resources{}
		m.addFormerWork(id, m.servers[i].Capacity)
	}
	m.state = New(m.now, m.servers, testConfiguration)
	return m
}

// addFormerWork adds work started by a former holder to a server.
func (m *model) addFormerWork(id fleet.BackendServerID, capacity fleet.Resources) {
	slots := capacity.Slots
	if slots > 1 && rapid.Bool().Draw(m.t, "old task") {
		task := fleet.TaskID("old-" + string(id))
		m.tasks[id][task] = fleet.Resources{Slots: 1, MilliCPU: capacity.MilliCPU / int64(capacity.Slots)}
		slots--
	}
	for i := range rapid.IntRange(0, slots).Draw(m.t, "old requests") {
		m.occupants[id][fleet.RequestID(fmt.Sprint("old", i))] = &occupant{
			arrived: true, orphaned: true, until: m.now.Add(MaxDeadline),
		}
	}
}

// apply applies and checks actions.
func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Run:
			m.run(a)
		case Refuse, Deliver, GiveUp:
			m.end(a)
		case PlaceTask:
			if _, known := m.tasks[a.Server][a.Task]; !known {
				m.checkAcceptsWork(a.Server)
			}
			m.tasks[a.Server][a.Task] = taskResources
		}
	}
	m.checkCapacity()
}

func (m *model) run(a Action) {
	r := m.requests[a.ID]
	m.checkAcceptsWork(a.Server)
	switch {
	case r == nil || r.ended:
		m.t.Fatalf("%s is placed but is unknown or has ended", a.ID)
	case r.running != "":
		m.t.Fatalf("%s is placed on %s while it runs on %s", a.ID, a.Server, r.running)
	case r.written && !r.work.Idempotent:
		m.t.Fatalf("%s is not idempotent, may have run and is placed again", a.ID)
	case a.Attempt != r.attempt+1:
		m.t.Fatalf("%s has attempt %d after attempt %d", a.ID, a.Attempt, r.attempt)
	case !m.now.Before(r.work.Deadline):
		m.t.Fatalf("%s is placed at %v, not before its deadline %v", a.ID, m.now, r.work.Deadline)
	}
	if a.Attempt == 1 {
		m.firstAttempts++
	}
	if m.attempts++; 10*m.attempts > 11*m.firstAttempts {
		m.t.Fatalf("%d attempts for %d requests, want at most 1.1 per request", m.attempts, m.firstAttempts)
	}
	r.running, r.attempt = a.Server, a.Attempt
	m.occupants[a.Server][m.attemptID(r)] = &occupant{until: m.now.Add(MaxDeadline)}
}

func (m *model) attemptID(r *trackedRequest) fleet.RequestID {
	return r.work.ID + fleet.RequestID(fmt.Sprint("#", r.attempt))
}

func (m *model) end(a Action) {
	r := m.requests[a.ID]
	if r == nil || r.ended || r.running != "" {
		m.t.Fatalf("action %d ends %s, which is unknown, has ended or is running", a.Kind, a.ID)
	}
	if a.Kind == Refuse && r.written {
		m.t.Fatalf("%s is refused as not run (%s) although it was written", a.ID, a.Reason)
	}
	if a.Kind == Deliver && r.attempt == 0 {
		m.t.Fatalf("%s is delivered without any attempt", a.ID)
	}
	r.ended = true
}

func (m *model) checkAcceptsWork(id fleet.BackendServerID) {
	i := slices.IndexFunc(m.servers, func(b fleet.BackendServer) bool { return b.ID == id })
	if i < 0 || m.servers[i].Leaving {
		m.t.Fatalf("work is placed on %s, which is leaving or unlisted", id)
	}
	if since, announced := m.leavingSince[id]; announced && m.now.Sub(since) < time.Minute {
		m.t.Fatalf("work is placed on %s, which announced at %v that it is leaving", id, since)
	}
}

func (m *model) checkCapacity() {
	for _, b := range m.servers {
		used := fleet.Resources{Slots: len(m.occupants[b.ID])}
		perSlot := fleet.Resources{MilliCPU: b.Capacity.MilliCPU / int64(b.Capacity.Slots)}
		used.MilliCPU = int64(used.Slots) * perSlot.MilliCPU
		for _, r := range m.tasks[b.ID] {
			used = used.Add(r)
		}
		if !used.Fits(b.Capacity) {
			m.t.Fatalf("%s uses %+v, want at most its capacity %+v", b.ID, used, b.Capacity)
		}
	}
}

// advance moves the time forward, ends orphaned requests after MaxDeadline and
// adopts the former holder's tasks as the ledger would.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, occupants := range m.occupants {
		maps.DeleteFunc(occupants, func(_ fleet.RequestID, o *occupant) bool { return o.orphaned && !m.now.Before(o.until) })
	}
	if m.now.Sub(start) > MaxDeadline/2 {
		for _, b := range m.servers {
			old := fleet.TaskID("old-" + string(b.ID))
			if r, runs := m.tasks[b.ID][old]; runs {
				m.apply(m.state.Adopt(m.now, b.ID, RunningTask{Task: old, Resources: r}, nil))
			}
		}
	}
	m.apply(m.state.Tick(m.now, nil))
	if next := m.state.NextTick(); !next.IsZero() && !next.After(m.now) {
		m.t.Fatalf("next tick is due at %v, want after %v: the duty would spin", next, m.now)
	}
}

func (m *model) submit() {
	m.nextID++
	w := Work{
		ID: fleet.RequestID(fmt.Sprint("r", m.nextID)), Service: "planner",
		Operation:  rapid.SampledFrom([]fleet.Operation{"short", "long", "unknown", "absent"}).Draw(m.t, "operation"),
		Team:       rapid.SampledFrom([]fleet.Team{"", "a", "b"}).Draw(m.t, "team"),
		Class:      fleet.Class(rapid.IntRange(0, 2).Draw(m.t, "class")),
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(m.t, "deadline ms")) * time.Millisecond),
	}
	m.requests[w.ID] = &trackedRequest{work: w}
	m.apply(m.state.Submit(m.now, w, nil))
}

// runningRequests returns the running requests in a fixed order.
func (m *model) runningRequests() (running []*trackedRequest) {
	for i := range m.nextID {
		if r := m.requests[fleet.RequestID(fmt.Sprint("r", i+1))]; r.running != "" {
			running = append(running, r)
		}
	}
	return running
}

func (m *model) complete(r *trackedRequest, result Result) {
	c := Completion{
		ID: r.work.ID, Server: r.running, Attempt: r.attempt, Result: result, SlotReleased: true,
		Duration: time.Duration(rapid.IntRange(0, 5000).Draw(m.t, "ms")) * time.Millisecond,
		Leaving:  rapid.IntRange(0, 19).Draw(m.t, "leaving") == 0,
	}
	occupants := m.occupants[r.running]
	c.SlotReleased = result != Lost || rapid.Bool().Draw(m.t, "released")
	if c.SlotReleased {
		delete(occupants, m.attemptID(r))
	} else {
		occupants[m.attemptID(r)] = &occupant{arrived: true, orphaned: true, until: m.now.Add(MaxDeadline)}
	}
	if c.Leaving {
		m.leavingSince[r.running] = m.now
	}
	r.written = r.written || result != NotWritten
	r.running = ""
	m.completions = append(m.completions, c)
	m.apply(m.state.Complete(m.now, c, nil))
}

// sample records a usage report of a server, which may be delivered later.
func (m *model) sample(b fleet.BackendServer) {
	u := Usage{Server: b.ID, SampledAt: m.now}
	for _, o := range m.occupants[b.ID] {
		if o.arrived {
			u.RequestSlots++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.tasks[b.ID])) {
		u.Tasks = append(u.Tasks, RunningTask{Task: id, Resources: m.tasks[b.ID][id]})
	}
	m.samples = append(m.samples, u)
}

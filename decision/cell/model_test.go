package cell

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// model is a deterministic model of workers, a store and holders in virtual time. It
// drives the production decision code and checks the scheduling guarantees from what
// its workers observe.
type model struct {
	random  *rand.Rand
	now     time.Duration
	pending timers
	seq     int
	faults  modelFaults

	workers          []*modelWorker
	records          map[Key]Record
	epoch            int // highest epoch known to the store
	holders          []*modelHolder
	jobs             map[fleet.JobID]*modelJob
	queue            QueueSettings
	violations       []string
	acknowledgedDone map[job.TaskRef]time.Duration // when the end of a task as done was acknowledged
	failedRuns       map[job.TaskRef]int           // acknowledged failed runs by task
	crashes          modelCrashes
	evacuations      modelEvacuations
}

// modelFaults are the probabilities of faults that affect single calls and jobs.
type modelFaults struct {
	// delayedCalls is the share of start and stop calls that time out and are executed
	// seconds later, by the next incarnation if the worker has restarted; delayedHolds is
	// likewise that of holds.
	delayedCalls, delayedHolds float64
	lostResponses              float64 // share of calls whose response is lost
	alwaysFails                float64 // share of jobs that always fail
	crashingTasks              float64 // share of jobs with a task, or a step, that crashes the workers that start it
	listedEnds                 int     // ends that a worker lists at a time; 0 if it lists all
}

// modelJob is a job as seen by its submitter.
type modelJob struct {
	job         job.Job
	accepted    bool
	cancelled   time.Duration // when the cancellation was acknowledged
	alwaysFails bool
	doneTasks   map[job.TaskRef]bool
	state       job.State
	crashing    map[job.TaskRef]bool // tasks that crash the workers that start them
}

// modelWorker is a worker. Its state is lost when it crashes.
type modelWorker struct {
	m                   *model
	id                  fleet.BackendServerID
	incarnation         int64
	bootedAt            time.Duration
	clockRate           float64 // speed of its clock relative to real time
	up                  bool
	disconnected        bool               // calls do not reach it
	cutOff              bool               // nor does its entry reach the server list
	highestToken        fleet.FencingToken // of a call; lower ones are fenced
	leaseExpiry         time.Duration      // by its own clock
	runs                map[runKey]*modelRun
	ends                []FinishedRow
	lastEndNumber       int64
	acknowledgedThrough int64               // highest acknowledged end
	voidThrough         int64               // highest end listed before the last lease expiry; up to here ends do not count
	refusedAttempts     map[job.TaskRef]int // highest attempt that was stopped or has ended, by task
	capacity            fleet.Resources
	dataCentre          fleet.DataCentre
	region              *modelRegion // nil unless the scenario has regions
	draining            bool
	capacityChanges     []capacityChange
}

// modelRun is a run of a task on a worker.
type modelRun struct {
	key       runKey
	startedAt time.Duration
	duration  time.Duration
	fails     bool
	stopping  bool
	serial    int
}

// modelHolder is an entry instance that holds or held the cell.
type modelHolder struct {
	m     *model
	cell  *Cell
	epoch int
	alive bool
	// disconnectedFromStore makes its appends remain unanswered.
	disconnectedFromStore bool
	confirmedAt           time.Duration // last append that showed that no other instance holds the cell
	hasAuthority          bool
	ticks                 int
	tokens                map[Token]fleet.JobID
}

// newModel returns a model with the given number of workers and one holder.
func newModel(seed uint64, workers int, faults modelFaults) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), faults: faults, records: map[Key]Record{}, jobs: map[fleet.JobID]*modelJob{},
		queue:            QueueSettings{Name: "queue", Service: "service", MaxAttempts: 3, SlackFactor: 2, TargetLatency: time.Second},
		acknowledgedDone: map[job.TaskRef]time.Duration{}, failedRuns: map[job.TaskRef]int{}, now: time.Second, crashes: newModelCrashes(),
	}
	for i := range workers {
		w := &modelWorker{
			m: m, id: fleet.BackendServerID(fmt.Sprintf("server-%d", i)), clockRate: 1 - clockDrift*m.random.Float64(),
			capacity: fleet.Resources{MilliCPU: 32000, MemoryMiB: 64000},
		}
		w.boot()
		m.workers = append(m.workers, w)
	}
	m.elect()
	return m
}

// after schedules a call of fire after d.
func (m *model) after(d time.Duration, fire func()) {
	m.seq++
	heap.Push(&m.pending, timer{at: m.now + d, seq: m.seq, fire: fire})
}

// run runs the timers that are due until the given time.
func (m *model) run(until time.Duration) {
	for len(m.pending) > 0 && m.pending[0].at <= until {
		t := heap.Pop(&m.pending).(timer)
		m.now = t.at
		t.fire()
	}
	m.now = until
}

// reportf records a violation. The message begins with the code of the guarantee:
//
//	LIMIT    the runs on a worker fit into its capacity; one that has shrunk counts after
//	         shrunkCapacityGrace
//	TWICE    a task has one run at a time, unless it is speculative, and none after it
//	         is done
//	ORDER    a step starts after the steps that it depends on
//	BUDGET   a task has no more failed runs than the queue allows attempts, and starts
//	         fewer than three times after three workers have crashed under it
//	UNASKED  no task of a cancelled job starts
//	LOST     an accepted job reaches its expected state
//	MIXED    the reported state of a job agrees with its tasks
func (m *model) reportf(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) moment() Moment {
	return Moment{Steady: m.now, Wall: time.Unix(1_700_000_000, 0).Add(m.now)}
}

// elect creates a new holder, which restores the cell from the store. Earlier holders
// continue until they are fenced or superseded.
func (m *model) elect() *modelHolder {
	m.epoch++
	h := &modelHolder{m: m, epoch: m.epoch, alive: true, confirmedAt: m.now, hasAuthority: true, tokens: map[Token]fleet.JobID{}}
	settings := DefaultSettings()
	settings.StatusRetention = time.Hour
	if m.evacuations != nil {
		settings.MaxEvacuationAge = testMaxAge
	}
	h.cell = New(settings, m.epoch)
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[key]
		r.Key = key
		records = append(records, r)
	}
	h.cell.Restore(m.moment(), records)
	m.holders = append(m.holders, h)
	h.handle(QueuesChanged{Queues: []QueueSettings{m.queue}})
	for _, w := range m.workers {
		if w.up {
			h.handle(ServerListed{Server: w.server()})
		}
	}
	h.handle(ServerListRead{})
	h.tick()
	return h
}

// holder returns the newest holder.
func (m *model) holder() *modelHolder { return m.holders[len(m.holders)-1] }

// tick handles a Tick every 50 ms as long as the holder is alive.
func (h *modelHolder) tick() {
	if !h.alive {
		return
	}
	h.handle(Tick{})
	if h.ticks++; h.ticks%6 == 0 {
		h.m.after(4*time.Millisecond, func() { h.append(Batch{}) }) // heartbeat
	}
	h.m.after(50*time.Millisecond, h.tick)
}

// handle applies an event to the cell and performs the resulting actions.
func (h *modelHolder) handle(e Event) {
	if !h.alive {
		return
	}
	if held := h.m.now-h.confirmedAt < modelConfirmationTimeout; held != h.hasAuthority {
		h.hasAuthority = held
		h.cell.Handle(h.m.moment(), AuthorityChanged{Held: held})
	}
	h.cell.Handle(h.m.moment(), e)
	for _, a := range h.cell.Actions() {
		h.perform(a)
	}
	h.flush()
}

// modelConfirmationTimeout is how long a holder keeps its authority without a
// successful append, as in the holder duty.
const modelConfirmationTimeout = 2 * time.Second

// flush appends the pending batch of the cell, if any, to the store.
func (h *modelHolder) flush() {
	b, ok := h.cell.TakeBatch()
	if !ok {
		return
	}
	h.m.after(4*time.Millisecond, func() { h.append(b) })
}

// append executes an append at the store.
func (h *modelHolder) append(b Batch) {
	switch {
	case !h.alive:
		return
	case h.disconnectedFromStore:
		h.m.after(100*time.Millisecond, func() { h.append(b) })
		return
	case h.m.epoch > h.epoch:
		h.alive = false // fenced by the store
		return
	}
	h.confirmedAt = h.m.now
	for _, r := range b.Records {
		if r.Deletes() {
			delete(h.m.records, r.Key)
			continue
		}
		h.m.records[r.Key] = r
	}
	if b.Number > 0 {
		h.handle(Committed{Batch: b.Number})
	}
}

// perform executes an action of the cell.
func (h *modelHolder) perform(a Action) {
	m := h.m
	switch a := a.(type) {
	case Hold:
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.hold(h.token(a.Generation), a) }, HoldAnswered{Server: a.Server, Number: a.Number, Sent: m.now})
	case Start:
		ordered := m.now
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.start(h.epoch, h.token(a.Generation), a, ordered) },
			StartAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Outcome: StartUnknown, Sent: ordered})
	case Stop:
		sent := m.now
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.stop(h.token(a.Generation), a, sent) },
			StopAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Generation: a.Generation, Sent: sent})
	case Superseded:
		h.alive = false
	case Reply:
		id := h.tokens[a.Token]
		if j := m.jobs[id]; j != nil && a.Reply.Verdict == Accepted {
			j.accepted, j.state = true, a.Reply.State
			if a.Reply.State == job.Cancelled && j.cancelled == 0 {
				j.cancelled = m.now
			}
		}
	}
}

// token returns the fencing token of a call to a generation of a worker.
func (h *modelHolder) token(generation int) fleet.FencingToken {
	return fleet.NewFencingToken(fleet.Epoch(h.epoch), generation)
}

// callTimeout is how long a holder of the model waits for the response of a worker.
const callTimeout = 700 * time.Millisecond

// callWorker calls a worker and delivers its response to the holder. If the call or
// its response is lost, the holder gets noResponse after callTimeout.
func (m *model) callWorker(h *modelHolder, id fleet.BackendServerID, execute func(*modelWorker) Event, noResponse Event) {
	w := m.worker(id)
	_, isHold := noResponse.(HoldAnswered)
	requestDelay, responseDelay := m.delay(), m.delay()
	timeOut := func() { m.after(callTimeout, func() { h.handle(noResponse) }) }
	if w != nil && w.up && w.region != nil {
		w.region.call(h, w, execute, noResponse)
		return
	}
	if w == nil || !w.up || w.disconnected {
		timeOut()
		return
	}
	delayed := m.faults.delayedCalls
	if isHold {
		delayed = m.faults.delayedHolds
	}
	if delayed > 0 && m.random.Float64() < delayed {
		timeOut()
		m.after(2*time.Second+time.Duration(m.random.Int64N(int64(maxOrderDelay-2*time.Second))), func() {
			if w.up {
				execute(w)
			}
		})
		return
	}
	m.after(requestDelay, func() {
		if !w.up || w.disconnected {
			m.after(callTimeout-requestDelay, func() { h.handle(noResponse) })
			return
		}
		response := execute(w)
		if m.random.Float64() < m.faults.lostResponses {
			m.after(callTimeout-requestDelay, func() { h.handle(noResponse) })
			return
		}
		m.after(responseDelay, func() {
			if m.faults.crashingTasks > 0 && !w.up {
				m.after(callTimeout-requestDelay-responseDelay, func() { h.handle(noResponse) })
				return
			}
			h.handle(response)
		})
	})
}

// delay draws the network delay of one direction of a call.
func (m *model) delay() time.Duration {
	return time.Millisecond + time.Duration(m.random.Int64N(int64(12*time.Millisecond)))
}

// worker returns the worker with the given identifier, or nil.
func (m *model) worker(id fleet.BackendServerID) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// submit submits a job to the newest holder.
func (m *model) submit(j job.Job) {
	m.jobs[j.ID] = &modelJob{job: j, alwaysFails: m.random.Float64() < m.faults.alwaysFails, doneTasks: map[job.TaskRef]bool{}}
	m.drawCrashingTask(m.jobs[j.ID])
	m.request(j.ID, func(t Token) Event { return Submitted{Token: t, Job: j} })
}

// cancel requests the cancellation of a job from the newest holder.
func (m *model) cancel(id fleet.JobID) {
	m.request(id, func(t Token) Event { return CancelRequested{Token: t, Queue: "queue", ID: id} })
}

// queryState requests the state of a job from the newest holder.
func (m *model) queryState(id fleet.JobID) {
	m.request(id, func(t Token) Event { return StateRequested{Token: t, Queue: "queue", ID: id} })
}

// request passes an event with a new token to the newest holder.
func (m *model) request(id fleet.JobID, event func(Token) Event) {
	h := m.holder()
	token := Token(len(h.tokens) + 1)
	h.tokens[token] = id
	h.handle(event(token))
}

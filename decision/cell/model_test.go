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

// model is a deterministic model of workers, a store and holders in virtual
// time. It drives the same decisions as the product and checks the promises
// from what its workers see.
type model struct {
	random  *rand.Rand
	now     time.Duration
	pending timers
	seq     int
	faults  modelFaults

	workers          []*modelWorker
	records          map[Key]Record
	epoch            int // highest epoch that the store has seen
	holders          []*modelHolder
	jobs             map[fleet.JobID]*modelJob
	queue            QueueSettings
	violations       []string
	acknowledgedDone map[job.TaskRef]bool // ends done that were acknowledged
	failedRuns       map[job.TaskRef]int
}

// modelFaults are the chances and times of what goes wrong.
type modelFaults struct {
	delayedCalls  float64 // share of orders without an answer, carried out seconds later
	lostResponses float64
	alwaysFails   float64 // share of jobs that always fail
}

type modelJob struct {
	job         job.Job
	accepted    bool
	cancelled   time.Duration // when the cancellation was acknowledged
	alwaysFails bool
	doneTasks   map[job.TaskRef]bool
	state       job.State
}

type modelWorker struct {
	m                   *model
	id                  fleet.BackendServerID
	born                int64
	bornAt              time.Duration
	clockRate           float64 // its clock against true time
	up                  bool
	disconnected        bool
	highestEpoch        int
	leaseExpiry         time.Duration // on its clock
	runs                map[runKey]*modelRun
	ends                []FinishedRow
	lastEndNumber       int64
	acknowledgedThrough int64
	voidThrough         int64               // highest end that a lapse of the lease has made void
	refusedAttempts     map[job.TaskRef]int // highest attempt stopped or ended
	capacity            fleet.Resources
}

type modelRun struct {
	key       runKey
	startedAt time.Duration
	duration  time.Duration
	fails     bool
	stopping  bool
	serial    int
}

type modelHolder struct {
	m     *model
	cell  *Cell
	epoch int
	alive bool
	// disconnectedFromStore lets its appends go unanswered.
	disconnectedFromStore bool
	confirmedAt           time.Duration // last sign that nobody else holds the cell
	hasAuthority          bool
	ticks                 int
	tokens                map[Token]fleet.JobID
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func newModel(seed uint64, workers int, faults modelFaults) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), faults: faults, records: map[Key]Record{}, jobs: map[fleet.JobID]*modelJob{},
		queue:            QueueSettings{Name: "queue", Service: "service", MaxAttempts: 3, SlackFactor: 2, TargetLatency: time.Second},
		acknowledgedDone: map[job.TaskRef]bool{}, failedRuns: map[job.TaskRef]int{}, now: time.Second,
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

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.pending, timer{at: m.now + d, seq: m.seq, run: do})
}

func (m *model) run(until time.Duration) {
	for len(m.pending) > 0 && m.pending[0].at <= until {
		t := heap.Pop(&m.pending).(timer)
		m.now = t.at
		t.run()
	}
	m.now = until
}

func (m *model) reportf(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) moment() Moment {
	return Moment{Steady: m.now, Wall: time.Unix(1_700_000_000, 0).Add(m.now)}
}

// elect makes a new holder that restores the cell from the store. Holders
// before it go on until they notice.
func (m *model) elect() *modelHolder {
	m.epoch++
	h := &modelHolder{m: m, epoch: m.epoch, alive: true, confirmedAt: m.now, hasAuthority: true, tokens: map[Token]fleet.JobID{}}
	settings := DefaultSettings()
	settings.StatusRetention = time.Hour
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

func (m *model) holder() *modelHolder { return m.holders[len(m.holders)-1] }

func (h *modelHolder) tick() {
	if !h.alive {
		return
	}
	h.handle(Tick{})
	if h.ticks++; h.ticks%6 == 0 {
		h.m.after(4*time.Millisecond, func() { h.append(Batch{}) }) // shows that it lives
	}
	h.m.after(50*time.Millisecond, h.tick)
}

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

// modelConfirmationTimeout is how long a holder goes on without a sign from the store,
// as the holder duty does.
const modelConfirmationTimeout = 2 * time.Second

func (h *modelHolder) flush() {
	b, ok := h.cell.TakeBatch()
	if !ok {
		return
	}
	h.m.after(4*time.Millisecond, func() { h.append(b) })
}

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
		if r.Dropped() {
			delete(h.m.records, r.Key)
			continue
		}
		h.m.records[r.Key] = r
	}
	if b.Number > 0 {
		h.handle(Committed{Batch: b.Number})
	}
}

func (h *modelHolder) perform(a Action) {
	m := h.m
	switch a := a.(type) {
	case Hold:
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.hold(h.epoch, a) }, HoldAnswered{Server: a.Server, Number: a.Number, Sent: m.now})
	case Start:
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.start(h.epoch, a) },
			StartAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Outcome: StartUnknown, Sent: m.now})
	case Stop:
		m.callWorker(h, a.Server, func(w *modelWorker) Event { return w.stop(h.epoch, a) },
			StopAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt})
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

// callTimeout is how long the model's holders wait for an answer.
const callTimeout = 700 * time.Millisecond

// callWorker carries an order to a worker and its answer back, or loses either.
func (m *model) callWorker(h *modelHolder, id fleet.BackendServerID, do func(*modelWorker) Event, silence Event) {
	w := m.worker(id)
	_, isHold := silence.(HoldAnswered)
	there, back := m.delay(), m.delay()
	silent := func() { m.after(callTimeout, func() { h.handle(silence) }) }
	if w == nil || !w.up || w.disconnected {
		silent()
		return
	}
	if !isHold && m.random.Float64() < m.faults.delayedCalls {
		silent()
		born := w.born
		m.after(2*time.Second+time.Duration(m.random.Int64N(int64(8*time.Second))), func() {
			if w.up && w.born == born {
				do(w)
			}
		})
		return
	}
	m.after(there, func() {
		if !w.up || w.disconnected {
			m.after(callTimeout-there, func() { h.handle(silence) })
			return
		}
		answer := do(w)
		if m.random.Float64() < m.faults.lostResponses {
			m.after(callTimeout-there, func() { h.handle(silence) })
			return
		}
		m.after(back, func() { h.handle(answer) })
	})
}

func (m *model) delay() time.Duration {
	return time.Millisecond + time.Duration(m.random.Int64N(int64(12*time.Millisecond)))
}

func (m *model) worker(id fleet.BackendServerID) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// submit hands a job to the newest holder.
func (m *model) submit(j job.Job) {
	m.jobs[j.ID] = &modelJob{job: j, alwaysFails: m.random.Float64() < m.faults.alwaysFails, doneTasks: map[job.TaskRef]bool{}}
	m.request(j.ID, func(t Token) Event { return Submitted{Token: t, Job: j} })
}

func (m *model) cancel(id fleet.JobID) {
	m.request(id, func(t Token) Event { return CancelRequested{Token: t, Queue: "queue", ID: id} })
}

func (m *model) queryState(id fleet.JobID) {
	m.request(id, func(t Token) Event { return StateRequested{Token: t, Queue: "queue", ID: id} })
}

func (m *model) request(id fleet.JobID, event func(Token) Event) {
	h := m.holder()
	token := Token(len(h.tokens) + 1)
	h.tokens[token] = id
	h.handle(event(token))
}

package partition

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// The event loop of the measurements: jobs arrive, a scheduler starts them on
// servers, and a heap of events carries their ends, reports and ticks. It knows
// nothing of networks or processes.

const (
	slotsPerServer = 8
	reportLag      = 5 * time.Second
	warmUp         = 5 * time.Second
)

// deployment is the size of one of the users' deployments.
type deployment struct {
	name           string
	servers, racks int
}

var deployments = []deployment{{"asante", 50, 6}, {"camara", 65, 7}}

func (d deployment) slots() int { return d.servers * slotsPerServer }

// job is one request or, with task set, one batch task.
type job struct {
	id        int
	work      Work
	task      bool
	run       time.Duration
	arrived   time.Duration
	started   time.Duration
	ended     time.Duration
	server    int
	partition int // partition
	attempts  int
	// failed is set when the job ended with a failure of its server.
	refused, answered, failed, admitted, stopped bool
}

// policy is a policy under measurement. It calls world.start.
type policy interface {
	submit(w *simulation, j *job)
	ended(w *simulation, j *job, result Result)
	cancel(w *simulation, j *job)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type simulation struct {
	deployment
	policy   policy
	now      time.Duration
	events   []event
	seq      int
	random   *rand.Rand
	jobs     []*job
	busy     []int
	failing  func(server int) bool
	attempts int
}

func newSimulation(d deployment, p policy) *simulation {
	w := &simulation{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(20261204, 1)), busy: make([]int, d.servers),
		failing: func(int) bool { return false },
	}
	if l, ok := p.(*statePolicy); ok {
		l.initialize(w)
	}
	return w
}

func (w *simulation) Len() int { return len(w.events) }
func (w *simulation) Less(i, j int) bool {
	a, b := w.events[i], w.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (w *simulation) Swap(i, j int) { w.events[i], w.events[j] = w.events[j], w.events[i] }
func (w *simulation) Push(x any)    { w.events = append(w.events, x.(event)) }
func (w *simulation) Pop() any {
	last := w.events[len(w.events)-1]
	w.events = w.events[:len(w.events)-1]
	return last
}

func (w *simulation) schedule(t time.Duration, do func()) {
	w.seq++
	heap.Push(w, event{t, w.seq, do})
}

func (w *simulation) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(w).(event)
		w.now = e.at
		e.do()
	}
}

// clock turns the event time into the time that decisions get.
func (w *simulation) clock() time.Time { return start.Add(w.now) }

// addArrivals submits work at a rate per second that depends on the time.
func (w *simulation) addArrivals(rate func(time.Duration) float64, next func() *job) {
	const most = 50 * time.Millisecond
	var arrive func()
	arrive = func() {
		if r := rate(w.now); r > 0 {
			w.submit(next())
		}
		gap := most
		if r := rate(w.now); r > 0 {
			gap = time.Duration(w.random.ExpFloat64() / r * float64(time.Second))
		}
		w.schedule(w.now+gap, arrive)
	}
	w.schedule(0, arrive)
}

func (w *simulation) submit(j *job) {
	j.id, j.arrived, j.server = len(w.jobs), w.now, -1
	j.work.ID = fleet.RequestID(fmt.Sprint("j", j.id))
	j.work.Deadline = w.clock().Add(j.work.Deadline.Sub(time.Time{}))
	w.jobs = append(w.jobs, j)
	w.policy.submit(w, j)
}

// start runs a job on a server and reports its end.
func (w *simulation) start(j *job, server int) {
	w.attempts++
	w.busy[server]++
	if w.busy[server] > slotsPerServer {
		panic(fmt.Sprintf("server %d has %d jobs", server, w.busy[server]))
	}
	j.server, j.started = server, w.now
	j.attempts++
	run, result := j.run, Succeeded
	if w.failing(server) && !j.task {
		run, result = 5*time.Millisecond, Failed
	}
	w.schedule(w.now+run, func() {
		if j.stopped {
			return
		}
		w.busy[server]--
		j.ended, j.failed = w.now, result == Failed
		w.policy.ended(w, j, result)
	})
}

func (j *job) inTime() bool {
	return j.answered && !j.failed && !start.Add(j.ended).After(j.work.Deadline)
}

// heavyTailRun draws run times around a median, of which one in 500 is 100 times
// longer.
func (w *simulation) heavyTailRun(median time.Duration) time.Duration {
	run := float64(median) * math.Exp(0.5*w.random.NormFloat64())
	if w.random.IntN(500) == 0 {
		run *= 100
	}
	return time.Duration(run)
}

// meanHeavyTailRun is the mean of heavyTail: exp(0.125) for the spread, and the
// long ones.
func meanHeavyTailRun(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.125) * (499 + 100) / 500)
}

// statePolicy is the policy of this repository: one State for each rack, with two
// choices between racks by exact load.
type statePolicy struct {
	configuration *configuration.Configuration
	states        []*State
	timers        []time.Duration
	byID          map[fleet.RequestID]*job
	tasks         map[fleet.TaskID]*job
	offers        []*job
	out           []Action
	evictions     []time.Duration
	throttled     map[fleet.TaskID]bool
	// noHysteresis evicts a task on every report that shows a slowdown, instead of
	// the policy's relief.
	noHysteresis bool
	// latency is what usage reports show of service times, by server.
	latency func(server int) map[fleet.Service]time.Duration
}

func (l *statePolicy) initialize(w *simulation) {
	l.byID, l.tasks, l.throttled = map[fleet.RequestID]*job{}, map[fleet.TaskID]*job{}, map[fleet.TaskID]bool{}
	lists := make([][]fleet.BackendServer, w.racks)
	for i := range w.servers {
		part := i % w.racks
		lists[part] = append(lists[part], fleet.BackendServer{
			ID:       fleet.BackendServerID(fmt.Sprint(i)),
			Capacity: fleet.Resources{Slots: slotsPerServer, MilliCPU: 64_000, MemoryMiB: 250_000},
		})
	}
	for part, list := range lists {
		s := New(w.clock(), list, l.configuration)
		l.states = append(l.states, s)
		l.timers = append(l.timers, 0)
		for _, b := range list {
			l.apply(w, part, s.Report(w.clock().Add(1), Usage{Server: b.ID, SampledAt: w.clock().Add(1)}, nil))
		}
	}
	w.schedule(time.Second, func() { l.report(w) })
}

// report samples every server each second; the reports arrive late.
func (l *statePolicy) report(w *simulation) {
	for i := range w.servers {
		u := Usage{Server: fleet.BackendServerID(fmt.Sprint(i)), SampledAt: w.clock(), RequestSlots: w.busy[i]}
		for _, j := range l.tasks {
			if j.server == i {
				u.RequestSlots--
				u.Tasks = append(u.Tasks, RunningTask{
					Task: fleet.TaskID(j.work.ID), Kind: string(j.work.Operation), Resources: oneSlot, Progress: w.now - j.started,
				})
			}
		}
		slices.SortFunc(u.Tasks, func(a, b RunningTask) int { return strings.Compare(string(a.Task), string(b.Task)) })
		if l.latency != nil {
			u.Latencies = l.latency(i)
		}
		w.schedule(w.now+reportLag, func() {
			if l.noHysteresis {
				l.evictWithoutHysteresis(w, i, u)
				u.Latencies = nil
			}
			l.apply(w, i%w.racks, l.states[i%w.racks].Report(w.clock(), u, l.out[:0]))
		})
	}
	w.schedule(w.now+time.Second, func() { l.report(w) })
}

func (l *statePolicy) evictWithoutHysteresis(w *simulation, server int, u Usage) {
	if u.Latencies["planner"] < shortMedian*3/2 {
		return
	}
	for _, task := range u.Tasks {
		if j := l.tasks[task.Task]; j != nil && j.server == server {
			l.apply(w, j.partition, []Action{{Kind: EvictTask, Task: task.Task}})
			return
		}
	}
}

// evict stops a task and offers what is left of it again.
func (l *statePolicy) evict(w *simulation, id fleet.TaskID) {
	j := l.tasks[id]
	if j == nil {
		return
	}
	l.evictions = append(l.evictions, w.now)
	delete(l.tasks, id)
	j.stopped = true
	w.busy[j.server]--
	l.apply(w, j.partition, l.states[j.partition].TaskEnded(w.clock(), id, nil))
	w.schedule(w.now+time.Second, func() { w.submit(&job{task: true, run: j.run, work: j.work}) })
}

var oneSlot = fleet.Resources{Slots: 1, MilliCPU: 8000, MemoryMiB: 30_000}

func (l *statePolicy) submit(w *simulation, j *job) {
	a, b := w.random.IntN(len(l.states)), w.random.IntN(len(l.states))
	if l.load(w, b) > l.load(w, a) {
		a = b
	}
	j.partition = a
	if j.task {
		l.offers = append(l.offers, j)
		l.offer(w)
		return
	}
	l.byID[j.work.ID] = j
	j.admitted = true
	l.apply(w, a, l.states[a].Submit(w.clock(), j.work, l.out[:0]))
	j.admitted = !j.refused
}

func (l *statePolicy) load(w *simulation, part int) int {
	free, _, waiting := l.states[part].Load(w.clock())
	return free - waiting
}

// offer offers the tasks that have no place to each partition in turn.
func (l *statePolicy) offer(w *simulation) {
	for declined := 0; declined < len(l.states) && len(l.offers) > 0; {
		j := l.offers[0]
		part := (j.id + declined) % len(l.states)
		offer := TaskOffer{Task: fleet.TaskID(j.work.ID), Kind: string(j.work.Operation), Resources: oneSlot}
		out := l.states[part].OfferTask(w.clock(), offer, nil)
		i := slices.IndexFunc(out, func(a Action) bool { return a.Kind == PlaceTask })
		l.apply(w, part, out)
		if i < 0 {
			declined++
			continue
		}
		declined = 0
		l.offers = l.offers[1:]
		j.partition = part
		l.tasks[offer.Task] = j
		server, _ := strconv.Atoi(string(out[i].Server))
		w.start(j, server)
	}
}

func (l *statePolicy) ended(w *simulation, j *job, result Result) {
	s := l.states[j.partition]
	if j.task {
		id := fleet.TaskID(j.work.ID)
		if l.tasks[id] != j {
			return
		}
		j.answered = true
		delete(l.tasks, id)
		l.apply(w, j.partition, s.TaskEnded(w.clock(), id, l.out[:0]))
		l.offer(w)
		return
	}
	l.apply(w, j.partition, s.Complete(w.clock(), Completion{
		ID: j.work.ID, Server: fleet.BackendServerID(fmt.Sprint(j.server)), Attempt: j.attempts,
		Result: result, Duration: w.now - j.started, SlotReleased: true,
	}, l.out[:0]))
}

func (l *statePolicy) cancel(w *simulation, j *job) {
	l.apply(w, j.partition, l.states[j.partition].Cancel(w.clock(), j.work.ID, l.out[:0]))
}

func (l *statePolicy) apply(w *simulation, part int, out []Action) {
	for _, a := range out {
		j := l.byID[a.ID]
		switch a.Kind {
		case Run:
			server, _ := strconv.Atoi(string(a.Server))
			w.start(j, server)
		case Refuse:
			j.refused = true
			delete(l.byID, a.ID)
		case Deliver, GiveUp:
			j.answered = true
			delete(l.byID, a.ID)
		case ThrottleTask:
			l.throttled[a.Task] = true
		case UnthrottleTask:
			delete(l.throttled, a.Task)
		case EvictTask:
			w.schedule(w.now, func() { l.evict(w, a.Task) })
		}
	}
	l.out = out[:0]
	l.setTimer(w, part)
}

// setTimer sets the timer of a partition's next tick.
func (l *statePolicy) setTimer(w *simulation, part int) {
	next := l.states[part].NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(start), w.now)
	if l.timers[part] > w.now && l.timers[part] <= at {
		return
	}
	l.timers[part] = at
	w.schedule(at, func() {
		if l.timers[part] == w.now {
			l.timers[part] = 0
			l.apply(w, part, l.states[part].Tick(w.clock(), nil))
		}
	})
}

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
	id       int
	work     Work
	task     bool
	run      time.Duration
	arrived  time.Duration
	started  time.Duration
	ended    time.Duration
	server   int
	part     int // partition
	attempts int
	// bad is set when the job ended with a failure of its server.
	refused, answered, bad, admitted, stopped bool
}

// scheduler is a policy under measurement. It calls world.start.
type scheduler interface {
	submit(w *world, j *job)
	ended(w *world, j *job, result Result)
	cancel(w *world, j *job)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type world struct {
	deployment
	policy  scheduler
	now     time.Duration
	events  []event
	seq     int
	random  *rand.Rand
	jobs    []*job
	busy    []int
	failing func(server int) bool
	starts  int
}

func newWorld(d deployment, p scheduler) *world {
	w := &world{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(20261204, 1)), busy: make([]int, d.servers),
		failing: func(int) bool { return false },
	}
	if l, ok := p.(*lacewing); ok {
		l.begin(w)
	}
	return w
}

func (w *world) Len() int { return len(w.events) }
func (w *world) Less(i, j int) bool {
	a, b := w.events[i], w.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (w *world) Swap(i, j int) { w.events[i], w.events[j] = w.events[j], w.events[i] }
func (w *world) Push(x any)    { w.events = append(w.events, x.(event)) }
func (w *world) Pop() any {
	last := w.events[len(w.events)-1]
	w.events = w.events[:len(w.events)-1]
	return last
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(w, event{t, w.seq, do})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(w).(event)
		w.now = e.at
		e.do()
	}
}

// clock turns the event time into the time that decisions get.
func (w *world) clock() time.Time { return start.Add(w.now) }

// arrivals submits work at a rate per second that depends on the time.
func (w *world) arrivals(rate func(time.Duration) float64, next func() *job) {
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
		w.at(w.now+gap, arrive)
	}
	w.at(0, arrive)
}

func (w *world) submit(j *job) {
	j.id, j.arrived, j.server = len(w.jobs), w.now, -1
	j.work.ID = fleet.RequestID(fmt.Sprint("j", j.id))
	j.work.Deadline = w.clock().Add(j.work.Deadline.Sub(time.Time{}))
	w.jobs = append(w.jobs, j)
	w.policy.submit(w, j)
}

// start runs a job on a server and reports its end.
func (w *world) start(j *job, server int) {
	w.starts++
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
	w.at(w.now+run, func() {
		if j.stopped {
			return
		}
		w.busy[server]--
		j.ended, j.bad = w.now, result == Failed
		w.policy.ended(w, j, result)
	})
}

func (j *job) inTime() bool {
	return j.answered && !j.bad && !start.Add(j.ended).After(j.work.Deadline)
}

// heavyTail draws run times around a median, of which one in 500 is 100 times
// longer.
func (w *world) heavyTail(median time.Duration) time.Duration {
	run := float64(median) * math.Exp(0.5*w.random.NormFloat64())
	if w.random.IntN(500) == 0 {
		run *= 100
	}
	return time.Duration(run)
}

// meanOfHeavyTail is the mean of heavyTail: exp(0.125) for the spread, and the
// long ones.
func meanOfHeavyTail(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.125) * (499 + 100) / 500)
}

// lacewing is the policy of this repository: one State for each rack, with two
// choices between racks by exact load.
type lacewing struct {
	configuration *configuration.Configuration
	parts         []*State
	timers        []time.Duration
	byID          map[fleet.RequestID]*job
	tasks         map[fleet.TaskID]*job
	offers        []*job
	out           []Action
	evictions     []time.Duration
	throttled     map[fleet.TaskID]bool
	// eager evicts a task on every report that shows a slowdown, instead of
	// the policy's relief.
	eager bool
	// latency is what usage reports show of service times, by server.
	latency func(server int) map[fleet.Service]time.Duration
}

func (l *lacewing) begin(w *world) {
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
		l.parts = append(l.parts, s)
		l.timers = append(l.timers, 0)
		for _, b := range list {
			l.apply(w, part, s.Report(w.clock().Add(1), Usage{Server: b.ID, SampledAt: w.clock().Add(1)}, nil))
		}
	}
	w.at(time.Second, func() { l.report(w) })
}

// report samples every server each second; the reports arrive late.
func (l *lacewing) report(w *world) {
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
		w.at(w.now+reportLag, func() {
			if l.eager {
				l.evictEagerly(w, i, u)
				u.Latencies = nil
			}
			l.apply(w, i%w.racks, l.parts[i%w.racks].Report(w.clock(), u, l.out[:0]))
		})
	}
	w.at(w.now+time.Second, func() { l.report(w) })
}

func (l *lacewing) evictEagerly(w *world, server int, u Usage) {
	if u.Latencies["planner"] < shortMedian*3/2 {
		return
	}
	for _, task := range u.Tasks {
		if j := l.tasks[task.Task]; j != nil && j.server == server {
			l.apply(w, j.part, []Action{{Kind: EvictTask, Task: task.Task}})
			return
		}
	}
}

// evict stops a task and offers what is left of it again.
func (l *lacewing) evict(w *world, id fleet.TaskID) {
	j := l.tasks[id]
	if j == nil {
		return
	}
	l.evictions = append(l.evictions, w.now)
	delete(l.tasks, id)
	j.stopped = true
	w.busy[j.server]--
	l.apply(w, j.part, l.parts[j.part].TaskEnded(w.clock(), id, nil))
	w.at(w.now+time.Second, func() { w.submit(&job{task: true, run: j.run, work: j.work}) })
}

var oneSlot = fleet.Resources{Slots: 1, MilliCPU: 8000, MemoryMiB: 30_000}

func (l *lacewing) submit(w *world, j *job) {
	a, b := w.random.IntN(len(l.parts)), w.random.IntN(len(l.parts))
	if l.load(w, b) > l.load(w, a) {
		a = b
	}
	j.part = a
	if j.task {
		l.offers = append(l.offers, j)
		l.offer(w)
		return
	}
	l.byID[j.work.ID] = j
	j.admitted = true
	l.apply(w, a, l.parts[a].Submit(w.clock(), j.work, l.out[:0]))
	j.admitted = !j.refused
}

func (l *lacewing) load(w *world, part int) int {
	free, _, waiting := l.parts[part].Load(w.clock())
	return free - waiting
}

// offer offers the tasks that have no place to each partition in turn.
func (l *lacewing) offer(w *world) {
	for declined := 0; declined < len(l.parts) && len(l.offers) > 0; {
		j := l.offers[0]
		part := (j.id + declined) % len(l.parts)
		offer := TaskOffer{Task: fleet.TaskID(j.work.ID), Kind: string(j.work.Operation), Resources: oneSlot}
		out := l.parts[part].OfferTask(w.clock(), offer, nil)
		i := slices.IndexFunc(out, func(a Action) bool { return a.Kind == PlaceTask })
		l.apply(w, part, out)
		if i < 0 {
			declined++
			continue
		}
		declined = 0
		l.offers = l.offers[1:]
		j.part = part
		l.tasks[offer.Task] = j
		server, _ := strconv.Atoi(string(out[i].Server))
		w.start(j, server)
	}
}

func (l *lacewing) ended(w *world, j *job, result Result) {
	s := l.parts[j.part]
	if j.task {
		id := fleet.TaskID(j.work.ID)
		if l.tasks[id] != j {
			return
		}
		j.answered = true
		delete(l.tasks, id)
		l.apply(w, j.part, s.TaskEnded(w.clock(), id, l.out[:0]))
		l.offer(w)
		return
	}
	l.apply(w, j.part, s.Complete(w.clock(), Completion{
		ID: j.work.ID, Server: fleet.BackendServerID(fmt.Sprint(j.server)), Attempt: j.attempts,
		Result: result, Duration: w.now - j.started, SlotReleased: true,
	}, l.out[:0]))
}

func (l *lacewing) cancel(w *world, j *job) {
	l.apply(w, j.part, l.parts[j.part].Cancel(w.clock(), j.work.ID, l.out[:0]))
}

func (l *lacewing) apply(w *world, part int, out []Action) {
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
			w.at(w.now, func() { l.evict(w, a.Task) })
		}
	}
	l.out = out[:0]
	l.arm(w, part)
}

// arm sets the timer of a partition's next tick.
func (l *lacewing) arm(w *world, part int) {
	next := l.parts[part].NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(start), w.now)
	if l.timers[part] > w.now && l.timers[part] <= at {
		return
	}
	l.timers[part] = at
	w.at(at, func() {
		if l.timers[part] == w.now {
			l.timers[part] = 0
			l.apply(w, part, l.parts[part].Tick(w.clock(), nil))
		}
	})
}

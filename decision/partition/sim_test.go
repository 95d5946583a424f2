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

// A discrete-event simulation for the measurements: jobs arrive, a policy starts
// them on servers, and a heap holds the events of their ends, usage reports and
// ticks. It simulates neither networks nor processes.

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
	partition int
	attempts  int
	// failed is set if the job ended with a server failure.
	refused, answered, failed, admitted, stopped bool
}

// policy is a scheduling policy under measurement. It starts jobs with
// simulation.start.
type policy interface {
	submit(sim *simulation, j *job)
	ended(sim *simulation, j *job, result Result)
	cancel(sim *simulation, j *job)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

// simulation is the event loop and the state of the simulated servers.
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
	sim := &simulation{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(20261204, 1)), busy: make([]int, d.servers),
		failing: func(int) bool { return false },
	}
	if p, ok := p.(*statePolicy); ok {
		p.initialize(sim)
	}
	return sim
}

func (sim *simulation) Len() int { return len(sim.events) }
func (sim *simulation) Less(i, j int) bool {
	a, b := sim.events[i], sim.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (sim *simulation) Swap(i, j int) { sim.events[i], sim.events[j] = sim.events[j], sim.events[i] }
func (sim *simulation) Push(x any)    { sim.events = append(sim.events, x.(event)) }
func (sim *simulation) Pop() any {
	last := sim.events[len(sim.events)-1]
	sim.events = sim.events[:len(sim.events)-1]
	return last
}

func (sim *simulation) schedule(t time.Duration, do func()) {
	sim.seq++
	heap.Push(sim, event{t, sim.seq, do})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(sim).(event)
		sim.now = e.at
		e.do()
	}
}

// clock returns the simulated time as the time passed to decisions.
func (sim *simulation) clock() time.Time { return start.Add(sim.now) }

// addArrivals submits jobs at random intervals, at a rate per second that depends
// on the simulated time.
func (sim *simulation) addArrivals(rate func(time.Duration) float64, next func() *job) {
	const maxGap = 50 * time.Millisecond
	var arrive func()
	arrive = func() {
		if r := rate(sim.now); r > 0 {
			sim.submit(next())
		}
		gap := maxGap
		if r := rate(sim.now); r > 0 {
			gap = time.Duration(sim.random.ExpFloat64() / r * float64(time.Second))
		}
		sim.schedule(sim.now+gap, arrive)
	}
	sim.schedule(0, arrive)
}

func (sim *simulation) submit(j *job) {
	j.id, j.arrived, j.server = len(sim.jobs), sim.now, -1
	j.work.ID = fleet.RequestID(fmt.Sprint("j", j.id))
	j.work.Deadline = sim.clock().Add(j.work.Deadline.Sub(time.Time{}))
	sim.jobs = append(sim.jobs, j)
	sim.policy.submit(sim, j)
}

// start runs a job on a server and reports its end to the policy.
func (sim *simulation) start(j *job, server int) {
	sim.attempts++
	sim.busy[server]++
	if sim.busy[server] > slotsPerServer {
		panic(fmt.Sprintf("server %d has %d jobs", server, sim.busy[server]))
	}
	j.server, j.started = server, sim.now
	j.attempts++
	run, result := j.run, Succeeded
	if sim.failing(server) && !j.task {
		run, result = 5*time.Millisecond, Failed
	}
	sim.schedule(sim.now+run, func() {
		if j.stopped {
			return
		}
		sim.busy[server]--
		j.ended, j.failed = sim.now, result == Failed
		sim.policy.ended(sim, j, result)
	})
}

func (j *job) inTime() bool {
	return j.answered && !j.failed && !start.Add(j.ended).After(j.work.Deadline)
}

// heavyTailRun returns a random run time around a median; one in 500 is 100 times
// longer.
func (sim *simulation) heavyTailRun(median time.Duration) time.Duration {
	run := float64(median) * math.Exp(0.5*sim.random.NormFloat64())
	if sim.random.IntN(500) == 0 {
		run *= 100
	}
	return time.Duration(run)
}

// meanHeavyTailRun returns the mean of heavyTailRun: exp(0.125) for the spread,
// and the factor of the long runs.
func meanHeavyTailRun(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.125) * (499 + 100) / 500)
}

// statePolicy is the policy of this package: one State for each rack. Each
// request goes to the less loaded of two random racks, by exact load.
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
	// the mitigation by State.
	noHysteresis bool
	// latency returns the mean service times in the usage report of a server.
	latency func(server int) map[fleet.Service]time.Duration
}

func (p *statePolicy) initialize(sim *simulation) {
	p.byID, p.tasks, p.throttled = map[fleet.RequestID]*job{}, map[fleet.TaskID]*job{}, map[fleet.TaskID]bool{}
	lists := make([][]fleet.BackendServer, sim.racks)
	for i := range sim.servers {
		partition := i % sim.racks
		lists[partition] = append(lists[partition], fleet.BackendServer{
			ID:       fleet.BackendServerID(fmt.Sprint(i)),
			Capacity: fleet.Resources{Slots: slotsPerServer, MilliCPU: 64_000, MemoryMiB: 250_000},
		})
	}
	for partition, list := range lists {
		s := New(sim.clock(), list, p.configuration)
		p.states = append(p.states, s)
		p.timers = append(p.timers, 0)
		for _, b := range list {
			p.apply(sim, partition, s.Report(sim.clock().Add(1), Usage{Server: b.ID, SampledAt: sim.clock().Add(1)}, nil))
		}
	}
	sim.schedule(time.Second, func() { p.report(sim) })
}

// report samples every server each second; the reports arrive after reportLag.
func (p *statePolicy) report(sim *simulation) {
	for i := range sim.servers {
		u := Usage{Server: fleet.BackendServerID(fmt.Sprint(i)), SampledAt: sim.clock(), RequestSlots: sim.busy[i]}
		for _, j := range p.tasks {
			if j.server == i {
				u.RequestSlots--
				u.Tasks = append(u.Tasks, RunningTask{
					Task: fleet.TaskID(j.work.ID), Kind: string(j.work.Operation), Resources: oneSlot, Progress: sim.now - j.started,
				})
			}
		}
		slices.SortFunc(u.Tasks, func(a, b RunningTask) int { return strings.Compare(string(a.Task), string(b.Task)) })
		if p.latency != nil {
			u.Latencies = p.latency(i)
		}
		sim.schedule(sim.now+reportLag, func() {
			if p.noHysteresis {
				p.evictWithoutHysteresis(sim, i, u)
				u.Latencies = nil
			}
			p.apply(sim, i%sim.racks, p.states[i%sim.racks].Report(sim.clock(), u, p.out[:0]))
		})
	}
	sim.schedule(sim.now+time.Second, func() { p.report(sim) })
}

func (p *statePolicy) evictWithoutHysteresis(sim *simulation, server int, u Usage) {
	if u.Latencies["planner"] < shortMedian*3/2 {
		return
	}
	for _, task := range u.Tasks {
		if j := p.tasks[task.Task]; j != nil && j.server == server {
			p.apply(sim, j.partition, []Action{{Kind: EvictTask, Task: task.Task}})
			return
		}
	}
}

// evict stops a task and offers it again after a second.
func (p *statePolicy) evict(sim *simulation, id fleet.TaskID) {
	j := p.tasks[id]
	if j == nil {
		return
	}
	p.evictions = append(p.evictions, sim.now)
	delete(p.tasks, id)
	j.stopped = true
	sim.busy[j.server]--
	p.apply(sim, j.partition, p.states[j.partition].TaskEnded(sim.clock(), id, nil))
	sim.schedule(sim.now+time.Second, func() { sim.submit(&job{task: true, run: j.run, work: j.work}) })
}

var oneSlot = fleet.Resources{Slots: 1, MilliCPU: 8000, MemoryMiB: 30_000}

func (p *statePolicy) submit(sim *simulation, j *job) {
	a, b := sim.random.IntN(len(p.states)), sim.random.IntN(len(p.states))
	if p.spareSlots(sim, b) > p.spareSlots(sim, a) {
		a = b
	}
	j.partition = a
	if j.task {
		p.offers = append(p.offers, j)
		p.offer(sim)
		return
	}
	p.byID[j.work.ID] = j
	j.admitted = true
	p.apply(sim, a, p.states[a].Submit(sim.clock(), j.work, p.out[:0]))
	j.admitted = !j.refused
}

func (p *statePolicy) spareSlots(sim *simulation, partition int) int {
	free, _, waiting := p.states[partition].Load(sim.clock())
	return free - waiting
}

// offer offers the unplaced tasks to each partition in turn.
func (p *statePolicy) offer(sim *simulation) {
	for declined := 0; declined < len(p.states) && len(p.offers) > 0; {
		j := p.offers[0]
		partition := (j.id + declined) % len(p.states)
		offer := TaskOffer{Task: fleet.TaskID(j.work.ID), Kind: string(j.work.Operation), Resources: oneSlot}
		out := p.states[partition].OfferTask(sim.clock(), offer, nil)
		i := slices.IndexFunc(out, func(a Action) bool { return a.Kind == PlaceTask })
		p.apply(sim, partition, out)
		if i < 0 {
			declined++
			continue
		}
		declined = 0
		p.offers = p.offers[1:]
		j.partition = partition
		p.tasks[offer.Task] = j
		server, _ := strconv.Atoi(string(out[i].Server))
		sim.start(j, server)
	}
}

func (p *statePolicy) ended(sim *simulation, j *job, result Result) {
	s := p.states[j.partition]
	if j.task {
		id := fleet.TaskID(j.work.ID)
		if p.tasks[id] != j {
			return
		}
		j.answered = true
		delete(p.tasks, id)
		p.apply(sim, j.partition, s.TaskEnded(sim.clock(), id, p.out[:0]))
		p.offer(sim)
		return
	}
	p.apply(sim, j.partition, s.Complete(sim.clock(), Completion{
		ID: j.work.ID, Server: fleet.BackendServerID(fmt.Sprint(j.server)), Attempt: j.attempts,
		Result: result, Duration: sim.now - j.started, SlotReleased: true,
	}, p.out[:0]))
}

func (p *statePolicy) cancel(sim *simulation, j *job) {
	p.apply(sim, j.partition, p.states[j.partition].Cancel(sim.clock(), j.work.ID, p.out[:0]))
}

func (p *statePolicy) apply(sim *simulation, partition int, out []Action) {
	for _, a := range out {
		j := p.byID[a.ID]
		switch a.Kind {
		case Run:
			server, _ := strconv.Atoi(string(a.Server))
			sim.start(j, server)
		case Refuse:
			j.refused = true
			delete(p.byID, a.ID)
		case Deliver, GiveUp:
			j.answered = true
			delete(p.byID, a.ID)
		case ThrottleTask:
			p.throttled[a.Task] = true
		case UnthrottleTask:
			delete(p.throttled, a.Task)
		case EvictTask:
			sim.schedule(sim.now, func() { p.evict(sim, a.Task) })
		}
	}
	p.out = out[:0]
	p.setTimer(sim, partition)
}

// setTimer sets the timer of a partition's next tick.
func (p *statePolicy) setTimer(sim *simulation, partition int) {
	next := p.states[partition].NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(start), sim.now)
	if p.timers[partition] > sim.now && p.timers[partition] <= at {
		return
	}
	p.timers[partition] = at
	sim.schedule(at, func() {
		if p.timers[partition] == sim.now {
			p.timers[partition] = 0
			p.apply(sim, partition, p.states[partition].Tick(sim.clock(), nil))
		}
	})
}

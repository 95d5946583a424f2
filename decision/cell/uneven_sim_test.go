package cell

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/decision/triage"
	"lacewingfork.example/lacewingfork/fleet"
)

// unevenLoad is a service and its load. Two plays of one load differ only in the
// decisions of the cell: the time of a task follows from its identifier.
type unevenLoad struct {
	remoteFactor float64
	servers      []Server
	queue        QueueSettings
	// jobsPerSecond is the rate of arrival, and steps makes the steps of a job.
	jobsPerSecond float64
	steps         func(random *rand.Rand) []job.Step
	// taskTime returns the time of a task at full speed, in the rack of its data.
	taskTime func(step *job.Step, random *rand.Rand) time.Duration
	// tailByTask means that all runs of a task take the same time.
	tailByTask bool
	// slowdown is the factor by which a server prolongs a run that starts at a time.
	slowdown func(s Server, now time.Duration, runs int) float64
	// during is called at each tick.
	during func(s *unevenService)
}

// unevenService plays a load.
type unevenService struct {
	*fixture
	load    unevenLoad
	random  *rand.Rand
	workers map[fleet.BackendServerID]*unevenWorker
	held    []Hold
	heldAt  map[uint64]time.Duration
	jobs    map[fleet.JobID]*unevenJob
	lost    map[fleet.BackendServerID]bool // answer no call
	done    map[job.TaskRef]bool
	result  unevenResult
	began   time.Duration
	seed    uint64
}

// unevenWorker is a worker that lists each end until it is acknowledged.
type unevenWorker struct {
	server   Server
	runs     []*unevenRun
	finished []FinishedRow
	ends     int64
}

type unevenRun struct {
	key        runKey
	began, end time.Duration
	cores      float64
	stopped    bool
}

type unevenJob struct {
	objective, after time.Duration // after is 0 until the job is complete
}

// unevenResult is what the callers of a service get, and what it costs.
type unevenResult struct {
	Jobs, Complete int
	// Worth is the mean worth of a job: 1 if it completes within its objective, and
	// less the later, down to 0 at triage.LateFactor times its objective.
	Worth float64
	Mean  time.Duration // time until the completion of a job
	// CoreSeconds is the processor time of all runs.
	CoreSeconds    float64
	Starts, Remote int
	// LongestWait is the longest wait of a task for its start.
	LongestWait time.Duration
}

func (r unevenResult) String() string {
	return fmt.Sprintf("worth %.3f, mean %v, %d of %d jobs complete, %.0f core-seconds, %d starts, %d remote, longest wait %v", r.Worth, r.Mean.Round(time.Millisecond), r.Complete, r.Jobs, r.CoreSeconds, r.Starts, r.Remote, r.LongestWait)
}

// playUneven plays a load for a time, and then until its jobs are complete or a
// further 30 s have passed.
func playUneven(t *testing.T, load unevenLoad, uneven bool, seed uint64, length time.Duration) (unevenResult, *unevenService) {
	t.Helper()
	s := newUnevenService(t, load, uneven, seed)
	offered := 0
	for s.now-s.began < length {
		for float64(offered) < load.jobsPerSecond*(s.now-s.began).Seconds() {
			s.submitJob(offered)
			offered++
		}
		s.tick()
	}
	for s.now-s.began < length+30*time.Second && s.result.Complete < len(s.jobs) {
		s.tick()
	}
	r := s.result
	r.Jobs = len(s.jobs)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) { // a sum depends on its order
		j := s.jobs[id]
		if j.after == 0 {
			continue
		}
		r.Mean += j.after / time.Duration(r.Complete)
		late := float64(j.after-j.objective) / float64((triage.LateFactor-1)*j.objective)
		r.Worth += min(1, max(0, 1-late)) / float64(r.Jobs)
	}
	return r, s
}

func newUnevenService(t *testing.T, load unevenLoad, uneven bool, seed uint64) *unevenService {
	settings := DefaultSettings()
	settings.UnevenDemand = uneven
	if load.remoteFactor > 0 {
		settings.RemoteFactor = load.remoteFactor
	}
	s := &unevenService{
		fixture: &fixture{t: t, cell: New(settings, 1), now: time.Second, records: map[Key]Record{}}, load: load, seed: seed,
		random: rand.New(rand.NewPCG(seed, 41)), workers: map[fleet.BackendServerID]*unevenWorker{}, heldAt: map[uint64]time.Duration{},
		jobs: map[fleet.JobID]*unevenJob{}, lost: map[fleet.BackendServerID]bool{}, done: map[job.TaskRef]bool{},
	}
	s.handle(QueuesChanged{Queues: []QueueSettings{load.queue}})
	for _, server := range load.servers {
		s.workers[server.ID] = &unevenWorker{server: server}
		s.handle(ServerListed{Server: server})
	}
	s.handle(ServerListRead{})
	for range 10 {
		s.tick()
	}
	s.began = s.now
	return s
}

func (s *unevenService) submitJob(n int) {
	id := fleet.JobID(fmt.Sprintf("%016x", 1<<42+n))
	steps := s.load.steps(s.random)
	j := job.Job{ID: id, Queue: s.load.queue.Name, Steps: steps}
	longest := slices.Max(criticalPathTimesOf(&j))
	s.jobs[id] = &unevenJob{objective: s.load.queue.TargetLatency + time.Duration(s.load.queue.SlackFactor*float64(longest))}
	s.handle(Submitted{Token: 1, Job: j})
}

// tick lets 50 ms pass, with the workers' answers every 10 ms.
func (s *unevenService) tick() {
	for range 5 {
		s.now += 10 * time.Millisecond
		s.answerOrders()
		s.endRuns()
		s.answerDueHolds()
	}
	if s.load.during != nil {
		s.load.during(s)
	}
	s.handle(Tick{})
	s.answerOrders()
}

func (s *unevenService) answerOrders() {
	if wait, due := s.cell.PassDue(s.now); due && wait == 0 {
		s.handle(PassTime{})
	}
	for _, start := range takeActions[Start](s.fixture) {
		if s.lost[start.Server] {
			s.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartNotConnected, Sent: s.now})
			continue
		}
		s.checkStart(start)
		w := s.workers[start.Server]
		step := s.cell.lookup(start.Task).step.spec
		took := s.taskTime(start.Task, start.Attempt, step)
		if step.DataRack != "" && step.DataRack != w.server.Rack() {
			took = time.Duration(float64(took) * s.load.remoteFactor)
			s.result.Remote++
		}
		if step.SameRack && s.spread(start.Task) {
			took = time.Duration(float64(took) * s.load.remoteFactor)
			s.result.Remote++
		}
		if s.load.slowdown != nil {
			took = time.Duration(float64(took) * s.load.slowdown(w.server, s.now, len(w.runs)))
		}
		s.result.Starts++
		w.runs = append(w.runs, &unevenRun{key: runKey{start.Task, start.Attempt}, began: s.now, end: s.now + took, cores: float64(step.Need.MilliCPU) / milliCPUPerCore})
		s.acceptStart(start)
	}
	for _, stop := range takeActions[Stop](s.fixture) {
		if s.lost[stop.Server] {
			s.handle(StopAnswered{Server: stop.Server, Task: stop.Task, Attempt: stop.Attempt})
			continue
		}
		for _, r := range s.workers[stop.Server].runs {
			if r.key == (runKey{stop.Task, stop.Attempt}) && !r.stopped {
				r.stopped, r.end = true, min(r.end, s.now+200*time.Millisecond)
			}
		}
		s.handle(StopAnswered{Server: stop.Server, Task: stop.Task, Attempt: stop.Attempt, OK: true})
	}
}

// spread reports whether the runs of the step of a task are in several racks.
func (s *unevenService) spread(ref job.TaskRef) bool {
	racks := map[string]bool{}
	for _, t := range s.cell.lookup(ref).step.tasks {
		for _, r := range t.runs {
			racks[r.worker.server.Rack()] = true
		}
	}
	return len(racks) > 1
}

// checkStart checks that a task starts only while it may.
func (s *unevenService) checkStart(start Start) {
	runs := 0
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.key.task == start.Task && !s.lost[w.server.ID] {
				runs++
			}
		}
	}
	step := s.cell.lookup(start.Task).step.spec
	if runs > 0 && !step.Speculative || runs > 1 {
		s.t.Errorf("%v: %v starts beside %d other runs", s.now, start.Task, runs)
	}
	if s.done[start.Task] {
		s.t.Errorf("%v: %v starts after it is done", s.now, start.Task)
	}
}

// taskTime returns the time of an attempt of a task, which is the same in each play.
func (s *unevenService) taskTime(ref job.TaskRef, attempt int, step *job.Step) time.Duration {
	if s.load.tailByTask {
		attempt = 0
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%v/%d", s.seed, ref, attempt)
	return s.load.taskTime(step, rand.New(rand.NewPCG(hash.Sum64(), 43)))
}

func (s *unevenService) endRuns() {
	for _, server := range s.load.servers {
		w := s.workers[server.ID]
		w.runs = slices.DeleteFunc(w.runs, func(r *unevenRun) bool {
			if r.end > s.now {
				return false
			}
			end := job.EndDone
			if r.stopped {
				end = job.EndStopped
			} else {
				s.done[r.key.task] = true
			}
			w.ends++
			w.finished = append(w.finished, FinishedRow{Number: w.ends, Task: r.key.task, Attempt: r.key.attempt, End: end})
			s.result.CoreSeconds += r.cores * (s.now - r.began).Seconds()
			return true
		})
	}
}

// answerDueHolds answers the holds whose wait is over or whose worker has an end to
// list, and collects the ends of jobs.
func (s *unevenService) answerDueHolds() {
	for _, h := range takeActions[Hold](s.fixture) {
		s.held = append(s.held, h)
		s.heldAt[h.Number] = s.now
	}
	held := s.held
	s.held = nil
	for _, h := range held {
		w := s.workers[h.Server]
		if s.lost[h.Server] {
			s.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: s.heldAt[h.Number], Broke: true})
			continue
		}
		w.finished = slices.DeleteFunc(w.finished, func(row FinishedRow) bool { return row.Number <= h.Ack })
		if len(w.finished) == 0 && s.now-s.heldAt[h.Number] < h.Wait {
			s.held = append(s.held, h)
			continue
		}
		running := make([]RunningRow, 0, len(w.runs))
		for _, r := range w.runs {
			percent := int(100 * (s.now - r.began) / (r.end - r.began))
			running = append(running, RunningRow{Task: r.key.task, Attempt: r.key.attempt, Percent: percent})
		}
		s.handle(HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: s.heldAt[h.Number], OK: true, Incarnation: w.server.Incarnation, Clock: s.now,
			Running: running, Finished: slices.Clone(w.finished),
		})
	}
	for _, n := range takeActions[Note](s.fixture) {
		if waited, ok := n.Detail["waited_ms"].(int64); n.Event == NoteStartOrdered && ok {
			s.result.LongestWait = max(s.result.LongestWait, time.Duration(waited)*time.Millisecond)
		}
		if j := s.jobs[n.Job]; n.Event == NoteJobEnded && j != nil && n.Detail["state"] == job.Complete {
			j.after = max(1, time.Duration(n.Detail["after_ms"].(int64))*time.Millisecond)
			s.result.Complete++
		}
	}
	takeActions[Reply](s.fixture)
}

// takeOver replaces the holder by the next one, which reads the records. Calls in
// flight get no answer.
func (s *unevenService) takeOver() {
	s.held, s.actions = nil, nil
	records := make([]Record, 0, len(s.records))
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		records = append(records, s.records[key])
	}
	s.cell = New(s.cell.settings, s.cell.round+1)
	s.cell.Restore(s.moment(), records)
	s.handle(QueuesChanged{Queues: []QueueSettings{s.load.queue}})
	for _, server := range s.load.servers {
		s.handle(ServerListed{Server: server})
	}
	s.handle(ServerListRead{})
}

// restart starts a worker again, with no runs, and lists it as cold. Ends that have not
// been acknowledged are lost with it, so these tasks may run again.
func (s *unevenService) restart(id fleet.BackendServerID, cold time.Duration) {
	w := s.workers[id]
	for _, r := range w.runs {
		s.result.CoreSeconds += r.cores * (s.now - r.began).Seconds()
	}
	for _, row := range w.finished {
		delete(s.done, row.Task)
	}
	w.server.Incarnation++
	w.server.ColdRemaining = cold
	w.runs, w.finished, w.ends = nil, nil, 0
	s.held = append(s.held, takeActions[Hold](s.fixture)...)
	broken := slices.Clone(s.held)
	s.held = slices.DeleteFunc(s.held, func(h Hold) bool { return h.Server == id })
	s.handle(ServerListed{Server: w.server})
	for _, h := range broken {
		if h.Server == id {
			s.handle(HoldAnswered{Server: id, Number: h.Number, Sent: s.now, Broke: true})
		}
	}
}

// unevenServers returns servers of 16 cores in racks, with the given factors of size
// in turn.
func unevenServers(racks, perRack int, sizes ...float64) []Server {
	var servers []Server
	for i := range racks * perRack {
		s := testServer(fleet.BackendServerID(fmt.Sprintf("server-%03d", i)))
		s.Labels = []string{"a", fmt.Sprintf("rack-%d", i/perRack)}
		if len(sizes) > 0 {
			s.Capacity.MilliCPU = int64(float64(s.Capacity.MilliCPU) * sizes[i%len(sizes)])
			s.Capacity.MemoryMiB = int64(float64(s.Capacity.MemoryMiB) * sizes[i%len(sizes)])
		}
		servers = append(servers, s)
	}
	return servers
}

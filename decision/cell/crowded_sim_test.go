package cell

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// crowdedService simulates a service with long-running tasks, and finite jobs, which
// end by themselves, of the same priority. Its
// workers answer at once. Long-running jobs are cancelled and replaced by others;
// now and then one of their tasks fails.
type crowdedService struct {
	*fixture
	// longRunningShare is the need of the long-running tasks relative to the
	// capacity.
	longRunningShare float64
	random           *rand.Rand // of the submissions
	lives            *rand.Rand // of the long-running tasks
	workers          map[fleet.BackendServerID]*crowdedWorker
	held             []Hold // without an answer yet
	heldAt           map[uint64]time.Duration
	jobs             map[fleet.JobID]*crowdedJob
	taskTimes        map[fleet.JobID]time.Duration // of jobs whose tasks do not take taskTime
	long             []longRunningJob
	longID           int
}

// longRunningJob is a long-running job that has not been cancelled.
type longRunningJob struct {
	id       fleet.JobID
	milliCPU int64 // need of all its tasks
	until    time.Duration
}

// crowdedWorker is a worker that lists each end until it is acknowledged.
type crowdedWorker struct {
	runs     map[runKey]time.Duration // time of the end
	stopped  map[runKey]bool
	long     map[runKey]bool // runs of long-running tasks
	finished []FinishedRow
	ends     int64 // number of the last end
}

// crowdedJob is a finite job. It is served if it completes within three times its
// objective.
type crowdedJob struct {
	work      float64 // core-seconds
	objective time.Duration
	served    bool
	took      time.Duration // until its end; 0 if it has not ended
}

const (
	crowdedServers  = 13
	crowdedMilliCPU = 64000
	meanStay        = 70 * time.Second // of a long-running job, until it is cancelled
	meanLife        = 20 * time.Minute // of a long-running task, until it fails
	taskTime        = 700 * time.Millisecond
)

// playCrowdedServices plays a service for each of a number of seeds and returns the
// finite jobs in the order of their work. longRunningShare and finiteShare are what
// the tasks of each kind need, relative to the capacity.
func playCrowdedServices(t *testing.T, seeds uint64, longRunningShare, finiteShare float64, byCost bool) []*crowdedJob {
	var jobs []*crowdedJob
	for seed := range seeds {
		s := newCrowdedService(t, seed, longRunningShare)
		s.cell.settings.TriageByCost = byCost
		s.run(500 * time.Millisecond)
		s.replaceLongRunning()
		s.run(5 * time.Second)
		began, offered := s.now, 0.0
		for n := 0; s.now-began < 40*time.Second; s.run(50 * time.Millisecond) {
			for offered < finiteShare*crowdedServers*crowdedMilliCPU/milliCPUPerCore*(s.now-began).Seconds() {
				offered += s.submitFinite(n)
				n++
			}
		}
		s.run(15 * time.Second)
		jobs = slices.AppendSeq(jobs, maps.Values(s.jobs))
	}
	slices.SortFunc(jobs, func(a, b *crowdedJob) int { return cmp.Compare(a.work, b.work) })
	return jobs
}

func newCrowdedService(t *testing.T, seed uint64, longRunningShare float64) *crowdedService {
	s := &crowdedService{
		fixture: newFixture(t, 1), longRunningShare: longRunningShare, random: rand.New(rand.NewPCG(seed, 21)), lives: rand.New(rand.NewPCG(seed, 22)), workers: map[fleet.BackendServerID]*crowdedWorker{},
		heldAt: map[uint64]time.Duration{}, jobs: map[fleet.JobID]*crowdedJob{},
	}
	s.handle(QueuesChanged{Queues: []QueueSettings{
		{Name: "finite", Service: "s", MaxAttempts: 3, SlackFactor: 1.5, TargetLatency: 400 * time.Millisecond},
		{Name: "long", Service: "s", SlackFactor: 2.2, TargetLatency: 2500 * time.Millisecond},
	}})
	for i := range crowdedServers {
		server := testServer(fleet.BackendServerID(fmt.Sprintf("server-%02d", i)))
		server.Capacity = fleet.Resources{MilliCPU: crowdedMilliCPU, MemoryMiB: 256000}
		s.workers[server.ID] = &crowdedWorker{runs: map[runKey]time.Duration{}, stopped: map[runKey]bool{}, long: map[runKey]bool{}}
		s.handle(ServerListed{Server: server})
	}
	s.handle(ServerListRead{})
	return s
}

// run lets time pass in steps of a tick, with the workers' answers.
func (s *crowdedService) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		if len(s.long) > 0 {
			s.replaceLongRunning()
		}
		s.answerOrders()
		s.advance(50 * time.Millisecond)
		s.endRuns()
		s.answerDueHolds()
	}
}

// answerOrders accepts every start and stop. A stop takes half a second.
func (s *crowdedService) answerOrders() {
	for _, start := range takeActions[Start](s.fixture) {
		life := cmp.Or(s.taskTimes[start.Task.Job], taskTime)
		if start.Spec == "long" {
			life = time.Duration(s.lives.ExpFloat64() * float64(meanLife))
		}
		w, key := s.workers[start.Server], runKey{start.Task, start.Attempt}
		w.runs[key], w.long[key] = s.now+life, start.Spec == "long"
		s.acceptStart(start)
	}
	for _, stop := range takeActions[Stop](s.fixture) {
		w := s.workers[stop.Server]
		key := runKey{stop.Task, stop.Attempt}
		if _, runs := w.runs[key]; runs && !w.stopped[key] {
			w.runs[key], w.stopped[key] = s.now+500*time.Millisecond, true
		}
		s.handle(StopAnswered{Server: stop.Server, Task: stop.Task, Attempt: stop.Attempt, OK: true, Sent: s.now})
	}
}

// endRuns ends the runs whose time has come.
func (s *crowdedService) endRuns() {
	for _, w := range s.workers {
		for _, key := range w.sortedRuns() {
			if w.runs[key] > s.now {
				continue
			}
			end := job.EndDone
			switch {
			case w.stopped[key]:
				end = job.EndStopped
			case w.long[key]:
				end = job.EndFailed
			}
			w.ends++
			w.finished = append(w.finished, FinishedRow{Number: w.ends, Task: key.task, Attempt: key.attempt, End: end})
			delete(w.runs, key)
		}
	}
}

func (w *crowdedWorker) sortedRuns() []runKey {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b runKey) int { return cmp.Compare(a.task.String(), b.task.String()) })
}

// answerDueHolds answers the holds whose wait is over or whose worker has an end
// to list, and collects the ends of jobs.
func (s *crowdedService) answerDueHolds() {
	for _, h := range takeActions[Hold](s.fixture) {
		s.held = append(s.held, h)
		s.heldAt[h.Number] = s.now
	}
	held := s.held
	s.held = nil
	for _, h := range held {
		w := s.workers[h.Server]
		w.finished = slices.DeleteFunc(w.finished, func(row FinishedRow) bool { return row.Number <= h.Ack })
		if len(w.finished) == 0 && s.now-s.heldAt[h.Number] < h.Wait {
			s.held = append(s.held, h)
			continue
		}
		running := make([]RunningRow, 0, len(w.runs))
		for _, key := range w.sortedRuns() {
			running = append(running, RunningRow{Task: key.task, Attempt: key.attempt, Percent: fullSpeed})
		}
		s.handle(HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: s.heldAt[h.Number], OK: true, Incarnation: 1, Clock: s.now,
			Running: running, Finished: slices.Clone(w.finished),
		})
	}
	for _, n := range takeActions[Note](s.fixture) {
		j := s.jobs[n.Job]
		if n.Event == NoteJobEnded && j != nil {
			j.took = time.Duration(n.Detail["after_ms"].(int64)) * time.Millisecond
			j.served = j.took <= 3*j.objective
		}
	}
}

// replaceLongRunning cancels the long-running jobs whose time has come, and submits
// others of six tasks while the need of all is below longRunningShare of the
// capacity.
func (s *crowdedService) replaceLongRunning() {
	need := int64(0)
	s.long = slices.DeleteFunc(s.long, func(j longRunningJob) bool {
		if s.now < j.until {
			need += j.milliCPU
			return false
		}
		s.handle(CancelRequested{Token: 1, Queue: "long", ID: j.id})
		return true
	})
	for float64(need) < s.longRunningShare*crowdedServers*crowdedMilliCPU {
		cpu := 9000 + s.lives.Int64N(9000)
		s.longID++
		j := longRunningJob{
			id: fleet.JobID(fmt.Sprintf("%016x", 1<<40+s.longID)), milliCPU: 6 * cpu,
			until: s.now + time.Duration(s.lives.ExpFloat64()*float64(meanStay)),
		}
		step := job.Step{Count: 6, Need: fleet.Resources{MilliCPU: cpu, MemoryMiB: 25000}, LongRunning: true}
		s.handle(Submitted{Token: 1, Job: job.Job{ID: j.id, Queue: "long", Spec: "long", Steps: []job.Step{step}}})
		s.long = append(s.long, j)
		need += j.milliCPU
	}
}

// submitFinite submits a finite job of one or two steps and returns its work.
func (s *crowdedService) submitFinite(n int) float64 {
	var steps []job.Step
	work := 0.0
	for i := range 1 + s.random.IntN(2) {
		count := 1 + int(s.random.ExpFloat64()*4)
		cpu := 2000 + s.random.Int64N(15000)
		step := job.Step{Count: count, Need: fleet.Resources{MilliCPU: cpu, MemoryMiB: 13000}, Estimate: taskTime}
		if i > 0 {
			step.After = []int{0}
		}
		steps = append(steps, step)
		work += float64(count) * float64(cpu) / milliCPUPerCore * taskTime.Seconds()
	}
	id := fleet.JobID(fmt.Sprintf("%016x", 1<<41+n))
	s.jobs[id] = &crowdedJob{work: work, objective: 400*time.Millisecond + time.Duration(1.5*float64(len(steps))*float64(taskTime))}
	s.handle(Submitted{Token: 1, Job: job.Job{ID: id, Queue: "finite", Steps: steps}})
	return work
}

// servedShare returns the share of jobs that were served, of those between two
// quantiles of a list in the order of their work.
func servedShare(jobs []*crowdedJob, from, to float64) float64 {
	jobs = jobs[int(from*float64(len(jobs))):int(to*float64(len(jobs)))]
	served := 0
	for _, j := range jobs {
		if j.served {
			served++
		}
	}
	return float64(served) / float64(len(jobs))
}

package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// servingSim simulates a cell with serving, batch and short tasks on servers of two
// sizes. Best-effort tasks, and serving tasks of other images, raise the load of a
// serving task by a law that depends on the pair of images and that the cell does
// not know. Its workers answer each order after a delay.
type servingSim struct {
	*fixture
	settings     Settings
	random       *rand.Rand
	noise        *rand.Rand // of the measurements
	servers      []*simServer
	byID         map[fleet.BackendServerID]*simServer
	jobs         map[fleet.JobID]*simJob
	order        []*simJob
	pressures    [simServingImages][simBatchImages]float64
	neighbour    [simServingImages][simServingImages]float64
	events       []simEvent // orders and answers on their way
	held         []simHold
	submitted    int
	servingJobs  int
	maxPerServer int           // serving tasks of one job
	begin        time.Duration // the units before it don't count
	result       servingResult
}

type simServer struct {
	id       fleet.BackendServerID
	milliCPU int64
	runs     []*simRun
	finished []FinishedRow
	ends     int64
	silent   bool // it answers nothing
}

type simRun struct {
	key        runKey
	job        *simJob
	step       *job.Step
	server     *simServer
	startedAt  time.Duration
	done       float64 // seconds of work
	saved      float64 // seconds of work at the last checkpoint
	speed      int
	stopsAt    time.Duration // 0 if it is not being stopped
	tails      [simWindow]float64
	tailsAlone [simWindow]float64 // without the best-effort tasks beside it
	ticks      int
	metAt      time.Duration // last time at which best-effort tasks made it miss no target
}

type simJob struct {
	spec     job.Job
	serving  bool
	image    int // index of the serving image
	phase    float64
	acceptAt time.Duration
	until    time.Duration
	lost     float64 // task ticks of the present unit, weighted
	ticks    int
	best     bool // best-effort
	doneAt   time.Duration
}

type simEvent struct {
	at time.Duration
	do func()
}

type simHold struct {
	hold Hold
	at   time.Duration
}

// servingResult is what the callers of one play got.
type servingResult struct {
	units, served  int     // two-second units of serving jobs
	value          float64 // sum of their values
	batch          float64 // core-seconds of the best-effort jobs completed in time
	batchAll       float64 // core-seconds of those submitted
	batchWork      float64 // core-seconds of best-effort work done
	over, overSelf float64 // seconds of serving tasks over their target, and of those without best-effort tasks as the cause
	down           float64 // seconds of serving tasks without a run at work
	stops          int
	longest        time.Duration // over a target because of best-effort tasks
}

const (
	simTick          = 50 * time.Millisecond
	simWindow        = 10 // ticks that a measurement covers
	simServingImages = 10
	simBatchImages   = 18
	simOrderDelay    = 60 * time.Millisecond
	simStopTime      = 900 * time.Millisecond
	simCheckpoint    = 1.0 // seconds between two checkpoints
	simIdle          = 4.0 // tail latency of an idle serving task in ms
	simTarget        = 18 * time.Millisecond
	simServers       = 24
	simServingTasks  = 14 // of a serving job
	simUnit          = 2 * time.Second
	simBatchTime     = 2.7 // seconds
)

// simBatchRate is the rate of best-effort jobs in a cell of simServers servers,
// in proportion to the first deployment of docs/design/hard-load.md.
const simBatchRate = 12.1 * simServers / 350

func newServingSim(t *testing.T, seed uint64, settings Settings) *servingSim {
	settings.MaxTimeOverTarget = 4500 * time.Millisecond
	s := &servingSim{
		fixture: newFixture(t, 1), settings: settings, random: rand.New(rand.NewPCG(seed, 31)), noise: rand.New(rand.NewPCG(seed, 32)),
		byID: map[fleet.BackendServerID]*simServer{}, jobs: map[fleet.JobID]*simJob{}, servingJobs: 4,
	}
	s.cell = New(settings, 1)
	s.cell.Restore(s.moment(), nil)
	for i := range s.pressures {
		for k := range s.pressures[i] {
			// Most pairs hardly interfere, some do by up to a hundred times as much.
			s.pressures[i][k] = 0.08 * math.Exp(s.random.Float64()*4.6)
		}
		for k := range s.neighbour[i] {
			if k != i {
				s.neighbour[i][k] = 0.4 * s.random.Float64()
			}
		}
	}
	for i := range simServers {
		server := &simServer{id: fleet.BackendServerID(fmt.Sprintf("server-%02d", i)), milliCPU: 16000}
		if i%3 == 2 {
			server.milliCPU = 24000
		}
		s.servers, s.byID[server.id] = append(s.servers, server), server
	}
	s.list()
	return s
}

// list gives the cell the configuration and the servers.
func (s *servingSim) list() {
	s.handle(QueuesChanged{Queues: []QueueSettings{
		{Name: "short", Service: "s", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 400 * time.Millisecond},
		{Name: "serving", Service: "s", Priority: 1, TargetLatency: 2 * time.Second},
		{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, SlackFactor: 2, TargetLatency: time.Second},
	}})
	for i, server := range s.servers {
		s.handle(ServerListed{Server: Server{
			ID: server.id, Address: string(server.id), Service: "s", Incarnation: 1, DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%3)),
			Capacity: fleet.Resources{MilliCPU: server.milliCPU, MemoryMiB: 64000}, Labels: []string{"a", fmt.Sprint("r", i/8)},
		}})
	}
	s.handle(ServerListRead{})
}

func (s *servingSim) submitJob(queue job.Queue, best bool, steps ...job.Step) *simJob {
	s.submitted++
	id := fleet.JobID(fmt.Sprintf("%016x", 1<<40+s.submitted))
	j := &simJob{spec: job.Job{ID: id, Queue: queue, Steps: steps}, acceptAt: s.now, best: best}
	s.jobs[id], s.order = j, append(s.order, j)
	s.handle(Submitted{Token: 1, Job: j.spec})
	return j
}

func (s *servingSim) submitServing() {
	image := s.random.IntN(simServingImages)
	j := s.submitJob("serving", false, job.Step{
		Count: simServingTasks, Need: fleet.Resources{MilliCPU: 3200, MemoryMiB: 4000}, LongRunning: true, MaxUnavailable: 2, MaxPerServer: s.maxPerServer,
		Image: fmt.Sprint("serving-", image), LatencyTarget: simTarget,
	})
	j.serving, j.image, j.phase = true, image, s.random.Float64()*2*math.Pi
	j.until = s.now + 20*time.Second + time.Duration(s.random.ExpFloat64()*float64(50*time.Second))
}

func (s *servingSim) submitBatch() {
	step := job.Step{
		Count: 20, Need: fleet.Resources{MilliCPU: 1800, MemoryMiB: 2000}, Estimate: 2700 * time.Millisecond,
		BestEffort: true, Checkpoints: s.random.Float64() < 0.85, Image: fmt.Sprint("batch-", s.random.IntN(simBatchImages)),
	}
	next := step
	next.After = []int{0}
	s.submitJob("batch", true, step, next)
}

func (s *servingSim) submitShort() {
	s.submitJob("short", false, job.Step{Count: 10, Need: fleet.Resources{MilliCPU: 1900, MemoryMiB: 1000}, Estimate: time.Second, Image: "short"})
}

// play runs the cell for the given time with a burst of batch jobs in each period.
func (s *servingSim) play(d time.Duration, burst float64) {
	batch, short := 0.0, 0.0
	s.begin = s.now + 10*time.Second
	for began := s.now; s.now-began < d; {
		serving := 0
		for _, j := range s.order {
			if j.serving && j.until > s.now {
				serving++
			}
		}
		for ; serving < s.servingJobs; serving++ {
			s.submitServing()
		}
		rate := simBatchRate
		if at := (s.now - began) % (20 * time.Second); s.now-began > 15*time.Second && at >= 10*time.Second && at < 15*time.Second {
			rate *= burst
		}
		for batch += rate * simTick.Seconds(); batch > s.random.ExpFloat64(); batch-- {
			s.submitBatch()
		}
		for short += 11.3 * 1.6 * simServers / 350 * simTick.Seconds(); short >= 1; short-- {
			s.submitShort()
		}
		s.step()
	}
}

// step lets one tick pass.
func (s *servingSim) step() {
	s.now += simTick
	due := []simEvent{}
	s.events = slices.DeleteFunc(s.events, func(e simEvent) bool {
		if e.at <= s.now {
			due = append(due, e)
			return true
		}
		return false
	})
	for _, e := range due {
		e.do()
	}
	for _, j := range s.order {
		if j.serving && j.until <= s.now && j.until > 0 {
			j.until = -1
			s.handle(CancelRequested{Token: 1, Queue: "serving", ID: j.spec.ID})
		}
	}
	s.handle(Tick{})
	s.takeOrders()
	for _, server := range s.servers {
		s.work(server)
	}
	s.answerHolds()
	s.countUnits()
}

func (s *servingSim) later(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + d, do})
}

// takeOrders carries out the orders of the cell.
func (s *servingSim) takeOrders() {
	for _, o := range takeActions[Start](s.fixture) {
		s.later(simOrderDelay, func() { s.start(o) })
	}
	for _, o := range takeActions[Stop](s.fixture) {
		s.later(simOrderDelay, func() {
			server := s.byID[o.Server]
			if server.silent {
				return
			}
			if r := server.find(runKey{o.Task, o.Attempt}); r != nil && r.stopsAt == 0 {
				r.stopsAt = s.now + simStopTime
				s.result.stops++
			}
			s.handle(StopAnswered{Server: o.Server, Task: o.Task, Attempt: o.Attempt, OK: true})
		})
	}
	for _, o := range takeActions[Throttle](s.fixture) {
		s.later(simOrderDelay, func() {
			server := s.byID[o.Server]
			if server.silent {
				return
			}
			if r := server.find(runKey{o.Task, o.Attempt}); r != nil {
				r.speed = o.Percent
			}
			s.handle(ThrottleAnswered{Server: o.Server, Task: o.Task, Attempt: o.Attempt, Percent: o.Percent, OK: true})
		})
	}
	for _, n := range takeActions[Note](s.fixture) {
		if j := s.jobs[n.Job]; j != nil && n.Event == NoteJobEnded && j.doneAt == 0 {
			j.doneAt = s.now
		}
	}
}

func (s *servingSim) start(o Start) {
	server := s.byID[o.Server]
	if server.silent {
		s.handle(StartAnswered{Server: o.Server, Task: o.Task, Attempt: o.Attempt, Outcome: StartUnknown, Sent: s.now})
		return
	}
	j := s.jobs[o.Task.Job]
	r := &simRun{key: runKey{o.Task, o.Attempt}, job: j, step: &j.spec.Steps[o.Task.Step], server: server, startedAt: s.now, metAt: s.now, speed: fullSpeed}
	if o.Checkpoint != "" {
		_, _ = fmt.Sscanf(o.Checkpoint, "%f", &r.saved)
		r.done = r.saved
	}
	server.runs = append(server.runs, r)
	s.acceptStart(o)
}

func (w *simServer) find(key runKey) *simRun {
	for _, r := range w.runs {
		if r.key == key {
			return r
		}
	}
	return nil
}

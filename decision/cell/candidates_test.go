package cell

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// randomCells is the number of cells of TestStepPlacementEqualsFullScan.
const randomCells = 10000

// newRandomCell returns a cell with random workers, runs, loads and pressures, and
// the waiting steps of a job. The same seed gives the same cell.
func newRandomCell(seed uint64) (*Cell, []*stepState) {
	random := rand.New(rand.NewPCG(seed, 41))
	c := New(DefaultSettings(), 1)
	c.now = Moment{Steady: 100 * time.Second, Wall: time.Unix(1000, 0)}
	c.serverListRead = true
	c.setQueues([]QueueSettings{{Name: "q", Service: "s", SlackFactor: 2, TargetLatency: time.Second}})
	for i := range 3 + random.IntN(10) {
		s := testServer(fleet.BackendServerID(fmt.Sprintf("s-%02d", i)))
		s.DataCentre = fleet.DataCentre(rune('a' + random.IntN(3)))
		s.Capacity = fleet.Resources{MilliCPU: 16000 + 16000*random.Int64N(3), MemoryMiB: 64000}
		c.serverListed(s)
		w := c.workers[s.ID]
		w.fenced, w.stored, w.answers.heardAt, w.clock.known = true, true, c.now.Steady, true
		if random.IntN(8) == 0 {
			w.health.failedJobs, w.health.failedAt = []fleet.JobID{"x"}, c.now.Steady
		}
	}
	step := func(id fleet.JobID, spec job.Step) *stepState {
		j := &jobState{job: job.Job{ID: id, Queue: "q", Steps: []job.Step{spec}}, stored: true, completed: map[int]bool{}, occurrences: map[int]*occurrence{}}
		c.jobs[id] = j
		s := c.newOccurrence(j, 0).steps[0]
		s.openedAt = c.now.Steady - time.Duration(random.Int64N(int64(2*highUtilizationWait)))
		return s
	}
	images := func() string { return string(rune('p' + random.IntN(4))) }
	for i := range random.IntN(12) {
		spec := job.Step{Count: 1, Image: images(), Need: fleet.Resources{MilliCPU: 1000 + random.Int64N(6000), MemoryMiB: 500}}
		if random.IntN(3) > 0 {
			spec.LongRunning, spec.LatencyTarget = true, 20*time.Millisecond
		} else {
			spec.BestEffort = true
		}
		s := step(fleet.JobID(fmt.Sprintf("%016x", i)), spec)
		s.load = loadEstimate{known: true, fast: random.Float64(), slow: random.Float64(), peak: 1, at: c.now.Steady - 300*time.Millisecond}
		w := c.sortedWorkers[random.IntN(len(c.sortedWorkers))]
		if r := c.addRun(s.tasks[0], w, 1, runConfirmed); random.IntN(2) == 0 {
			r.desiredSpeed = random.IntN(fullSpeed)
		}
	}
	for a := range c.interference.pressures {
		for b := range c.interference.pressures[a] {
			c.interference.pressures[a][b] = pressure{known: random.IntN(2) == 0, value: 3 * random.Float64(), count: random.IntN(20)}
		}
	}
	var waiting []*stepState
	for i := range 3 {
		spec := job.Step{
			Count: 1 + random.IntN(12), Image: images(), Estimate: time.Second, SameRack: random.IntN(6) == 0,
			Need: fleet.Resources{MilliCPU: 500 + random.Int64N(6000), MemoryMiB: 500}, MaxPerServer: random.IntN(3),
		}
		switch random.IntN(3) {
		case 0:
			spec.BestEffort = true
		case 1:
			spec.LongRunning, spec.LatencyTarget = true, 20*time.Millisecond
		}
		s := step(fleet.JobID(fmt.Sprintf("%016x", 0xf00+i)), spec)
		for n, t := range s.tasks {
			s.waiting = append(s.waiting, n)
			if random.IntN(10) == 0 {
				t.avoid = append(t.avoid, c.sortedWorkers[0].server.ID)
			}
		}
		waiting = append(waiting, s)
	}
	return c, waiting
}

// Guards against a step whose tasks start on other workers than if each worker were
// rated for each task.
func TestStepPlacementEqualsFullScan(t *testing.T) {
	t.Parallel()
	starts, held := 0, 0
	for seed := range uint64(randomCells) {
		c, steps := newRandomCell(seed)
		reference, same := newRandomCell(seed)
		for i := range steps {
			c.startTasks(steps[i])
			reference.referenceStarts(same[i])
			held += len(steps[i].waiting)
		}
		if !reflect.DeepEqual(c.actions, reference.actions) {
			t.Fatalf("seed %d: got actions %+v, want %+v", seed, c.actions, reference.actions)
		}
		starts += len(c.actions)
	}
	if starts < randomCells || held < randomCells {
		t.Errorf("got %d actions and %d tasks without a worker in %d cells, want more of both", starts, held, randomCells)
	}
}

// newServiceFixture returns a fixture with the given number of servers, half as many
// serving tasks, and best-effort tasks that wait because they would disturb them.
func newServiceFixture(workers, waiting int) *fixture {
	f := newBenchFixture(workers)
	serving := job.Step{
		Count: max(1, workers/2), Need: fleet.Resources{MilliCPU: 9000, MemoryMiB: 1000}, LongRunning: true,
		LatencyTarget: 20 * time.Millisecond, Image: "serving", MaxPerServer: 1,
	}
	f.submit("000000000000c001", serving)
	f.acceptAllStarts()
	for _, w := range f.cell.sortedWorkers {
		if w.throttling.serving == 0 {
			w.server.Capacity.MemoryMiB = w.used.MemoryMiB // best-effort tasks fit beside serving ones only
		}
		w.runListsStale = true
	}
	for i := range waiting / tasksPerWaitingJob {
		step := job.Step{
			Count: tasksPerWaitingJob, Need: fleet.Resources{MilliCPU: 15000, MemoryMiB: 500 + int64(i)}, Estimate: time.Second,
			BestEffort: true, Image: fmt.Sprintf("image-%d", i%30),
		}
		f.cell.Handle(f.moment(), Submitted{Token: 1, Job: job.Job{ID: fleet.JobID(fmt.Sprintf("%016x", 0xb00000+i)), Queue: "q", Steps: []job.Step{step}}})
	}
	b, _ := f.cell.TakeBatch()
	f.cell.Handle(f.moment(), Committed{Batch: b.Number})
	f.cell.actions = nil
	return f
}

// BenchmarkPassWithInterference measures a scheduling pass in which 10,000 best-effort
// tasks wait because they would disturb serving tasks.
func BenchmarkPassWithInterference(b *testing.B) {
	for _, workers := range []int{50, 500, 5400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newServiceFixture(workers, 10000)
			for b.Loop() {
				f.now += time.Millisecond
				f.cell.Handle(f.moment(), ServerListRead{})
				f.cell.schedule()
				f.cell.actions = f.cell.actions[:0]
			}
		})
	}
}

// BenchmarkStartsOfStep measures the placement of a step of 20 tasks, for each start.
func BenchmarkStartsOfStep(b *testing.B) {
	const tasks = 20
	for _, workers := range []int{50, 500, 5400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newServiceFixture(workers, 0)
			step := job.Step{Count: tasks, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 10}, Estimate: time.Second}
			j := &jobState{job: job.Job{ID: "000000000000d001", Queue: "q", Steps: []job.Step{step}}, stored: true, completed: map[int]bool{}, occurrences: map[int]*occurrence{}}
			s := f.cell.newOccurrence(j, 0).steps[0]
			for b.Loop() {
				for n := range s.tasks {
					s.waiting = append(s.waiting, n)
				}
				f.cell.startTasks(s)
				if len(s.waiting) > 0 {
					b.Fatalf("got %d tasks without a worker, want none", len(s.waiting))
				}
				for _, t := range s.tasks {
					f.cell.removeRun(t.runs[0])
				}
				f.cell.actions = f.cell.actions[:0]
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
		})
	}
}

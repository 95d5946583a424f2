package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// tasksPerWaitingJob is the number of tasks of each job of waitingFixture.
const tasksPerWaitingJob = 6

// newWaitingFixture returns a fixture with workers without room and the given number
// of waiting long-running tasks, in jobs of one step with a need of its own. Half of
// the tasks are new. The others have failed on some servers and are overdue. Half of
// the workers have no processor left for any of them, the others no memory.
func newWaitingFixture(workers, waiting int) *fixture {
	f := newCrowdedBenchFixture(workers, 1)
	for i, w := range f.cell.sortedWorkers {
		if i%2 == 1 {
			w.server.Capacity = fleet.Resources{MilliCPU: 64000, MemoryMiB: 1000}
		}
	}
	for i := range waiting / tasksPerWaitingJob {
		step := longRunningStep(tasksPerWaitingJob)
		step.Need = fleet.Resources{MilliCPU: 5000 + int64(i*7919%9000), MemoryMiB: 1000 + int64(i*104729%20000)}
		if i%3 == 0 {
			step.Label = "a"
		}
		if i%5 == 0 {
			step.MaxPerServer = 1
		}
		id := fleet.JobID(fmt.Sprintf("%016x", 0xb00000+i))
		f.cell.Handle(f.moment(), Submitted{Token: 1, Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{step}}})
	}
	b, _ := f.cell.TakeBatch()
	f.cell.Handle(f.moment(), Committed{Batch: b.Number})
	for i, s := range f.cell.ready {
		if i%2 == 0 {
			continue
		}
		for n, t := range s.tasks {
			t.attempt, t.requeuedAt = 1, f.now+time.Duration(i)*time.Millisecond
			for a := range 1 + n%maxAvoided {
				t.avoid = append(t.avoid, f.cell.sortedWorkers[(i+a)%workers].server.ID)
			}
		}
	}
	f.now += time.Minute
	for f.tickWaits() > 0 {
		continue // until the waits so far are logged
	}
	return f
}

// tickWaits lets the time between two scheduling passes pass, handles a tick and
// returns the number of lines on waits.
func (f *fixture) tickWaits() int {
	f.now += maxPassInterval
	f.cell.Handle(f.moment(), Tick{})
	f.actions = append(f.actions[:0], f.cell.Actions()...)
	return len(taskWaits(f))
}

// Guards against a scheduling pass that rates each worker for each waiting task: the
// holder is busy for seconds while thousands wait, and starts nothing. The number of
// checks of workers must not depend on the number of waiting tasks.
func TestWaitingTasksShareTheSearchForAWorker(t *testing.T) {
	const workers = 350
	for _, waiting := range []int{1000, 10000} {
		f := newWaitingFixture(workers, waiting)
		for _, e := range []Event{ServerListRead{}, Tick{}} {
			before := f.cell.workerChecks
			f.now += 50 * time.Millisecond
			f.cell.Handle(f.moment(), e)
			f.cell.Actions()
			if checks := f.cell.workerChecks - before; checks > maxSearches*workers {
				t.Errorf("%d waiting tasks: %d checks of %d workers in the pass after %T, want at most %d", waiting, checks, workers, e, maxSearches*workers)
			}
		}
	}
}

// maxSearches is the number of searches through all workers in a pass: a failed one
// for each service and label that the waiting steps use. newWaitingFixture has one
// service and one label.
const maxSearches = 2

// Guards against a sort that computes the place of a step in each comparison. When
// many steps change their places at once, each one takes part in many comparisons.
func TestOrderOfWaitingStepsIsComputedOnce(t *testing.T) {
	for _, waiting := range []int{1000, 10000} {
		f := newWaitingFixture(350, waiting)
		slices.Reverse(f.cell.ready)
		before, steps := f.cell.orderChecks, len(f.cell.ready)
		f.now += 50 * time.Millisecond
		f.cell.Handle(f.moment(), Tick{})
		f.cell.Actions()
		if checks := f.cell.orderChecks - before; checks > uint64(steps) {
			t.Errorf("%d waiting steps: their places were computed %d times in a pass, want once for each step", steps, checks)
		}
	}
}

// Guards against a scheduling pass that goes through the tasks of each long-running
// step although no worker has room for any: each such step costs allocations.
func TestPassWithoutRoomAllocatesNothingForEachStep(t *testing.T) {
	var allocations []float64
	for _, waiting := range []int{1000, 10000} {
		f := newWaitingFixture(350, waiting)
		allocations = append(allocations, testing.AllocsPerRun(5, func() {
			f.now += time.Millisecond
			f.cell.Handle(f.moment(), ServerListRead{})
			f.cell.Actions()
		}))
	}
	if allocations[1] > allocations[0] {
		t.Errorf("a pass makes %v allocations with 1,000 and %v with 10,000 waiting tasks, want the same number", allocations[0], allocations[1])
	}
}

// Guards against a pass that logs the waits of thousands of steps, and against a step
// whose wait is never logged.
func TestWaitsOfManyStepsAreLoggedInSeveralPasses(t *testing.T) {
	f := newWaitingFixture(350, 10000)
	steps := len(f.cell.ready)
	f.now += 2 * time.Minute // each wait is logged again when it has doubled
	total := 0
	for range 10 * time.Second / (50 * time.Millisecond) {
		f.now += 50 * time.Millisecond
		lines := f.tickWaits()
		if total += lines; lines > maxWaitReports {
			t.Fatalf("got %d lines on waits in one pass, want at most %d", lines, maxWaitReports)
		}
	}
	if total != steps {
		t.Errorf("got %d lines on the waits of %d steps in 10 s, want one for each", total, steps)
	}
}

// BenchmarkManyWaitingTasks measures a scheduling pass after an event, and a tick
// with its pass, while many long-running tasks wait for capacity.
func BenchmarkManyWaitingTasks(b *testing.B) {
	for _, waiting := range []int{1000, 10000} {
		for _, e := range []Event{ServerListRead{}, Tick{}} {
			b.Run(fmt.Sprintf("waiting=%d/%T", waiting, e), func(b *testing.B) {
				f := newWaitingFixture(350, waiting)
				b.ReportAllocs()
				for b.Loop() {
					f.now += time.Millisecond
					f.cell.Handle(f.moment(), e)
					f.cell.Actions()
				}
			})
		}
	}
}

// BenchmarkChangedOrder measures a scheduling pass in which the waiting steps come in
// another order than in the one before.
func BenchmarkChangedOrder(b *testing.B) {
	f := newWaitingFixture(350, 10000)
	for b.Loop() {
		slices.Reverse(f.cell.ready)
		f.cell.schedule()
	}
}

// BenchmarkManyWaitReports measures the pass in which the waits of many long-running
// tasks are to be logged.
func BenchmarkManyWaitReports(b *testing.B) {
	f := newWaitingFixture(350, 10000)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for _, s := range f.cell.ready {
			s.nextWaitReport = firstWaitReport
		}
		b.StartTimer()
		f.cell.Handle(f.moment(), ServerListRead{})
		f.cell.Actions()
	}
}

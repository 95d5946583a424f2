package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// BenchmarkTask measures the cost of a task from its submission to its recorded end:
// a submission, a record, a start, the answer to it, a worker list with the end,
// and another record.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{66, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newBenchFixture(workers)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				f.now += time.Millisecond
				f.submit(fleet.JobID(fmt.Sprintf("%016x", 1<<32+n)), oneTaskStep())
				start := f.takeStarts()[0]
				f.acceptStart(start)
				w := f.cell.workers[start.Server]
				f.handle(HoldAnswered{
					Server: start.Server, Number: w.holdInFlight, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
					Finished: []FinishedRow{{Number: w.lastEndApplied + 1, Task: start.Task, Attempt: start.Attempt, End: job.EndDone}},
				})
				f.actions = f.actions[:0]
			}
		})
	}
}

// benchRunningJobs is the number of other running jobs, as in a current deployment.
const benchRunningJobs = 200

// newBenchFixture returns a fixture with the given number of servers on which
// benchRunningJobs jobs run.
func newBenchFixture(workers int) *fixture {
	f := &fixture{cell: New(DefaultSettings(), 1), now: time.Second, records: map[Key]Record{}}
	f.configureQueue()
	for i := range workers {
		f.handle(ServerListed{Server: testServer(fleet.BackendServerID(fmt.Sprintf("s-%04d", i)))})
	}
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	small := oneTaskStep()
	small.Need = fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}
	for i := range benchRunningJobs {
		f.submit(fleet.JobID(fmt.Sprintf("%016x", i)), small)
		for _, s := range f.takeStarts() {
			f.acceptStart(s)
		}
	}
	f.handle(Tick{})
	f.actions = nil
	return f
}

// newCrowdedBenchFixture returns a fixture with long-running tasks on each server
// that leave too little for a task of benchWaitingStep.
func newCrowdedBenchFixture(workers, tasksPerWorker int) *fixture {
	f := newBenchFixture(workers)
	step := longRunningStep(workers * tasksPerWorker)
	step.Need = fleet.Resources{MilliCPU: 12000 / int64(tasksPerWorker), MemoryMiB: 100}
	f.submit("000000000000c001", step)
	f.acceptAllStarts()
	return f
}

func benchWaitingStep() job.Step {
	return job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 9000, MemoryMiB: 1000}, Estimate: time.Second}
}

// BenchmarkWaitingSteps measures a scheduling pass in which 100 steps wait for
// capacity that long-running tasks occupy.
func BenchmarkWaitingSteps(b *testing.B) {
	for _, workers := range []int{66, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newCrowdedBenchFixture(workers, 1)
			for i := range 100 {
				f.submit(fleet.JobID(fmt.Sprintf("000000000000b%03d", i)), benchWaitingStep())
			}
			f.now += preemptAfter
			for b.Loop() {
				f.now += time.Millisecond
				f.cell.now = f.moment()
				f.cell.schedule()
				f.cell.actions = nil
			}
		})
	}
}

// BenchmarkWaitReport measures the log line for a task that waits.
func BenchmarkWaitReport(b *testing.B) {
	for _, workers := range []int{66, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newCrowdedBenchFixture(workers, 24)
			f.submit("000000000000b001", benchWaitingStep())
			waiting := f.cell.jobs["000000000000b001"].occurrences[0].steps[0].tasks[0]
			for b.Loop() {
				f.cell.reportWait(waiting, firstWaitReport)
				f.cell.actions = f.cell.actions[:0]
			}
		})
	}
}

// BenchmarkPreemptionVictim measures the search for a long-running task to preempt,
// which is made at most once in preemptInterval.
func BenchmarkPreemptionVictim(b *testing.B) {
	for _, workers := range []int{66, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newCrowdedBenchFixture(workers, 1)
			f.submit("000000000000b001", benchWaitingStep())
			waiting := f.cell.jobs["000000000000b001"].occurrences[0].steps[0].tasks[0]
			for b.Loop() {
				if f.cell.preemptionVictim(waiting) == nil {
					b.Fatal("no long-running task can be preempted")
				}
			}
		})
	}
}

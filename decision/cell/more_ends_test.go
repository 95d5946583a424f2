package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// endsInPages answers the holds of a worker that has ended runs and lists at most
// pageSize of the ends at a time.
type endsInPages struct {
	pageSize int
	ends     []FinishedRow // not acknowledged
	running  []RunningRow
}

func (p *endsInPages) answerHolds(f *fixture) {
	for _, h := range takeActions[Hold](f) {
		p.ends = slices.DeleteFunc(p.ends, func(row FinishedRow) bool { return row.Number <= h.Ack })
		n := min(len(p.ends), p.pageSize)
		f.handle(HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
			Running: p.running, Finished: slices.Clone(p.ends[:n]), MoreEnds: n == p.pageSize,
		})
	}
}

// Guards against a takeover that starts tasks again whose ends the worker has not
// listed yet (TWICE, review/1).
func TestTakeoverReadsAllEndsBeforeRestart(t *testing.T) {
	for _, tasks := range []int{3, 6, 7} { // pages of three ends: one and two full ones, and two with a third
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			step := job.Step{Count: tasks + 1, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 100}, Estimate: time.Second}
			f := newFixture(t, 2, restoredRecords(step, testServer("a"))...)
			f.configureQueue()
			worker := &endsInPages{pageSize: 3}
			for n := range tasks {
				worker.ends = append(worker.ends, FinishedRow{Number: int64(n + 1), Task: job.TaskRef{Job: testJob, Index: n}, Attempt: 1, End: job.EndDone})
			}
			f.handle(ServerListed{Server: testServer("a")})
			f.handle(ServerListRead{})
			took := time.Duration(0)
			var starts []Start
			for ; len(starts) == 0 && took < 3*time.Second; took += 50 * time.Millisecond {
				f.advance(50 * time.Millisecond)
				worker.answerHolds(f)
				starts = f.takeStarts()
			}
			if len(starts) != 1 || starts[0].Task.Index != tasks {
				t.Errorf("got starts %+v after %v, want only the task without an end within 3 s", starts, took)
			}
		})
	}
}

// Guards against a run that is taken for lost, or for stopped without an end, because
// its end is not among the first ones that the worker lists (TWICE).
func TestRunWithoutListedEndIsNotLost(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopped %v", stopped), func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			f.submit(testJob, oneTaskStep())
			start := f.takeStarts()[0]
			f.acceptStart(start)
			if stopped {
				f.cell.stopRun(f.cell.workers["a"].runsInOrder[0], "test")
				f.handle(StopAnswered{Server: "a", Task: start.Task, Attempt: start.Attempt, OK: true, Sent: f.now})
			}
			f.now += time.Millisecond
			worker := &endsInPages{pageSize: 1, ends: []FinishedRow{
				{Number: 1, Task: job.TaskRef{Job: "00000000000000bb"}, Attempt: 1, End: job.EndDone},
				{Number: 2, Task: start.Task, Attempt: start.Attempt, End: job.EndDone},
			}}
			for range 40 {
				worker.answerHolds(f)
				if starts := f.takeStarts(); len(starts) > 0 {
					t.Fatalf("got starts %+v of a task that is done, want none", starts)
				}
				f.advance(50 * time.Millisecond)
			}
			f.handle(StateRequested{Token: 9, Queue: "q", ID: testJob})
			replies := takeActions[Reply](f)
			if got := replies[len(replies)-1].Reply.State; got != job.Complete {
				t.Errorf("got state %v, want %v: the end was listed", got, job.Complete)
			}
		})
	}
}

// Guards against conclusions from lists that lack ends under the faults of the model
// (TWICE): its workers list at most two ends at a time.
func TestModelEndsInPages(t *testing.T) {
	checkSeeds(t, modelSeeds, func(seed uint64) *model {
		return scenario{
			faults:   modelFaults{delayedCalls: 0.03, lostResponses: 0.02, alwaysFails: 0.05, listedEnds: 2},
			duration: 55 * time.Second, submitUntil: 28 * time.Second, minFaults: 3, maxFaults: 7, job: randomJob, fault: (*model).randomFault,
		}.run(seed)
	})
}

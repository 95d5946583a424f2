package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against serving the largest jobs less than half as often as all (SHORT).
func TestLargeJobsAreServedBesideLongRunningTasks(t *testing.T) {
	checkLargeJobsAreServed(t, playCrowdedServices(t, 8, 1.05, 0.04, false))
}

// Guards against large jobs that expire because jobs that have expired come first.
func TestLargeJobsAreServedUnderOverload(t *testing.T) {
	checkLargeJobsAreServed(t, playCrowdedServices(t, 1, 0, 1.7, false))
}

// checkLargeJobsAreServed requires that the largest tenth of the jobs and the fifth
// below it are served at least half as often as all.
func checkLargeJobsAreServed(t *testing.T, jobs []*crowdedJob) {
	t.Helper()
	all, fifth, tenth := servedShare(jobs, 0, 1), servedShare(jobs, 0.7, 0.9), servedShare(jobs, 0.9, 1)
	t.Logf("%d jobs, served: all %.2f, fifth below the largest tenth %.2f, largest tenth %.2f", len(jobs), all, fifth, tenth)
	if fifth < all/2 || tenth < all/2 {
		t.Errorf("the fifth below the largest tenth is served at %.2f, the largest tenth at %.2f, want at least half of %.2f", fifth, tenth, all)
	}
}

// Guards against long-running tasks that never start while short ones of the same
// priority take all capacity.
func TestLongRunningTasksStartBesideCrowdOfShortTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	short := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 15000, MemoryMiB: 1000}, Estimate: time.Second}
	longRunning := short
	longRunning.LongRunning = true
	f.submit("00000000000000b1", short)
	first := takeActions[Start](f)[0]
	f.acceptStart(first)
	f.submit("00000000000000c1", longRunning)
	f.advance(10 * time.Second)
	for i := range 3 {
		f.submit(fleet.JobID(fmt.Sprintf("00000000000000b%d", 2+i)), short)
	}
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: first.Task, Attempt: first.Attempt, End: job.EndDone}}})
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Task.Job != "00000000000000c1" {
		t.Errorf("got starts %+v, want one of the long-running task, which has waited longest", starts)
	}
}

// Guards against a failed long-running task that waits for good behind a stream of
// short ones on a crowded service (LOST, asante-sockyard trouble-2).
func TestFailedLongRunningTaskRestartsDespiteShortTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	large := longRunningStep(1)
	large.Need.MilliCPU = 15000
	f.submit("00000000000000c1", large)
	f.submit("00000000000000c2", large)
	starts := takeActions[Start](f)
	failing, running := starts[0], map[fleet.BackendServerID][]RunningRow{}
	for _, s := range starts {
		f.acceptStart(s)
		running[s.Server] = []RunningRow{{Task: s.Task, Attempt: s.Attempt, Percent: 50}}
	}
	running[failing.Server] = nil
	short := job.Step{Count: 40, Need: fleet.Resources{MilliCPU: 15000, MemoryMiB: 1000}, Estimate: 500 * time.Millisecond}
	f.submit("00000000000000b1", short)
	ended, end := failing, job.EndFailed
	for n := int64(1); f.now < 7*time.Second; n++ {
		f.answerHolds(running, map[fleet.BackendServerID][]FinishedRow{failing.Server: {{Number: n, Task: ended.Task, Attempt: ended.Attempt, End: end}}})
		f.advance(500 * time.Millisecond)
		starts = takeActions[Start](f)
		if len(starts) != 1 {
			t.Fatalf("got starts %+v after an end, want one", starts)
		}
		if starts[0].Task == failing.Task {
			return
		}
		f.acceptStart(starts[0])
		ended, end = starts[0], job.EndDone
	}
	t.Error("the failed task did not start again within 6 s, although a short task ended every 0.5 s")
}

// Guards against an expired job that takes the capacity of one that can still be
// served, and against one that never starts.
func TestExpiredJobStartsAfterLateOne(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit("00000000000000b1", oneTaskStep())
	running := takeActions[Start](f)[0]
	f.acceptStart(running)
	f.submit("00000000000000b2", oneTaskStep())
	f.advance(7 * time.Second)
	f.submit("00000000000000b3", oneTaskStep())
	f.advance(4 * time.Second)
	for n, want := range []fleet.JobID{"00000000000000b3", "00000000000000b2"} {
		end := FinishedRow{Number: int64(n) + 1, Task: running.Task, Attempt: running.Attempt, End: job.EndDone}
		f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {end}})
		starts := takeActions[Start](f)
		if len(starts) != 1 || starts[0].Task.Job != want {
			t.Fatalf("got starts %+v, want one of job %s", starts, want)
		}
		running = starts[0]
		f.acceptStart(running)
	}
}

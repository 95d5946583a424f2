package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a long-running task without a run that waits behind the other tasks of
// a crowded service anew after each takeover, so that takeovers in a series keep it down
// (LOST, users' record of 5 December 2026).
func TestLostLongRunningTaskComesFirstAfterTakeover(t *testing.T) {
	const large, small, short fleet.JobID = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	lasting := func(count int, milliCPU int64) []job.Step {
		return []job.Step{{Count: count, Need: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: 100}, LongRunning: true}}
	}
	jobs := map[fleet.JobID][]job.Step{
		large: lasting(1, 9000), small: lasting(2, 3000),
		short: {{Count: 8, Need: fleet.Resources{MilliCPU: 3000, MemoryMiB: 100}, Estimate: time.Second}},
	}
	var records []Record
	for _, id := range []fleet.JobID{large, small, short} {
		records = append(records, Record{Key: jobKey(id), Job: &JobRecord{Job: job.Job{ID: id, Queue: "q", Steps: jobs[id]}, Accepted: time.Unix(1000, 0)}})
	}
	server := testServer("a")
	records = append(records, Record{Key: serverKey("a"), Server: &server})
	f := newFixture(t, 2, records...)
	f.configureQueue()
	f.handle(ServerListed{Server: server})
	f.handle(ServerListRead{})
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {
		{Task: job.TaskRef{Job: large}, Attempt: 1, Percent: fullSpeed},
		{Task: job.TaskRef{Job: small}, Attempt: 1, Percent: fullSpeed},
	}}, nil)
	starts := f.takeStarts()
	if len(starts) != 1 || starts[0].Task != (job.TaskRef{Job: small, Index: 1}) {
		t.Errorf("got starts %+v with room for one task, want the long-running task that has lost its run", starts)
	}
}

// Guards against a later holder that does not know that a long-running job has run.
func TestStartOfLongRunningJobIsRecorded(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, longRunningStep(1))
	f.acceptStart(f.takeStarts()[0])
	if p := f.records[progressKey(testJob)].Progress; p == nil || !p.Started {
		t.Errorf("got progress %+v after the start, want one that says that the job has started", p)
	}
}

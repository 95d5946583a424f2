package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against stops of serving tasks for jobs that are of no use any more.
func TestNothingIsStoppedForWorkOfNoUse(t *testing.T) {
	for _, byCost := range []bool{false, true} {
		f := newFixture(t, 1)
		f.cell.settings.TriageByCost = byCost
		var servers []Server
		for i := range 20 {
			servers = append(servers, testServer(fleet.BackendServerID(rune('a'+i))))
		}
		f.setUpServers(servers...)
		f.fillWithLongRunning(longRunningStep(40))
		f.submit("00000000000000b1", job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, Estimate: time.Second})
		f.cell.jobs["00000000000000b1"].occurrences[0].dueAt = f.now - time.Minute
		f.advance(2 * preemptAfter)
		stops := takeActions[Stop](f)
		if byCost && len(stops) != 0 {
			t.Errorf("got stops %+v for a job of no use, want none", stops)
		}
		if !byCost && len(stops) == 0 {
			t.Error("got no stop with the former rules: the test shows nothing")
		}
	}
}

const (
	batchID  fleet.JobID = "00000000000000b1"
	urgentID fleet.JobID = "00000000000000a1"
)

// batchOnServer returns a fixture on whose server a batch task runs that takes a minute,
// and a waiting urgent job.
func batchOnServer(t *testing.T, change func(batch *job.Step), checkpoint string) *fixture {
	f := newFixture(t, 1)
	f.cell.settings.TriageByCost = true
	f.handle(QueuesChanged{Queues: []QueueSettings{
		{Name: "batch", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "q", Service: "s", SlackFactor: 2, TargetLatency: 10 * time.Second},
	}})
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	step := oneTaskStep()
	step.Estimate, step.Checkpoints = time.Minute, true
	change(&step)
	f.handle(Submitted{Token: 1, Job: job.Job{ID: batchID, Queue: "batch", Steps: []job.Step{step}}})
	start := f.takeStarts()[0]
	f.acceptStart(start)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: start.Task, Attempt: start.Attempt, Checkpoint: checkpoint, Percent: 50}}}, nil)
	f.submit(urgentID, oneTaskStep())
	return f
}

// Guards against an urgent job that waits behind a long run of a less urgent one, and
// against a stop that loses the work of the run or saves no time.
func TestLessUrgentRunMakesRoom(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(batch *job.Step)
		checkpoint string
		stops      int
	}{
		{"from a checkpoint", func(*job.Step) {}, "1", 1},
		{"without a checkpoint", func(*job.Step) {}, "", 0},
		{"about to end", func(s *job.Step) { s.Estimate = 3 * time.Second }, "1", 0},
		{"the only long-running run", func(s *job.Step) { s.LongRunning = true }, "1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := batchOnServer(t, c.change, c.checkpoint)
			f.advance(2*preemptAfter + backlogInterval)
			stopped := map[job.TaskRef]bool{}
			for _, s := range takeActions[Stop](f) {
				stopped[s.Task] = true
			}
			if len(stopped) != c.stops {
				t.Fatalf("got stops of %v, want %d", stopped, c.stops)
			}
			made := 0
			for _, n := range takeActions[Note](f) {
				if n.Event == NoteRoomMade {
					made++
					if n.Detail["reason"] != "less_urgent" || n.Detail["priority"] != 2 {
						t.Errorf("got the line %+v", n)
					}
				}
			}
			if made != c.stops {
				t.Errorf("got %d lines on room made, want %d", made, c.stops)
			}
		})
	}
}

// Guards against a takeover during a stop that makes a task run twice, or that loses the
// checkpoint from which it resumes.
func TestTakeoverWhileRunMakesRoom(t *testing.T) {
	f := batchOnServer(t, func(*job.Step) {}, "k1")
	f.advance(2*preemptAfter + backlogInterval)
	stop := takeActions[Stop](f)[0]
	var records []Record
	for _, r := range f.records {
		records = append(records, r)
	}
	next := newFixture(t, 2, records...)
	next.cell.settings.TriageByCost = true
	next.handle(QueuesChanged{Queues: []QueueSettings{
		{Name: "batch", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "q", Service: "s", SlackFactor: 2, TargetLatency: 10 * time.Second},
	}})
	next.handle(ServerListed{Server: testServer("a")})
	next.handle(ServerListRead{})
	next.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: stop.Task, Attempt: stop.Attempt, End: job.EndStopped, Checkpoint: "k1"}}})
	next.handle(Tick{})
	starts := next.takeStarts()
	if len(starts) != 1 || starts[0].Task.Job != urgentID {
		t.Fatalf("got starts %+v after the takeover, want one of the urgent job", starts)
	}
	next.acceptStart(starts[0])
	next.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 2, Task: starts[0].Task, Attempt: starts[0].Attempt, End: job.EndDone}}})
	again := next.takeStarts()
	if len(again) != 1 || again[0].Task != stop.Task || again[0].Checkpoint != "k1" {
		t.Errorf("got starts %+v, want one of the stopped task from its checkpoint", again)
	}
}

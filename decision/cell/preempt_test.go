package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// longRunningStep returns a step of long-running tasks of which a test server has
// room for two.
func longRunningStep(count int) job.Step {
	return job.Step{Count: count, Need: fleet.Resources{MilliCPU: 8000, MemoryMiB: 1000}, LongRunning: true}
}

// fillWithLongRunning fills the servers of the fixture with the tasks of one
// long-running step at full speed, and returns what runs on each.
func (f *fixture) fillWithLongRunning(step job.Step) map[fleet.BackendServerID][]RunningRow {
	f.submit("00000000000000c1", step)
	rows := map[fleet.BackendServerID][]RunningRow{}
	for _, s := range f.takeStarts() {
		f.acceptStart(s)
		rows[s.Server] = append(rows[s.Server], RunningRow{Task: s.Task, Attempt: s.Attempt, Percent: fullSpeed})
	}
	f.answerHolds(rows, nil)
	return rows
}

// Guards against a task that waits for good because no server has enough capacity in
// one place.
func TestLongRunningTaskMakesRoomForWaitingTask(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  job.Step // that fills the servers
		need  int64    // processor need of the waiting task
		stops int
	}{
		{"room by one stop", longRunningStep(40), 4000, 1},
		{"too large for one stop", longRunningStep(40), 9000, 0},
		{"no further task may be unavailable", func() job.Step {
			s := longRunningStep(41) // one of them waits
			s.MaxUnavailable = 1
			return s
		}(), 4000, 0},
		{"bound on preempted tasks", longRunningStep(16), 4000, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			var servers []Server
			for i := range c.step.Count / 2 {
				servers = append(servers, testServer(fleet.BackendServerID(rune('a'+i))))
			}
			f.setUpServers(servers...)
			running := f.fillWithLongRunning(c.step)
			f.submit("00000000000000b1", job.Step{Count: 2, Need: fleet.Resources{MilliCPU: c.need, MemoryMiB: 1000}, Estimate: time.Second})
			f.advance(preemptAfter / 2)
			if early := takeActions[Stop](f); len(early) != 0 {
				t.Fatalf("got stops %+v after %v, want none yet", early, preemptAfter/2)
			}
			f.advance(preemptAfter)
			stops := takeActions[Stop](f)
			if len(stops) != c.stops {
				t.Fatalf("got stops %+v, want %d", stops, c.stops)
			}
			if len(stops) == 0 {
				return
			}
			f.handle(StopAnswered{Server: stops[0].Server, Task: stops[0].Task, Attempt: stops[0].Attempt, OK: true, Sent: f.now})
			running[stops[0].Server] = slices.DeleteFunc(running[stops[0].Server], func(r RunningRow) bool { return r.Task == stops[0].Task })
			f.answerHolds(running, map[fleet.BackendServerID][]FinishedRow{stops[0].Server: {{Number: 1, Task: stops[0].Task, Attempt: stops[0].Attempt, End: job.EndStopped}}})
			starts := takeActions[Start](f)
			if len(starts) != 2 || starts[0].Task.Job != "00000000000000b1" || starts[0].Server != stops[0].Server {
				t.Fatalf("got starts %+v, want two of the waiting job on %s", starts, stops[0].Server)
			}
			var ends []FinishedRow
			for i, s := range starts {
				f.acceptStart(s)
				ends = append(ends, FinishedRow{Number: int64(i) + 2, Task: s.Task, Attempt: s.Attempt, End: job.EndDone})
			}
			f.answerHolds(running, map[fleet.BackendServerID][]FinishedRow{stops[0].Server: ends})
			f.advance(preemptedDelay - 200*time.Millisecond)
			if early := takeActions[Start](f); len(early) != 0 {
				t.Errorf("got starts %+v before %v had passed, want none", early, preemptedDelay)
			}
			f.advance(400 * time.Millisecond)
			if again := takeActions[Start](f); len(again) != 1 || again[0].Task != stops[0].Task {
				t.Errorf("got starts %+v after %v, want one of the preempted task", again, preemptedDelay)
			}
		})
	}
}

// Guards against stopping a task of a higher priority.
func TestHigherPriorityMakesNoRoom(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s"}, {Name: "low", Service: "s", Priority: 1, SlackFactor: 2}}})
	f.fillWithLongRunning(longRunningStep(2))
	waiting := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, Estimate: time.Second}
	f.handle(Submitted{Token: 1, Job: job.Job{ID: "00000000000000b1", Queue: "low", Steps: []job.Step{waiting}}})
	f.advance(4 * preemptAfter)
	if stops := takeActions[Stop](f); len(stops) != 0 {
		t.Errorf("got stops %+v for a task of a lower priority, want none", stops)
	}
}

// Guards against a task that is too large for any preemption and keeps the search
// from the others.
func TestOversizedTaskDoesNotKeepOthersFromPreemption(t *testing.T) {
	f := newFixture(t, 1)
	var servers []Server
	for i := range 20 {
		servers = append(servers, testServer(fleet.BackendServerID(rune('a'+i))))
	}
	f.setUpServers(servers...)
	f.fillWithLongRunning(longRunningStep(40))
	for n, milliCPU := range []int64{9000, 9500, 4000} {
		step := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: 1000}, Estimate: time.Second}
		f.submit(fleet.JobID(fmt.Sprintf("00000000000000b%d", n)), step)
	}
	f.advance(preemptAfter + 4*preemptInterval)
	if stops := takeActions[Stop](f); len(stops) != 1 {
		t.Errorf("got stops %+v, want one for the task of 4 cores", stops)
	}
}

// Guards against a rate of preemptions that does not grow with the service, so that
// large jobs are not served on a large one (SHORT, asante-sockyard-grown).
func TestPreemptionsKeepPaceWithLargeService(t *testing.T) {
	f := newFixture(t, 1)
	var servers []Server
	for i := range 400 {
		servers = append(servers, testServer(fleet.BackendServerID(fmt.Sprintf("s-%03d", i))))
	}
	f.setUpServers(servers...)
	step := longRunningStep(800)
	f.submit("00000000000000c1", step)
	running := map[fleet.BackendServerID][]RunningRow{}
	for starts := f.takeStarts(); len(starts) > 0; starts = f.takeStarts() {
		for _, s := range starts {
			f.acceptStart(s)
			running[s.Server] = append(running[s.Server], RunningRow{Task: s.Task, Attempt: s.Attempt, Percent: fullSpeed})
		}
	}
	f.answerHolds(running, nil)
	f.submit("00000000000000b1", job.Step{Count: 40, Need: fleet.Resources{MilliCPU: 8000, MemoryMiB: 1000}, Estimate: time.Second})
	for end := f.now + preemptAfter + time.Second; f.now < end; {
		f.now += 5 * time.Millisecond
		f.handle(Tick{})
	}
	stopped := map[job.TaskRef]bool{} // stops without an answer are repeated
	for _, s := range takeActions[Stop](f) {
		stopped[s.Task] = true
	}
	if len(stopped) < 40 {
		t.Errorf("got stops of %d tasks in 1 s on 400 servers, want 40: a quarter of the servers stops ten", len(stopped))
	}
}

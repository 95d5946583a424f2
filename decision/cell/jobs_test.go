package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a gang that starts only some of its members, members with different
// attempt numbers, and a gang that does not end when one member is done.
func TestGangStartsAtomically(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	gang := job.Step{Count: 2, Need: fleet.Resources{MilliCPU: 9000, MemoryMiB: 100}, Gang: true}
	f.submit(testJob, gang)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v, want none while only half of the gang fits", starts)
	}
	f.handle(ServerListed{Server: testServer("b")})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	starts := takeActions[Start](f)
	if len(starts) != 2 || starts[0].Attempt != starts[1].Attempt || starts[0].Server == starts[1].Server {
		t.Fatalf("got starts %+v, want two of the same attempt on different servers", starts)
	}
	for _, s := range starts {
		f.acceptStart(s)
	}
	f.advance(50 * time.Millisecond)
	finished := map[fleet.BackendServerID][]FinishedRow{
		starts[0].Server: {{Number: 1, Task: starts[0].Task, Attempt: starts[0].Attempt, End: job.EndDone}},
	}
	f.answerHolds(nil, finished)
	f.handle(StateRequested{Token: 9, ID: testJob})
	replies := takeActions[Reply](f)
	if last := replies[len(replies)-1]; last.Reply.State != job.Complete {
		t.Errorf("got job state %s after one member was done, want complete", last.Reply.State)
	}
}

// Guards against placements that violate the constraints of the step.
func TestPlacementRespectsConstraints(t *testing.T) {
	labelled := testServer("b")
	labelled.Labels = []string{"fast", "r2"}
	draining := testServer("c")
	draining.Draining = true
	small := fleet.Resources{MilliCPU: 100, MemoryMiB: 10}
	for _, c := range []struct {
		name string
		step job.Step
		want map[fleet.BackendServerID]int // starts by server
	}{
		{"label", job.Step{Count: 3, Need: small, Label: "fast"}, map[fleet.BackendServerID]int{"b": 3}},
		{"no such label", job.Step{Count: 3, Need: small, Label: "gpu"}, map[fleet.BackendServerID]int{}},
		{"at most one on a server", job.Step{Count: 3, Need: small, MaxPerServer: 1}, map[fleet.BackendServerID]int{"a": 1, "b": 1}},
		{"rack of its data", job.Step{Count: 2, Need: small, DataRack: "r2"}, map[fleet.BackendServerID]int{"b": 2}},
		{"larger than a server", job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 17000}}, map[fleet.BackendServerID]int{}},
		{"accelerators", job.Step{Count: 1, Need: fleet.Resources{Accelerators: 1}}, map[fleet.BackendServerID]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"), labelled, draining)
			f.submit(testJob, c.step)
			got := map[fleet.BackendServerID]int{}
			for _, s := range takeActions[Start](f) {
				got[s.Server]++
			}
			if len(got) != len(c.want) || got["a"] != c.want["a"] || got["b"] != c.want["b"] {
				t.Errorf("got starts by server %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against occurrences of a repeated job that start before they are due, or
// twice.
func TestOccurrencesStartWhenDue(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	small := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 10}}
	f.handle(Submitted{Token: 1, Job: job.Job{
		ID: testJob, Queue: "q", Steps: []job.Step{small}, Repeats: 2, FirstDue: f.moment().Wall.Add(time.Second), Interval: 2 * time.Second,
	}})
	for _, c := range []struct {
		wait       time.Duration
		occurrence int
	}{{900 * time.Millisecond, -1}, {200 * time.Millisecond, 0}, {1800 * time.Millisecond, -1}, {300 * time.Millisecond, 1}, {5 * time.Second, -1}} {
		f.advance(c.wait)
		starts := takeActions[Start](f)
		switch {
		case c.occurrence < 0 && len(starts) > 0:
			t.Fatalf("got starts %+v, want none before the next occurrence is due", starts)
		case c.occurrence >= 0 && (len(starts) != 1 || starts[0].Task.Occurrence != c.occurrence):
			t.Fatalf("got starts %+v, want one of occurrence %d", starts, c.occurrence)
		}
		for _, s := range starts {
			f.acceptStart(s)
		}
	}
}

// Guards against work of a higher priority that waits behind work of a lower priority,
// as it does in the order of arrival.
func TestHigherPriorityStartsFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "later", Service: "s", Priority: 2}, {Name: "first", Service: "s"}}})
	one := oneTaskStep()
	f.handle(Submitted{Token: 1, Job: job.Job{ID: "00000000000000e1", Queue: "later", Steps: []job.Step{one}}})
	f.handle(Submitted{Token: 2, Job: job.Job{ID: "00000000000000e2", Queue: "first", Steps: []job.Step{one}}})
	f.handle(ServerListed{Server: testServer("a")}) // has capacity for one of the two
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Task.Job != "00000000000000e2" {
		t.Errorf("got starts %+v, want one of job 00000000000000e2, which has the higher priority", starts)
	}
}

// Guards against a log that does not show which jobs are large.
func TestAcceptedJobIsLoggedWithItsSize(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	first := job.Step{Count: 4, Need: fleet.Resources{MilliCPU: 2500, MemoryMiB: 100}, Estimate: 2 * time.Second}
	second := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}, Estimate: time.Second, After: []int{0}}
	takeActions[Note](f)
	f.submit(testJob, first, second)
	notes := takeActions[Note](f)
	if len(notes) == 0 || notes[0].Event != NoteAccepted {
		t.Fatalf("got notes %+v, want the first on the accepted job", notes)
	}
	for key, want := range map[string]any{"tasks": 5, "core_ms": int64(21000), "objective_ms": int64(7000)} {
		if got := notes[0].Detail[key]; got != want {
			t.Errorf("got %s %v, want %v", key, got, want)
		}
	}
}

// Guards against scheduled occurrences that count as late from the moment at which
// they are due.
func TestScheduledOccurrenceIsNotLateWhenDue(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.handle(Submitted{Token: 1, Job: job.Job{
		ID: testJob, Queue: "q", Steps: []job.Step{oneTaskStep()}, Repeats: 1, FirstDue: f.moment().Wall.Add(time.Minute),
	}})
	f.advance(59 * time.Second)
	f.submit("00000000000000b1", oneTaskStep())
	running := takeActions[Start](f)[0]
	f.acceptStart(running)
	f.advance(2 * time.Second)
	f.submit("00000000000000b2", oneTaskStep()) // its objective is later than that of the occurrence
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: running.Task, Attempt: running.Attempt, End: job.EndDone}}})
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Task.Job != testJob {
		t.Errorf("got starts %+v, want one of the occurrence, which is due first", starts)
	}
}

// Guards against a job that is shown as complete and runs again, because the record
// of its end was not stored and the worker that listed the end has left (TWICE).
func TestJobIsShownAsCompleteOnlyOnceRecorded(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	f.advance(50 * time.Millisecond)
	takeActions[Reply](f)
	for _, h := range takeActions[Hold](f) {
		f.cell.Handle(f.moment(), HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
			Finished: []FinishedRow{{Number: 1, Task: start.Task, Attempt: start.Attempt, End: job.EndDone}},
		})
	}
	f.cell.Handle(f.moment(), StateRequested{Token: 8, ID: testJob}) // the store has not answered
	f.cell.Handle(f.moment(), CancelRequested{Token: 9, Queue: "q", ID: testJob})
	f.actions = append(f.actions, f.cell.Actions()...)
	if replies := takeActions[Reply](f); len(replies) != 1 || replies[0].Token != 8 || replies[0].Reply.State != job.Running {
		t.Fatalf("got replies %+v before the record is durable, want one that shows the job as running", replies)
	}
	f.handle(Tick{}) // the store answers
	if replies := takeActions[Reply](f); len(replies) != 1 || replies[0].Token != 9 || replies[0].Reply.State != job.Complete {
		t.Fatalf("got replies %+v after the record is durable, want one to the cancel request that shows the job as complete", replies)
	}
	f.handle(StateRequested{Token: 10, ID: testJob})
	if replies := takeActions[Reply](f); len(replies) != 1 || replies[0].Reply.State != job.Complete {
		t.Errorf("got replies %+v, want one that shows the job as complete", replies)
	}
}

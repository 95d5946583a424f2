package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// partStep returns a step with one task that leaves room for others on a test server.
func partStep() job.Step {
	return job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 2000, MemoryMiB: 1000}, Estimate: time.Second}
}

// loseServer runs a task on server a, leaves the start of another one there unanswered and
// lets the server fall silent. It returns the task that runs and the other start.
func loseServer(t *testing.T) (f *fixture, running job.TaskRef, unanswered Start) {
	t.Helper()
	f = newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, partStep())
	first := f.takeStarts()[0]
	f.acceptStart(first)
	f.advance(100 * time.Millisecond)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: first.Task, Attempt: first.Attempt}}}, nil)
	f.submit("00000000000000bb", partStep())
	unanswered = f.takeStarts()[0]
	f.handle(ServerListed{Server: testServer("b")})
	f.advance(700 * time.Millisecond)
	f.handle(StartAnswered{Server: "a", Task: unanswered.Task, Attempt: unanswered.Attempt, Outcome: StartUnknown, Sent: f.now})
	return f, first.Task, unanswered
}

// startTimes lets time pass with server a silent and returns when each task starts.
func (f *fixture) startTimes(until time.Duration) map[job.TaskRef]time.Duration {
	times := map[job.TaskRef]time.Duration{}
	for f.now < until {
		f.answerAllBut("a")
		f.advance(50 * time.Millisecond)
		for _, s := range f.takeStarts() {
			times[s.Task] = f.now
		}
	}
	return times
}

// Guards against a second run while an incarnation of a lost worker that the holder cannot
// reach may carry out a start without an answer (TWICE, review/9), and against runs that
// wait for it longer than for their lease.
func TestUnansweredStartOutlivesLease(t *testing.T) {
	for name, takeover := range map[string]bool{"one holder": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			f, running, unanswered := loseServer(t)
			lost := f.now
			latest := lost - 700*time.Millisecond + maxOrderDelay + DefaultSettings().MaxLease
			f.startTimes(lost + 1500*time.Millisecond)
			if takeover {
				f = f.succeed(2)
				f.handle(ServerListed{Server: testServer("b")})
			}
			times := f.startTimes(latest + 2*time.Second)
			if at := times[running]; at == 0 || at > lost+DefaultSettings().Lease+3*time.Second {
				t.Errorf("the task that ran on the lost worker starts at %v, want within its lease after %v", at, lost)
			}
			if at := times[unanswered.Task]; at < latest {
				t.Errorf("the task whose start had no answer starts at %v, want from %v on", at, latest)
			}
		})
	}
}

// Guards against a settled start that outlives the lease of a worker lost afterwards.
func TestSettledStartOutlivesLease(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, partStep())
	start, ordered := f.settleOnly(), f.now
	f.handle(ServerListed{Server: testServer("b")})
	latest := ordered - 200*time.Millisecond + maxOrderDelay + DefaultSettings().MaxLease
	times := f.startTimes(latest + 2*time.Second)
	if at := times[start.Task]; at < latest {
		t.Errorf("the task starts at %v, want from %v on", at, latest)
	}
}

// Guards against long-running tasks that stay down after a start without an answer (LOST).
func TestLongRunningTaskRestartsInPlace(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, longRunningStep(1))
	for try := range maxRestartsInPlace {
		start := f.takeStarts()[0]
		f.settle(start)
		again := f.takeStarts()
		if len(again) != 1 || again[0].Server != start.Server || again[0].Attempt <= start.Attempt {
			t.Fatalf("try %d: got starts %+v, want a later attempt on %s", try, again, start.Server)
		}
		f.actions = append(f.actions, again[0])
	}
	last := f.takeStarts()[0]
	from := f.cell.workers[last.Server].runs[runKey{last.Task, last.Attempt}].orderedAt
	f.settle(last)
	if again := f.takeStarts(); len(again) > 0 {
		t.Fatalf("got starts %+v on a worker that answers none", again)
	}
	f.expectStartAfter(from+maxOrderDelay, func() { f.answerHolds(nil, nil) })
}

// Guards against long-running tasks that stay down while their worker leaves (LOST).
func TestLongRunningTaskLeavesDrainingWorkerAfterSettledStart(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, longRunningStep(1))
	start := f.takeStarts()[0]
	f.settle(start)
	again := f.takeStarts()[0]
	f.acceptStart(again)
	f.handle(ServerListed{Server: drainingServer(again.Server)})
	if f.takeStopsOf(again) == 0 {
		t.Fatal("the task is not moved off the draining worker")
	}
	f.handle(StopAnswered{Server: again.Server, Task: again.Task, Attempt: again.Attempt, OK: true, Sent: f.now})
	stopped := map[fleet.BackendServerID][]FinishedRow{again.Server: {{Number: 1, Task: again.Task, Attempt: again.Attempt, End: job.EndStopped}}}
	if next := f.expectStartAfter(f.now, func() { f.answerHolds(nil, stopped) }); next.Server == again.Server {
		t.Errorf("started again on %s, which drains", next.Server)
	}
}

// Guards against a run that ends with the lease of an incarnation which does not have it:
// the next one has accepted the start before the holder learnt of it.
func TestStartAnsweredByUnknownIncarnationOutlivesLease(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.now += 30 * time.Second
	f.handle(Tick{})
	f.answerHolds(nil, nil)
	f.submit(testJob, partStep())
	start := f.takeStarts()[0]
	f.handle(StartAnswered{Server: "a", Task: start.Task, Attempt: start.Attempt, Outcome: StartAccepted, Sent: f.now, Clock: 800 * time.Millisecond})
	f.handle(ServerListed{Server: testServer("b")})
	latest := f.now + DefaultSettings().MaxLease
	if at := f.startTimes(f.now + 30*time.Second)[start.Task]; at < latest {
		t.Errorf("the task starts elsewhere at %v, want from %v on", at, latest)
	}
}

// Guards against a start record that its reader rejects, or that grows without a bound.
func TestStartRecordIsBounded(t *testing.T) {
	f, _, _ := loseServer(t)
	w := f.cell.workers["a"]
	for attempt := range 2 * maxStartRows {
		w.settledStarts = append(w.settledStarts, settledStart{task: w.runsInOrder[0].task, attempt: attempt + 1, orderedAt: f.now - time.Second})
	}
	record := Record{Key: startsKey, Starts: f.cell.startRecord()}
	if err := record.Check(); err != nil {
		t.Error(err)
	}
	if n := len(record.Starts.Starts); n != maxStartRows || record.Starts.OthersLeftMs == 0 {
		t.Errorf("got %d rows and %d ms for the others, want %d rows", n, record.Starts.OthersLeftMs, maxStartRows)
	}
	bad := Record{Key: startsKey, Starts: &StartRecord{Starts: []UnansweredStart{{Server: "a", Task: "x", Attempt: 0, LeftMs: -1}}}}
	if err := bad.Check(); err == nil {
		t.Error("got no findings on a start of no task")
	}
}

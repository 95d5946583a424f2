package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// crowdedReturn is a service on which long-running tasks take all servers but one,
// where short tasks that wait in a long line follow each other.
type crowdedReturn struct {
	*fixture
	large   job.Step
	running map[fleet.BackendServerID][]RunningRow
	placed  map[fleet.BackendServerID]Start // long-running
	short   Start
	ends    int64
}

func newCrowdedReturn(t *testing.T) *crowdedReturn {
	f := &crowdedReturn{
		fixture: newFixture(t, 1), large: longRunningStep(1),
		running: map[fleet.BackendServerID][]RunningRow{}, placed: map[fleet.BackendServerID]Start{},
	}
	f.setUpServers(testServer("a"), testServer("b"), testServer("c"), testServer("d"))
	f.large.Need.MilliCPU = 15000
	for _, id := range []fleet.JobID{"00000000000000c1", "00000000000000c2", "00000000000000c3"} {
		f.submit(id, f.large)
		s := takeActions[Start](f.fixture)[0]
		f.acceptStart(s)
		f.placed[s.Server] = s
		f.running[s.Server] = []RunningRow{{Task: s.Task, Attempt: s.Attempt, Percent: fullSpeed}}
	}
	f.submit("00000000000000b1", job.Step{Count: 60, Need: f.large.Need, Estimate: 500 * time.Millisecond})
	f.short = takeActions[Start](f.fixture)[0]
	f.acceptStart(f.short)
	f.answerAll("")
	return f
}

// answerAll answers the holds, except those to a lost server.
func (f *crowdedReturn) answerAll(lost fleet.BackendServerID, ends ...FinishedRow) {
	for _, h := range takeActions[Hold](f.fixture) {
		answered := HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now}
		if h.Server != lost {
			answered.OK, answered.Incarnation, answered.Clock, answered.Running = true, 1, f.now, f.running[h.Server]
			if h.Server == f.short.Server {
				answered.Finished = ends
			}
		}
		f.handle(answered)
	}
}

// endShort ends the short task after 250 ms, and returns the start that follows.
func (f *crowdedReturn) endShort(lost fleet.BackendServerID) Start {
	f.running[f.short.Server] = []RunningRow{{Task: f.short.Task, Attempt: f.short.Attempt}}
	f.advance(250 * time.Millisecond)
	f.running[f.short.Server] = nil
	f.ends++
	f.answerAll(lost, FinishedRow{Number: f.ends, Task: f.short.Task, Attempt: f.short.Attempt, End: job.EndDone})
	starts := takeActions[Start](f.fixture)
	if len(starts) != 1 {
		f.t.Fatalf("got starts %+v after an end, want one", starts)
	}
	f.short = starts[0]
	return starts[0]
}

// Guards against a task of a lost server that waits behind others once more, after its
// lease has expired: its last run was at least a lease ago (LOST).
func TestTaskOfLostServerReturnsAtOnce(t *testing.T) {
	f := newCrowdedReturn(t)
	lost := f.placed["a"]
	for began := f.now; f.now-began < 8*time.Second; {
		if start := f.endShort("a"); start.Task == lost.Task {
			return
		}
		f.acceptStart(f.short)
	}
	t.Error("the task of the lost server did not start within 8 s, although a short task ended every 0.25 s")
}

// Guards against a returning task that starts only when the time for further attempts
// is over: two attempts without an answer take 1.4 s, and the platform counts a task
// as lost that has had no run for 3 s from 6 s after its last one (LOST).
func TestReturningTaskHasTimeForThreeAttempts(t *testing.T) {
	f := newCrowdedReturn(t)
	failed := f.placed["a"]
	f.running["a"] = nil
	f.handle(Tick{})
	f.advance(50 * time.Millisecond)
	for _, h := range takeActions[Hold](f.fixture) {
		rows := map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: failed.Task, Attempt: failed.Attempt, End: job.EndFailed}}}
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now, Running: f.running[h.Server], Finished: rows[h.Server]})
	}
	ended := f.now
	for _, s := range takeActions[Start](f.fixture) {
		f.acceptStart(s) // a short task takes the place
		f.running[s.Server] = []RunningRow{{Task: s.Task, Attempt: s.Attempt}}
	}
	for f.now-ended < 6*time.Second {
		if start := f.endShort(""); start.Task == failed.Task {
			if left := 9*time.Second - (f.now - ended); left < 2*orderTimeout {
				t.Errorf("the task started with %v left of 9s, want at least %v", left, 2*orderTimeout)
			}
			return
		}
		f.acceptStart(f.short)
	}
	t.Error("the task did not start within 6 s of its last run")
}

// Guards against tasks that wait while workers have room, because another task of their
// step is overdue and waits for its next attempt.
func TestOverdueTaskDoesNotHoldUpOthersOfItsStep(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, longRunningStep(3))
	starts := takeActions[Start](f)
	for _, s := range starts[1:] {
		f.acceptStart(s)
	}
	overdue, waiting := f.cell.lookup(starts[0].Task), f.cell.lookup(starts[1].Task)
	f.advance(restartDelay)
	f.handle(StartAnswered{Server: starts[0].Server, Task: starts[0].Task, Attempt: 1, Outcome: StartNotSent, Sent: f.now})
	f.now += 10 * time.Millisecond
	f.cell.runEnded(waiting.runs[0], job.EndStopped, "")
	f.handle(Tick{})
	got := takeActions[Start](f)
	if len(got) != 1 || got[0].Task != waiting.ref() {
		t.Errorf("got starts %+v while %s waits for its next attempt, want one of %s", got, overdue.ref(), waiting.ref())
	}
}

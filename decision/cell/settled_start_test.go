package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// settle lets a start go without an answer, acknowledges the stop and lists nothing, so
// that the present incarnation of the worker refuses the start.
func (f *fixture) settle(s Start) {
	f.handle(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: StartUnknown, Sent: f.now})
	f.handle(StopAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, OK: true, Sent: f.now})
	f.now += time.Millisecond
	f.advance(50 * time.Millisecond)
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	f.answerHolds(nil, nil)
}

// settleOnly settles the start of the only task, which does not start again for now.
func (f *fixture) settleOnly() Start {
	f.t.Helper()
	start := f.takeStarts()[0]
	f.settle(start)
	if again := f.takeStarts(); len(again) > 0 {
		f.t.Fatalf("got starts %+v while the next incarnation may carry out the first", again)
	}
	return start
}

// expectStartAfter lets time pass with the given answers and fails the test unless one
// start is ordered after the given time, within a second.
func (f *fixture) expectStartAfter(from time.Duration, answer func()) Start {
	f.t.Helper()
	for f.now < from+time.Second {
		answer()
		f.advance(50 * time.Millisecond)
		if starts := f.takeStarts(); len(starts) > 0 {
			if f.now < from || len(starts) > 1 {
				f.t.Fatalf("got starts %+v at %v, want one from %v on", starts, f.now, from)
			}
			return starts[0]
		}
	}
	f.t.Fatalf("got no start until %v, want one from %v on", f.now, from)
	return Start{}
}

// takeStopsOf removes the collected stops and returns the number of those of a start.
func (f *fixture) takeStopsOf(start Start) (n int) {
	for _, s := range takeActions[Stop](f) {
		if s.Server == start.Server && s.Task == start.Task && s.Attempt == start.Attempt {
			n++
		}
	}
	return n
}

// Guards against a settled start that the next incarnation carries out (issue 35, point 6).
func TestSettledStartIsTrackedOnNewIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		step   func(*job.Step)
		settle func(*fixture) Start
	}{
		"waiting task": {settle: (*fixture).settleOnly},
		"gang":         {step: func(s *job.Step) { s.Gang = true }, settle: (*fixture).settleOnly},
		"worker was silent": {settle: func(f *fixture) Start {
			start := f.settleOnly()
			f.handle(ServerUnlisted{ID: start.Server})
			for end := f.now + 5*time.Second; f.now < end; f.advance(50 * time.Millisecond) {
				f.answerAllBut(start.Server)
			}
			return start
		}},
		"stopped before the answer": {settle: func(f *fixture) Start {
			start := f.takeStarts()[0]
			f.cell.stopRun(f.cell.workers[start.Server].runsInOrder[0], "preempted")
			f.handle(Tick{})
			f.settle(start)
			return start
		}},
		"second copy of a done task": {step: func(s *job.Step) { s.Speculative = true }, settle: func(f *fixture) Start {
			first := f.takeStarts()[0]
			f.acceptStart(first)
			f.cell.startRun(f.cell.workers[first.Server].runsInOrder[0].task, f.cell.workers["b"])
			f.handle(Tick{})
			second := takeActions[Start](f)[0]
			done := map[fleet.BackendServerID][]FinishedRow{first.Server: {{Number: 1, Task: first.Task, Attempt: first.Attempt, End: job.EndDone}}}
			for range 40 {
				f.answerHolds(nil, done)
				f.advance(50 * time.Millisecond)
			}
			f.settle(second)
			return second
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"), testServer("b"))
			step := oneTaskStep()
			if c.step != nil {
				c.step(&step)
			}
			f.submit(testJob, step)
			start := c.settle(f)
			if w := f.cell.workers[start.Server]; w.unreachable == (w.runs[runKey{start.Task, start.Attempt}] == nil) {
				t.Fatalf("the start is settled and tracked, or neither: unreachable %v", w.unreachable)
			}
			takeActions[Stop](f)
			f.handle(ServerListed{Server: restartedServer(start.Server)})
			f.advance(100 * time.Millisecond)
			w, key := f.cell.workers[start.Server], runKey{start.Task, start.Attempt}
			takeActions[Hold](f)
			answer := func(generation int) {
				w.holdInFlight, w.holdGeneration = 1, generation
				f.handle(HoldAnswered{Server: start.Server, Number: 1, Sent: f.now, OK: true, Incarnation: 2, Clock: f.now})
			}
			if answer(0); w.runs[key] == nil {
				t.Error("the start is over before the new incarnation refuses it")
			}
			if answer(1); w.runs[key] != nil {
				t.Error("the start that the new incarnation refuses is not over")
			}
			if w.lateLeaseUntil <= f.now {
				t.Errorf("a late lease may last until %v at %v", w.lateLeaseUntil, f.now)
			}
		})
	}
}

// Guards against a second run while the new incarnation may carry out the settled start.
func TestTaskWaitsForFenceOfSettledStart(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "single task": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			step := oneTaskStep()
			step.Gang = gang
			f.submit(testJob, step)
			start := f.settleOnly()
			takeActions[Stop](f)
			f.handle(ServerListed{Server: restartedServer("a")})
			f.handle(ServerListed{Server: testServer("b")})
			for range 10 {
				f.answerAllBut("a")
				f.advance(50 * time.Millisecond)
				for range f.takeStopsOf(start) {
					f.handle(StopAnswered{Server: "a", Task: start.Task, Attempt: start.Attempt, Sent: f.now}) // no answer
				}
				if again := takeActions[Start](f); len(again) > 0 {
					t.Fatalf("started again on %s before a refuses the settled start", again[0].Server)
				}
			}
		})
	}
}

// Guards against a second run because the answer of the former incarnation settles a start.
func TestStopAnswerOfFormerIncarnationDoesNotCount(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := f.takeStarts()[0]
	f.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartUnknown, Sent: f.now})
	sent := f.now
	if f.takeStopsOf(start) != 1 {
		t.Fatal("the start without an answer is not stopped")
	}
	f.now += 20 * time.Millisecond
	f.handle(ServerListed{Server: restartedServer(start.Server)})
	f.now += 10 * time.Millisecond
	f.handle(StopAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, OK: true, Sent: sent})
	for range 6 {
		f.answerAllBut(start.Server)
		f.advance(50 * time.Millisecond)
		if again := f.takeStarts(); len(again) > 0 {
			t.Fatalf("got starts %+v before the new incarnation has answered", again)
		}
	}
	f.expectStartAfter(sent+maxOrderDelay, func() { f.answerAs(2, 0) })
}

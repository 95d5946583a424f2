package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// runWithHoldInFlight runs a task on server a, the only one, which drains on request, and
// returns when a hold with a lease is in flight.
func runWithHoldInFlight(t *testing.T, draining bool) (f *fixture, sent time.Duration) {
	t.Helper()
	f = newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, longRunningStep(1))
	start := f.takeStarts()[0]
	f.acceptStart(start)
	f.advance(100 * time.Millisecond)
	running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: start.Task, Attempt: start.Attempt, Percent: 100}}}
	if draining {
		f.handle(ServerListed{Server: drainingServer("a")})
		f.answerHolds(running, nil)
	}
	for range 100 {
		for _, h := range takeActions[Hold](f) {
			if h.Deadline > 0 {
				sent = f.now
			}
			f.actions = append(f.actions, h)
		}
		if sent > 0 {
			return f, sent
		}
		f.answerHolds(running, nil)
		f.advance(50 * time.Millisecond)
	}
	t.Fatal("got no hold with a lease")
	return nil, 0
}

// restartWithHoldInFlight returns when server a has restarted while a hold with a lease
// was in flight.
func restartWithHoldInFlight(t *testing.T) (f *fixture, sent time.Duration) {
	t.Helper()
	f, sent = runWithHoldInFlight(t, false)
	f.handle(ServerListed{Server: restartedServer("a")})
	return f, sent
}

func restartedServer(id fleet.BackendServerID) Server {
	s := testServer(id)
	s.Incarnation = 2
	return s
}

func drainingServer(id fleet.BackendServerID) Server {
	s := testServer(id)
	s.Draining = true
	return s
}

// answerAs answers every collected hold of server a as the given incarnation, whose clock
// began at boot, and those of other servers as their first one, which runs nothing.
func (f *fixture) answerAs(incarnation int64, boot time.Duration, running ...RunningRow) {
	for _, h := range takeActions[Hold](f) {
		answer := HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now}
		if h.Server == "a" {
			answer.Incarnation, answer.Clock, answer.Running = incarnation, f.now-boot, running
		}
		f.handle(answer)
	}
}

// failHolds lets all collected holds go without an answer.
func (f *fixture) failHolds() {
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now})
	}
}

// Guards against a second run while a hold to the former incarnation, carried out late,
// extends the lease of the present one (TWICE, issue 39).
func TestHoldToFormerIncarnationExtendsLease(t *testing.T) {
	f, _ := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
	latest := f.now + DefaultSettings().MaxLease // it refuses the hold from its next answer on
	f.answerAs(2, boot)
	f.advance(100 * time.Millisecond)
	starts := f.takeStarts()
	if len(starts) != 1 {
		t.Fatalf("got starts %+v on the restarted server, want one", starts)
	}
	f.acceptStart(starts[0])
	f.answerAs(2, boot, RunningRow{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 100})
	f.handle(ServerListed{Server: testServer("b")})
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server == "b", Incarnation: 1, Clock: f.now})
	}
	for f.now < latest {
		f.advance(250 * time.Millisecond)
		f.answerAllBut("a")
		if again := takeActions[Start](f); len(again) > 0 {
			t.Fatalf("started again at %v; the lease may last until %v", f.now, latest)
		}
	}
	for end := f.now + 2*time.Second; f.now < end; f.advance(250 * time.Millisecond) {
		f.answerAllBut("a")
		if again := takeActions[Start](f); len(again) > 0 {
			return
		}
	}
	t.Fatalf("not started again %v after the latest end of the lease", f.now-latest)
}

// Guards against a second run of a task whose start the new incarnation has accepted
// before the holder knows of it (TWICE, issue 39: the second case of recut seed 39001).
func TestRunAcceptedByNewIncarnationIsNotLost(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := f.takeStarts()[0]
	f.acceptStart(start) // by incarnation 2, which does not say so
	f.handle(ServerListed{Server: restartedServer(start.Server)})
	f.advance(100 * time.Millisecond)
	if again := takeActions[Start](f); len(again) > 0 {
		t.Fatalf("got starts %+v before the new incarnation has listed its runs, want none", again)
	}
	for range 3 {
		for _, h := range takeActions[Hold](f) {
			answer := HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now}
			if h.Server == start.Server {
				answer.Incarnation, answer.Running = 2, []RunningRow{{Task: start.Task, Attempt: start.Attempt}}
			}
			f.handle(answer)
		}
		f.advance(100 * time.Millisecond)
	}
	if again, stops := takeActions[Start](f), takeActions[Stop](f); len(again) > 0 || len(stops) > 0 {
		t.Errorf("got starts %+v and stops %+v, want the listed run to go on", again, stops)
	}
}

// Guards against a new holder that waits for the ordinary lease of a worker whose lease a
// call to a former incarnation may have extended (TWICE, users' record of issue 39).
func TestNextHolderWaitsForLateCallToFormerIncarnation(t *testing.T) {
	f, _ := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
	latest := f.now + DefaultSettings().MaxLease // it refuses the hold from its next answer on
	f.answerAs(2, boot)
	f.advance(100 * time.Millisecond)
	starts := f.takeStarts()
	if len(starts) != 1 {
		t.Fatalf("got starts %+v on the restarted server, want one", starts)
	}
	f.acceptStart(starts[0])
	f.advance(100 * time.Millisecond)
	next := f.succeed(2)
	for next.now < latest {
		next.answerAllBut("a")
		next.advance(250 * time.Millisecond)
		if again := takeActions[Start](next); len(again) > 0 {
			t.Fatalf("started again at %v; the lease may last until %v", next.now, latest)
		}
	}
}

// Guards against a holder that takes the refusal of a call to a former incarnation for
// that of another holder's orders.
func TestRefusalByNewIncarnationIsNotSuperseding(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, oneTaskStep())
	start := f.takeStarts()[0]
	f.advance(100 * time.Millisecond)
	former := takeActions[Hold](f)
	f.handle(ServerListed{Server: restartedServer("a")})
	for _, h := range former {
		f.handle(HoldAnswered{Server: "a", Number: h.Number, Sent: f.now, Fenced: true})
	}
	f.handle(StartAnswered{Server: "a", Task: start.Task, Attempt: start.Attempt, Outcome: StartFenced, Sent: f.now})
	f.handle(StopAnswered{Server: "a", Task: start.Task, Attempt: start.Attempt, Fenced: true, Sent: f.now})
	if n := len(takeActions[Superseded](f)); n > 0 {
		t.Fatalf("superseded %d times by calls to the former incarnation", n)
	}
	f.advance(300 * time.Millisecond)
	for _, h := range takeActions[Hold](f) {
		if h.Generation != 1 {
			t.Errorf("got a hold of generation %d, want 1", h.Generation)
		}
		f.handle(HoldAnswered{Server: "a", Number: h.Number, Sent: f.now, Fenced: true})
	}
	if len(takeActions[Superseded](f)) == 0 {
		t.Error("not superseded by the refusal of a call to the present incarnation")
	}
}

// Guards against a worker whose incarnations can no longer be told apart by their tokens.
func TestWorkerWithoutFurtherGenerationsIsNotUsed(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	w := f.cell.workers["a"]
	w.generation = fleet.MaxGeneration - 1
	for incarnation := int64(2); incarnation <= 3; incarnation++ {
		s := testServer("a")
		s.Incarnation = incarnation
		f.handle(ServerListed{Server: s})
		for range 8 {
			f.answerAs(incarnation, f.now-time.Second)
			f.advance(50 * time.Millisecond)
		}
		if usable := incarnation == 2; w.usable() != usable || w.generation != fleet.MaxGeneration {
			t.Errorf("incarnation %d: usable %v in generation %d, want %v", incarnation, w.usable(), w.generation, usable)
		}
	}
}

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
	f, sent := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
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
	latest := sent + maxOrderDelay + DefaultSettings().MaxLease
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
	f, sent := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
	f.answerAs(2, boot)
	f.advance(100 * time.Millisecond)
	starts := f.takeStarts()
	if len(starts) != 1 {
		t.Fatalf("got starts %+v on the restarted server, want one", starts)
	}
	f.acceptStart(starts[0])
	f.advance(100 * time.Millisecond)
	next := f.succeed(2)
	latest := sent + maxOrderDelay + DefaultSettings().MaxLease
	for next.now < latest {
		next.answerAllBut("a")
		next.advance(250 * time.Millisecond)
		if again := takeActions[Start](next); len(again) > 0 {
			t.Fatalf("started again at %v; the lease may last until %v", next.now, latest)
		}
	}
}

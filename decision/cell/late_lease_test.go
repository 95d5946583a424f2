package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// expectNoStartBefore fails the test if a task starts before the given time while server
// a is silent.
func (f *fixture) expectNoStartBefore(latest time.Duration) {
	f.t.Helper()
	for f.now < latest {
		f.advance(250 * time.Millisecond)
		f.answerAllBut("a")
		if again := takeActions[Start](f); len(again) > 0 {
			f.t.Fatalf("started again at %v; the lease may last until %v", f.now, latest)
		}
	}
}

// runOnRestarted starts the task on the second incarnation of server a, whose clock began
// at boot, and lists server b afterwards.
func (f *fixture) runOnRestarted(boot time.Duration) {
	f.t.Helper()
	for range 20 {
		f.answerAs(2, boot)
		f.advance(50 * time.Millisecond)
		for _, s := range f.takeStarts() {
			f.acceptStart(s)
			f.answerAs(2, boot, RunningRow{Task: s.Task, Attempt: s.Attempt, Percent: 100})
			f.handle(ServerListed{Server: testServer("b")})
			return
		}
	}
	f.t.Fatal("the task does not start on the restarted server")
}

// handleUncommitted applies an event as handle does, but commits nothing.
func (f *fixture) handleUncommitted(e Event) {
	f.cell.Handle(f.moment(), e)
	f.actions = append(f.actions, f.cell.Actions()...)
}

// Guards against a second run because the next holder forgets a late lease at the fence.
func TestNextHolderKeepsLateLeaseAfterFence(t *testing.T) {
	f, _ := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
	f.answerAs(2, boot)
	f.advance(100 * time.Millisecond)
	for _, s := range f.takeStarts() { // refused, so that nothing runs on a
		f.handle(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: StartNoCapacity, Sent: f.now})
	}
	latest := f.now + DefaultSettings().MaxLease // the new incarnation carries out the hold now
	next := f.succeed(2)
	if w := next.cell.workers["a"]; w.recordedIncarnation != 2 {
		t.Fatalf("the record names incarnation %d, want 2", w.recordedIncarnation)
	}
	next.handle(ServerListed{Server: restartedServer("a")})
	next.handle(ServerUnlisted{ID: "b"})
	next.runOnRestarted(boot)
	next.expectNoStartBefore(latest)
}

// Guards against a second run because a late call is forgotten with a removed worker.
func TestReturnedWorkerKeepsLateLease(t *testing.T) {
	for name, draining := range map[string]bool{"crash": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			f, sent := runWithHoldInFlight(t, draining)
			f.handle(ServerUnlisted{ID: "a"})
			for f.cell.workers["a"] != nil && f.now < sent+maxOrderDelay-time.Second {
				f.failHolds()
				f.advance(50 * time.Millisecond)
			}
			takeActions[Start](f)
			f.handle(ServerListed{Server: restartedServer("a")})
			latest := f.now + DefaultSettings().MaxLease // it refuses the hold from its next answer on
			f.runOnRestarted(f.now - 500*time.Millisecond)
			f.expectNoStartBefore(latest)
		})
	}
}

// Guards against a bound that ends with the last call of the earlier holder, not its lease.
func TestLateLeaseOfEarlierHolder(t *testing.T) {
	s := testServer("a")
	f := newFixture(t, 2, Record{Key: serverKey("a"), Server: &s})
	f.configureQueue()
	f.handle(ServerListed{Server: restartedServer("a")})
	f.handle(ServerListRead{})
	lastCall := f.cell.restoredAt + DefaultSettings().AuthorityBound + maxOrderDelay
	for f.now <= lastCall {
		f.failHolds()
		f.advance(250 * time.Millisecond)
	}
	f.answerAs(2, f.now-5*time.Second)
	w := f.cell.workers["a"]
	if latest := lastCall + DefaultSettings().MaxLease; !w.fenced || w.lateLeaseUntil < latest {
		t.Errorf("fenced %v, late calls expected until %v, want at least %v", w.fenced, w.lateLeaseUntil, latest)
	}
}

// Guards against a second run after a takeover that trusts a lease record of before.
func TestWorkerIsUnusableBeforeItsLeaseRecordIsDurable(t *testing.T) {
	f, _ := runWithHoldInFlight(t, false)
	f.submit("00000000000000bb", oneTaskStep()) // has no room beside the first
	for f.failHolds(); len(f.cell.workers["a"].runs) > 0; f.failHolds() {
		f.advance(50 * time.Millisecond)
	}
	f.advance(100 * time.Millisecond)
	f.cell.nextBatch.leases = true // as another worker that falls silent has it
	before, _ := f.cell.TakeBatch()
	w := f.cell.workers["a"]
	serve := func() {
		for range 40 {
			f.now += 50 * time.Millisecond
			f.handleUncommitted(Tick{})
			for _, h := range takeActions[Hold](f) {
				f.handleUncommitted(HoldAnswered{Server: "a", Number: h.Number, Sent: f.now, OK: true, Incarnation: 2, Clock: f.now - 7*time.Second})
			}
			f.handleUncommitted(PassTime{})
		}
	}
	serve()
	f.handleUncommitted(Committed{Batch: before.Number})
	f.handleUncommitted(Tick{})
	after, taken := f.cell.TakeBatch()
	serve()
	if starts := takeActions[Start](f); w.incarnation != 2 || w.usable() || len(starts) > 0 {
		t.Fatalf("incarnation %d, usable %v, starts %+v before the record is durable", w.incarnation, w.usable(), starts)
	}
	if f.handleUncommitted(Committed{Batch: after.Number}); !taken || !w.usable() {
		t.Errorf("record taken %v, usable %v after it is durable", taken, w.usable())
	}
}

// Guards against a batch that grows with each restart while an append has no answer.
func TestRestartsQueueOneServerRecord(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.cell.nextBatch.leases = true
	f.cell.TakeBatch()
	for i := range 5 {
		s := testServer("a")
		s.Incarnation = int64(i + 2)
		f.handleUncommitted(ServerListed{Server: s})
		for range 8 {
			f.now += 50 * time.Millisecond
			f.handleUncommitted(Tick{})
			for _, h := range takeActions[Hold](f) {
				f.handleUncommitted(HoldAnswered{Server: "a", Number: h.Number, Sent: f.now, OK: true, Incarnation: s.Incarnation, Clock: f.now})
			}
		}
	}
	if n := len(f.cell.nextBatch.servers); n != 1 {
		t.Errorf("got %d records of the server in the next batch, want 1", n)
	}
}

// Guards against restarted workers that a full lease record leaves unused or unknown.
func TestMoreRestartedWorkersThanLeaseRows(t *testing.T) {
	f := newFixture(t, 1)
	servers := make([]Server, maxLeaseRows+50)
	for i := range servers {
		servers[i] = testServer(fleet.BackendServerID(fmt.Sprintf("s%04d", i)))
	}
	f.setUpServers(servers...)
	f.now += time.Second
	for _, w := range f.cell.sortedWorkers {
		w.leaseCalls.unanswered = f.now // a hold with a lease to the former incarnation
	}
	for _, s := range servers {
		f.handle(ServerListed{Server: restartedServer(s.ID)})
	}
	restarted := f.now
	latest := restarted + DefaultSettings().MaxLease // they refuse the holds from their next answers on
	takeActions[Hold](f)
	for _, w := range f.cell.sortedWorkers {
		w.holdInFlight, w.nextHoldAt = 0, f.now
	}
	unused := len(servers)
	for unused > 0 && f.now < restarted+2*time.Second {
		f.advance(50 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 2, Clock: f.now - restarted + time.Second})
		}
		unused = 0
		for _, w := range f.cell.sortedWorkers {
			if !w.usable() {
				unused++
			}
		}
	}
	if unused > 0 {
		t.Fatalf("%d workers are unused %v after the restart", unused, f.now-restarted)
	}
	for _, w := range f.succeed(2).cell.sortedWorkers {
		if w.stored && w.earlierHolderUntil < latest {
			t.Fatalf("the next holder waits for %s until %v; its lease may last until %v", w.server.ID, w.earlierHolderUntil, latest)
		}
	}
}

// Guards against a second run after a takeover just as a restarted worker falls silent.
func TestLeaseRecordKeepsWorkerThatFallsSilent(t *testing.T) {
	f, _ := restartWithHoldInFlight(t)
	boot := f.now
	f.failHolds()
	f.now += 300 * time.Millisecond
	f.handle(Tick{})
	f.runOnRestarted(boot)
	latest := f.cell.workers["a"].lateLeaseUntil
	for range 6 {
		f.answerAllBut("a")
		f.advance(50 * time.Millisecond)
	}
	if w := f.cell.workers["a"]; !w.unreachable || f.now-w.unreachableSince >= quietAfter {
		t.Fatalf("unreachable %v for %v", w.unreachable, f.now-w.unreachableSince)
	}
	if w := f.succeed(2).cell.workers["a"]; w.earlierHolderUntil < latest {
		t.Errorf("the next holder waits until %v; the lease may last until %v", w.earlierHolderUntil, latest)
	}
}

// Guards against a long-running task on a late lease while another server has equal room.
func TestLongRunningTaskAvoidsLateLease(t *testing.T) {
	lease := DefaultSettings().Lease
	for name, c := range map[string]struct {
		late    time.Duration // time for which late calls are expected on server a
		step    job.Step
		servers []Server
		want    fleet.BackendServerID
	}{
		"late lease":          {lease + time.Second, longRunningStep(1), []Server{testServer("a"), testServer("b")}, "b"},
		"ordinary lease":      {lease, longRunningStep(1), []Server{testServer("a"), testServer("b")}, "a"},
		"short task":          {lease + time.Second, oneTaskStep(), []Server{testServer("a"), testServer("b")}, "a"},
		"no room on the rest": {lease + time.Second, longRunningStep(1), []Server{testServer("a")}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(c.servers...)
			f.cell.workers["a"].lateLeaseUntil = f.now + c.late
			f.submit(testJob, c.step)
			if starts := f.takeStarts(); len(starts) != 1 || starts[0].Server != c.want {
				t.Errorf("got starts %+v, want one on %s", starts, c.want)
			}
		})
	}
}

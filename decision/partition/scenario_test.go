package partition

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// newFreeState returns a partition of servers of one slot each, all free, with a
// filled retry budget.
func newFreeState(t *testing.T, servers int) (*State, []fleet.BackendServer) {
	t.Helper()
	var list []fleet.BackendServer
	for i := range servers {
		list = append(list, fleet.BackendServer{ID: fleet.BackendServerID(fmt.Sprint("b", i)), Capacity: fleet.Resources{Slots: 1}})
	}
	s := New(start, list, testConfiguration)
	for _, b := range list {
		s.Report(start.Add(1), Usage{Server: b.ID, SampledAt: start.Add(1)}, nil)
	}
	for i := range 100 {
		id := fleet.RequestID(fmt.Sprint("earlier", i))
		run := oneAction(t, s.Submit(start, shortRequest(id), nil), Run)
		oneAction(t, s.Complete(start, completionOf(run, Succeeded), nil), Deliver)
	}
	return s, list
}

func shortRequest(id fleet.RequestID) Work {
	return Work{ID: id, Service: "planner", Operation: "short", Idempotent: true, Deadline: start.Add(10 * time.Second)}
}

func completionOf(run Action, result Result) Completion {
	return Completion{
		ID: run.ID, Server: run.Server, Attempt: run.Attempt, Result: result, Duration: 50 * time.Millisecond, SlotReleased: true,
	}
}

func oneAction(t *testing.T, out []Action, kind ActionKind) Action {
	t.Helper()
	if len(out) != 1 || out[0].Kind != kind {
		t.Fatalf("actions %+v, want one of kind %d", out, kind)
	}
	return out[0]
}

// Guards against a repeated completion of an earlier attempt ending a later one
// on the same server, and against a second attempt on the server that failed.
func TestRepeatedCompletionOfAnEarlierAttempt(t *testing.T) {
	s, _ := newFreeState(t, 2)
	first := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
	now := start
	next := first
	for range 2 {
		before := next
		if out := s.Complete(now, completionOf(before, Lost), nil); len(out) > 0 {
			t.Fatalf("%+v right after a lost attempt", out)
		}
		now = s.NextTick()
		next = oneAction(t, s.Tick(now, nil), Run)
		if next.Server == before.Server {
			t.Fatalf("attempt %d is on the server of the one before", next.Attempt)
		}
	}
	if next.Server != first.Server {
		t.Fatalf("third attempt on %s, want %s", next.Server, first.Server)
	}
	if out := s.Complete(now, completionOf(first, Succeeded), nil); len(out) > 0 {
		t.Errorf("a repeated completion of attempt 1 led to %+v", out)
	}
	oneAction(t, s.Complete(now, completionOf(next, Succeeded), nil), Deliver)
}

// Guards against a cancelled request that still gets its next attempt, against
// calling it not run when an attempt may have run, and against a repeated
// completion that ends it between attempts.
func TestCancelBetweenAttempts(t *testing.T) {
	for result, want := range map[Result]ActionKind{NotWritten: Refuse, Lost: GiveUp, Failed: Deliver} {
		s, _ := newFreeState(t, 2)
		run := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
		s.Complete(start, completionOf(run, result), nil)
		if out := s.Complete(start, completionOf(run, Succeeded), nil); len(out) > 0 {
			t.Errorf("a repeated completion between attempts led to %+v", out)
		}
		oneAction(t, s.Cancel(start, "r", nil), want)
		if next := s.NextTick(); !next.IsZero() {
			t.Errorf("result %d: a tick is due at %v after the cancellation", result, next)
		}
	}
}

// Guards against a new holder that attracts work because it expects no wait,
// while it knows of no free slot.
func TestExpectedWaitAfterTheTakeover(t *testing.T) {
	s, list := newFreeState(t, 1)
	if wait := s.ExpectedWait(start); wait != 0 {
		t.Errorf("expected wait with a free slot is %v", wait)
	}
	if wait := New(start, list, testConfiguration).ExpectedWait(start); wait != unknownWait {
		t.Errorf("expected wait right after the takeover is %v", wait)
	}
}

// Guards against explanations that miss what was weighed or why a request was
// refused, and against a history that grows.
func TestExplain(t *testing.T) {
	s, list := newFreeState(t, 3)
	list[2].Leaving = true
	s.SetServers(start, list, nil)
	run := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
	got := s.Explain("r")
	if len(got) != 1 || got[0].Server != run.Server || len(got[0].Candidates) != 2 || got[0].Excluded["leaving"] != 1 {
		t.Errorf("explanation of a placement: %+v", got)
	}
	late := shortRequest("late")
	late.Deadline = start
	s.Submit(start, late, nil)
	if got := s.Explain("late"); len(got) != 1 || got[0].Verdict != VerdictRefuse || got[0].Reason != outcome.DeadlineExceeded {
		t.Errorf("explanation of a refusal: %+v", got)
	}
	for range 2 * historyLength {
		s.Submit(start, late, nil)
	}
	if n := len(s.Explain("")); n != historyLength {
		t.Errorf("%d decisions are remembered, want %d", n, historyLength)
	}
}

// Guards against relief that stops at throttling when throttling doesn't help,
// and against more evictions than the cap.
func TestEvictionWhenThrottlingDoesNotHelp(t *testing.T) {
	d := deployments[0]
	l := &statePolicy{configuration: misdeclaredConfiguration}
	w := newSimulation(d, l)
	l.latency = func(server int) map[fleet.Service]time.Duration {
		mean := shortMedian
		for _, j := range l.tasks {
			if j.server == server {
				mean += 2 * shortMedian
			}
		}
		return map[fleet.Service]time.Duration{"planner": mean}
	}
	for range d.servers {
		w.schedule(warmUp, func() { w.submit(&job{task: true, run: time.Hour, work: Work{Operation: "weave"}}) })
	}
	w.runUntil(3 * time.Minute)
	if n := len(l.evictions); n == 0 || n > 3*d.racks*misdeclaredConfiguration.Limits.EvictionsPerMinute {
		t.Errorf("%d evictions in 3 minutes in %d partitions", n, d.racks)
	}
}

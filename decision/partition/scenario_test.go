package partition

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// newFreeState returns a partition of servers with one free slot each, and a full
// retry budget.
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
		t.Fatalf("got actions %+v, want one of kind %d", out, kind)
	}
	return out[0]
}

// Guards against a repeated completion of an earlier attempt that ends a later
// one on the same server, and against a retry on the server that just failed.
func TestRepeatedCompletionOfAnEarlierAttempt(t *testing.T) {
	s, _ := newFreeState(t, 2)
	first := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
	now := start
	next := first
	for range 2 {
		before := next
		if out := s.Complete(now, completionOf(before, Lost), nil); len(out) > 0 {
			t.Fatalf("got actions %+v right after a lost attempt, want none", out)
		}
		now = s.NextTick()
		next = oneAction(t, s.Tick(now, nil), Run)
		if next.Server == before.Server {
			t.Fatalf("attempt %d is on %s, the server of the previous attempt", next.Attempt, next.Server)
		}
	}
	if next.Server != first.Server {
		t.Fatalf("third attempt is on %s, want %s", next.Server, first.Server)
	}
	if out := s.Complete(now, completionOf(first, Succeeded), nil); len(out) > 0 {
		t.Errorf("a repeated completion of attempt 1 led to %+v, want no actions", out)
	}
	oneAction(t, s.Complete(now, completionOf(next, Succeeded), nil), Deliver)
}

// Guards against a cancelled request that still gets its next attempt, against
// refusing it as not run although an attempt may have run, and against a repeated
// completion that ends a request between attempts.
func TestCancelBetweenAttempts(t *testing.T) {
	for result, want := range map[Result]ActionKind{NotWritten: Refuse, Lost: GiveUp, Failed: Deliver} {
		s, _ := newFreeState(t, 2)
		run := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
		s.Complete(start, completionOf(run, result), nil)
		if out := s.Complete(start, completionOf(run, Succeeded), nil); len(out) > 0 {
			t.Errorf("a repeated completion between attempts led to %+v, want no actions", out)
		}
		oneAction(t, s.Cancel(start, "r", nil), want)
		if next := s.NextTick(); !next.IsZero() {
			t.Errorf("result %d: next tick after the cancellation is due at %v, want none", result, next)
		}
	}
}

// Guards against a new holder that gets too many requests because it reports no
// expected wait before any slot is known to be free.
func TestExpectedWaitAfterTheTakeover(t *testing.T) {
	s, list := newFreeState(t, 1)
	if wait := s.ExpectedWait(start); wait != 0 {
		t.Errorf("expected wait with a free slot is %v, want 0", wait)
	}
	if wait := New(start, list, testConfiguration).ExpectedWait(start); wait != unknownWait {
		t.Errorf("expected wait right after the takeover is %v, want %v", wait, unknownWait)
	}
}

// Guards against explanations without the considered servers or the reason of a
// refusal, and against a history without a size limit.
func TestExplain(t *testing.T) {
	s, list := newFreeState(t, 3)
	list[2].Leaving = true
	s.SetServers(start, list, nil)
	run := oneAction(t, s.Submit(start, shortRequest("r"), nil), Run)
	got := s.Explain("r")
	if len(got) != 1 || got[0].Server != run.Server || len(got[0].Candidates) != 2 || got[0].Excluded["leaving"] != 1 {
		t.Errorf("explanation of a placement is %+v, want one on %s with 2 candidates and 1 leaving server excluded", got, run.Server)
	}
	late := shortRequest("late")
	late.Deadline = start
	s.Submit(start, late, nil)
	if got := s.Explain("late"); len(got) != 1 || got[0].Verdict != VerdictRefuse || got[0].Reason != outcome.DeadlineExceeded {
		t.Errorf("explanation of a refusal is %+v, want %s with %s", got, VerdictRefuse, outcome.DeadlineExceeded)
	}
	for range 2 * historyLength {
		s.Submit(start, late, nil)
	}
	if n := len(s.Explain("")); n != historyLength {
		t.Errorf("history holds %d decisions, want %d", n, historyLength)
	}
}

// Guards against mitigation that never evicts when throttling has no effect, and
// against more evictions than the limit.
func TestEvictionWhenThrottlingDoesNotHelp(t *testing.T) {
	d := deployments[0]
	p := &statePolicy{configuration: misdeclaredConfiguration}
	sim := newSimulation(d, p)
	p.latency = func(server int) map[fleet.Service]time.Duration {
		mean := shortMedian
		for _, j := range p.tasks {
			if j.server == server {
				mean += 2 * shortMedian
			}
		}
		return map[fleet.Service]time.Duration{"planner": mean}
	}
	for range d.servers {
		sim.schedule(warmUp, func() { sim.submit(&job{task: true, run: time.Hour, work: Work{Operation: "weave"}}) })
	}
	sim.runUntil(3 * time.Minute)
	if n := len(p.evictions); n == 0 || n > 3*d.racks*misdeclaredConfiguration.Limits.EvictionsPerMinute {
		t.Errorf("%d evictions in 3 minutes in %d partitions, want 1 to %d",
			n, d.racks, 3*d.racks*misdeclaredConfiguration.Limits.EvictionsPerMinute)
	}
}

package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against starts without a ticket, which the workers reject, against steps
// for which the advisor is never called, and against tickets that are used after
// they have expired or for another incarnation of their worker.
func TestAdvisedQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"), testServer("c"))
	f.handle(QueuesChanged{Queues: []QueueSettings{{
		Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 2, Advisor: AdvisorSettings{BaseTime: 10 * time.Millisecond, TicketValidity: 3 * time.Second},
	}}})
	step := oneTaskStep()
	step.Count = 2
	f.submit(testJob, step)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v, want none without a ticket", starts)
	}
	calls := takeActions[Advise](f)
	if len(calls) != 1 || len(calls[0].Workers) != 3 {
		t.Fatalf("got advisor calls %+v, want one call that names three workers", calls)
	}
	f.handle(AdviceAnswered{Step: calls[0].Step, Workers: calls[0].Workers, Sent: f.now}) // rejected by a busy advisor
	f.advance(adviceRetryInterval + 50*time.Millisecond)
	calls = takeActions[Advise](f)
	if len(calls) != 1 {
		t.Fatalf("got %d advisor calls after the advisor was busy, want 1", len(calls))
	}
	f.handle(AdviceAnswered{
		Step: calls[0].Step, Workers: calls[0].Workers, OK: true, Sent: f.now, TicketValidity: 3 * time.Second,
		Eligible: []EligibleWorker{{Server: "b", Ticket: "good"}},
	})
	starts := takeActions[Start](f)
	if len(starts) != 1 || starts[0].Server != "b" || starts[0].Ticket != "good" {
		t.Fatalf("got starts %+v, want one task on b with its ticket", starts)
	}
	f.acceptStart(starts[0])
	f.advance(3 * time.Second)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"b": {{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 50}}}, nil)
	if again := takeActions[Advise](f); len(again) != 0 {
		t.Errorf("got advisor calls %+v, want none while the only eligible worker is full", again)
	}
}

// Guards against an expired ticket that is used again for every start after a worker
// has rejected it.
func TestRejectedTicketIsRequestedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", SlackFactor: 2, Advisor: AdvisorSettings{TicketValidity: time.Minute}}}})
	f.submit(testJob, oneTaskStep())
	for _, want := range []string{"first", "second"} {
		calls := takeActions[Advise](f)
		if len(calls) != 1 {
			t.Fatalf("got %d advisor calls before the %s ticket, want 1", len(calls), want)
		}
		f.handle(AdviceAnswered{
			Step: calls[0].Step, Workers: calls[0].Workers, OK: true, Sent: f.now, TicketValidity: time.Minute, Eligible: []EligibleWorker{{Server: "a", Ticket: want}},
		})
		starts := takeActions[Start](f)
		if len(starts) != 1 || starts[0].Ticket != want {
			t.Fatalf("got starts %+v, want one with the %s ticket", starts, want)
		}
		f.handle(StartAnswered{Server: "a", Task: starts[0].Task, Attempt: starts[0].Attempt, Outcome: StartNoTicket, Sent: f.now})
		f.advance(100 * time.Millisecond)
	}
}

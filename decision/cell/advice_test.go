package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against starts without a ticket, which the workers reject, against steps
// that are never advised, and against tickets that are used after they have run
// out or in another life of their worker.
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
		t.Fatalf("started without a ticket: %+v", starts)
	}
	asked := takeActions[Advise](f)
	if len(asked) != 1 || len(asked[0].Workers) != 3 {
		t.Fatalf("asked %+v, want one call on three workers", asked)
	}
	f.handle(AdviceAnswered{Step: asked[0].Step, Asked: asked[0].Workers, Sent: f.now}) // turned away
	f.advance(advicePause + 50*time.Millisecond)
	asked = takeActions[Advise](f)
	if len(asked) != 1 {
		t.Fatalf("asked %d times after the advisor was busy", len(asked))
	}
	f.handle(AdviceAnswered{
		Step: asked[0].Step, Asked: asked[0].Workers, OK: true, Sent: f.now, TicketValidity: 3 * time.Second,
		Eligible: []EligibleWorker{{Server: "b", Ticket: "good"}},
	})
	starts := takeActions[Start](f)
	if len(starts) != 1 || starts[0].Server != "b" || starts[0].Ticket != "good" {
		t.Fatalf("started %+v, want one task on b with its ticket", starts)
	}
	f.acceptStart(starts[0])
	f.advance(3 * time.Second)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"b": {{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 50}}}, nil)
	if again := takeActions[Advise](f); len(again) != 0 {
		t.Errorf("asked again although the only worker that may run the step is full: %+v", again)
	}
}

// Guards against a ticket that has run out and is offered again and again.
func TestRejectedTicketIsRequestedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", SlackFactor: 2, Advisor: AdvisorSettings{TicketValidity: time.Minute}}}})
	f.submit(testJob, oneTaskStep())
	for _, want := range []string{"first", "second"} {
		asked := takeActions[Advise](f)
		if len(asked) != 1 {
			t.Fatalf("asked %d times before the %s ticket", len(asked), want)
		}
		f.handle(AdviceAnswered{
			Step: asked[0].Step, Asked: asked[0].Workers, OK: true, Sent: f.now, TicketValidity: time.Minute, Eligible: []EligibleWorker{{Server: "a", Ticket: want}},
		})
		starts := takeActions[Start](f)
		if len(starts) != 1 || starts[0].Ticket != want {
			t.Fatalf("started %+v with the %s ticket", starts, want)
		}
		f.handle(StartAnswered{Server: "a", Task: starts[0].Task, Attempt: starts[0].Attempt, Outcome: StartNoTicket, Sent: f.now})
		f.advance(100 * time.Millisecond)
	}
}

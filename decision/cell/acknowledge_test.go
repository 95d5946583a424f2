package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a hold that is carried out late, by the next incarnation of its
// worker, and acknowledges ends that the holder has never seen (TWICE).
func TestHoldAcknowledgesNewEndsOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{
		"a": {{Number: 1, Task: start.Task, Attempt: start.Attempt, End: job.EndDone}},
	})
	var acks []int64
	for range 4 {
		f.advance(500 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			acks = append(acks, h.Ack)
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
		}
	}
	acknowledged := 0
	for _, ack := range acks {
		if ack > 0 {
			acknowledged++
		}
	}
	if acknowledged != 1 {
		t.Errorf("got acknowledgements %v in %d holds, want end 1 acknowledged once", acks, len(acks))
	}
}

// Guards against the same fault through the holds that ask a worker which has left an
// order unanswered for its lists (TWICE).
func TestWorkerWithoutAnswerGetsNoAcknowledgement(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, smallStep(2, time.Second))
	starts := takeActions[Start](f)
	f.acceptStart(starts[0])
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{
		"a": {{Number: 1, Task: starts[0].Task, Attempt: starts[0].Attempt, End: job.EndDone}},
	})
	takeActions[Hold](f)
	f.handle(StartAnswered{Server: "a", Task: starts[1].Task, Attempt: starts[1].Attempt, Outcome: StartUnknown, Sent: f.now})
	f.advance(time.Second)
	for _, h := range takeActions[Hold](f) {
		if h.Ack > 0 {
			t.Errorf("got hold %d that acknowledges ends up to %d while a start has no answer, want none", h.Number, h.Ack)
		}
	}
}

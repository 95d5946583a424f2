package cell

import (
	"testing"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a superseded holder that answers the cancellation of a job which the
// next holder has accepted with "no such job", so that the job runs on (UNASKED,
// review/4), and against such an answer to a query of its state (LOST).
func TestUnknownJobIsConfirmedByStore(t *testing.T) {
	const unknown fleet.JobID = "00000000000000ff"
	for _, c := range []struct {
		name      string
		event     Event
		authority bool
		atOnce    bool
	}{
		{"cancel", CancelRequested{Token: 5, Queue: "q", ID: unknown}, true, false},
		{"cancel without authority", CancelRequested{Token: 5, Queue: "q", ID: unknown}, false, false},
		{"state", StateRequested{Token: 5, Queue: "q", ID: unknown}, true, true},
		{"state without authority", StateRequested{Token: 5, Queue: "q", ID: unknown}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			f.handle(AuthorityChanged{Held: c.authority})
			takeActions[Reply](f)
			f.cell.Handle(f.moment(), c.event)
			f.actions = append(f.actions, f.cell.Actions()...)
			if replies := takeActions[Reply](f); len(replies) > 0 != c.atOnce {
				t.Fatalf("got replies %+v before an append, want them: %v", replies, c.atOnce)
			}
			if c.atOnce {
				return
			}
			for range 2 { // the first append is refused
				b, ok := f.cell.TakeBatch()
				if !ok || !b.Confirms {
					t.Fatalf("got batch %+v, %v, want one that confirms the role", b, ok)
				}
				f.cell.Handle(f.moment(), BatchRefused{Batch: b.Number})
				if replies := f.cell.Actions(); len(replies) > 0 {
					t.Fatalf("got actions %+v after a refused append, want none", replies)
				}
			}
			b, _ := f.cell.TakeBatch()
			f.cell.Handle(f.moment(), Committed{Batch: b.Number})
			f.actions = append(f.actions, f.cell.Actions()...)
			replies := takeActions[Reply](f)
			if len(replies) != 1 || replies[0].Token != 5 || replies[0].Reply.Verdict != NoSuchJob {
				t.Errorf("got replies %+v after the append, want that there is no such job", replies)
			}
		})
	}
}

package holder

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/authority"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// Guards against a holder that decides late without a sign of it, and against one that
// leaves out work for good after a short lag.
func TestLagIsReportedUntilHolderHasCaughtUp(t *testing.T) {
	d := New(NewRings(), "self", cell.DefaultSettings(), clock.New(), logs.New(), prometheus.NewRegistry())
	d.role = &role{epoch: 7, cell: cell.New(cell.DefaultSettings(), 1), authority: authority.New(d.clock.Steady()), hasAuthority: true}
	answer := func(lag time.Duration) {
		d.handleWorkerEvent(message.WorkerEvent{Epoch: 7, Event: cell.HoldAnswered{Server: "a"}, AnsweredAt: d.clock.Steady() - lag})
		d.checkLag()
	}
	answer(behindLag / 3)
	if d.role.behind {
		t.Fatalf("behind after a lag of %v, want not", behindLag/3)
	}
	answer(2 * behindLag)
	for tick := range punctualTicks {
		if !d.role.behind {
			t.Fatalf("caught up %d ticks after a lag of %v, want after %d", tick, 2*behindLag, punctualTicks)
		}
		answer(0)
	}
	if d.role.behind {
		t.Errorf("still behind %d ticks after the lag, want not", punctualTicks)
	}
}

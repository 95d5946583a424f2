package workers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// unresponsiveWorkers answer no call, except starts on server "sound".
type unresponsiveWorkers struct{ silentWorkers }

func (unresponsiveWorkers) Hold(ctx context.Context, _ fleet.Epoch, h cell.Hold) cell.HoldAnswered {
	<-ctx.Done()
	return cell.HoldAnswered{Server: h.Server, Number: h.Number}
}

func (unresponsiveWorkers) Stop(ctx context.Context, _ fleet.Epoch, s cell.Stop) cell.StopAnswered {
	<-ctx.Done()
	return cell.StopAnswered{Server: s.Server}
}

// Guards against starts on sound workers that wait behind the stops and the extra holds
// which follow starts without an answer: after 150 ms such a start counts as late, and
// its sound worker as one that does not answer. 64 is the bound on starts that wait for
// an answer.
func TestStartIsSentWhileStopsAndHoldsAreUnanswered(t *testing.T) {
	const silentStarts, lateAnswer = 64, 150 * time.Millisecond
	events := supervise.NewRing[message.WorkerEvent]("test.events", 1024, supervise.Wait)
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	c := clock.New()
	s := New(tree, unresponsiveWorkers{}, nil, c, events, prometheus.NewRegistry())
	ctx := t.Context()
	go func() { _ = tree.Serve(ctx) }() // ends with the test
	order := func(a cell.Action) {
		if err := s.Orders.Put(ctx, message.Order{Action: a, IssuedAt: c.Steady()}); err != nil {
			t.Fatal(err)
		}
	}
	for n := range silentStarts {
		order(cell.Start{Server: fleet.BackendServerID(fmt.Sprintf("silent-%d", n))})
	}
	var orderedAt time.Duration
	for unanswered := 0; ; {
		e, ok := (<-events.Items()).Event.(cell.StartAnswered)
		switch {
		case !ok:
			continue
		case e.Server == "sound":
			if took := c.Steady() - orderedAt; took > lateAnswer {
				t.Errorf("a start on a sound worker was answered after %v, want at most %v", took, lateAnswer)
			}
			return
		}
		order(cell.Stop{Server: e.Server})
		order(cell.Hold{Server: e.Server, Extra: true})
		if unanswered++; unanswered == silentStarts {
			orderedAt = c.Steady()
			order(cell.Start{Server: "sound"})
		}
	}
}

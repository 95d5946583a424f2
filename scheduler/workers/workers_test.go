package workers

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// countingWorkers counts the calls that reach the workers.
type countingWorkers struct{ starts *supervise.Ring[cell.Start] }

func (c countingWorkers) Hold(context.Context, fleet.Epoch, cell.Hold) cell.HoldAnswered {
	return cell.HoldAnswered{}
}

func (c countingWorkers) Start(ctx context.Context, _ fleet.Epoch, s cell.Start) cell.StartAnswered {
	_ = c.starts.Put(ctx, s) // it has room for every start of the test
	return cell.StartAnswered{Outcome: cell.StartAccepted}
}

func (c countingWorkers) Stop(context.Context, fleet.Epoch, cell.Stop) cell.StopAnswered {
	return cell.StopAnswered{}
}

func (c countingWorkers) Throttle(context.Context, fleet.Epoch, cell.Throttle) cell.ThrottleAnswered {
	return cell.ThrottleAnswered{}
}

// Guards against a start that is sent seconds after it was ordered, behind
// orders to workers that do not answer: its job may be cancelled by then
// (UNASKED, asante-sockyard-grown trouble-1).
func TestStaleStartIsNotSent(t *testing.T) {
	events := supervise.NewRing[message.WorkerEvent]("test.events", 4, supervise.Wait)
	workers := countingWorkers{starts: supervise.NewRing[cell.Start]("test.starts", 4, supervise.Refuse)}
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	c := clock.New()
	s := New(tree, workers, nil, c, events, prometheus.NewRegistry())
	ctx := context.Background()
	s.call(ctx, message.Order{Action: cell.Start{}, IssuedAt: c.Steady() - maxStartAge - time.Millisecond})
	if got := (<-events.Items()).Event.(cell.StartAnswered); got.Outcome != cell.StartNotSent {
		t.Errorf("a stale start was answered %d", got.Outcome)
	}
	s.call(ctx, message.Order{Action: cell.Start{}, IssuedAt: c.Steady()})
	if got := (<-events.Items()).Event.(cell.StartAnswered); got.Outcome != cell.StartAccepted {
		t.Errorf("a fresh start was answered %d", got.Outcome)
	}
	if sent := workers.starts.Stats().Depth; sent != 1 {
		t.Errorf("%d starts were sent, want 1", sent)
	}
}

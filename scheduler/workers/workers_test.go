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

// countingWorkers counts the starts that reach the workers.
type countingWorkers struct{ starts *supervise.Ring[cell.Start] }

func (c countingWorkers) Hold(context.Context, fleet.Epoch, cell.Hold) cell.HoldAnswered {
	return cell.HoldAnswered{}
}

func (c countingWorkers) Start(ctx context.Context, _ fleet.Epoch, s cell.Start) cell.StartAnswered {
	_ = c.starts.Put(ctx, s) // the ring has room for all starts of the test
	return cell.StartAnswered{Outcome: cell.StartAccepted}
}

func (c countingWorkers) Stop(context.Context, fleet.Epoch, cell.Stop) cell.StopAnswered {
	return cell.StopAnswered{}
}

func (c countingWorkers) Throttle(context.Context, fleet.Epoch, cell.Throttle) cell.ThrottleAnswered {
	return cell.ThrottleAnswered{}
}

// Guards against a start that is sent seconds after it was ordered because
// orders to unresponsive workers are queued before it: its job may have been
// cancelled meanwhile (violation UNASKED in scenario asante-sockyard-grown,
// trouble-1).
func TestStaleStartIsNotSent(t *testing.T) {
	events := supervise.NewRing[message.WorkerEvent]("test.events", 4, supervise.Wait)
	workers := countingWorkers{starts: supervise.NewRing[cell.Start]("test.starts", 4, supervise.Refuse)}
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	c := clock.New()
	s := New(tree, workers, nil, c, events, prometheus.NewRegistry())
	ctx := context.Background()
	s.call(ctx, message.Order{Action: cell.Start{}, IssuedAt: c.Steady() - maxStartAge - time.Millisecond})
	if got := (<-events.Items()).Event.(cell.StartAnswered); got.Outcome != cell.StartNotSent {
		t.Errorf("start older than maxStartAge: got outcome %d, want %d", got.Outcome, cell.StartNotSent)
	}
	s.call(ctx, message.Order{Action: cell.Start{}, IssuedAt: c.Steady()})
	if got := (<-events.Items()).Event.(cell.StartAnswered); got.Outcome != cell.StartAccepted {
		t.Errorf("new start: got outcome %d, want %d", got.Outcome, cell.StartAccepted)
	}
	if sent := workers.starts.Stats().Depth; sent != 1 {
		t.Errorf("got %d starts sent, want 1", sent)
	}
}

// silentWorkers answer no start, except those of server "sound".
type silentWorkers struct{ countingWorkers }

func (s silentWorkers) Start(ctx context.Context, _ fleet.Epoch, a cell.Start) cell.StartAnswered {
	if a.Server == "sound" {
		return cell.StartAnswered{Server: a.Server, Outcome: cell.StartAccepted}
	}
	<-ctx.Done()
	return cell.StartAnswered{Server: a.Server, Outcome: cell.StartUnknown}
}

// Guards against a start that waits behind starts without an answer: the holder orders
// up to 112 of them at a time.
func TestStartIsSentWhileOthersAreUnanswered(t *testing.T) {
	events := supervise.NewRing[message.WorkerEvent]("test.events", 512, supervise.Wait)
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	c := clock.New()
	s := New(tree, silentWorkers{}, nil, c, events, prometheus.NewRegistry())
	ctx := t.Context()
	go func() { _ = tree.Serve(ctx) }() // ends with the test
	for range 112 {
		_ = s.Orders.Put(ctx, message.Order{Action: cell.Start{Server: "silent"}, IssuedAt: c.Steady()}) // the ring has room
	}
	_ = s.Orders.Put(ctx, message.Order{Action: cell.Start{Server: "sound"}, IssuedAt: c.Steady()})
	first := (<-events.Items()).Event.(cell.StartAnswered)
	if first.Server != "sound" {
		t.Errorf("got the answer of %s first, want that of the sound worker, which answers at once", first.Server)
	}
}

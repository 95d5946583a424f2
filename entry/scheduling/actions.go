package scheduling

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// act carries out what the decision asks for. A run that can't be handed to
// its line ends at once as not written, which may yield further actions.
func (w *partitionWork) act(ctx context.Context, actions []partition.Action) {
	for i := 0; i < len(actions); i++ {
		a := actions[i]
		switch a.Kind {
		case partition.Run:
			if a.Attempt > 1 {
				w.record(ctx, string(a.ID))
			}
			actions = w.start(ctx, a, actions)
		case partition.Refuse:
			w.record(ctx, string(a.ID))
			w.finish(a.ID, message.Refusal(a.ID, w.refusalReason(a.Reason), a.RetryAfter))
		case partition.Deliver:
			w.deliver(a.ID)
		case partition.PlaceTask, partition.DeclineTask:
			actions = w.answerOffer(ctx, a, actions)
		case partition.ThrottleTask, partition.UnthrottleTask, partition.EvictTask:
			w.relieve(ctx, a)
		case partition.GiveUp:
			w.record(ctx, string(a.ID))
			w.finish(a.ID, message.UnknownOutcome(a.ID, a.Reason))
		}
	}
	w.actions = actions[:0]
}

// refusalReason sends requests that were withdrawn by a drain to the next
// holder.
func (w *partitionWork) refusalReason(reason outcome.Reason) outcome.Reason {
	if w.draining && reason == outcome.Cancelled {
		return outcome.NotHolder
	}
	return reason
}

func (w *partitionWork) start(ctx context.Context, a partition.Action, actions []partition.Action) []partition.Action {
	p, line := w.pending[a.ID], w.lines[a.Server]
	if p != nil && line != nil && time.Now().Before(w.lease.Until) {
		err := line.Exchanges.Put(ctx, message.Exchange{
			Request: p.submission.Request, Partition: w.lease.Partition, Epoch: w.lease.Epoch,
			LeaseUntil: w.lease.Until, Attempt: a.Attempt, Done: w.duty.rings.completions,
		})
		if err == nil {
			w.inFlight++
			w.duty.metrics.started(a, p.submission.Request.Class, p.arrived)
			return actions
		}
	}
	if p != nil {
		p.keep(message.Refusal(a.ID, outcome.LeaseLapsed, 0))
	}
	return w.state.Complete(time.Now(), partition.Completion{
		ID: a.ID, Server: a.Server, Attempt: a.Attempt, Result: partition.NotWritten, SlotReleased: true,
	}, actions)
}

// deliver passes on the last whole answer.
func (w *partitionWork) deliver(id fleet.RequestID) {
	if p := w.pending[id]; p != nil {
		w.finish(id, p.answer)
	}
}

func (w *partitionWork) finish(id fleet.RequestID, a message.Answer) {
	p := w.pending[id]
	if p == nil {
		return
	}
	delete(w.pending, id)
	a = w.keys.end(p.submission.Request, a)
	p.submission.Deliver(w.withHint(a))
}

// withHint attaches the partition's load, which the routing duties use to
// choose between holders.
func (w *partitionWork) withHint(a message.Answer) message.Answer {
	a.Partition = w.lease.Partition
	free, capacity, waiting := w.state.Load(time.Now())
	a.Hint = message.LoadHint{
		Partition: w.lease.Partition, Epoch: w.lease.Epoch,
		FreeSlots: free, Capacity: capacity, Waiting: waiting, ExpectedWait: w.state.ExpectedWait(time.Now()),
	}
	return a
}

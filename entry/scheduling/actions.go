package scheduling

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// execute carries out the actions of the decision. A run that can't be put on the
// ring of its connection pool completes at once as not written, which may add
// further actions.
func (w *partitionWorker) execute(ctx context.Context, actions []partition.Action) {
	for i := 0; i < len(actions); i++ {
		a := actions[i]
		switch a.Kind {
		case partition.Run:
			if a.Attempt > 1 {
				w.recordDecision(ctx, string(a.ID))
			}
			actions = w.startAttempt(ctx, a, actions)
		case partition.Refuse:
			w.recordDecision(ctx, string(a.ID))
			w.finish(a.ID, message.Refusal(a.ID, w.refusalReason(a.Reason), a.RetryAfter))
		case partition.Deliver:
			w.deliver(a.ID)
		case partition.PlaceTask, partition.DeclineTask:
			actions = w.answerOffer(ctx, a, actions)
		case partition.ThrottleTask, partition.UnthrottleTask, partition.EvictTask:
			w.signalThrottleOrEviction(ctx, a)
		case partition.GiveUp:
			w.recordDecision(ctx, string(a.ID))
			w.finish(a.ID, message.UnknownOutcome(a.ID, a.Reason))
		}
	}
	w.actions = actions[:0]
}

// refusalReason returns NotHolder for requests cancelled by a drain, so that they
// are sent to the next holder.
func (w *partitionWorker) refusalReason(reason outcome.Reason) outcome.Reason {
	if w.draining && reason == outcome.Cancelled {
		return outcome.NotHolder
	}
	return reason
}

// startAttempt puts a run on the ring of the backend server's connection pool.
func (w *partitionWorker) startAttempt(ctx context.Context, a partition.Action, actions []partition.Action) []partition.Action {
	p, pool := w.pending[a.ID], w.pools[a.Server]
	if p != nil && pool != nil && time.Now().Before(w.lease.Until) {
		err := pool.Exchanges.Put(ctx, message.Exchange{
			Request: p.submission.Request, Partition: w.lease.Partition, Epoch: w.lease.Epoch,
			LeaseUntil: w.lease.Until, Attempt: a.Attempt, Done: w.duty.rings.completions,
		})
		if err == nil {
			w.inFlight++
			w.duty.metrics.countAttempt(a, p.submission.Request.Class, p.arrived)
			return actions
		}
	}
	if p != nil {
		p.setAnswer(message.Refusal(a.ID, outcome.LeaseExpired, 0))
	}
	return w.state.Complete(time.Now(), partition.Completion{
		ID: a.ID, Server: a.Server, Attempt: a.Attempt, Result: partition.NotWritten, SlotReleased: true,
	}, actions)
}

// deliver answers a request with its recorded answer.
func (w *partitionWorker) deliver(id fleet.RequestID) {
	if p := w.pending[id]; p != nil {
		w.finish(id, p.answer)
	}
}

// finish answers a pending request and the repeats of its key.
func (w *partitionWorker) finish(id fleet.RequestID, a message.Answer) {
	p := w.pending[id]
	if p == nil {
		return
	}
	delete(w.pending, id)
	a = w.keys.end(p.submission.Request, a)
	p.submission.Deliver(w.withHint(a))
}

// withHint adds the partition's load to an answer. Routing duties use it to choose
// between holders.
func (w *partitionWorker) withHint(a message.Answer) message.Answer {
	a.Partition = w.lease.Partition
	free, capacity, waiting := w.state.Load(time.Now())
	a.Hint = message.LoadHint{
		Partition: w.lease.Partition, Epoch: w.lease.Epoch,
		FreeSlots: free, Capacity: capacity, Waiting: waiting, ExpectedWait: w.state.ExpectedWait(time.Now()),
	}
	return a
}

package scheduling

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/message"
)

// command carries out a command of the ledger duty.
func (w *partitionWork) command(ctx context.Context, c message.TaskCommand) {
	switch c := c.(type) {
	case message.TaskOffer:
		w.offer(ctx, c)
	case message.TaskEnded:
		w.taskEnded(ctx, c)
	case message.TaskAdopted:
		w.adopt(ctx, c)
	}
}

// adopt takes the room of an attempt that a former holder started.
func (w *partitionWork) adopt(ctx context.Context, a message.TaskAdopted) {
	if a.Epoch != w.lease.Epoch || a.Attempt < w.attempts[a.Task] {
		return
	}
	w.attempts[a.Task] = a.Attempt
	task := partition.RunningTask{Task: a.Task, Kind: a.Kind, Resources: a.Resources}
	w.act(ctx, w.state.Adopt(time.Now(), a.Server, task, w.actions[:0]))
}

// offer declines while the partition may start nothing: under another epoch,
// in a drain, or with a lease that has ended.
func (w *partitionWork) offer(ctx context.Context, o message.TaskOffer) {
	if o.Epoch != w.lease.Epoch || w.draining || !time.Now().Before(w.lease.Until) {
		_ = w.duty.signals.Put(ctx, message.TaskDeclined{Task: o.Task, Attempt: o.Attempt, Partition: o.Partition})
		return
	}
	w.attempts[o.Task] = max(w.attempts[o.Task], o.Attempt)
	w.act(ctx, w.state.OfferTask(time.Now(), partition.TaskOffer{
		Task: o.Task, Kind: o.Kind, Team: o.Team, Resources: o.Resources, Avoid: o.Avoid,
	}, w.actions[:0]))
}

// answerOffer gives the room back when the ledger can't take the answer.
func (w *partitionWork) answerOffer(ctx context.Context, a partition.Action, actions []partition.Action) []partition.Action {
	attempt := w.attempts[a.Task]
	if a.Kind == partition.DeclineTask {
		delete(w.attempts, a.Task)
		_ = w.duty.signals.Put(ctx, message.TaskDeclined{Task: a.Task, Attempt: attempt, Partition: w.lease.Partition})
		return actions
	}
	err := w.duty.signals.Put(ctx, message.TaskPlaced{
		Task: a.Task, Attempt: attempt, Partition: w.lease.Partition, Epoch: w.lease.Epoch, Server: a.Server,
	})
	if err == nil {
		return actions
	}
	delete(w.attempts, a.Task)
	return w.state.TaskEnded(time.Now(), a.Task, actions)
}

// taskEnded frees the room of an attempt. The end of an earlier attempt that
// is repeated late must not free the room of the present one.
func (w *partitionWork) taskEnded(ctx context.Context, e message.TaskEnded) {
	if e.Attempt < w.attempts[e.Task] {
		return
	}
	delete(w.attempts, e.Task)
	w.act(ctx, w.state.TaskEnded(time.Now(), e.Task, w.actions[:0]))
}

// relieve passes a relief action on to the ledger. A refused signal is decided
// again with the next usage report.
func (w *partitionWork) relieve(ctx context.Context, a partition.Action) {
	w.record(ctx, string(a.Task))
	w.duty.metrics.relieved(a.Kind)
	if a.Kind == partition.EvictTask {
		_ = w.duty.signals.Put(ctx, message.EvictTask{Task: a.Task, Server: a.Server})
		return
	}
	_ = w.duty.signals.Put(ctx, message.ThrottleTask{
		Task: a.Task, Server: a.Server, Throttled: a.Kind == partition.ThrottleTask,
	})
}

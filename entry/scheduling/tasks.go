package scheduling

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/message"
)

// handleCommand carries out a command of the ledger duty.
func (w *partitionWorker) handleCommand(ctx context.Context, c message.TaskCommand) {
	switch c := c.(type) {
	case message.TaskOffer:
		w.handleOffer(ctx, c)
	case message.TaskEnded:
		w.handleTaskEnd(ctx, c)
	case message.TaskAdopted:
		w.handleAdoption(ctx, c)
	}
}

// handleAdoption reserves resources for a task attempt started by a former holder.
func (w *partitionWorker) handleAdoption(ctx context.Context, a message.TaskAdopted) {
	if a.Epoch != w.lease.Epoch || a.Attempt < w.attempts[a.Task] {
		return
	}
	w.attempts[a.Task] = a.Attempt
	task := partition.RunningTask{Task: a.Task, Kind: a.Kind, Resources: a.Resources}
	w.execute(ctx, w.state.Adopt(time.Now(), a.Server, task, w.actions[:0]))
}

// handleOffer passes an offered task to the decision. It declines an offer made
// under another epoch, during a drain, or after the end of the lease, because the
// partition must not start work then.
func (w *partitionWorker) handleOffer(ctx context.Context, o message.TaskOffer) {
	if o.Epoch != w.lease.Epoch || w.draining || !time.Now().Before(w.lease.Until) {
		_ = w.duty.signals.Put(ctx, message.TaskDeclined{Task: o.Task, Attempt: o.Attempt, Partition: o.Partition})
		return
	}
	w.attempts[o.Task] = max(w.attempts[o.Task], o.Attempt)
	w.execute(ctx, w.state.OfferTask(time.Now(), partition.TaskOffer{
		Task: o.Task, Kind: o.Kind, Team: o.Team, Resources: o.Resources, Avoid: o.Avoid,
	}, w.actions[:0]))
}

// answerOffer reports the decision on an offered task to the ledger duty. When the
// ring refuses the report of a placed task, its resources are released.
func (w *partitionWorker) answerOffer(ctx context.Context, a partition.Action, actions []partition.Action) []partition.Action {
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

// handleTaskEnd releases the resources of a task attempt. A late repetition
// of an earlier attempt's end must not release the resources of the present one.
func (w *partitionWorker) handleTaskEnd(ctx context.Context, e message.TaskEnded) {
	if e.Attempt < w.attempts[e.Task] {
		return
	}
	delete(w.attempts, e.Task)
	w.execute(ctx, w.state.TaskEnded(time.Now(), e.Task, w.actions[:0]))
}

// signalThrottleOrEviction sends an eviction, a throttling or the end of one to the
// ledger duty. When the ring refuses it, the action is decided again with the next
// usage report.
func (w *partitionWorker) signalThrottleOrEviction(ctx context.Context, a partition.Action) {
	w.recordDecision(ctx, string(a.Task))
	w.duty.metrics.countThrottleOrEviction(a.Kind)
	if a.Kind == partition.EvictTask {
		_ = w.duty.signals.Put(ctx, message.EvictTask{Task: a.Task, Server: a.Server})
		return
	}
	_ = w.duty.signals.Put(ctx, message.ThrottleTask{
		Task: a.Task, Server: a.Server, Throttled: a.Kind == partition.ThrottleTask,
	})
}

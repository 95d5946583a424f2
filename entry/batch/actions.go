package batch

import (
	"context"
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	taskrecord "lacewingfork.example/lacewingfork/records/task"
)

// execute carries out the actions of a planner step. It never blocks: every
// ring refuses or drops an item when it is full.
func (l *ledger) execute(ctx context.Context, now time.Time, a task.Actions) {
	for _, r := range a.Releases {
		l.ended = append(l.ended, message.TaskEnded{
			Task: r.Task.ID(), Attempt: r.Attempt, Partition: r.Partition, Epoch: r.Epoch, Server: r.Server,
		})
	}
	l.sendEnded(ctx)
	for _, o := range a.Offers {
		l.sendOffer(ctx, now, o)
	}
	for _, x := range a.Appends {
		l.sendAppend(ctx, now, x)
	}
	for _, c := range a.Calls {
		if l.calls.Put(ctx, message.TaskCall{Call: c}) != nil {
			l.counters.RefusedCalls++
			l.planner.CallDone(now, task.CallResult{Call: c, Outcome: task.CallNotSent, Reason: "ring of calls is full"})
		}
	}
	for _, e := range a.Events {
		l.publishEvent(ctx, now, e)
	}
	if a.Snapshot {
		l.writeSnapshot(now)
	}
}

// sendEnded reports ended attempts to the partition duties. A notification that
// a full ring refuses is retried at the next step; one for a partition or epoch
// that is no longer served is dropped.
func (l *ledger) sendEnded(ctx context.Context) {
	kept := l.ended[:0]
	for _, e := range l.ended {
		route, ok := l.routes[e.Partition]
		if !ok || route.Epoch != e.Epoch {
			continue
		}
		if route.Commands.Put(ctx, e) != nil {
			kept = append(kept, e)
		}
	}
	l.ended = kept
}

func (l *ledger) sendOffer(ctx context.Context, now time.Time, o task.Offer) {
	route, ok := l.routes[o.Partition]
	if ok && route.Epoch == o.Epoch && route.Commands.Put(ctx, message.TaskOffer{
		Task: o.Task.ID(), Attempt: o.Attempt, Partition: o.Partition, Epoch: o.Epoch,
		Kind: o.Kind, Team: o.Team, Resources: o.Resources, Avoid: o.Avoid,
	}) == nil {
		return
	}
	l.counters.RefusedOffers++
	l.planner.Declined(now, o.Task, o.Attempt, o.Partition)
}

func (l *ledger) sendAppend(ctx context.Context, now time.Time, x task.Append) {
	data, err := taskrecord.Encode(x.Record)
	if err != nil {
		l.counters.LastError = err.Error()
		return
	}
	if l.settings.Appends.Put(ctx, message.Append{Stream: l.stream, ID: x.ID, Data: data}) != nil {
		l.planner.AppendRefused(now, x.ID)
	}
}

func (l *ledger) writeSnapshot(now time.Time) {
	id := fmt.Sprintf("%s-%d", l.settings.Instance, now.UnixNano())
	parts, err := taskrecord.EncodeSnapshot(id, l.planner.Fold().Snapshot())
	if err != nil {
		l.counters.LastError = err.Error()
		return
	}
	l.counters.SnapshotBytes = 0
	for _, p := range parts {
		l.counters.SnapshotBytes += len(p.Data)
	}
	l.planner.AppendParts(now, parts)
}

func (l *ledger) publishEvent(ctx context.Context, now time.Time, e task.Event) {
	l.settings.Metrics.countEvent(e)
	if l.settings.Events == nil {
		return
	}
	subject := string(e.Task.Job)
	if e.Attempt > 0 {
		subject = string(e.Task.ID())
	}
	if subject == "" {
		subject = string(e.Server)
	}
	_ = l.settings.Events.Put(ctx, message.Event{
		At: now, Subject: subject, Event: string(e.Kind),
		Detail: map[string]any{"backend_server": e.Server, "attempt": e.Attempt, "detail": e.Detail},
	})
}

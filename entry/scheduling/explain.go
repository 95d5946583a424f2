package scheduling

import (
	"context"

	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/message"
)

// decisionEvents returns the recorded decisions about a subject, oldest first.
func (w *partitionWorker) decisionEvents(subject string) []message.Event {
	decisions := w.state.Explain(subject)
	events := make([]message.Event, 0, len(decisions))
	for _, d := range decisions {
		events = append(events, w.newEvent(d))
	}
	return events
}

// recordDecision sends the newest decision about a subject to the history duty,
// which keeps it longer. Only decisions that operators are likely to query are
// recorded: refusals, retries, unknown outcomes and actions on tasks.
func (w *partitionWorker) recordDecision(ctx context.Context, subject string) {
	if decisions := w.state.Explain(subject); len(decisions) > 0 {
		_ = w.duty.events.Put(ctx, w.newEvent(decisions[len(decisions)-1]))
	}
}

func (w *partitionWorker) newEvent(d partition.Decision) message.Event {
	detail := map[string]any{"partition": w.lease.Partition, "epoch": w.lease.Epoch}
	if d.Reason != "" {
		detail["reason"] = d.Reason
	}
	if d.Server != "" {
		detail["backend_server"] = d.Server
	}
	if d.Wait > 0 {
		detail["wait_ms"] = float64(d.Wait.Microseconds()) / 1000
	}
	if d.Slowdown > 0 {
		detail["slowdown"] = d.Slowdown
	}
	if len(d.Candidates) > 0 {
		detail["candidates"] = d.Candidates
	}
	if len(d.Excluded) > 0 {
		detail["excluded"] = d.Excluded
	}
	return message.Event{At: d.At, Subject: d.Subject, Event: string(d.Verdict), Detail: detail}
}

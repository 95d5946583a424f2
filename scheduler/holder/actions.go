package holder

import (
	"context"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/store"
)

// executeActions executes the actions of the decisions and appends pending
// records.
func (d *Duty) executeActions(ctx context.Context) {
	r := d.role
	if r == nil {
		return
	}
	for _, a := range r.cell.Actions() {
		d.execute(ctx, a)
		if d.role != r {
			return
		}
	}
	d.appendNext(ctx)
}

func (d *Duty) execute(ctx context.Context, a cell.Action) {
	r := d.role
	switch a := a.(type) {
	case cell.Reply:
		request, ok := r.requests[a.Token]
		if !ok {
			return
		}
		delete(r.requests, a.Token)
		d.metrics.observeReply(request.Kind, a.Reply)
		d.reply(request, message.Response{ID: request.ID, Reply: a.Reply})
	case cell.Note:
		d.logNote(a)
	case cell.Superseded:
		d.log.Event("worker_knows_later_epoch", "epoch", r.epoch, "server", a.Server)
		d.endRole("fenced_by_worker")
	case cell.Hold:
		if a.Extra {
			d.sendOrder(ctx, a)
			return
		}
		if d.rings.Holds.Put(ctx, message.Order{Epoch: r.epoch, Action: a, IssuedAt: d.clock.Steady()}) != nil {
			d.handle(cell.HoldAnswered{Server: a.Server, Number: a.Number, Sent: d.clock.Steady()})
		}
	default:
		d.sendOrder(ctx, a)
	}
}

// sendOrder sends a call to the workers. If the ring is full the order was not
// sent: a start counts as not sent, a hold or an advice call as unanswered.
func (d *Duty) sendOrder(ctx context.Context, a cell.Action) {
	if d.rings.Orders.Put(ctx, message.Order{Epoch: d.role.epoch, Action: a, IssuedAt: d.clock.Steady()}) == nil {
		return
	}
	switch a := a.(type) {
	case cell.Start:
		d.handle(cell.StartAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Outcome: cell.StartNotSent, Sent: d.clock.Steady()})
	case cell.Hold:
		d.handle(cell.HoldAnswered{Server: a.Server, Number: a.Number, Sent: d.clock.Steady()})
	case cell.Advise:
		d.handle(cell.AdviceAnswered{Step: a.Step, Workers: a.Workers, Sent: d.clock.Steady()})
	}
}

func (d *Duty) logNote(n cell.Note) {
	d.metrics.observeNote(n)
	pairs := make([]any, 0, 8+2*len(n.Detail))
	pairs = append(pairs, "epoch", d.role.epoch)
	if n.Job != "" {
		pairs = append(pairs, "job", n.Job)
	}
	if n.Task != "" {
		pairs = append(pairs, "task", n.Task)
	}
	if n.Server != "" {
		pairs = append(pairs, "server", n.Server)
	}
	for key, value := range n.Detail {
		pairs = append(pairs, key, value)
	}
	d.log.Event(string(n.Event), pairs...)
}

// heartbeatItems are the records of an append that only confirms the role of holder.
var heartbeatItems = []api.Item{{Key: cellrecord.HeartbeatKey, Value: []byte("{}")}}

// appendNext appends the next batch if no append is in flight, or a heartbeat
// record if the interval has passed without an append.
func (d *Duty) appendNext(ctx context.Context) {
	r := d.role
	if r.appendInFlight || d.clock.Steady()-r.appendedAt < minAppendInterval && r.steppedDownAt == 0 {
		return // retried at the next event or tick
	}
	batch, ok := r.cell.TakeBatch()
	var items []api.Item
	switch {
	case ok:
		encoded, err := cellrecord.Encode(batch.Records)
		if err != nil {
			d.log.Event("record_not_encoded", "error", err)
			d.endRole("record_not_encoded")
			return
		}
		items = encoded
		switch {
		case len(items) > 0:
		case batch.Confirms:
			items = heartbeatItems
		default: // the batch holds only acknowledgements that change no record
			d.handle(cell.Committed{Batch: batch.Number})
			d.executeActions(ctx)
			return
		}
	case d.clock.Steady()-r.appendedAt >= heartbeatInterval || !r.hasAuthority:
		items = heartbeatItems
	default:
		return
	}
	r.sequence++
	r.appendInFlight = true
	if r.unacknowledgedSince == 0 {
		r.unacknowledgedSince = d.clock.Steady()
	}
	a := store.Append{Epoch: r.epoch, Sequence: r.sequence, Batch: batch.Number, Items: items}
	_ = d.rings.Appends.Put(ctx, a) // drops the oldest; the ring is empty while no append is in flight
}

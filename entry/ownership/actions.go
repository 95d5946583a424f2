package ownership

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/ownership"
)

// carryOut executes the actions of one event. Subscribers hear of leases that
// ended before anything goes to the log or to peers.
func (d *duty) carryOut(ctx context.Context, a *lease.Actions) {
	changes := d.member.Changes()
	if len(a.Acquired)+len(a.Extended)+len(a.Lost) > 0 || changes != d.changes {
		d.changes = changes
		d.publish(ctx, time.Now())
	}
	for _, r := range a.Appends {
		d.append(ctx, r)
	}
	for _, r := range a.Requests {
		_ = d.rings.SendRequests.Put(ctx, message.PromiseRequest{Peer: r.Peer, PromiseRequest: r.Message})
	}
	for _, p := range a.Promises {
		_ = d.rings.SendPromises.Put(ctx, message.Promise{Peer: p.Peer, Promise: p.Message})
	}
	for _, g := range a.GiveBacks {
		_ = d.rings.SendGiveBacks.Put(ctx, message.GiveBack{Peer: g.Peer, GiveBack: g.Message})
	}
	d.explain(ctx, a)
	if d.release != nil && d.member.Released() {
		d.answerRelease(true)
	}
}

// append hands a record to the log writer. A record that the ring refuses is
// not in the log; the member repeats what it still needs.
func (d *duty) append(ctx context.Context, r lease.Record) {
	data, err := records.Encode(r)
	if err == nil {
		err = d.rings.Appends.Put(ctx, message.Append{Stream: d.stream, ID: r.ID, Data: data, Result: d.results})
	}
	if err != nil {
		d.counters.Refused++
		_ = d.results.Put(ctx, message.AppendResult{ID: r.ID, Err: err})
	}
}

// publish hands the whole view to the subscribers; the newest wins. Each gets
// a map of its own.
func (d *duty) publish(ctx context.Context, now time.Time) {
	d.settings.Metrics.holds(len(d.member.Leases(now)))
	for _, subscriber := range d.rings.Subscribers {
		_ = subscriber.Put(ctx, d.holdings(now))
	}
}

func (d *duty) holdings(now time.Time) message.Holdings {
	h := message.Holdings{Holders: map[fleet.PartitionID]message.HolderView{}, Peers: d.peers}
	for _, l := range d.member.Leases(now) {
		h.Own = append(h.Own, message.Holding{Partition: l.Partition, Epoch: l.Epoch, Until: l.Until})
	}
	d.member.Holders(func(p fleet.PartitionID, o lease.Ownership) {
		h.Holders[p] = message.HolderView{Holder: o.Holder.ID, Epoch: o.Epoch}
	})
	return h
}

func (d *duty) explain(ctx context.Context, a *lease.Actions) {
	d.counters.Acquired += uint64(len(a.Acquired))
	d.counters.Lost += uint64(len(a.Lost))
	d.settings.Metrics.changed(a)
	if d.rings.Events == nil {
		return
	}
	now := time.Now()
	for _, l := range a.Acquired {
		_ = d.rings.Events.Put(ctx, message.Event{
			At: now, Subject: string(l.Partition), Event: "lease_acquired", Detail: map[string]any{"epoch": l.Epoch},
		})
	}
	for _, l := range a.Lost {
		_ = d.rings.Events.Put(ctx, message.Event{
			At: now, Subject: string(l.Partition), Event: "lease_lost",
			Detail: map[string]any{"epoch": l.Epoch, "reason": l.Reason},
		})
	}
}

// dutyState is the duty's part of the state dump.
type dutyState struct {
	Incarnation uint64           `json:"incarnation"`
	Stopping    bool             `json:"stopping"`
	Next        fleet.Offset     `json:"next_offset"`
	Counters    counters         `json:"counters"`
	Partitions  []partitionState `json:"partitions"`
}

type partitionState struct {
	Partition   fleet.PartitionID `json:"partition"`
	Holder      fleet.InstanceID  `json:"holder,omitempty"`
	Epoch       fleet.Epoch       `json:"epoch"`
	Valid       bool              `json:"valid_here"`
	RemainingMS int64             `json:"remaining_ms,omitempty"`
	Obstacle    string            `json:"not_acquired_because,omitempty"`
}

func (d *duty) dump(now time.Time) dutyState {
	state := dutyState{
		Incarnation: d.kept.incarnation, Stopping: d.kept.stopping, Next: d.next, Counters: d.counters,
	}
	for _, r := range d.member.Report(now) {
		state.Partitions = append(state.Partitions, partitionState{
			Partition: r.Partition, Holder: r.Holder, Epoch: r.Epoch,
			Valid: r.Valid, RemainingMS: r.Remaining.Milliseconds(), Obstacle: r.Obstacle,
		})
	}
	return state
}

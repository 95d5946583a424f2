package ownership

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/ownership"
)

// execute carries out the actions of one event. Subscribers receive the end of a
// lease before any message goes to the log or to peers.
func (d *duty) execute(ctx context.Context, a *lease.Actions) {
	changes := d.member.Changes()
	if len(a.Acquired)+len(a.Extended)+len(a.Lost) > 0 || changes != d.publishedChanges {
		d.publishedChanges = changes
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
	d.recordChanges(ctx, a)
	if d.pendingRelease != nil && d.member.Released() {
		d.answerRelease(true)
	}
}

// append sends a record to the log writer. A record refused by the ring is not
// in the log; the member repeats it if it is still needed.
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

// publish sends the complete holdings to the subscribers, whose rings keep the
// newest. Each subscriber gets its own map.
func (d *duty) publish(ctx context.Context, now time.Time) {
	d.settings.Metrics.setHeld(len(d.member.Leases(now)))
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

// recordChanges counts acquired and lost leases and sends an event for each to
// the history.
func (d *duty) recordChanges(ctx context.Context, a *lease.Actions) {
	d.counters.Acquired += uint64(len(a.Acquired))
	d.counters.Lost += uint64(len(a.Lost))
	d.settings.Metrics.countChanges(a)
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

// dutyState is the state of the duty in a state dump.
type dutyState struct {
	Incarnation uint64           `json:"incarnation"`
	Stopping    bool             `json:"stopping"`
	Next        fleet.Offset     `json:"next_offset"`
	Counters    counters         `json:"counters"`
	Partitions  []partitionState `json:"partitions"`
}

type partitionState struct {
	Partition          fleet.PartitionID `json:"partition"`
	Holder             fleet.InstanceID  `json:"holder,omitempty"`
	Epoch              fleet.Epoch       `json:"epoch"`
	Valid              bool              `json:"valid_here"`
	RemainingMS        int64             `json:"remaining_ms,omitempty"`
	NotAcquiredBecause string            `json:"not_acquired_because,omitempty"`
}

func (d *duty) dump(now time.Time) dutyState {
	state := dutyState{
		Incarnation: d.persistent.incarnation, Stopping: d.persistent.stopping, Next: d.next, Counters: d.counters,
	}
	for _, r := range d.member.Report(now) {
		state.Partitions = append(state.Partitions, partitionState{
			Partition: r.Partition, Holder: r.Holder, Epoch: r.Epoch,
			Valid: r.Valid, RemainingMS: r.Remaining.Milliseconds(), NotAcquiredBecause: r.NotAcquiredBecause,
		})
	}
	return state
}

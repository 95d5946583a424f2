package election

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/election"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// search makes one attempt to find a holder: it follows the recorded one, or
// takes the cell over if there is none.
func (d *Duty) search(ctx context.Context) {
	members, recorded, err := d.readMembers(ctx)
	if err != nil {
		return
	}
	d.round = max(d.round, recorded.Round)
	if recorded.Epoch > d.holder.Epoch && recorded.Instance != d.settings.Instance {
		d.follow(message.Holder{Epoch: recorded.Epoch, Instance: recorded.Instance, Address: recorded.Address}, "members")
		return
	}
	if recorded.Epoch > 0 && recorded.Instance == d.settings.Instance && d.holder.Epoch == 0 && !d.claimNow {
		// The recorded holder is an earlier process of this instance, which has
		// ended.
		d.log.Event("own_earlier_process_held", "epoch", recorded.Epoch, "round", recorded.Round)
		d.claimNow = true
	}
	if d.stopping {
		return // a stopping instance follows the next holder but does not claim the cell
	}
	now := d.clock.Steady()
	if d.followedEpoch == d.holder.Epoch && now-d.followedAt < linkUpTimeout {
		return // the link to this holder may still come up
	}
	if !d.claimNow && now-d.delayStart < election.Delay(d.rank(members)) {
		return
	}
	d.takeOver(ctx)
}

// rank returns the position of this instance in the order of takeover.
func (d *Duty) rank(members []cellrecord.Member) int {
	list := make([]election.Member, 0, len(members))
	for _, m := range members {
		list = append(list, election.Member{
			ID: m.Instance, Processor: m.Processor, StoreLatency: time.Duration(m.StoreLatencyMs) * time.Millisecond,
		})
	}
	return election.Rank(list, d.settings.Instance, d.holder.Instance)
}

// takeOver claims the cell if the holder no longer appends. The claim fails if
// anything was appended after the records were read, so the records are
// complete. They are several megabytes, and the link between two regions cannot
// carry them for every instance that has lost its holder; therefore they are
// read only after the check for appends.
func (d *Duty) takeOver(ctx context.Context) {
	start := d.clock.Steady()
	if d.holderAppends(ctx) {
		d.delayStart = d.clock.Steady()
		return
	}
	items, end, err := d.readCell(ctx)
	if err != nil {
		return
	}
	decoded := cellrecord.Decode(items)
	for _, record := range decoded.Unreadable {
		d.log.Event("record_unreadable", "key", record.Key, "error", record.Reason)
	}
	d.round = max(d.round, decoded.Holder.Round)
	round := d.round + 1
	claim := cellrecord.Holder{
		Epoch: election.NextEpoch(round, rand.Uint32()), Round: round, Instance: d.settings.Instance, Address: d.settings.Address,
	}
	claimedAt := d.clock.Steady()
	if err := d.claim(ctx, claim, end); err != nil {
		d.log.Event("claim_failed", "epoch", claim.Epoch, "at", end, "error", err)
		if errors.Is(err, api.ErrFenced) {
			d.round = round
		}
		d.delayStart = d.clock.Steady()
		return
	}
	d.log.Event("claimed", "epoch", claim.Epoch, "round", round, "after", decoded.Holder.Epoch, "records", len(decoded.Records),
		"took_ms", (d.clock.Steady() - start).Milliseconds())
	d.round, d.searching, d.claimNow, d.holderRecorded = round, false, false, false
	d.follow(message.Holder{Epoch: claim.Epoch, Instance: claim.Instance, Address: claim.Address, Self: true}, "claimed")
	_ = d.rings.Elected.Put(ctx, message.Elected{Epoch: claim.Epoch, Round: round, Records: decoded.Records, ClaimedAt: claimedAt}) // keeps the newest
	d.recordHolder(ctx)
}

// readCell returns the records of the cell and the end of its topic.
func (d *Duty) readCell(ctx context.Context) ([]api.Item, fleet.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	items, end, err := d.store.Newest(ctx, cellrecord.CellTopic)
	d.recordStoreResult(err)
	return items, end, err
}

// holderAppends reports whether the holder appends within the window in which
// it must append a heartbeat. It also returns true if the store cannot be read.
// A cell without records has never had a holder, and after a handover it has
// none.
func (d *Duty) holderAppends(ctx context.Context) bool {
	if d.claimNow {
		return false
	}
	window := election.UnresponsiveWindow
	if d.connectionRefused {
		window = election.RefusedWindow
	}
	end, err := d.readEnd(ctx, 0, 0)
	if err != nil {
		return true
	}
	if end == 0 {
		return false
	}
	next, err := d.readEnd(ctx, end, window)
	if err != nil {
		return true
	}
	if next > end {
		d.log.Event("holder_alive_in_store", "epoch", d.holder.Epoch, "holder", d.holder.Instance, "appended", next-end)
		return true
	}
	return false
}

// readEnd returns the end of the cell's topic. It waits until the end is greater
// than beyond, at most for wait.
func (d *Duty) readEnd(ctx context.Context, beyond fleet.Offset, wait time.Duration) (fleet.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	end, err := d.store.End(ctx, cellrecord.CellTopic, beyond, wait)
	d.recordStoreResult(err)
	return end, err
}

// claim appends the holder record if the cell's topic still ends at end.
func (d *Duty) claim(ctx context.Context, claim cellrecord.Holder, end fleet.Offset) error {
	item, err := cellrecord.EncodeValue(cellrecord.HolderKey, claim)
	if err != nil {
		return err
	}
	const attempts = 3 // a retry of an executed append returns the result of the first attempt
	for range attempts {
		err = d.claimOnce(ctx, claim.Epoch, item, end)
		if err == nil || errors.Is(err, api.ErrFenced) || errors.Is(err, api.ErrEndMismatch) || errors.Is(err, api.ErrSequence) {
			return err
		}
	}
	return err
}

func (d *Duty) claimOnce(ctx context.Context, epoch fleet.Epoch, item api.Item, end fleet.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.store.Append(ctx, api.Append{
		Topic: cellrecord.CellTopic, Items: []api.Item{item}, Producer: cellrecord.Producer, Epoch: epoch, ExpectedEnd: end,
	})
	d.recordStoreResult(err)
	return err
}

package holder

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// authorityTimeout is how long a holder keeps its authority without a
// confirmation that no other instance holds the cell. It must be less than
// cell.Settings.AuthorityBound.
const authorityTimeout = 2 * time.Second

// handleHeartbeat handles a heartbeat of a linked instance. If that instance
// cannot reach the store either, it confirms that no other instance has taken
// over through it.
func (d *Duty) handleHeartbeat(heartbeat message.Heartbeat) {
	r := d.role
	if r == nil {
		return
	}
	if heartbeat.Epoch > r.epoch {
		d.endRole("peer_knows_later_epoch")
		return
	}
	if heartbeat.Epoch == r.epoch && heartbeat.StoreOutage > 0 {
		r.confirmedAt = d.clock.Steady()
		d.checkAuthority()
	}
}

// checkAuthority updates whether the role is confirmed recently enough to decide.
func (d *Duty) checkAuthority() {
	r := d.role
	if r == nil {
		return
	}
	held := d.clock.Steady()-r.confirmedAt < authorityTimeout
	if held == r.hasAuthority {
		return
	}
	r.hasAuthority = held
	d.log.Event("holder_authority", "epoch", r.epoch, "held", held, "confirmed_ms_ago", (d.clock.Steady() - r.confirmedAt).Milliseconds())
	d.handle(cell.AuthorityChanged{Held: held})
}

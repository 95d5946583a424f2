package holder

import (
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// handleHeartbeat handles a heartbeat of a linked instance.
func (d *Duty) handleHeartbeat(heartbeat message.Heartbeat) {
	r := d.role
	if r == nil {
		return
	}
	if heartbeat.Epoch > r.epoch {
		d.endRole("peer_knows_later_epoch")
		return
	}
	if heartbeat.Epoch == r.epoch {
		r.authority.Heard(d.clock.Steady(), heartbeat.Instance, heartbeat.StoreOutage > 0, heartbeat.Answered)
		d.checkAuthority()
	}
}

// registerMembers passes the other registered instances to the authority.
func (d *Duty) registerMembers() {
	if d.role == nil || d.members == nil {
		return
	}
	var others []fleet.InstanceID
	for _, m := range d.members {
		if m.Instance != d.instance {
			others = append(others, m.Instance)
		}
	}
	d.role.authority.Register(d.clock.Steady(), others)
}

// checkAuthority informs the decisions if the role is no longer confirmed recently
// enough to give orders, or is again.
func (d *Duty) checkAuthority() {
	r := d.role
	if r == nil {
		return
	}
	now := d.clock.Now()
	held := r.authority.Held(now.Steady)
	if held == r.hasAuthority {
		return
	}
	r.hasAuthority = held
	d.log.Event("holder_authority", "epoch", r.epoch, "held", held, "confirmed_ms_ago", (now.Steady - r.authority.ConfirmedAt()).Milliseconds())
	r.cell.Handle(now, cell.AuthorityChanged{Held: held})
}

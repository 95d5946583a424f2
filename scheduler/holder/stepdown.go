package holder

import (
	"context"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// stepDown ends the orders of this holder. Its role ends with the record of the leases.
func (d *Duty) stepDown() {
	if d.role == nil {
		return
	}
	d.role.steppedDownAt = d.clock.Steady()
	d.handle(cell.SteppedDown{})
}

// handOverIfReleased ends the role of a holder that has stepped down, and asks another
// instance to take over, once the leases are recorded or the time for that is over.
func (d *Duty) handOverIfReleased() {
	r := d.role
	if r == nil || r.steppedDownAt == 0 || !r.cell.Released() && d.clock.Steady()-r.steppedDownAt < stepDownTimeout {
		return
	}
	d.endRole("stopping")
	_ = d.rings.Handovers.Put(context.Background(), struct{}{}) // keeps the newest; never fails
}

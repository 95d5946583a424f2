package holder

import (
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// handleEvacuations passes the operators' requests to the decisions. A report that an
// earlier role has left in the ring does no harm: the decisions check its age.
func (d *Duty) handleEvacuations(e message.Evacuations) {
	if d.role == nil {
		return
	}
	d.handle(cell.EvacuationsChanged{DataCentres: e.DataCentres, ReadAt: e.ReadAt, Unavailable: e.Unavailable})
}

package holder

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Status is the holder's state as published to the peers supervisor. StoreOutage
// is how long appends have been unacknowledged; Pending is the number of pending
// jobs by queue.
type Status struct {
	Epoch       fleet.Epoch
	IsHolder    bool
	StoreOutage time.Duration
	Pending     map[job.Queue]int
}

// publish sends the status to every status ring.
func (d *Duty) publish() {
	status := Status{StoreOutage: d.storeOutage()}
	var evacuations []cell.EvacuationStats
	if d.role != nil {
		evacuations = d.role.cell.Evacuations()
		status.Epoch, status.IsHolder, status.Pending = d.role.epoch, true, d.role.cell.Pending()
	}
	d.metrics.evacuations.show(evacuations)
	for _, ring := range d.rings.Statuses {
		_ = ring.Put(context.Background(), status) // keeps the newest; never fails
	}
}

// dump is the state dump of the duty.
type dump struct {
	Epoch           fleet.Epoch `json:"epoch,omitempty"`
	IsHolder        bool        `json:"holds"`
	StoreOutage     string      `json:"store_silent,omitempty"`
	PendingRequests int         `json:"waiting_callers"`
	Cell            *cell.Stats `json:"cell,omitempty"`
}

func (d *Duty) dump() dump {
	if d.role == nil {
		return dump{}
	}
	stats := d.role.cell.Stats()
	return dump{
		Epoch: d.role.epoch, IsHolder: true, StoreOutage: d.storeOutage().String(), PendingRequests: len(d.role.requests), Cell: &stats,
	}
}

package operations

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// statusDuty owns what readiness depends on.
type statusDuty struct {
	status     operationsapi.Status
	snapshotAt time.Time
}

// keepStatus follows the parts of the state that readiness depends on: an
// instance is ready once it has a configuration in force, until it drains. It
// stays ready while the platform is out, because requests are still served.
func (s *Supervisor) keepStatus(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d := &statusDuty{status: operationsapi.Status{
		Instance: s.settings.Instance, Region: s.settings.Region, DataCentre: s.settings.DataCentre,
	}}
	_ = s.Resends.Put(ctx, message.ResendConfiguration{Ring: s.Configurations})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-s.Configurations.Items():
			d.status.ConfigurationVersion = c.Version
		case h := <-s.Holdings.Items():
			d.setHoldings(h)
		case snapshot := <-s.Snapshots.Items():
			d.snapshotAt = snapshot.SampledAt
		case <-s.drained.Items():
			d.status.Draining = true
		case reply := <-s.statuses.Items():
			_ = reply.Put(ctx, d.now())
		case r := <-dumps:
			r.Answer(d.now())
		}
	}
}

func (d *statusDuty) setHoldings(h message.Holdings) {
	partitions := make([]fleet.PartitionID, 0, len(h.Own))
	for _, own := range h.Own {
		partitions = append(partitions, own.Partition)
	}
	d.status.Partitions = partitions
}

func (d *statusDuty) now() operationsapi.Status {
	s := d.status
	s.Ready = s.ConfigurationVersion > 0 && !s.Draining
	s.ListAge = -1
	if !d.snapshotAt.IsZero() {
		s.ListAge = time.Since(d.snapshotAt).Milliseconds()
	}
	return s
}

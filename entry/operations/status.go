package operations

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// statusDuty is the state of the status duty.
type statusDuty struct {
	status        operationsapi.Status
	listSampledAt time.Time
}

// runStatus runs the status duty. An instance is ready from its first
// configuration in force until it drains. It stays ready while the platform is
// unavailable, because it still serves requests.
func (s *Supervisor) runStatus(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
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
			d.listSampledAt = snapshot.SampledAt
		case <-s.drainRequests.Items():
			d.status.Draining = true
		case reply := <-s.statusQueries.Items():
			_ = reply.Put(ctx, d.current())
		case r := <-dumps:
			r.Answer(d.current())
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

// current returns the status as of now. ListAge is -1 before the first snapshot.
func (d *statusDuty) current() operationsapi.Status {
	s := d.status
	s.Ready = s.ConfigurationVersion > 0 && !s.Draining
	s.ListAge = -1
	if !d.listSampledAt.IsZero() {
		s.ListAge = time.Since(d.listSampledAt).Milliseconds()
	}
	return s
}

package platform

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// UsageRegion subscribes rings to the usage reports of every data centre of a
// region. The data centres are those of the backend servers on the instance
// list.
type UsageRegion struct {
	Region fleet.Region
	// Rings receive the reports; each needs a place for every data centre of
	// the region.
	Rings []*message.UsageRing
}

// usageRegionDuty starts and stops the usage watchers of a region as data
// centres appear on the instance list and disappear from it.
type usageRegionDuty struct {
	tree        *supervise.Tree
	platform    *Platform
	usageRegion UsageRegion
	snapshots   *message.SnapshotRing
}

func newUsageRegionDuty(p *Platform, tree *supervise.Tree) *usageRegionDuty {
	return &usageRegionDuty{
		tree: tree, platform: p, usageRegion: *p.settings.UsageRegion,
		snapshots: supervise.NewRing[message.ListSnapshot]("usage-region.snapshots", 1, supervise.DropOldest),
	}
}

func (d *usageRegionDuty) duty() supervise.Duty {
	return supervise.Duty{Name: "usage-region", Rings: []supervise.AnyRing{d.snapshots}, Run: d.run}
}

func (d *usageRegionDuty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	watchers := map[fleet.DataCentre][]supervise.Handle{}
	defer func() {
		for _, running := range watchers {
			cancelAll(running)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-d.snapshots.Items():
			d.reconcile(watchers, s)
		case r := <-dumps:
			list := make([]fleet.DataCentre, 0, len(watchers))
			for dataCentre := range watchers {
				list = append(list, dataCentre)
			}
			r.Answer(list)
		}
	}
}

func (d *usageRegionDuty) reconcile(watchers map[fleet.DataCentre][]supervise.Handle, s message.ListSnapshot) {
	listed := map[fleet.DataCentre]bool{}
	for _, b := range s.BackendServers {
		if b.Region == d.usageRegion.Region {
			listed[b.DataCentre] = true
		}
	}
	for dataCentre := range listed {
		if watchers[dataCentre] != nil {
			continue
		}
		var subscriptions []UsageSubscription
		for _, ring := range d.usageRegion.Rings {
			subscriptions = append(subscriptions, UsageSubscription{DataCentre: dataCentre, Ring: ring})
		}
		for _, duty := range usageDuties(d.platform.settings.Workers, dataCentre, subscriptions) {
			watchers[dataCentre] = append(watchers[dataCentre], d.tree.Start(duty))
		}
	}
	for dataCentre, running := range watchers {
		if !listed[dataCentre] {
			cancelAll(running)
			delete(watchers, dataCentre)
		}
	}
}

func cancelAll(running []supervise.Handle) {
	for _, r := range running {
		r.Cancel()
	}
}

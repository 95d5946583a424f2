package holder

import (
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// Guards against an evacuation that the metrics do not show, and against one that an
// instance shows that no longer holds the cell.
func TestEvacuationIsShownByMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newHolder()
		registry := prometheus.NewRegistry()
		d.metrics = newMetrics(registry)
		d.rings.RoleEnded = supervise.NewRing[fleet.Epoch]("test.ended", 1, supervise.DropOldest)
		d.rings.FollowServers = supervise.NewRing[bool]("test.follow", 1, supervise.DropOldest)
		shown := func() (names []string) {
			families, err := registry.Gather()
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range families {
				if f.GetName() != "lacewingfork_evacuated_data_centre" {
					continue
				}
				for _, m := range f.GetMetric() {
					names = append(names, m.GetLabel()[0].GetValue())
				}
			}
			return names
		}
		d.handleEvacuations(message.Evacuations{DataCentres: []fleet.DataCentre{"east"}, ReadAt: d.clock.Steady()})
		d.publish()
		if names := shown(); len(names) != 1 || names[0] != "east" {
			t.Errorf("got %v as evacuated data centres, want east", names)
		}
		d.endRole("test")
		if names := shown(); len(names) != 0 {
			t.Errorf("got %v as evacuated data centres without the role, want none", names)
		}
	})
}

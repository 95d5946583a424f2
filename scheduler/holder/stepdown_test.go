package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/store"
	"lacewingfork.example/lacewingfork/supervise"
)

// Guards against a planned stop that hands the cell over before the leases are recorded,
// so that the next holder waits for the longest ones (LOST), and against one that never
// does while the store does not answer.
func TestCellIsHandedOverOnceLeasesAreRecorded(t *testing.T) {
	for name, answered := range map[string]bool{"store answers": true, "store silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newHolder()
				d.rings.RoleEnded = supervise.NewRing[fleet.Epoch]("test.ended", 1, supervise.DropOldest)
				d.rings.FollowServers = supervise.NewRing[bool]("test.follow", 1, supervise.DropOldest)
				d.rings.Handovers = supervise.NewRing[struct{}]("test.handovers", 1, supervise.DropOldest)
				d.rings.Appends = supervise.NewRing[store.Append]("test.appends", 1, supervise.DropOldest)
				d.stepDown()
				d.handle(cell.Tick{})
				d.executeActions(t.Context())
				if d.rings.Appends.Stats().Depth != 1 || d.rings.Handovers.Stats().Depth != 0 {
					t.Fatal("want an append of the leases, and no handover before its answer")
				}
				a := <-d.rings.Appends.Items()
				if answered {
					d.handleAppendResult(message.AppendResult{Epoch: 7, Batch: a.Batch, SentAt: d.clock.Steady()})
				} else {
					time.Sleep(stepDownTimeout)
					d.tick()
				}
				if d.role != nil || d.rings.Handovers.Stats().Depth != 1 {
					t.Error("the cell was not handed over")
				}
			})
		})
	}
}

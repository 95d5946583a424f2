package election

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a takeover that never succeeds because all instances of a region read
// the records of the cell at once. A read has 4 s, and the link between two regions
// carries 7.5 MB a second: it carries the records (5 MB with their encoding) to at most
// 6 instances in that time.
func TestFewInstancesReadCellAtOnce(t *testing.T) {
	var members []Member
	for n := range 21 {
		members = append(members, Member{ID: fleet.InstanceID(fmt.Sprintf("near-%d", n)), Processor: 0.4, StoreLatency: 4 * time.Millisecond})
	}
	for n := range 23 {
		members = append(members, Member{ID: fleet.InstanceID(fmt.Sprintf("far-%d", n)), Processor: 0.4, StoreLatency: 20 * time.Millisecond})
	}
	claimants := map[time.Duration]int{}
	for _, m := range members[21:] { // the others have failed
		claimants[Delay(Rank(members, m.ID, "near-0"))]++
	}
	for delay, count := range claimants {
		if count > 6 {
			t.Errorf("got %d of 23 instances that claim the cell after the same delay of %v, want at most 6", count, delay)
		}
	}
}

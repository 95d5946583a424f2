package peers

import (
	"maps"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against hints that are lost, kept after they were withdrawn, or sent
// again without a change.
func TestHintsCarryChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 1))
	sent, heard := sentHints{}, heardHints{}
	var before map[fleet.PartitionID]message.LoadHint
	for step := range 2000 {
		want := map[fleet.PartitionID]message.LoadHint{}
		var list []message.LoadHint
		for i, h := range hintsOf(16) {
			h.Epoch = fleet.Epoch(1 + random.IntN(2)*random.IntN(2))
			h.FreeSlots = random.IntN(2) * (i % 3)
			if step%4 == 1 { // nothing changes in one step of four
				old, ok := before[h.Partition]
				if !ok {
					continue
				}
				h = old
			} else if random.IntN(3) == 0 {
				continue
			}
			want[h.Partition] = h
			list = append(list, h)
		}
		frame := sent.changes(encodeHints(list).GetLoadHints())
		if step%4 == 1 && proto.Size(frame) > 2 {
			t.Fatalf("step %d: a frame without a change has %d bytes", step, proto.Size(frame))
		}
		got := map[fleet.PartitionID]message.LoadHint{}
		for _, h := range heard.merge(frame.GetLoadHints()) {
			got[h.Partition] = h
		}
		if !maps.Equal(got, want) {
			t.Fatalf("step %d: got %v, want %v", step, got, want)
		}
		before = want
	}
}

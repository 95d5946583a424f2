package peers

import (
	"maps"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against hints that are lost in a change, kept after their removal, or
// sent again unchanged.
func TestHintFramesCarryOnlyChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 1))
	sent, received := sentHints{}, receivedHints{}
	var before map[fleet.PartitionID]message.LoadHint
	for step := range 2000 {
		want := map[fleet.PartitionID]message.LoadHint{}
		var list []message.LoadHint
		for i, h := range testHints(16) {
			h.Epoch = fleet.Epoch(1 + random.IntN(2)*random.IntN(2))
			h.FreeSlots = random.IntN(2) * (i % 3)
			if step%4 == 1 { // no hint changes in every fourth step
				previous, ok := before[h.Partition]
				if !ok {
					continue
				}
				h = previous
			} else if random.IntN(3) == 0 {
				continue
			}
			want[h.Partition] = h
			list = append(list, h)
		}
		frame := sent.changes(encodeHints(list).GetLoadHints())
		if step%4 == 1 && proto.Size(frame) > 2 {
			t.Fatalf("step %d: frame without a change: got %d bytes, want at most 2", step, proto.Size(frame))
		}
		got := map[fleet.PartitionID]message.LoadHint{}
		for _, h := range received.merge(frame.GetLoadHints()) {
			got[h.Partition] = h
		}
		if !maps.Equal(got, want) {
			t.Fatalf("step %d: hints: got %v, want %v", step, got, want)
		}
		before = want
	}
}

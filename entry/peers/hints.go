package peers

import (
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
)

// A frame of load hints carries what changed since the frame before on the same
// connection; epoch 0 withdraws a partition. An empty frame says that every
// hint still holds. A connection starts with every hint, because both ends
// forget theirs with it.

// sentHints are the hints that a connection has carried.
type sentHints map[fleet.PartitionID]message.LoadHint

// changes returns the frame that brings the other end up to date.
func (sent sentHints) changes(all *peerpb.LoadHints) *peerpb.Frame {
	changed := &peerpb.LoadHints{}
	listed := make(map[fleet.PartitionID]bool, len(all.Hints))
	for _, h := range all.Hints {
		now := decodeHint(h)
		listed[now.Partition] = true
		if before, ok := sent[now.Partition]; !ok || before != now {
			sent[now.Partition] = now
			changed.Hints = append(changed.Hints, h)
		}
	}
	for id := range sent {
		if !listed[id] {
			delete(sent, id)
			changed.Hints = append(changed.Hints, &peerpb.LoadHint{Partition: string(id)})
		}
	}
	return &peerpb.Frame{Body: &peerpb.Frame_LoadHints{LoadHints: changed}}
}

// heardHints are the hints that hold at the accepting end of a connection.
type heardHints map[fleet.PartitionID]message.LoadHint

// merge takes a frame and returns every hint that holds now.
func (heard heardHints) merge(changed *peerpb.LoadHints) []message.LoadHint {
	for _, h := range decodeHints(changed) {
		if h.Epoch == 0 {
			delete(heard, h.Partition)
		} else {
			heard[h.Partition] = h
		}
	}
	all := make([]message.LoadHint, 0, len(heard))
	for _, h := range heard {
		all = append(all, h)
	}
	return all
}

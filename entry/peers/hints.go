package peers

import (
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
)

// A LoadHints frame carries only the hints that changed since the previous such
// frame on the same connection. A hint with epoch 0 removes its partition. An
// empty frame means that all hints are still valid. The first frame of a
// connection carries every hint, because both ends discard their hints when the
// connection closes.

// sentHints holds the hints that the other end of a connection has, by partition.
type sentHints map[fleet.PartitionID]message.LoadHint

// changes returns the frame that updates the other end to all, and records it as
// sent.
func (sent sentHints) changes(all *peerpb.LoadHints) *peerpb.Frame {
	changed := &peerpb.LoadHints{}
	listed := make(map[fleet.PartitionID]bool, len(all.Hints))
	for _, h := range all.Hints {
		current := decodeHint(h)
		listed[current.Partition] = true
		if previous, ok := sent[current.Partition]; !ok || previous != current {
			sent[current.Partition] = current
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

// receivedHints holds the valid hints at the accepting end of a connection, by
// partition.
type receivedHints map[fleet.PartitionID]message.LoadHint

// merge applies a frame and returns every valid hint.
func (received receivedHints) merge(changed *peerpb.LoadHints) []message.LoadHint {
	for _, h := range decodeHints(changed) {
		if h.Epoch == 0 {
			delete(received, h.Partition)
		} else {
			received[h.Partition] = h
		}
	}
	all := make([]message.LoadHint, 0, len(received))
	for _, h := range received {
		all = append(all, h)
	}
	return all
}

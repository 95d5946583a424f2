package message

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Exchange asks an exchange duty to send one request to its backend server.
// The ring has a place for each slot, so it is full only if the slot counts
// are wrong; it refuses then.
type Exchange struct {
	Request   *Request
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// LeaseUntil is when the holder's lease ends. The exchange duty checks it
	// immediately before it writes the request.
	LeaseUntil time.Time
	// Attempt is the number of the attempt, from 1.
	Attempt int
	Done    *supervise.Ring[ExchangeDone]
}

// ExchangeDone reports the end of an exchange to the partition duty. Its ring
// has a place for each slot of the partition and waits when full.
type ExchangeDone struct {
	Server  fleet.BackendServerID
	Answer  Answer
	Attempt int
	// Written is false when no byte of the request was written to the
	// connection.
	Written bool
	// SlotReleased is false when the backend server may still be running the
	// request although its answer is no longer awaited.
	SlotReleased bool
	// Leaving is set when the backend server announced that it is leaving.
	Leaving  bool
	Duration time.Duration
}

package message

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Exchange asks an exchange duty to carry one request to its backend server.
// The ring has a place for each slot, so it is full only if counts are wrong;
// it refuses then.
type Exchange struct {
	Request   *Request
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// LeaseUntil is when the holder's lease ends; the exchange duty checks it
	// last before it writes.
	LeaseUntil time.Time
	// Attempt counts from 1.
	Attempt int
	Done    *supervise.Ring[ExchangeDone]
}

// ExchangeDone reports the end of an exchange to the partition duty. Its ring
// has a place for each slot of the partition and waits.
type ExchangeDone struct {
	Server  fleet.BackendServerID
	Answer  Answer
	Attempt int
	// Written is false when no byte of the request reached the connection.
	Written bool
	// SlotReleased is false when the backend server may still be running the
	// request although nobody reads its answer.
	SlotReleased bool
	// Leaving is set when the backend server said that it is leaving.
	Leaving  bool
	Duration time.Duration
}

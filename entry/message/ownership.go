package message

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// PromiseRequest, Promise and GiveBack go from the ownership duty to the link
// towards Peer, and on the other side from the link from Peer to the ownership
// duty. Their rings drop the oldest: each of them is repeated until answered,
// and a lost one only costs time.
type (
	// PromiseRequest asks Peer not to acquire the sender's partitions. Without
	// partitions it only makes the sender known.
	PromiseRequest struct {
		Peer fleet.InstanceID
		lease.PromiseRequest
	}
	// Promise answers a PromiseRequest or a GiveBack of the same round.
	Promise struct {
		Peer fleet.InstanceID
		lease.Promise
	}
	// GiveBack ends the promises of all rounds up to its own.
	GiveBack struct {
		Peer fleet.InstanceID
		lease.GiveBack
	}
)

// ReleaseAll asks the ownership duty to give up every lease for a planned stop
// and to acquire none any more. Its ring waits.
type ReleaseAll struct {
	// Timeout bounds the wait for the releases to be read back.
	Timeout time.Duration
	// Reply takes one answer.
	Reply *supervise.Ring[AllReleased]
}

// AllReleased answers ReleaseAll. Complete is false when the time passed
// first; other instances then wait for the leases to end by themselves.
type AllReleased struct{ Complete bool }

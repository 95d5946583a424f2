package message

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// PromiseRequest, Promise and GiveBack go from the ownership duty to the link
// towards Peer, and on the other side from the link from Peer to the ownership
// duty. Their rings drop the oldest item: each message is repeated until it is
// answered, so a lost one only causes a delay.
type (
	// PromiseRequest asks Peer not to acquire the sender's partitions. Without
	// partitions it only announces the sender.
	PromiseRequest struct {
		Peer fleet.InstanceID
		lease.PromiseRequest
	}
	// Promise answers a PromiseRequest or a GiveBack of the same round.
	Promise struct {
		Peer fleet.InstanceID
		lease.Promise
	}
	// GiveBack releases the promises of all rounds up to its own.
	GiveBack struct {
		Peer fleet.InstanceID
		lease.GiveBack
	}
)

// ReleaseAll asks the ownership duty to release every lease for a planned stop
// and to acquire no more leases. Its ring waits when full.
type ReleaseAll struct {
	// Timeout bounds the wait until the releases are read back from the log.
	Timeout time.Duration
	// Reply receives one answer.
	Reply *supervise.Ring[AllReleased]
}

// AllReleased answers ReleaseAll. Complete is false when the timeout passed
// first; other instances then have to wait until the leases expire.
type AllReleased struct{ Complete bool }

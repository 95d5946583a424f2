// Package authority decides whether the holder of a cell may give orders. It performs
// no I/O and takes the time as a parameter.
//
// A holder that is cut off doesn't learn that another instance has taken the cell
// over. It may act for Timeout after the moment as of which it was certainly the
// holder; the next holder waits longer than that before it starts again what it can't
// reach. There are two confirmations:
//
//   - the store has acknowledged an append under the holder's epoch, which confirms the
//     role as of the moment at which the append was sent;
//   - no instance that may claim the cell can reach the store. Each of them has to say
//     so, as one that is silent may be on the other side of a partition, together with
//     the store. A report confirms the role as of the message of the holder that it
//     answers.
//
// The time of arrival confirms nothing: an answer may have waited while the process was
// suspended.
package authority

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// Timeout is how long a holder keeps its authority without a confirmation. It
	// must be less than cell.Settings.AuthorityBound.
	Timeout = 2 * time.Second
	// PresumedGone is how long an instance has to have been silent while the store
	// confirmed the role to count as removed. It exceeds a power loss and a restart.
	PresumedGone = 30 * time.Second
)

// Authority is the evidence that an instance holds the cell. All times are on its
// steady clock.
type Authority struct {
	validFrom   time.Duration // earlier confirmations don't count
	storeAt     time.Duration // as of which the store has confirmed the role
	registered  bool          // the registered instances are known
	instances   map[fleet.InstanceID]instance
	isCandidate map[fleet.InstanceID]bool // registered instances
}

// instance is another instance that may claim the cell.
type instance struct {
	heardAt time.Duration // of its last message, or when it became known
	// withoutStoreAt is the moment as of which it followed the holder and could not
	// reach the store; 0 if its last message said otherwise.
	withoutStoreAt time.Duration
}

// New returns the authority of an instance that claimed the cell with a call that it
// sent at claimedAt.
func New(claimedAt time.Duration) *Authority {
	return &Authority{storeAt: claimedAt, instances: map[fleet.InstanceID]instance{}}
}

// StoreConfirmed applies the acknowledgement of an append that was sent at sentAt.
func (a *Authority) StoreConfirmed(sentAt time.Duration) { a.storeAt = max(a.storeAt, sentAt) }

// Register replaces the set of the other instances that are registered in the store.
func (a *Authority) Register(now time.Duration, ids []fleet.InstanceID) {
	a.registered, a.isCandidate = true, map[fleet.InstanceID]bool{}
	for _, id := range ids {
		a.isCandidate[id] = true
		if _, known := a.instances[id]; !known {
			a.instances[id] = instance{heardAt: now}
		}
	}
	for id, other := range a.instances {
		if !a.isCandidate[id] && now-other.heardAt > Timeout {
			delete(a.instances, id) // it has withdrawn; one that registers just now is linked
		}
	}
}

// Heard applies a message of another instance that follows this holder. withoutStore
// means that it can't reach the store; asOf is when the newest message of this holder
// that it had received was sent, 0 if it had received none.
func (a *Authority) Heard(now time.Duration, id fleet.InstanceID, withoutStore bool, asOf time.Duration) {
	other := a.instances[id]
	other.heardAt = now
	if !withoutStore {
		other.withoutStoreAt = 0
	} else {
		other.withoutStoreAt = max(other.withoutStoreAt, asOf)
	}
	a.instances[id] = other
}

// Suspended withdraws the authority after a suspension of the machine, which the steady
// clock does not include, until a message that is sent from now on confirms it.
func (a *Authority) Suspended(now time.Duration) { a.validFrom = now }

// ConfirmedAt returns the moment as of which this instance was certainly the holder.
func (a *Authority) ConfirmedAt() time.Duration {
	confirmed := max(a.storeAt, a.withoutStoreAt())
	if confirmed < a.validFrom {
		return a.validFrom - Timeout
	}
	return confirmed
}

// Held reports whether the holder may give orders.
func (a *Authority) Held(now time.Duration) bool { return now-a.ConfirmedAt() < Timeout }

// withoutStoreAt returns the moment as of which none of the other instances could reach
// the store, or 0. An only instance gets no confirmation in this way.
func (a *Authority) withoutStoreAt() time.Duration {
	if !a.registered {
		return 0
	}
	at, reports := time.Duration(0), 0
	for _, other := range a.instances {
		if a.storeAt-other.heardAt > PresumedGone {
			continue
		}
		if reports++; reports == 1 || other.withoutStoreAt < at {
			at = other.withoutStoreAt
		}
	}
	return at
}

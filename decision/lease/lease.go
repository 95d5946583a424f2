// Package lease decides which partitions an entry instance holds. It contains
// the fold of the ownership records of a region and the state machine of one
// member of the region. The ownership duty (entry/ownership) drives it; the
// package owns no goroutine, socket, clock or encoding. When the duty fails,
// the member is discarded and a new incarnation is built from the log.
//
// Safety rests on these assumptions: clocks differ in rate by less than
// Margin per TTL + W; a list snapshot shows the state of each member at some
// time at most ListLag before the snapshot; and a running member that the list
// has dropped reads a snapshot that says so within ListStale + TTL after
// ListLag has passed.
package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the times of the protocol. They are equal on all members of a
// region.
type Settings struct {
	// TTL is the time that a lease lasts from the sending of its renewal.
	TTL time.Duration
	// ListLag (L) bounds how far the list lags behind the truth.
	ListLag time.Duration
	// ListStale (F) is the age beyond which a list snapshot is not trusted.
	ListStale time.Duration
	// Margin is added to every wait for another member's clock.
	Margin time.Duration
	// RenewEvery is the time between renewals and between promise rounds.
	RenewEvery time.Duration
	// ClaimStagger is how much later each lower rank claims a partition.
	ClaimStagger time.Duration
	// ReleaseDelay is the time between the end of a released lease in the
	// member's own view and the release record. Duties that still hold the old
	// lease value stop within it.
	ReleaseDelay time.Duration
	// RebalanceEvery is the time between two voluntary releases.
	RebalanceEvery time.Duration
	// RebalanceBatch is the most partitions released at once for balance.
	RebalanceBatch int
	// SnapshotEvery is the number of records between two snapshots.
	SnapshotEvery int
}

// DefaultSettings returns the settings of the design page.
func DefaultSettings() Settings {
	const ttl = 4 * time.Second
	return Settings{
		TTL: ttl, ListLag: 2 * time.Second, ListStale: 4 * time.Second,
		Margin: 200 * time.Millisecond, RenewEvery: ttl / 4,
		ClaimStagger: 400 * time.Millisecond, ReleaseDelay: 250 * time.Millisecond,
		RebalanceEvery: 2 * time.Second, RebalanceBatch: 2,
		// 7 members renew once per second, so this is about 5 minutes.
		SnapshotEvery: 2048,
	}
}

// ListConvergence is the time after which a change of the list is known to every member that
// reads the list, and every lease granted before has ended.
func (s Settings) ListConvergence() time.Duration { return s.ListLag + s.ListStale + s.TTL }

// options switch off single rules. Only tests set them, to show that each rule
// is needed.
type options struct {
	noClaimWait      bool // claims do not wait for TTL plus margin
	ignorePromises   bool // acquisitions ignore the member's own promises
	ignoreOwnListing bool // the holder does not look for itself on the list
	promisesRevive   bool // promises revive a lapsed lease
	noIntroduction   bool // claimants need not be known to the other members
}

// MemberKey is one run of a member. A later run has a greater incarnation and
// holds none of the leases of an earlier one.
type MemberKey struct {
	ID          fleet.InstanceID
	Incarnation uint64
}

// PartitionEpoch names one lease of a partition.
type PartitionEpoch struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// Kind is the kind of an ownership record.
type Kind uint8

const (
	// Join announces a member.
	Join Kind = iota + 1
	// Renew renews every lease of its member.
	Renew
	// Claim asks for partitions, each decided on its own.
	Claim
	// Release gives partitions up.
	Release
	// Snapshot is the state of the fold at an offset.
	Snapshot
)

// Record is one record of an ownership stream.
type Record struct {
	// ID identifies the record when it is read back.
	ID     string
	Kind   Kind
	Member MemberKey
	// Address is the member's peer address (Join).
	Address string
	// Sequence counts the renewals of an incarnation (Renew).
	Sequence uint64
	// Claims are the wanted partitions (Claim).
	Claims []PartitionClaim
	// Released are the leases given up (Release).
	Released []PartitionEpoch
	// Stopping says that the member claims nothing any more (Release).
	Stopping bool
	// State is set for Snapshot.
	State *FoldState
}

// PartitionClaim asks for one partition. The fold accepts it only while what
// it says about the partition is still true.
type PartitionClaim struct {
	Partition fleet.PartitionID
	// EndsEpoch is the epoch that the claim ends; 0 for a partition never held.
	EndsEpoch fleet.Epoch
	// SeenHolder is the holder whose lease the claim ends, or zero when unheld.
	SeenHolder MemberKey
	// SeenRenewal is the offset of the holder's last renewal or claim read.
	SeenRenewal fleet.Offset
}

// Entry is a record with its place in the log.
type Entry struct {
	Offset fleet.Offset
	Record Record
}

// PromiseRequest asks a member to acquire none of the sender's partitions. A
// request without partitions only makes the sender known.
type PromiseRequest struct {
	Member     MemberKey // sender
	Round      uint64
	Partitions []PartitionEpoch
}

// Promise answers a PromiseRequest or a GiveBack of the same round. Partitions
// that are not listed were refused.
type Promise struct {
	Member     MemberKey // sender
	Round      uint64
	Partitions []PartitionEpoch
}

// GiveBack ends the promises of all rounds up to and including Round.
type GiveBack struct {
	Member MemberKey // sender
	Round  uint64
}

// Lease is a partition held until a time.
type Lease struct {
	PartitionEpoch
	Until time.Time
}

// Cause is a stable word for the end of a lease.
type Cause string

// Causes of the end of a lease.
const (
	CauseLapsed   Cause = "lapsed"   // by time
	CauseClaimed  Cause = "claimed"  // by another member under a newer epoch
	CauseReleased Cause = "released" // read back from the log
	CauseBalanced Cause = "balanced" // above the fair share
	CauseRetaken  Cause = "retaken"  // by the same member under a greater epoch
	CauseStopped  Cause = "stopped"  // by a planned stop
	CauseLogGap   Cause = "log_gap"  // records are gone that were not read
)

// LostLease is a lease that ended, with the reason in words.
type LostLease struct {
	PartitionEpoch
	Cause  Cause
	Reason string
}

// Actions are the results of one event. The slices are reused: they are valid
// until the next event of the same member.
type Actions struct {
	Appends   []Record
	Requests  []Outgoing[PromiseRequest]
	Promises  []Outgoing[Promise]
	GiveBacks []Outgoing[GiveBack]
	Acquired  []Lease
	Extended  []Lease
	Lost      []LostLease
}

// Outgoing is a message with the member that it goes to.
type Outgoing[T any] struct {
	Peer    fleet.InstanceID
	Message T
}

func (a *Actions) reset() {
	a.Appends = a.Appends[:0]
	a.Requests = a.Requests[:0]
	a.Promises = a.Promises[:0]
	a.GiveBacks = a.GiveBacks[:0]
	a.Acquired = a.Acquired[:0]
	a.Extended = a.Extended[:0]
	a.Lost = a.Lost[:0]
}

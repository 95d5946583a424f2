// Package lease decides which partitions an entry instance holds. Fold is the
// state given by the ownership records of a region; Member is the state machine
// of one entry instance of the region. The ownership duty (entry/ownership)
// drives it; the package has no goroutine, socket, clock or encoding. When the
// duty fails, it discards the member and builds a new incarnation from the log.
//
// Records of the region's log grant and renew leases. While the log is
// unavailable, members extend their leases by promises of the other members not
// to acquire the partitions. The list is the directory's list of the running
// instances.
//
// At most one member holds a partition at a time under these assumptions:
//
//   - Clock rates differ by less than Margin per TTL + ListConvergence.
//   - A list snapshot shows each member's state at some time at most ListLag
//     before the snapshot.
//   - A running member that was removed from the list reads a snapshot without
//     itself within ListStale + TTL after ListLag has passed.
package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the parameters of the protocol. All members of a region must have
// the same values.
type Settings struct {
	// TTL is the duration of a lease, counted from the sending of its claim or
	// renewal.
	TTL time.Duration
	// ListLag (L) is the most that the list lags behind the actual state.
	ListLag time.Duration
	// ListStale (F) is the age beyond which a list snapshot is stale and not used.
	ListStale time.Duration
	// Margin is added to every wait that depends on another member's clock.
	Margin time.Duration
	// RenewEvery is the time between renewals and between promise rounds.
	RenewEvery time.Duration
	// ClaimStagger is the delay between the claims of a partition by members of
	// consecutive ranks.
	ClaimStagger time.Duration
	// ReleaseDelay is the time between the local end of a released lease and its
	// release record. Duties that still use the lease stop within it.
	ReleaseDelay time.Duration
	// RebalanceEvery is the minimum time between two releases for balance.
	RebalanceEvery time.Duration
	// RebalanceBatch is the maximum number of partitions released at once for
	// balance.
	RebalanceBatch int
	// SnapshotEvery is the number of records after which a snapshot is written.
	SnapshotEvery int
}

// DefaultSettings returns the settings given in the design page.
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

// ListConvergence (W) is the time after which every member that reads the list
// has seen a change of it, and every lease granted before the change has ended.
func (s Settings) ListConvergence() time.Duration { return s.ListLag + s.ListStale + s.TTL }

// options disable single rules. Only tests set them, to show that each rule is
// needed.
type options struct {
	noClaimWait          bool // claims do not wait for TTL plus Margin
	ignorePromises       bool // acquisitions ignore the member's own promises
	ignoreOwnListing     bool // the holder ignores whether the list contains it
	promisesExtendLapsed bool // promises extend a lease that has lapsed
	noIntroduction       bool // a claim does not wait until every peer has answered the claimant
}

// MemberKey identifies one run of a member. A later run has a greater incarnation
// and holds none of the leases of an earlier run.
type MemberKey struct {
	ID          fleet.InstanceID
	Incarnation uint64
}

// PartitionEpoch identifies one lease of a partition.
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
	// Claim requests partitions; each is accepted or rejected separately.
	Claim
	// Release ends leases of its member.
	Release
	// Snapshot is the state of the fold at an offset.
	Snapshot
)

// Record is one record of an ownership stream.
type Record struct {
	// ID identifies the record when the member reads it back.
	ID     string
	Kind   Kind
	Member MemberKey
	// Address is the member's peer address (Join).
	Address string
	// Sequence counts the renewals of an incarnation (Renew).
	Sequence uint64
	// Claims are the partitions claimed (Claim).
	Claims []PartitionClaim
	// Released are the leases that end (Release).
	Released []PartitionEpoch
	// Stopping is set when the member stops and claims nothing more (Release).
	Stopping bool
	// State is the state of the fold (Snapshot).
	State *FoldState
}

// PartitionClaim requests one partition. The fold accepts it only if its fields
// still match the log when it is applied.
type PartitionClaim struct {
	Partition fleet.PartitionID
	// EndsEpoch is the epoch that the claim ends; 0 if the partition was never
	// held.
	EndsEpoch fleet.Epoch
	// SeenHolder is the holder whose lease the claim ends; zero if unheld.
	SeenHolder MemberKey
	// SeenRenewal is the offset of the holder's last renewal or claim that the
	// claimant has read.
	SeenRenewal fleet.Offset
}

// Entry is a record with its offset in the log.
type Entry struct {
	Offset fleet.Offset
	Record Record
}

// PromiseRequest asks a member to promise not to acquire the sender's partitions.
// A request without partitions only announces the sender. Round numbers the sender's
// requests and increases across its incarnations.
type PromiseRequest struct {
	Member     MemberKey // sender
	Round      uint64
	Partitions []PartitionEpoch
}

// Promise answers the PromiseRequest or GiveBack of the same round. Requested
// partitions that it does not contain were refused.
type Promise struct {
	Member     MemberKey // sender
	Round      uint64
	Partitions []PartitionEpoch
}

// GiveBack releases the receiver from its promises to the sender of all rounds up
// to and including Round.
type GiveBack struct {
	Member MemberKey // sender
	Round  uint64
}

// Lease is the right of a member to a partition until a time.
type Lease struct {
	PartitionEpoch
	Until time.Time
}

// Cause is a stable identifier of the reason why a lease ended.
type Cause string

// Causes of the end of a lease.
const (
	CauseLapsed   Cause = "lapsed"   // the lease expired
	CauseClaimed  Cause = "claimed"  // claimed by another member under a newer epoch
	CauseReleased Cause = "released" // its release was read back from the log
	CauseBalanced Cause = "balanced" // released because it exceeded the fair share
	CauseRetaken  Cause = "retaken"  // ended to be claimed again under a greater epoch
	CauseStopped  Cause = "stopped"  // released by a planned stop
	CauseLogGap   Cause = "log_gap"  // the log dropped records before they were read
)

// LostLease is a lease that ended, with its cause and an explanation.
type LostLease struct {
	PartitionEpoch
	Cause  Cause
	Reason string
}

// Actions are the actions that result from one event. The slices are reused and
// are valid only until the next event of the same member.
type Actions struct {
	Appends   []Record
	Requests  []Outgoing[PromiseRequest]
	Promises  []Outgoing[Promise]
	GiveBacks []Outgoing[GiveBack]
	Acquired  []Lease
	Extended  []Lease
	Lost      []LostLease
}

// Outgoing is a message with its receiver.
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

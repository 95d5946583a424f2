package lease

import (
	"strconv"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// roundBits is the number of low bits of a round number that count the rounds of
// one incarnation. The incarnation fills the bits above, so that the round
// numbers of a later incarnation are greater.
const roundBits = 20

// sendTimesKept is the number of renewals, and of rounds, whose send times are
// kept. At the default settings it covers 64 s, far more than the TTL.
const sendTimesKept = 64

// Member is the state machine of one entry instance of a region. It is not
// safe for concurrent use. Each event takes the current time, which must not
// decrease, and returns the actions to execute.
type Member struct {
	self     MemberKey
	address  string
	region   fleet.Region
	settings Settings
	options  options
	now      time.Time
	out      Actions

	fold          *Fold
	lastLogRead   time.Time                       // time of the last successful read
	renewalReadAt map[MemberKey]time.Time         // when the last renewal or join was read back
	changedAt     map[fleet.PartitionID]time.Time // when the last ownership change was read
	changes       uint64                          // number of ownership changes in the log
	accepted      []PartitionClaim                // reused by applyRecord

	list  listView
	peers map[fleet.InstanceID]*peer
	order []fleet.InstanceID // keys of peers, sorted: messages are sent in this order

	own       map[fleet.PartitionID]*ownLease
	endedAt   map[fleet.PartitionID]time.Time // when own leases ended that are not yet released
	releasing map[fleet.PartitionID]*pendingRelease
	pending   map[fleet.PartitionID]*claimAttempt

	sequence        uint64
	renewSent       sendTimes
	round           uint64
	roundSent       sendTimes
	promisesActive  bool      // promises are requested, or not yet given back
	givenBackRound  uint64    // promises of rounds up to this one were given back
	lostUntil       time.Time // latest expiry of a lease that was lost
	appendID        uint64
	joinSentAt      time.Time
	renewedAt       time.Time // last renewal appended
	requestedAt     time.Time // last round of promise requests
	introducedAt    time.Time // last check for peers to introduce this member to
	balancedAt      time.Time // last check for partitions above the fair share
	snapshotAt      time.Time // last snapshot appended
	readySince      time.Time // since when acquireRefusal gives no reason, or zero
	stopping        bool
	stopReleaseSent bool // the first release record of a planned stop was sent
}

// ownLease is a lease held by this member. until never decreases.
type ownLease struct {
	PartitionEpoch
	until    time.Time
	logUntil time.Time // expiry by the last claim or renewal that was read back
	lapsed   bool      // set only with options.promisesExtendLapsed
}

// claimAttempt is a claim that was sent and may be in the log.
type claimAttempt struct {
	id    string
	claim PartitionClaim
	sent  time.Time
}

// pendingRelease is a release that was not read back yet.
type pendingRelease struct {
	epoch fleet.Epoch
	due   time.Time
}

// sendTimes is a ring of the send times of the most recent numbered messages.
type sendTimes [sendTimesKept]struct {
	number uint64
	at     time.Time
}

func (s *sendTimes) put(number uint64, at time.Time) {
	s[number%sendTimesKept].number, s[number%sendTimesKept].at = number, at
}

// get returns the send time, or false if it is no longer kept.
func (s *sendTimes) get(number uint64) (time.Time, bool) {
	e := &s[number%sendTimesKept]
	return e.at, e.number == number && !e.at.IsZero()
}

// NewMember returns a member without leases. The incarnation must be at least 1
// and greater than that of any earlier run of the same instance.
func NewMember(self fleet.Instance, incarnation uint64, s Settings) *Member {
	return &Member{
		self: MemberKey{ID: self.ID, Incarnation: incarnation}, address: self.PeerAddress,
		region: self.Region, settings: s, fold: NewFold(),
		renewalReadAt: map[MemberKey]time.Time{},
		changedAt:     map[fleet.PartitionID]time.Time{},
		peers:         map[fleet.InstanceID]*peer{},
		own:           map[fleet.PartitionID]*ownLease{},
		endedAt:       map[fleet.PartitionID]time.Time{},
		releasing:     map[fleet.PartitionID]*pendingRelease{},
		pending:       map[fleet.PartitionID]*claimAttempt{},
		round:         incarnation << roundBits, givenBackRound: incarnation << roundBits,
	}
}

// begin starts an event. It first ends expired leases, so that the event cannot
// extend them.
func (m *Member) begin(now time.Time) {
	m.out.reset()
	m.now = now
	m.expireLeases()
}

// finish completes an event. It extends the leases as far as the rules allow.
func (m *Member) finish() *Actions {
	m.extendLeases()
	return &m.out
}

// HandleRecords applies records read from the log. now counts as the time of the
// read. entries may be empty.
func (m *Member) HandleRecords(now time.Time, entries []Entry) *Actions {
	m.begin(now)
	m.lastLogRead = now
	for i := range entries {
		m.applyRecord(entries[i])
	}
	m.resolvePending()
	return m.finish()
}

// HandleTruncation handles the loss of records before oldest that the member has
// not read.
func (m *Member) HandleTruncation(now time.Time, oldest fleet.Offset) *Actions {
	m.begin(now)
	m.fold.HandleTruncation(oldest)
	m.changes++
	clear(m.renewalReadAt)
	clear(m.changedAt)
	for p, l := range m.own {
		m.endLease(p, l, CauseLogGap, "records that were not read are gone from the log")
	}
	return m.finish()
}

func (m *Member) applyRecord(e Entry) {
	wasComplete := m.fold.Complete()
	effect, accepted := m.fold.Apply(e, m.accepted[:0])
	m.accepted = accepted
	if !wasComplete {
		if m.fold.Complete() {
			m.initFromSnapshot()
		}
		return
	}
	r := &e.Record
	if !effect {
		return
	}
	switch r.Kind {
	case Join:
		m.renewalReadAt[r.Member] = m.now
		m.observeRun(r.Member)
		m.pruneRenewalTimes()
	case Renew:
		m.renewalReadAt[r.Member] = m.now
		m.applyRenewal(r)
	case Claim:
		for _, c := range accepted {
			m.applyClaim(r, c)
		}
	case Release:
		for _, pe := range r.Released {
			m.applyRelease(pe)
		}
	}
}

// initFromSnapshot treats every member of a snapshot as if it had just renewed.
func (m *Member) initFromSnapshot() {
	m.changes++
	for k := range m.fold.members {
		m.renewalReadAt[k] = m.now
		if m.fold.Joined(k) {
			m.observeRun(k)
		}
	}
	for p, o := range m.fold.partitions {
		m.changedAt[p] = m.now
		if o.Holder == m.self {
			m.endedAt[p] = m.now
		}
	}
}

func (m *Member) pruneRenewalTimes() {
	for k := range m.renewalReadAt {
		if m.fold.members[k] == nil {
			delete(m.renewalReadAt, k)
		}
	}
}

// applyRenewal updates logUntil for an own renewal; extendLeases applies it (rule b).
func (m *Member) applyRenewal(r *Record) {
	if r.Member != m.self {
		return
	}
	sent, known := m.renewSent.get(r.Sequence)
	if !known {
		return
	}
	for _, l := range m.own {
		l.logUntil = later(l.logUntil, sent.Add(m.settings.TTL))
	}
}

// applyClaim handles an accepted claim. An own claim acquires the partition if it
// was read back in time. Another member's claim ends the own lease at once.
func (m *Member) applyClaim(r *Record, c PartitionClaim) {
	m.changedAt[c.Partition] = m.now
	m.changes++
	epoch := c.EndsEpoch + 1
	if l := m.own[c.Partition]; l != nil && l.Epoch < epoch {
		m.endLease(c.Partition, l, CauseClaimed, "claimed by "+string(r.Member.ID)+" under a newer epoch")
	}
	delete(m.endedAt, c.Partition)
	delete(m.releasing, c.Partition)
	if r.Member != m.self {
		return
	}
	until, ok := m.acquiredUntil(r.ID, c.Partition)
	if !ok {
		m.scheduleRelease(c.Partition, epoch, m.now)
		return
	}
	l := &ownLease{PartitionEpoch: PartitionEpoch{c.Partition, epoch}, until: until, logUntil: until}
	m.own[c.Partition] = l
	m.out.Acquired = append(m.out.Acquired, Lease{l.PartitionEpoch, until})
}

// applyRelease handles a released lease. It ignores a lease that the fold did not
// release because its epoch or holder differed.
func (m *Member) applyRelease(pe PartitionEpoch) {
	if o := m.fold.OwnershipOf(pe.Partition); o.Held() || o.Epoch != pe.Epoch {
		return
	}
	m.changedAt[pe.Partition] = m.now
	m.changes++
	if r := m.releasing[pe.Partition]; r != nil && r.epoch == pe.Epoch {
		delete(m.releasing, pe.Partition)
	}
	delete(m.endedAt, pe.Partition)
	if l := m.own[pe.Partition]; l != nil && l.Epoch <= pe.Epoch {
		m.endLease(pe.Partition, l, CauseReleased, "released")
		delete(m.endedAt, pe.Partition)
	}
}

// resolvePending removes claims that the fold has decided or can no longer
// accept.
func (m *Member) resolvePending() {
	for p, a := range m.pending {
		if m.fold.Complete() && !m.fold.acceptable(m.self, a.claim) {
			delete(m.pending, p)
		}
	}
}

// HandleAppendResult handles the result of an append. indeterminate is set if a
// failed append may still have taken effect. If it is not, the claims of the
// record can't be in the log.
func (m *Member) HandleAppendResult(now time.Time, id string, failed, indeterminate bool) *Actions {
	m.begin(now)
	if failed && !indeterminate {
		for p, a := range m.pending {
			if a.id == id {
				delete(m.pending, p)
			}
		}
	}
	return m.finish()
}

// Retake ends the own lease of a partition, so that the member claims it again
// under a greater epoch. It reports whether the member held the partition under
// the given epoch.
func (m *Member) Retake(now time.Time, pe PartitionEpoch) (*Actions, bool) {
	m.begin(now)
	l := m.own[pe.Partition]
	held := l != nil && l.Epoch == pe.Epoch
	if held {
		m.endLease(pe.Partition, l, CauseRetaken, "retaken under a greater epoch")
	}
	return m.finish(), held
}

// Stop ends every lease for a planned stop. The member releases its partitions
// and no longer joins, renews or claims. It still answers promise requests.
func (m *Member) Stop(now time.Time) *Actions {
	m.begin(now)
	m.stopping = true
	for p, l := range m.own {
		epoch := l.Epoch
		m.endLease(p, l, CauseStopped, "planned stop")
		m.scheduleRelease(p, epoch, now.Add(m.settings.ReleaseDelay))
	}
	return m.finish()
}

// Released reports whether a stopping member holds no partition according to the
// log and none of its claims may still be accepted.
func (m *Member) Released() bool {
	return m.stopping && len(m.own) == 0 && len(m.pending) == 0 && m.fold.HeldBy(m.self) == 0
}

// Superseded returns the newest incarnation of this instance that has joined,
// and whether it is newer than this one. Such a member can't join.
func (m *Member) Superseded() (uint64, bool) {
	latest := m.fold.latest[m.self.ID].Incarnation
	return latest, latest > m.self.Incarnation
}

// Valid reports whether the member holds a valid lease of the partition at a
// time.
func (m *Member) Valid(p fleet.PartitionID, now time.Time) bool {
	l := m.own[p]
	return l != nil && !l.lapsed && now.Before(l.until)
}

// endLease ends an own lease locally, without a release record.
func (m *Member) endLease(p fleet.PartitionID, l *ownLease, cause Cause, reason string) {
	delete(m.own, p)
	m.endedAt[p] = m.now
	m.lostUntil = later(m.lostUntil, l.until)
	m.out.Lost = append(m.out.Lost, LostLease{l.PartitionEpoch, cause, reason})
}

func (m *Member) scheduleRelease(p fleet.PartitionID, epoch fleet.Epoch, due time.Time) {
	m.releasing[p] = &pendingRelease{epoch: epoch, due: due}
}

// newID returns a record identifier that is unique in the stream.
func (m *Member) newID() string {
	m.appendID++
	return string(m.self.ID) + "/" + strconv.FormatUint(m.self.Incarnation, 10) +
		"/" + strconv.FormatUint(m.appendID, 10)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

package lease

import (
	"strconv"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// roundBits leaves room for the rounds of one incarnation, so that the round
// numbers of a later incarnation are greater.
const roundBits = 20

// sendTimesKept is the number of renewals and rounds whose send times are kept. At
// the default settings it covers 64 s, far more than the TTL.
const sendTimesKept = 64

// Member is the state machine of one entry instance of a region. It is not
// safe for concurrent use. Each event takes the current time, which must not
// go backwards, and returns the actions to carry out.
type Member struct {
	self     MemberKey
	address  string
	region   fleet.Region
	settings Settings
	options  options
	now      time.Time
	out      Actions

	fold           *Fold
	lastLogRead    time.Time               // last read that succeeded
	renewalReadAt  map[MemberKey]time.Time // when the last renewal or join was read
	changedAt      map[fleet.PartitionID]time.Time
	changes        uint64           // changes of ownership by the log
	acceptedBuffer []PartitionClaim // buffer

	list  listView
	peers map[fleet.InstanceID]*peer
	order []fleet.InstanceID // keys of peers, sorted: a fixed order of messages

	own       map[fleet.PartitionID]*ownLease
	endedAt   map[fleet.PartitionID]time.Time // own leases that ended, not yet released
	releasing map[fleet.PartitionID]*pendingRelease
	pending   map[fleet.PartitionID]*claimAttempt

	sequence        uint64
	renewSent       sendTimes
	round           uint64
	roundSent       sendTimes
	promisesActive  bool      // promises are wanted or not yet given back
	givenBackRound  uint64    // rounds up to this one were given back
	lostUntil       time.Time // latest end of a lease that was lost
	appendID        uint64
	joinSentAt      time.Time
	renewedAt       time.Time
	requestedAt     time.Time
	introducedAt    time.Time
	balancedAt      time.Time
	snapshotAt      time.Time
	readySince      time.Time
	stopping        bool
	stopReleaseSent bool // the first release of a planned stop was sent
}

// ownLease is a lease that the member holds. until only grows.
type ownLease struct {
	PartitionEpoch
	until    time.Time
	logUntil time.Time // end by the last claim or renewal read back
	lapsed   bool      // only with options.promisesRevive
}

// claimAttempt is a claim that may be in the log.
type claimAttempt struct {
	id    string
	claim PartitionClaim
	sent  time.Time
}

// pendingRelease is a release that is due or not yet read back.
type pendingRelease struct {
	epoch fleet.Epoch
	due   time.Time
}

// sendTimes keeps the send times of the last numbered messages.
type sendTimes [sendTimesKept]struct {
	number uint64
	at     time.Time
}

func (s *sendTimes) put(number uint64, at time.Time) {
	s[number%sendTimesKept].number, s[number%sendTimesKept].at = number, at
}

// get returns the send time, or false when it was long ago.
func (s *sendTimes) get(number uint64) (time.Time, bool) {
	e := &s[number%sendTimesKept]
	return e.at, e.number == number && !e.at.IsZero()
}

// NewMember returns a member without leases. The incarnation must be greater
// than that of any earlier run of the same instance, and at least 1.
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

// begin starts an event: leases whose time is over end before anything else
// is looked at, so that nothing that arrives late can extend them.
func (m *Member) begin(now time.Time) {
	m.out.reset()
	m.now = now
	m.expireLeases()
}

// finish ends an event: whatever the event brought, leases are extended as far
// as the rules allow.
func (m *Member) finish() *Actions {
	m.extendLeases()
	return &m.out
}

// HandleRecords handles records that were read back. The time of the event counts as
// the time of reading. caughtUp says that no newer record was there.
func (m *Member) HandleRecords(now time.Time, entries []Entry) *Actions {
	m.begin(now)
	m.lastLogRead = now
	for i := range entries {
		m.applyRecord(entries[i])
	}
	m.resolvePending()
	return m.finish()
}

// HandleTruncation handles the loss of records that the member has not read.
func (m *Member) HandleTruncation(now time.Time, oldest fleet.Offset) *Actions {
	m.begin(now)
	m.fold.Truncated(oldest)
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
	effect, accepted := m.fold.Apply(e, m.acceptedBuffer[:0])
	m.acceptedBuffer = accepted
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

// initFromSnapshot treats every member of a snapshot as if it had renewed just now.
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

// applyRenewal notes the extension by rule b; extend applies it.
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

// applyClaim handles an accepted claim: an own one acquires if it was read back
// in time; another's ends the own lease at once.
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

// applyRelease handles a released lease; the fold has passed over those of
// another epoch.
func (m *Member) applyRelease(pe PartitionEpoch) {
	if o := m.fold.Ownership(pe.Partition); o.Held() || o.Epoch != pe.Epoch {
		return
	}
	m.changedAt[pe.Partition] = m.now
	m.changes++
	if i := m.releasing[pe.Partition]; i != nil && i.epoch == pe.Epoch {
		delete(m.releasing, pe.Partition)
	}
	delete(m.endedAt, pe.Partition)
	if l := m.own[pe.Partition]; l != nil && l.Epoch <= pe.Epoch {
		m.endLease(pe.Partition, l, CauseReleased, "released")
		delete(m.endedAt, pe.Partition)
	}
}

// resolvePending forgets claims that the fold has decided or that it can never
// accept any more.
func (m *Member) resolvePending() {
	for p, a := range m.pending {
		if m.fold.Complete() && !m.fold.acceptable(m.self, a.claim) {
			delete(m.pending, p)
		}
	}
}

// HandleAppendResult handles the end of an append. After an error without effect the
// claims of the record can't be in the log.
func (m *Member) HandleAppendResult(now time.Time, id string, failed, possible bool) *Actions {
	m.begin(now)
	if failed && !possible {
		for p, a := range m.pending {
			if a.id == id {
				delete(m.pending, p)
			}
		}
	}
	return m.finish()
}

// Retake ends the own lease of a partition and claims it under a greater
// epoch. It reports whether the member held the partition under that epoch.
func (m *Member) Retake(now time.Time, pe PartitionEpoch) (*Actions, bool) {
	m.begin(now)
	l := m.own[pe.Partition]
	held := l != nil && l.Epoch == pe.Epoch
	if held {
		m.endLease(pe.Partition, l, CauseRetaken, "retaken under a greater epoch")
	}
	return m.finish(), held
}

// Stop ends every lease for a planned stop. The member releases what it holds
// and announces nothing any more; it goes on to answer promise requests.
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

// Released reports whether a stopping member holds nothing by the log, and no
// claim of its own may still be accepted.
func (m *Member) Released() bool {
	return m.stopping && len(m.own) == 0 && len(m.pending) == 0 && m.fold.HeldBy(m.self) == 0
}

// Superseded returns the newest incarnation of this instance that has joined,
// and whether it is newer than this one. Such a member can't join.
func (m *Member) Superseded() (uint64, bool) {
	latest := m.fold.latest[m.self.ID].Incarnation
	return latest, latest > m.self.Incarnation
}

// Valid reports whether the member holds the partition at a time.
func (m *Member) Valid(p fleet.PartitionID, now time.Time) bool {
	l := m.own[p]
	return l != nil && !l.lapsed && now.Before(l.until)
}

// endLease ends a lease in the member's own view.
func (m *Member) endLease(p fleet.PartitionID, l *ownLease, cause Cause, reason string) {
	delete(m.own, p)
	m.endedAt[p] = m.now
	m.lostUntil = later(m.lostUntil, l.until)
	m.out.Lost = append(m.out.Lost, LostLease{l.PartitionEpoch, cause, reason})
}

func (m *Member) scheduleRelease(p fleet.PartitionID, epoch fleet.Epoch, due time.Time) {
	m.releasing[p] = &pendingRelease{epoch: epoch, due: due}
}

// newID returns an identifier that no other record of the stream has.
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

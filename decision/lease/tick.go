package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/fleet"
)

// TickEvery returns the interval at which Tick must be called.
func (s Settings) TickEvery() time.Duration { return s.RenewEvery / 10 }

// Tick performs the work that is due: join or renewal, promise rounds, claims,
// releases and snapshots.
func (m *Member) Tick(now time.Time) *Actions {
	m.begin(now)
	m.extendLeases() // the steps below use the extended ends
	m.announce()
	m.updatePromises()
	m.claim()
	m.rebalance()
	m.release()
	m.snapshot()
	return m.finish()
}

// announce appends a join record until it is read back, and then renewals; one
// record renews all leases.
func (m *Member) announce() {
	s := m.settings
	switch {
	case m.stopping:
	case !m.fold.Joined(m.self):
		if m.joinSentAt.IsZero() || m.now.Sub(m.joinSentAt) >= s.TTL {
			m.joinSentAt = m.now
			m.append(Record{Kind: Join, Address: m.address})
		}
	case m.now.Sub(m.renewedAt) >= s.RenewEvery:
		m.renewedAt = m.now
		m.sequence++
		m.renewSent.put(m.sequence, m.now)
		m.append(Record{Kind: Renew, Sequence: m.sequence})
	}
}

func (m *Member) append(r Record) string {
	r.ID, r.Member = m.newID(), m.self
	m.out.Appends = append(m.out.Appends, r)
	return r.ID
}

// claim appends one record that claims every partition that is due.
func (m *Member) claim() {
	if m.acquireRefusal() != "" {
		m.readySince = time.Time{}
		return
	}
	if m.readySince.IsZero() {
		m.readySince = m.now
	}
	var claims []PartitionClaim
	share, candidates := -1, []MemberKey(nil)
	for _, p := range m.list.partitions {
		o := m.fold.OwnershipOf(p)
		since, reason := m.claimableSince(p, o)
		if reason != "" || m.claimSentRecently(p) {
			continue
		}
		if share < 0 {
			share, candidates = m.share()
		}
		budget := share - len(m.own) - len(m.pending) - len(claims)
		if m.claimDue(p, o, since, candidates, budget) {
			claims = append(claims, PartitionClaim{p, o.Epoch, o.Holder, m.fold.LastRenewalOf(o)})
		}
	}
	if len(claims) == 0 {
		return
	}
	id := m.append(Record{Kind: Claim, Claims: claims})
	for _, c := range claims {
		m.pending[c.Partition] = &claimAttempt{id: id, claim: c, sent: m.now}
	}
}

// claimSentRecently reports whether a claim of the partition was sent within the
// last TTL. An older claim can no longer count and is repeated.
func (m *Member) claimSentRecently(p fleet.PartitionID) bool {
	a := m.pending[p]
	return a != nil && m.now.Sub(a.sent) <= m.settings.TTL
}

// claimDue staggers the claims of the members by rank, so that they do not all
// claim every partition. A member at its fair share waits TTL longer than the last
// candidate. An own lease that ended is claimed again at once.
func (m *Member) claimDue(p fleet.PartitionID, o Ownership, since time.Time, candidates []MemberKey, budget int) bool {
	if o.Holder == m.self {
		return true
	}
	s := m.settings
	since = later(since, m.readySince)
	if budget <= 0 {
		return m.now.Sub(since) >= s.TTL+time.Duration(len(candidates))*s.ClaimStagger
	}
	waited := m.now.Sub(since)
	if waited < 0 {
		return false
	}
	return waited >= time.Duration(m.rank(p, candidates))*s.ClaimStagger
}

// share returns the fair share of the partitions, rounded up, and the candidates:
// the members below the share, and this member unless it is leaving. Members count
// if they are listed, not leaving, and renewing.
func (m *Member) share() (int, []MemberKey) {
	active := make([]MemberKey, 0, len(m.order)+1)
	if !m.list.selfLeaving {
		active = append(active, m.self)
	}
	for _, id := range m.order {
		p := m.peers[id]
		if p.listed && !p.leaving && m.isRenewing(p.key) {
			active = append(active, p.key)
		}
	}
	if len(active) == 0 {
		return 0, nil
	}
	share := (len(m.list.partitions) + len(active) - 1) / len(active)
	if m.list.selfLeaving {
		share = 0
	}
	belowShare := active[:0]
	for _, k := range active {
		if k == m.self || m.fold.HeldBy(k) < share {
			belowShare = append(belowShare, k)
		}
	}
	return share, belowShare
}

func (m *Member) isRenewing(k MemberKey) bool {
	return m.fold.Joined(k) && !m.fold.Stopping(k) && m.now.Sub(m.renewalReadAt[k]) <= m.settings.TTL+m.settings.Margin
}

// rank returns the number of candidates before this member in the rendezvous
// hashing order of the partition.
func (m *Member) rank(p fleet.PartitionID, candidates []MemberKey) int {
	own, before := weight(p, m.self.ID), 0
	for _, k := range candidates {
		if k != m.self && weight(p, k.ID) > own {
			before++
		}
	}
	return before
}

func weight(p fleet.PartitionID, id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(p) + "\x00" + string(id))
}

// rebalance releases up to RebalanceBatch partitions above the fair share if
// another member below its share has been listed for long enough to claim them.
func (m *Member) rebalance() {
	s := m.settings
	if m.stopping || m.promisesActive || m.now.Sub(m.balancedAt) < s.RebalanceEvery || m.acquireRefusal() != "" {
		return
	}
	m.balancedAt = m.now
	share, belowShare := m.share()
	excess := min(len(m.own)-share, s.RebalanceBatch)
	if excess <= 0 || !m.hasRecipient(belowShare) {
		return
	}
	for _, p := range m.leastPreferred()[:excess] {
		l := m.own[p]
		m.endLease(p, l, CauseBalanced, "released for balance")
		m.scheduleRelease(p, l.Epoch, m.now.Add(s.ReleaseDelay))
	}
}

// hasRecipient reports whether another member below its share has been listed for
// long enough to meet the conditions of rule a.
func (m *Member) hasRecipient(belowShare []MemberKey) bool {
	for _, k := range belowShare {
		p := m.peers[k.ID]
		if p == nil || p.listedSince.IsZero() {
			continue
		}
		if m.now.Sub(p.listedSince) > m.settings.ListConvergence()+2*m.settings.TTL {
			return true
		}
	}
	return false
}

// leastPreferred returns the own partitions in ascending order of this member's
// rendezvous weight.
func (m *Member) leastPreferred() []fleet.PartitionID {
	list := make([]fleet.PartitionID, 0, len(m.own))
	for p := range m.own {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return weight(list[i], m.self.ID) < weight(list[j], m.self.ID) })
	return list
}

// release appends one record with the releases that are due, and repeats it every
// TTL until it is read back. It also releases a lease that ended and was not
// claimed again within TTL, because other members can't claim the partition while
// this member renews.
func (m *Member) release() {
	s := m.settings
	for p, at := range m.endedAt {
		o := m.fold.OwnershipOf(p)
		if o.Holder != m.self || m.own[p] != nil {
			delete(m.endedAt, p)
			continue
		}
		if m.releasing[p] == nil && m.now.Sub(at) >= s.TTL && !m.claimSentRecently(p) {
			m.scheduleRelease(p, o.Epoch, m.now)
		}
	}
	var due []PartitionEpoch
	for p, r := range m.releasing {
		if !m.now.Before(r.due) {
			due = append(due, PartitionEpoch{p, r.epoch})
			r.due = m.now.Add(s.TTL)
		}
	}
	if len(due) > 0 || (m.stopping && !m.stopReleaseSent) {
		m.stopReleaseSent = m.stopping
		sort.Slice(due, func(i, j int) bool { return due[i].Partition < due[j].Partition })
		m.append(Record{Kind: Release, Released: due, Stopping: m.stopping})
	}
}

// snapshot appends the state of the fold before the log's retention drops the
// records that it results from. It does so only if no listed, renewing member has a
// smaller ID.
func (m *Member) snapshot() {
	s := m.settings
	if m.stopping || !m.fold.Joined(m.self) || m.fold.recordsSinceSnapshot < s.SnapshotEvery || m.now.Sub(m.snapshotAt) < s.TTL {
		return
	}
	for _, id := range m.order {
		if p := m.peers[id]; id < m.self.ID && p.listed && m.isRenewing(p.key) {
			return
		}
	}
	m.snapshotAt = m.now
	state := m.fold.State()
	m.append(Record{Kind: Snapshot, State: &state})
}

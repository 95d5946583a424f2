package lease

import (
	"slices"
	"sort"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// List is the part of a list snapshot that ownership uses.
type List struct {
	// SampledAt is no later than the time whose state the list shows.
	SampledAt time.Time
	// Instances may contain instances of other regions, which are ignored.
	Instances []fleet.Instance
	// Partitions are the partitions of the region.
	Partitions []fleet.PartitionID
}

// listView is the member's view of the list. The time on or off the list counts
// from the receipt of a snapshot, which is later than its sample time, so that it
// is never overestimated.
type listView struct {
	sampledAt     time.Time // sample time of the newest snapshot
	selfListed    bool      // the newest snapshot lists this member
	selfLeaving   bool
	selfSampledAt time.Time // sample time of the newest snapshot that lists this member
	selfSince     time.Time // since when this member is listed without a gap, or zero
	partitions    []fleet.PartitionID
}

// peer is another member of the region.
type peer struct {
	key           MemberKey // incarnation 0 while unknown
	knownSince    time.Time // when this run became known
	listed        bool
	leaving       bool
	listedSince   time.Time
	unlistedSince time.Time // since when it is off the list, or zero
	lastMessageAt time.Time // receipt of its last message
	dropped       bool      // off the list and without a message for ListConvergence: ignored

	ackedAt time.Time // first answer since this member is listed (selfSince), or zero

	// Promises that the peer gave to this member:
	answeredRoundSent time.Time // send time of the last round that the peer answered with promises
	answeredRound     uint64
	receivedPromises  map[fleet.PartitionID]fleet.Epoch
	giveBackPending   bool // the peer may have a promise whose give-back it has not confirmed

	// Promises that this member gave to the peer:
	grantedPromise  *givenPromise
	highestGiveBack uint64    // highest round that the peer gave back
	blockedUntil    time.Time // an earlier run's leases last until then at most
}

// givenPromise is this member's promise to a peer not to acquire the partitions.
type givenPromise struct {
	round      uint64
	answeredAt time.Time
	partitions map[fleet.PartitionID]fleet.Epoch
}

func (g *givenPromise) covers(partition fleet.PartitionID) bool {
	_, promised := g.partitions[partition]
	return promised
}

// peerOf returns the peer with the given ID and adds it if it is new.
func (m *Member) peerOf(id fleet.InstanceID) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{key: MemberKey{ID: id}, knownSince: m.now}
		m.peers[id] = p
		m.order = append(m.order, id)
		slices.Sort(m.order)
	}
	return p
}

// observeRun records a run of another member. It returns nil for an outdated run
// and for this member.
func (m *Member) observeRun(k MemberKey) *peer {
	if k.ID == m.self.ID || k.Incarnation == 0 {
		return nil
	}
	p := m.peerOf(k.ID)
	switch {
	case k.Incarnation < p.key.Incarnation:
		return nil
	case k.Incarnation > p.key.Incarnation && p.key.Incarnation != 0:
		m.resetPeer(p)
	}
	p.key = k
	return p
}

// resetPeer discards the answers of an earlier run of a peer. Promises given to
// that run remain in force until its leases must have ended.
func (m *Member) resetPeer(p *peer) {
	p.knownSince, p.ackedAt, p.answeredRoundSent, p.receivedPromises = m.now, time.Time{}, time.Time{}, nil
	p.dropped = false
	if p.grantedPromise != nil {
		p.grantedPromise = nil
		p.blockedUntil = m.now.Add(m.settings.TTL + m.settings.Margin)
	}
}

// observeMessage records the receipt of a message. It returns nil if the message
// must be ignored.
func (m *Member) observeMessage(k MemberKey) *peer {
	p := m.observeRun(k)
	if p == nil {
		return nil
	}
	p.lastMessageAt = m.now
	m.readmit(p)
	return p
}

// readmit treats a dropped peer as a new one.
func (m *Member) readmit(p *peer) {
	if !p.dropped {
		return
	}
	p.dropped, p.knownSince = false, m.now
	p.ackedAt, p.answeredRoundSent, p.receivedPromises = time.Time{}, time.Time{}, nil
}

// HandleList handles a list snapshot. It ignores a snapshot that is not newer than
// the last one.
func (m *Member) HandleList(now time.Time, l List) *Actions {
	m.begin(now)
	if l.SampledAt.After(m.list.sampledAt) {
		m.applyList(l)
	}
	return m.finish()
}

func (m *Member) applyList(l List) {
	gap := m.list.sampledAt.IsZero() || l.SampledAt.Sub(m.list.sampledAt) > m.settings.ListStale
	m.list.sampledAt = l.SampledAt
	m.list.partitions = append(m.list.partitions[:0], l.Partitions...)
	sort.Slice(m.list.partitions, func(i, j int) bool { return m.list.partitions[i] < m.list.partitions[j] })
	for _, p := range m.peers {
		p.listed = false
	}
	self := false
	for _, i := range l.Instances {
		switch {
		case i.Region != m.region:
		case i.ID == m.self.ID:
			self, m.list.selfLeaving = true, i.Leaving
		default:
			m.markListed(i)
		}
	}
	m.updateSelfListing(self, gap)
	for _, p := range m.peers {
		m.updatePeerListing(p, self, gap)
	}
	m.removeDroppedPeers()
}

func (m *Member) markListed(i fleet.Instance) {
	p := m.peerOf(i.ID)
	p.listed, p.leaving = true, i.Leaving
	m.readmit(p)
}

func (m *Member) updateSelfListing(listed, gap bool) {
	m.list.selfListed = listed
	if !listed {
		m.list.selfSince = time.Time{}
		return
	}
	m.list.selfSampledAt = m.list.sampledAt
	if gap || m.list.selfSince.IsZero() {
		m.list.selfSince = m.now
		// Earlier answers no longer show that the peers have recorded this member.
		for _, p := range m.peers {
			p.ackedAt = time.Time{}
		}
	}
}

// updatePeerListing updates since when a peer is on or off the list. Time off the
// list counts only by snapshots that list this member. gap is set if the previous
// snapshot is too old to show the state in between.
func (m *Member) updatePeerListing(p *peer, self, gap bool) {
	if p.listed {
		if p.listedSince.IsZero() {
			p.listedSince = m.now
		}
		p.unlistedSince = time.Time{}
		return
	}
	p.listedSince = time.Time{}
	if !self {
		p.unlistedSince = time.Time{}
		return
	}
	if gap || p.unlistedSince.IsZero() {
		p.unlistedSince = m.now
	}
	unseenFor := m.list.sampledAt.Sub(later(p.unlistedSince, p.lastMessageAt))
	if unseenFor > m.settings.ListConvergence()+m.settings.Margin {
		p.dropped = true
	}
}

// removeDroppedPeers removes dropped peers that are not joined in the log and to
// which no promise of this member is in force.
func (m *Member) removeDroppedPeers() {
	m.order = slices.DeleteFunc(m.order, func(id fleet.InstanceID) bool {
		p := m.peers[id]
		if !p.dropped || m.fold.Joined(p.key) || m.promiseInForce(p) || m.now.Before(p.blockedUntil) {
			return false
		}
		delete(m.peers, id)
		return true
	})
}

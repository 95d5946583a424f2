package lease

import (
	"slices"
	"sort"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// List is a list snapshot as far as ownership needs it.
type List struct {
	// SampledAt is no later than the time at which the list was true.
	SampledAt time.Time
	// Instances may contain instances of other regions; they are ignored.
	Instances []fleet.Instance
	// Partitions are the partitions of the region.
	Partitions []fleet.PartitionID
}

// listView is what the member remembers of the list. Runs start at the receipt
// of a snapshot, which is later than its sample, so that they are never
// overrated.
type listView struct {
	sampledAt     time.Time // newest snapshot
	selfListed    bool      // the newest snapshot lists the own member
	selfLeaving   bool
	selfSampledAt time.Time // newest snapshot that lists the own member
	selfSince     time.Time // start of the own run on the list without a gap
	partitions    []fleet.PartitionID
}

// peer is another member of the region.
type peer struct {
	key           MemberKey // incarnation 0 until it is known
	knownSince    time.Time // when this run of it became known
	listed        bool
	leaving       bool
	listedSince   time.Time
	unlistedSince time.Time // start of its run off the list, or zero
	lastMessageAt time.Time // last message from it
	dropped       bool      // off the list for W and silent: left the set

	ackedAt time.Time // when it first answered in the current own run, or zero

	// As the one that promises to the own member:
	answeredRoundSent time.Time // send time of the last round that it answered
	answeredRound     uint64
	receivedPromises  map[fleet.PartitionID]fleet.Epoch
	giveBackPending   bool // it may hold a promise that was not given back yet

	// As the one that the own member has promised:
	givenPromise   *givenPromise
	givenBackRound uint64    // highest round that it gave back
	blockedUntil   time.Time // an earlier run's leases may last until then
}

// givenPromise is the own member's promise to acquire none of the partitions.
type givenPromise struct {
	round      uint64
	answeredAt time.Time
	partitions map[fleet.PartitionID]fleet.Epoch
}

func (g *givenPromise) covers(partition fleet.PartitionID) bool {
	_, promised := g.partitions[partition]
	return promised
}

// peerOf returns the entry of a member, creating it when it is new.
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

// observeRun notes a run of another member. It returns nil for an outdated run and
// for the own member.
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

// resetPeer forgets what an earlier run of a member has answered. What the
// own member has promised to that run stands until its leases must have ended.
func (m *Member) resetPeer(p *peer) {
	p.knownSince, p.ackedAt, p.answeredRoundSent, p.receivedPromises = m.now, time.Time{}, time.Time{}, nil
	p.dropped = false
	if p.givenPromise != nil {
		p.givenPromise = nil
		p.blockedUntil = m.now.Add(m.settings.TTL + m.settings.Margin)
	}
}

// observeMessage notes a message from a member. It returns nil when the message has to
// be ignored.
func (m *Member) observeMessage(k MemberKey) *peer {
	p := m.observeRun(k)
	if p == nil {
		return nil
	}
	p.lastMessageAt = m.now
	m.readmit(p)
	return p
}

// readmit takes a dropped member into the set again, as if it were new.
func (m *Member) readmit(p *peer) {
	if !p.dropped {
		return
	}
	p.dropped, p.knownSince = false, m.now
	p.ackedAt, p.answeredRoundSent, p.receivedPromises = time.Time{}, time.Time{}, nil
}

// HandleList handles a list snapshot. Snapshots that are not newer than the last
// one are ignored.
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
		// Answers of an earlier run no longer show that the member is known.
		for _, p := range m.peers {
			p.ackedAt = time.Time{}
		}
	}
}

// updatePeerListing follows the run of a member on or off the list. Only snapshots that
// list the own member count for a run off the list.
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
	silent := m.list.sampledAt.Sub(later(p.unlistedSince, p.lastMessageAt))
	if silent > m.settings.ListConvergence()+m.settings.Margin {
		p.dropped = true
	}
}

// removeDroppedPeers removes dropped members that nothing refers to any more.
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

package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// The rules of the protocol:
//
//   - Rule a: when a member may claim a partition (acquireRefusal,
//     claimableSince) and how long an accepted claim counts (acquiredUntil).
//   - Rule b: how long the log extends a lease (endByLog).
//   - Rule c: how long promises extend a lease (endByPromises).
//   - Rule d: when a member promises (promiseRefusal) and when a promise ends
//     (promiseInForce, giveBack).
//   - Rule e: when a lease lapses (expireLeases) and is extended (extendLeases).

// expireLeases is the first half of rule e.
//
// Invariant: an expired lease has ended permanently. The ownLease is removed, and
// promises are counted only for the epoch of an ownLease, so no promise revives it.
func (m *Member) expireLeases() {
	for p, l := range m.own {
		if m.now.Before(l.until) || l.lapsed {
			continue
		}
		if m.options.promisesExtendLapsed {
			l.lapsed = true
			continue
		}
		m.endLease(p, l, CauseLapsed, "lapsed")
	}
}

// extensionDivisor divides RenewEvery to give the minimum extension of a lease.
// Without a minimum, a member without peers would publish an extension each tick.
const extensionDivisor = 8

// extendLeases is the second half of rule e. It extends only leases that have not
// expired.
//
// Invariant: the end of a lease never moves back. A rule may therefore return only
// a time up to which the lease is safe whatever events follow.
func (m *Member) extendLeases() {
	for _, l := range m.own {
		until := time.Time{}
		if m.promisesActive {
			until = m.endByPromises(l)
		}
		if !l.lapsed {
			until = later(until, m.endByLog(l))
		}
		if until.Sub(l.until) < m.settings.RenewEvery/extensionDivisor || !until.After(m.now) {
			continue
		}
		l.until, l.lapsed = until, false
		m.out.Extended = append(m.out.Extended, Lease{l.PartitionEpoch, until})
	}
}

// endByLog is rule b. It returns the end of the lease given by the renewals that
// were read back, limited to the time up to which the holder counts as listed.
//
// Invariant: a claimant waits TTL plus Margin after it reads the last renewal,
// which is later than the sending of the renewal. The fold rejects its claim if a
// newer renewal precedes it. So when another member's claim is accepted, logUntil
// has passed.
func (m *Member) endByLog(l *ownLease) time.Time {
	return earlier(l.logUntil, m.listedUntil())
}

// endByPromises is rule c. It returns the end of the lease given by the promises
// of all peers that are not dropped.
//
// Invariant: a member does not acquire a partition while its promise is in force,
// and acquires nothing until TTL plus Margin after the holder first answered it. A
// peer that has not promised therefore limits the lease to TTL after the peer
// became known. Up to listedUntil a promise in force is enough, because it ends
// only after the holder was off the list for ListConvergence. Beyond that, an
// answer counts for TTL from the sending of its round, and only while the newest
// snapshot lists the holder.
func (m *Member) endByPromises(l *ownLease) time.Time {
	ttl := m.settings.TTL
	inForceEnd := m.listedUntil()
	answeredEnd := m.now.Add(ttl)
	for _, p := range m.peers {
		if p.dropped {
			continue
		}
		known := p.knownSince.Add(ttl)
		if p.receivedPromises[l.Partition] != l.Epoch {
			inForceEnd = earlier(inForceEnd, known)
			answeredEnd = earlier(answeredEnd, known)
			continue
		}
		answeredEnd = earlier(answeredEnd, later(known, p.answeredRoundSent.Add(ttl)))
	}
	if !m.list.selfListed && !m.options.ignoreOwnListing {
		return inForceEnd
	}
	// At most TTL/2 is granted at once, so that the promises can be given back
	// soon after the list is fresh again.
	return later(inForceEnd, earlier(answeredEnd, m.now.Add(ttl/2)))
}

// listedUntil returns the time up to which this member counts as listed.
func (m *Member) listedUntil() time.Time {
	if m.options.ignoreOwnListing {
		return m.now.Add(m.settings.ListStale)
	}
	if m.list.selfSampledAt.IsZero() {
		return time.Time{}
	}
	return m.list.selfSampledAt.Add(m.settings.ListStale)
}

// acquireRefusal is the part of rule a that applies to all partitions. It returns
// the reason why this member may acquire nothing now, or an empty string.
//
// Invariant: when a claim is sent, every member that could hold the partition
// through promises has had the claimant as a peer for TTL and has no promise of it.
// Every member that dropped the claimant did so before the claimant read a list
// that contains it.
func (m *Member) acquireRefusal() string {
	switch {
	case m.stopping:
		return "this instance is stopping"
	case !m.fold.Complete():
		return "the ownership log was truncated and no snapshot was read yet"
	case !m.fold.Joined(m.self):
		return "the own join record was not read back yet"
	case m.now.Sub(m.lastLogRead) > m.settings.TTL:
		return "the log does not answer"
	case m.list.selfSince.IsZero() || m.now.Sub(m.list.selfSampledAt) > m.settings.ListStale:
		return "this instance does not see itself on a fresh list"
	case m.now.Sub(m.list.selfSince) < m.settings.ListConvergence()+m.settings.Margin:
		return "this instance has not been on the list for W yet"
	}
	if p := m.unacknowledgedPeer(); p != "" && !m.options.noIntroduction {
		return "instance " + string(p) + " has not known this instance for TTL yet"
	}
	return ""
}

// promisedTo returns a peer to which this member promised not to acquire the
// partition, or an empty string. After the restart of a peer that had a promise,
// the promise counts for all partitions until the leases of the earlier run have
// ended.
func (m *Member) promisedTo(partition fleet.PartitionID) fleet.InstanceID {
	for _, id := range m.order {
		p := m.peers[id]
		if m.now.Before(p.blockedUntil) || (m.promiseInForce(p) && p.grantedPromise.covers(partition)) {
			return id
		}
	}
	return ""
}

// unacknowledgedPeer returns a peer that first answered this member less than TTL
// plus Margin ago or not at all, or an empty string.
func (m *Member) unacknowledgedPeer() fleet.InstanceID {
	wait := m.settings.TTL + m.settings.Margin
	for _, id := range m.order {
		p := m.peers[id]
		if !p.dropped && (p.ackedAt.IsZero() || m.now.Sub(p.ackedAt) < wait) {
			return id
		}
	}
	return ""
}

// claimableSince is the part of rule a that applies to one partition. It returns
// the time since which the partition may be claimed, or the reason why it may not.
//
// Invariant: no promise of this member for the partition is in force when its claim
// is sent. A lease of another member that was extended through the log ends TTL
// after the sending of its last renewal, hence by TTL plus Margin after this member
// read that renewal.
func (m *Member) claimableSince(p fleet.PartitionID, o Ownership) (time.Time, string) {
	since := m.changedAt[p]
	switch {
	case m.own[p] != nil:
		return since, "held by this instance"
	case m.releasing[p] != nil:
		return since, "its release was not read back yet"
	case o.Holder == m.self:
		since = m.endedAt[p]
	case o.Held() && !m.options.noClaimWait:
		since = later(since, m.renewalReadAt[o.Holder]).Add(m.settings.TTL + m.settings.Margin)
		if m.now.Before(since) {
			return since, "its holder renewed less than TTL plus margin ago"
		}
	}
	if to := m.promisedTo(p); to != "" && !m.options.ignorePromises {
		return since, "it is promised to " + string(to)
	}
	return since, ""
}

// acquiredUntil is the last part of rule a. An accepted claim counts until TTL
// after its sending, if it is read back before that. Only the last attempt counts:
// any earlier one is older than TTL.
//
// Invariant: other members wait TTL plus Margin after they read the claim, and a
// member that was off the list for ListConvergence can't have sent a claim within
// the last TTL.
func (m *Member) acquiredUntil(id string, p fleet.PartitionID) (time.Time, bool) {
	a := m.pending[p]
	if a == nil || a.id != id || m.stopping {
		return time.Time{}, false
	}
	until := a.sent.Add(m.settings.TTL)
	return until, m.now.Before(until)
}

// promiseRefusal is the part of rule d that decides on one partition of a promise
// request. It returns the reason for a refusal, or an empty string.
//
// Invariant: a member that has promised neither holds the partition nor has a claim
// in flight that could still be accepted.
func (m *Member) promiseRefusal(from *peer, pe PartitionEpoch) string {
	o := m.fold.OwnershipOf(pe.Partition)
	switch {
	case m.Valid(pe.Partition, m.now):
		return "this instance holds it"
	case o.Holder == m.self && o.Epoch >= pe.Epoch:
		return "the log shows this instance as its holder"
	case o.Epoch > pe.Epoch:
		return "the log shows a newer epoch"
	case m.pending[pe.Partition] != nil:
		return "a claim of this instance is unresolved"
	case m.promisedToOther(from, pe.Partition):
		return "it is promised to another instance"
	}
	return ""
}

// promiseInForce reports whether a promise to the peer is in force. It is the part
// of rule d that ends a promise without a give-back.
//
// Invariant: when it reports false, the peer can't hold a valid lease through this
// promise, because it has seen that it is off the list, or because the last answer
// to it is too old.
func (m *Member) promiseInForce(p *peer) bool {
	if p.grantedPromise == nil {
		return false
	}
	s := m.settings
	if m.delisted(p) && m.now.Sub(p.grantedPromise.answeredAt) > s.TTL+s.Margin {
		p.grantedPromise = nil
		return false
	}
	return true
}

// delisted reports whether a peer has been off the list for more than
// ListConvergence plus Margin, by fresh snapshots without a gap that list this
// member.
func (m *Member) delisted(p *peer) bool {
	return !p.unlistedSince.IsZero() &&
		m.now.Sub(m.list.sampledAt) <= m.settings.ListStale &&
		m.list.sampledAt.Sub(p.unlistedSince) > m.settings.ListConvergence()+m.settings.Margin
}

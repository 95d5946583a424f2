package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// expireLeases is the first half of rule e.
//
// Invariant: a lease whose time is over has ended for good. The lease value
// goes with the answers that name its epoch, so no promise can revive it.
func (m *Member) expireLeases() {
	for p, l := range m.own {
		if m.now.Before(l.until) || l.lapsed {
			continue
		}
		if m.options.promisesRevive {
			l.lapsed = true
			continue
		}
		m.endLease(p, l, CauseLapsed, "lapsed")
	}
}

// extensionDivisor is the part of RenewEvery by which an extension has to exceed
// the old end. Without it a member that is alone would publish one each tick.
const extensionDivisor = 8

// extendLeases is the second half of rule e: only leases that lapse has left are
// extended.
//
// Invariant: the end of a lease never moves back. A rule may therefore return
// only a time up to which it holds whatever the member learns later.
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

// endByLog is rule b. It returns the end of the lease by the renewals that were
// read back, as long as the holder saw itself listed.
//
// Invariant: a claimant waits TTL plus margin from its reading of the last
// renewal, which is later than the renewal's sending, and the fold rejects its
// claim if a newer renewal precedes it. So by the time that a claim of another
// member is accepted, logUntil has passed.
func (m *Member) endByLog(l *ownLease) time.Time {
	return earlier(l.logUntil, m.listedUntil())
}

// endByPromises is rule c. It returns the end of the lease by the promises of all
// members that the holder knows.
//
// Invariant: a member acquires nothing while a promise of its own stands, nor
// before TTL plus margin has passed since the holder answered it. A member
// that is known but has not promised therefore bounds the lease by the time
// that it became known plus TTL. While the holder sees itself listed, standing
// promises are enough, because they end only after the holder has been off the
// list for W. Otherwise each answer counts for TTL, and only as long as the
// newest snapshot lists the holder.
func (m *Member) endByPromises(l *ownLease) time.Time {
	ttl := m.settings.TTL
	standing := m.listedUntil()
	answered := m.now.Add(ttl)
	for _, p := range m.peers {
		if p.dropped {
			continue
		}
		known := p.knownSince.Add(ttl)
		if p.receivedPromises[l.Partition] != l.Epoch {
			standing = earlier(standing, known)
			answered = earlier(answered, known)
			continue
		}
		answered = earlier(answered, later(known, p.answeredRoundSent.Add(ttl)))
	}
	if !m.list.selfListed && !m.options.ignoreOwnListing {
		return standing
	}
	// Only half a TTL is granted at once, so that the promises can be given
	// back soon after the list is fresh again.
	return later(standing, earlier(answered, m.now.Add(ttl/2)))
}

// listedUntil returns the time up to which the holder counts as listed.
func (m *Member) listedUntil() time.Time {
	if m.options.ignoreOwnListing {
		return m.now.Add(m.settings.ListStale)
	}
	if m.list.selfSampledAt.IsZero() {
		return time.Time{}
	}
	return m.list.selfSampledAt.Add(m.settings.ListStale)
}

// acquireRefusal is the part of rule a that holds for all partitions. It returns
// an empty string or the reason in words why nothing can be acquired now.
//
// Invariant: at the time that a claim is sent, every member that could hold
// the partition through promises knows the claimant, has known it for TTL, and
// has no promise of it; and every member that has forgotten the claimant did
// so before the claimant saw itself on the list.
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

// promisedTo returns a member that the own member has promised not to acquire
// the partition from, or an empty string. After the restart of a member it
// counts for all partitions until the leases of the earlier run have ended.
func (m *Member) promisedTo(partition fleet.PartitionID) fleet.InstanceID {
	for _, id := range m.order {
		p := m.peers[id]
		if m.now.Before(p.blockedUntil) || (m.promiseInForce(p) && p.givenPromise.covers(partition)) {
			return id
		}
	}
	return ""
}

// unacknowledgedPeer returns a member that the own member has not made itself known to
// for long enough, or an empty string.
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

// claimableSince is the part of rule a for one partition: the time from which
// it may be claimed, or a reason in words why it may not.
//
// Invariant: no promise of the own member for the partition stands when its
// claim is sent. A lease of another member that was extended through the log has
// ended TTL after the sending of its last renewal, hence TTL plus margin after
// its reading here.
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

// acquiredUntil is the last part of rule a: an accepted claim counts until
// its send time plus TTL, if it is read back before that. An earlier attempt
// than the last one is older than TTL.
//
// Invariant: other members wait TTL plus margin from their reading of the
// claim, and a member that was dropped from the list for W can't have sent a
// claim within the last TTL.
func (m *Member) acquiredUntil(id string, p fleet.PartitionID) (time.Time, bool) {
	a := m.pending[p]
	if a == nil || a.id != id || m.stopping {
		return time.Time{}, false
	}
	until := a.sent.Add(m.settings.TTL)
	return until, m.now.Before(until)
}

// promiseRefusal is the part of rule d that decides on one partition of a promise
// request. It returns an empty string or the reason in words.
//
// Invariant: whoever has promised neither holds the partition nor has a claim
// on its way that could still be accepted.
func (m *Member) promiseRefusal(from *peer, pe PartitionEpoch) string {
	o := m.fold.Ownership(pe.Partition)
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

// promiseInForce is the part of rule d that ends promises without a give-back.
//
// Invariant: when it reports false, the holder can't be valid through this
// promise: it has seen itself off the list, or its last answer is too old.
func (m *Member) promiseInForce(p *peer) bool {
	if p.givenPromise == nil {
		return false
	}
	s := m.settings
	if m.delisted(p) && m.now.Sub(p.givenPromise.answeredAt) > s.TTL+s.Margin {
		p.givenPromise = nil
		return false
	}
	return true
}

// delisted reports whether a member has been off the list for more than W, by
// fresh snapshots without a gap that list the own member.
func (m *Member) delisted(p *peer) bool {
	return !p.unlistedSince.IsZero() &&
		m.now.Sub(m.list.sampledAt) <= m.settings.ListStale &&
		m.list.sampledAt.Sub(p.unlistedSince) > m.settings.ListConvergence()+m.settings.Margin
}

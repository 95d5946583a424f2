package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// HandlePromiseRequest answers another member's promise request. It promises the
// partitions that rule d allows. Every request is answered, because an answer also
// shows the sender that this member has recorded it as a peer.
func (m *Member) HandlePromiseRequest(now time.Time, r PromiseRequest) *Actions {
	m.begin(now)
	if p := m.observeMessage(r.Member); p != nil {
		m.answerRequest(p, r)
	}
	return m.finish()
}

func (m *Member) answerRequest(p *peer, r PromiseRequest) {
	answer := Promise{Member: m.self, Round: r.Round}
	// A peer that was off the list for ListConvergence gets no promise, so that
	// the time of the last answer to it no longer changes.
	if r.Round > p.highestGiveBack && !m.delisted(p) {
		for _, pe := range r.Partitions {
			if m.promiseRefusal(p, pe) == "" {
				answer.Partitions = append(answer.Partitions, pe)
			}
		}
	}
	if len(answer.Partitions) > 0 {
		m.grantPromise(p, answer)
	}
	m.out.Promises = append(m.out.Promises, Outgoing[Promise]{p.key.ID, answer})
}

func (m *Member) grantPromise(p *peer, answer Promise) {
	if p.grantedPromise == nil {
		p.grantedPromise = &givenPromise{partitions: map[fleet.PartitionID]fleet.Epoch{}}
	}
	p.grantedPromise.round = max(p.grantedPromise.round, answer.Round)
	p.grantedPromise.answeredAt = m.now
	for _, pe := range answer.Partitions {
		p.grantedPromise.partitions[pe.Partition] = pe.Epoch
	}
}

func (m *Member) promisedToOther(from *peer, partition fleet.PartitionID) bool {
	for _, p := range m.peers {
		if p != from && m.promiseInForce(p) && p.grantedPromise.covers(partition) {
			return true
		}
	}
	return false
}

// HandleGiveBack ends the promises given to another member up to a round. The
// answer confirms the message, so that the sender does not repeat it.
func (m *Member) HandleGiveBack(now time.Time, g GiveBack) *Actions {
	m.begin(now)
	if p := m.observeMessage(g.Member); p != nil {
		p.highestGiveBack = max(p.highestGiveBack, g.Round)
		if p.grantedPromise != nil && p.grantedPromise.round <= g.Round {
			p.grantedPromise = nil
		}
		m.out.Promises = append(m.out.Promises, Outgoing[Promise]{p.key.ID, Promise{Member: m.self, Round: g.Round}})
	}
	return m.finish()
}

// HandlePromise handles another member's answer to a request or a give-back.
func (m *Member) HandlePromise(now time.Time, a Promise) *Actions {
	m.begin(now)
	if p := m.observeMessage(a.Member); p != nil {
		m.applyAnswer(p, a)
	}
	return m.finish()
}

// applyAnswer applies an answer. An answer to a round that was given back only
// confirms the give-back, because the peer may have ended the promise.
func (m *Member) applyAnswer(p *peer, a Promise) {
	sent, known := m.roundSent.get(a.Round)
	if known && p.ackedAt.IsZero() && !m.list.selfSince.IsZero() && !sent.Before(m.list.selfSince) {
		p.ackedAt = m.now
	}
	if a.Round <= m.givenBackRound {
		if a.Round == m.givenBackRound {
			p.giveBackPending = false
		}
		return
	}
	if a.Round < p.answeredRound || len(a.Partitions) == 0 {
		return
	}
	p.answeredRound = a.Round
	if known {
		p.answeredRoundSent = later(p.answeredRoundSent, sent)
	}
	if p.receivedPromises == nil {
		p.receivedPromises = make(map[fleet.PartitionID]fleet.Epoch, len(a.Partitions))
	}
	clear(p.receivedPromises)
	for _, pe := range a.Partitions {
		p.receivedPromises[pe.Partition] = pe.Epoch
	}
}

// nextRound returns a new round number and records the current time as its send
// time.
func (m *Member) nextRound() uint64 {
	m.round++
	m.roundSent.put(m.round, m.now)
	return m.round
}

// updatePromises requests promises while renewals through the log do not suffice,
// and gives the promises back once they do.
func (m *Member) updatePromises() {
	switch {
	case m.needsPromises():
		m.promisesActive = true
		if m.now.Sub(m.requestedAt) >= m.settings.RenewEvery {
			m.requestedAt = m.now
			m.requestPromises()
		}
	case m.promisesActive && m.coveredByLog():
		m.giveBack()
	}
	if m.now.Sub(m.introducedAt) >= m.settings.RenewEvery {
		m.introducedAt = m.now
		m.introduce()
		m.repeatGiveBack()
	}
}

// requestPromises asks every peer that is not dropped to promise the own
// partitions.
func (m *Member) requestPromises() {
	round := m.nextRound()
	partitions := make([]PartitionEpoch, 0, len(m.own))
	for _, l := range m.own {
		partitions = append(partitions, l.PartitionEpoch)
	}
	for _, id := range m.order {
		p := m.peers[id]
		if p.dropped {
			continue
		}
		p.giveBackPending = true
		m.out.Requests = append(m.out.Requests, Outgoing[PromiseRequest]{id, PromiseRequest{m.self, round, partitions}})
	}
}

// needsPromises reports whether a lease would soon lapse by rule b alone.
func (m *Member) needsPromises() bool {
	if len(m.own) == 0 {
		return false
	}
	if m.listedUntil().Sub(m.now) < m.settings.ListStale/4 {
		return true
	}
	for _, l := range m.own {
		if l.logUntil.Sub(m.now) < m.settings.TTL/2 {
			return true
		}
	}
	return false
}

// coveredByLog reports whether rule b grants every lease at least as long as the
// promises did. It waits for the expiry of leases that ended early.
func (m *Member) coveredByLog() bool {
	if m.now.Before(m.lostUntil) {
		return false
	}
	for _, l := range m.own {
		if m.endByLog(l).Before(l.until) {
			return false
		}
	}
	return true
}

// giveBack discards the received promises before it notifies the peers (rule d).
func (m *Member) giveBack() {
	m.promisesActive, m.givenBackRound = false, m.round
	for _, p := range m.peers {
		p.receivedPromises = nil
	}
	m.sendGiveBacks()
}

// repeatGiveBack resends unconfirmed give-backs. Without it, a lost give-back
// would leave a promise in force and keep the peer from acquiring the partitions.
func (m *Member) repeatGiveBack() {
	if !m.promisesActive {
		m.sendGiveBacks()
	}
}

func (m *Member) sendGiveBacks() {
	for _, id := range m.order {
		if m.peers[id].giveBackPending {
			m.out.GiveBacks = append(m.out.GiveBacks, Outgoing[GiveBack]{id, GiveBack{m.self, m.givenBackRound}})
		}
	}
}

// introduce sends a request without partitions to every peer that has not answered
// yet, so that it records this member as a peer.
func (m *Member) introduce() {
	round := uint64(0)
	for _, id := range m.order {
		p := m.peers[id]
		if m.stopping || p.dropped || !p.ackedAt.IsZero() || m.list.selfSince.IsZero() {
			continue
		}
		if round == 0 {
			round = m.nextRound()
		}
		m.out.Requests = append(m.out.Requests, Outgoing[PromiseRequest]{id, PromiseRequest{m.self, round, nil}})
	}
}

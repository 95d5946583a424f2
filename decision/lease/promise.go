package lease

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// HandlePromiseRequest answers a promise request of another member: it promises
// the partitions that rule d allows. Every request is answered, since an
// answer also shows the sender that it is known.
func (m *Member) HandlePromiseRequest(now time.Time, r PromiseRequest) *Actions {
	m.begin(now)
	if p := m.observeMessage(r.Member); p != nil {
		m.answerRequest(p, r)
	}
	return m.finish()
}

func (m *Member) answerRequest(p *peer, r PromiseRequest) {
	answer := Promise{Member: m.self, Round: r.Round}
	// A member that has been off the list for W gets no promise, so that the
	// time of the last answer to it is fixed.
	if r.Round > p.givenBackRound && !m.delisted(p) {
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
	if p.givenPromise == nil {
		p.givenPromise = &givenPromise{partitions: map[fleet.PartitionID]fleet.Epoch{}}
	}
	p.givenPromise.round = max(p.givenPromise.round, answer.Round)
	p.givenPromise.answeredAt = m.now
	for _, pe := range answer.Partitions {
		p.givenPromise.partitions[pe.Partition] = pe.Epoch
	}
}

func (m *Member) promisedToOther(from *peer, partition fleet.PartitionID) bool {
	for _, p := range m.peers {
		if p != from && m.promiseInForce(p) && p.givenPromise.covers(partition) {
			return true
		}
	}
	return false
}

// HandleGiveBack ends the promises of a member up to a round. The answer tells the
// member that it need not repeat the message.
func (m *Member) HandleGiveBack(now time.Time, g GiveBack) *Actions {
	m.begin(now)
	if p := m.observeMessage(g.Member); p != nil {
		p.givenBackRound = max(p.givenBackRound, g.Round)
		if p.givenPromise != nil && p.givenPromise.round <= g.Round {
			p.givenPromise = nil
		}
		m.out.Promises = append(m.out.Promises, Outgoing[Promise]{p.key.ID, Promise{Member: m.self, Round: g.Round}})
	}
	return m.finish()
}

// HandlePromise handles the answer of a member to a request or a give-back.
func (m *Member) HandlePromise(now time.Time, a Promise) *Actions {
	m.begin(now)
	if p := m.observeMessage(a.Member); p != nil {
		m.applyAnswer(p, a)
	}
	return m.finish()
}

// applyAnswer takes an answer into account. Answers of rounds that were given
// back only confirm the give-back: the member may have ended the promise.
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

// nextRound returns a new round number, sent now.
func (m *Member) nextRound() uint64 {
	m.round++
	m.roundSent.put(m.round, m.now)
	return m.round
}

// updatePromises sends the requests of a round while the leases are not safe on the log,
// and gives the promises back when they are.
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

// requestPromises asks every member of the set to promise the own partitions.
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

// needsPromises reports whether rule b alone would soon let a lease lapse.
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

// coveredByLog reports whether rule b covers all that was granted by promises,
// including leases that ended before their time.
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

// giveBack first forgets the answers and only then tells the others (rule d).
func (m *Member) giveBack() {
	m.promisesActive, m.givenBackRound = false, m.round
	for _, p := range m.peers {
		p.receivedPromises = nil
	}
	m.sendGiveBacks()
}

// repeatGiveBack covers lost give-backs: a promise that is not given back
// would keep its member from acquiring anything.
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

// introduce makes the member known to those that have not answered yet.
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

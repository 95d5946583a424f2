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
	if p := m.hear(r.Member); p != nil {
		m.promise(p, r)
	}
	return m.finish()
}

func (m *Member) promise(p *peer, r PromiseRequest) {
	answer := Promise{Member: m.self, Round: r.Round}
	// A member that has been off the list for W gets no promise, so that the
	// time of the last answer to it is fixed.
	if r.Round > p.gaveBack && !m.offList(p) {
		for _, pe := range r.Partitions {
			if m.refusal(p, pe) == "" {
				answer.Partitions = append(answer.Partitions, pe)
			}
		}
	}
	if len(answer.Partitions) > 0 {
		m.give(p, answer)
	}
	m.out.Promises = append(m.out.Promises, Outgoing[Promise]{p.key.ID, answer})
}

func (m *Member) give(p *peer, answer Promise) {
	if p.given == nil {
		p.given = &givenPromise{partitions: map[fleet.PartitionID]fleet.Epoch{}}
	}
	p.given.round = max(p.given.round, answer.Round)
	p.given.answered = m.now
	for _, pe := range answer.Partitions {
		p.given.partitions[pe.Partition] = pe.Epoch
	}
}

func (m *Member) promisedToOther(from *peer, partition fleet.PartitionID) bool {
	for _, p := range m.peers {
		if p != from && m.promiseStands(p) && p.given.covers(partition) {
			return true
		}
	}
	return false
}

// HandleGiveBack ends the promises of a member up to a round. The answer tells the
// member that it need not repeat the message.
func (m *Member) HandleGiveBack(now time.Time, g GiveBack) *Actions {
	m.begin(now)
	if p := m.hear(g.Member); p != nil {
		p.gaveBack = max(p.gaveBack, g.Round)
		if p.given != nil && p.given.round <= g.Round {
			p.given = nil
		}
		m.out.Promises = append(m.out.Promises, Outgoing[Promise]{p.key.ID, Promise{Member: m.self, Round: g.Round}})
	}
	return m.finish()
}

// HandlePromise handles the answer of a member to a request or a give-back.
func (m *Member) HandlePromise(now time.Time, a Promise) *Actions {
	m.begin(now)
	if p := m.hear(a.Member); p != nil {
		m.answered(p, a)
	}
	return m.finish()
}

// answered takes an answer into account. Answers of rounds that were given
// back only confirm the give-back: the member may have ended the promise.
func (m *Member) answered(p *peer, a Promise) {
	sent, known := m.roundSent.get(a.Round)
	if known && p.acked.IsZero() && !m.list.selfSince.IsZero() && !sent.Before(m.list.selfSince) {
		p.acked = m.now
	}
	if a.Round <= m.backTo {
		if a.Round == m.backTo {
			p.owesBack = false
		}
		return
	}
	if a.Round < p.lastRound || len(a.Partitions) == 0 {
		return
	}
	p.lastRound = a.Round
	if known {
		p.answered = later(p.answered, sent)
	}
	if p.promised == nil {
		p.promised = make(map[fleet.PartitionID]fleet.Epoch, len(a.Partitions))
	}
	clear(p.promised)
	for _, pe := range a.Partitions {
		p.promised[pe.Partition] = pe.Epoch
	}
}

// nextRound returns a new round number, sent now.
func (m *Member) nextRound() uint64 {
	m.round++
	m.roundSent.put(m.round, m.now)
	return m.round
}

// ask sends the requests of a round while the leases are not safe on the log,
// and gives the promises back when they are.
func (m *Member) ask() {
	switch {
	case m.needsPromises():
		m.asking = true
		if m.now.Sub(m.askedAt) >= m.settings.RenewEvery {
			m.askedAt = m.now
			m.request()
		}
	case m.asking && m.safeOnLog():
		m.giveBack()
	}
	if m.now.Sub(m.helloAt) >= m.settings.RenewEvery {
		m.helloAt = m.now
		m.introduce()
		m.repeatGiveBack()
	}
}

// request asks every member of the set to promise the own partitions.
func (m *Member) request() {
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
		p.owesBack = true
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

// safeOnLog reports whether rule b covers all that was granted by promises,
// including leases that ended before their time.
func (m *Member) safeOnLog() bool {
	if m.now.Before(m.granted) {
		return false
	}
	for _, l := range m.own {
		if m.byLog(l).Before(l.until) {
			return false
		}
	}
	return true
}

// giveBack first forgets the answers and only then tells the others (rule d).
func (m *Member) giveBack() {
	m.asking, m.backTo = false, m.round
	for _, p := range m.peers {
		p.promised = nil
	}
	m.sendGiveBacks()
}

// repeatGiveBack covers lost give-backs: a promise that is not given back
// would keep its member from acquiring anything.
func (m *Member) repeatGiveBack() {
	if !m.asking {
		m.sendGiveBacks()
	}
}

func (m *Member) sendGiveBacks() {
	for _, id := range m.order {
		if m.peers[id].owesBack {
			m.out.GiveBacks = append(m.out.GiveBacks, Outgoing[GiveBack]{id, GiveBack{m.self, m.backTo}})
		}
	}
}

// introduce makes the member known to those that have not answered yet.
func (m *Member) introduce() {
	round := uint64(0)
	for _, id := range m.order {
		p := m.peers[id]
		if m.stopping || p.dropped || !p.acked.IsZero() || m.list.selfSince.IsZero() {
			continue
		}
		if round == 0 {
			round = m.nextRound()
		}
		m.out.Requests = append(m.out.Requests, Outgoing[PromiseRequest]{id, PromiseRequest{m.self, round, nil}})
	}
}

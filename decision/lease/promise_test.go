package lease

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// promiseCase is a member b, which other members ask to promise the partition dc/r
// under epoch 1.
type promiseCase struct {
	m     *Member
	now   time.Time
	round uint64
}

func (c *promiseCase) request(from MemberKey) bool {
	c.round++
	a := c.m.HandlePromiseRequest(c.now, PromiseRequest{from, c.round, []PartitionEpoch{{"dc/r", 1}}})
	return len(a.Promises) == 1 && len(a.Promises[0].Message.Partitions) == 1
}

func (c *promiseCase) advance(d time.Duration) { c.now = c.now.Add(d) }

// feedLists feeds one list snapshot per second for a time d. Each lists b and the
// given members.
func (c *promiseCase) feedLists(d time.Duration, ids ...fleet.InstanceID) {
	list := []fleet.Instance{{ID: "b", Region: testRegion}}
	for _, id := range ids {
		list = append(list, fleet.Instance{ID: id, Region: testRegion})
	}
	for range d / time.Second {
		c.advance(time.Second)
		c.m.HandleList(c.now, List{SampledAt: c.now, Instances: list, Partitions: []fleet.PartitionID{"dc/r"}})
	}
}

func (c *promiseCase) read(records ...Record) {
	var entries []Entry
	for _, r := range records {
		entries = append(entries, Entry{c.m.fold.nextOffset + fleet.Offset(len(entries)), r})
	}
	c.m.HandleRecords(c.now, entries)
}

// Guards against a promise that a pending claim, a held lease or another promise
// contradicts, and against a promise that ends while the holder of the lease may
// still depend on it.
func TestPromiseRules(t *testing.T) {
	aHolds := []Record{join(keyA), join(keyB), claim(keyA, 0, MemberKey{}, 0)}
	bHolds := []Record{join(keyA), join(keyB), claim(keyB, 0, MemberKey{}, 0)}
	keyC := MemberKey{"c", 1}
	s := DefaultSettings()
	cases := []struct {
		name     string
		setUp    func(c *promiseCase)
		promised bool // whether the answer to a is a promise
		inForce  bool // whether a promise to a is in force afterwards
	}{
		{"the log shows the sender as holder", func(c *promiseCase) { c.read(aHolds...) }, true, true},
		{"a claim is unresolved", func(c *promiseCase) {
			c.read(aHolds...)
			c.m.pending["dc/r"] = &claimAttempt{id: "x", claim: PartitionClaim{"dc/r", 1, keyA, 2}, sent: c.now}
		}, false, false},
		{"a claim is resolved by a newer renewal", func(c *promiseCase) {
			c.read(aHolds...)
			c.m.pending["dc/r"] = &claimAttempt{id: "x", claim: PartitionClaim{"dc/r", 1, keyA, 2}, sent: c.now}
			c.read(renew(keyA))
		}, true, true},
		{"a claim that failed without effect", func(c *promiseCase) {
			c.read(aHolds...)
			c.m.pending["dc/r"] = &claimAttempt{id: "x", claim: PartitionClaim{"dc/r", 1, keyA, 2}, sent: c.now}
			c.m.HandleAppendResult(c.now, "x", true, false)
		}, true, true},
		{"a claim whose append is indeterminate", func(c *promiseCase) {
			c.read(aHolds...)
			c.m.pending["dc/r"] = &claimAttempt{id: "x", claim: PartitionClaim{"dc/r", 1, keyA, 2}, sent: c.now}
			c.m.HandleAppendResult(c.now, "x", true, true)
		}, false, false},
		{"the log shows this member as holder", func(c *promiseCase) { c.read(bHolds...) }, false, false},
		{"the log shows a newer epoch", func(c *promiseCase) {
			c.read(append(aHolds, join(keyC), claim(keyC, 1, keyA, 2))...)
		}, false, false},
		{"promised to another", func(c *promiseCase) { c.request(keyC) }, false, false},
		{"given back by another", func(c *promiseCase) {
			c.request(keyC)
			c.m.HandleGiveBack(c.now, GiveBack{keyC, c.round})
		}, true, true},
		{"an old give-back of another", func(c *promiseCase) {
			c.request(keyC)
			c.request(keyC)
			c.m.HandleGiveBack(c.now, GiveBack{keyC, c.round - 1})
		}, false, false},
		{"the round was given back before it arrived", func(c *promiseCase) {
			c.m.HandleGiveBack(c.now, GiveBack{keyA, c.round + 1})
		}, false, false},
		{"a request of an outdated run", func(c *promiseCase) { c.request(MemberKey{"a", 2}) }, false, true},
		{"off the list for W", func(c *promiseCase) {
			c.read(aHolds...)
			c.feedLists(20*time.Second, "a")
			c.feedLists(s.ListConvergence()+2*time.Second, "c")
		}, false, false},
		{"off the list for less than W", func(c *promiseCase) {
			c.feedLists(20*time.Second, "a")
			c.feedLists(s.ListConvergence()-2*time.Second, "c")
		}, true, true},
		{"an earlier promise stays in force off the list for W, answered within TTL", func(c *promiseCase) {
			c.feedLists(20*time.Second, "a")
			c.feedLists(s.ListConvergence(), "c")
			c.request(keyA)
			c.feedLists(2*time.Second, "c")
		}, false, true},
		{"an earlier promise ends off the list for W", func(c *promiseCase) {
			c.read(aHolds...)
			c.request(keyA)
			c.feedLists(20*time.Second, "c")
		}, false, false},
		{"an earlier promise stays in force whatever the log shows", func(c *promiseCase) {
			c.request(keyA)
			c.advance(time.Hour)
			c.read(append(aHolds, renew(keyA))...)
		}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &promiseCase{m: NewMember(fleet.Instance{ID: "b", Region: testRegion}, 1, s), now: clockStart}
			c.setUp(p)
			promised := p.request(keyA)
			peer := p.m.peers["a"]
			if inForce := peer != nil && p.m.promiseInForce(peer); promised != c.promised || inForce != c.inForce {
				t.Errorf("got promised %v, in force %v; want %v, %v", promised, inForce, c.promised, c.inForce)
			}
		})
	}
}

// Guards against a holder that counts answers to rounds that it has given back, or
// that sends the give-back before it has discarded the answers.
func TestGiveBackClearsAnswersFirst(t *testing.T) {
	sim := newSimulation(5, 3, 3)
	sim.runTo(settleTime)
	n := sim.nodes[0]
	sim.setFor(&sim.logDown, 20*time.Second)
	sim.runTo(settleTime + 15*time.Second)
	if !n.member.promisesActive || sim.heldShare() != 1 {
		t.Fatalf("promises active %v, share held %v; want true, 1 during the outage", n.member.promisesActive, sim.heldShare())
	}
	round := n.member.round
	sim.runTo(settleTime + 40*time.Second)
	if n.member.promisesActive {
		t.Fatal("promises are active 20 s after the outage, want them given back")
	}
	for p := range n.member.own {
		late := Promise{sim.nodes[1].member.self, round, []PartitionEpoch{n.member.own[p].PartitionEpoch}}
		n.member.HandlePromise(sim.localTime(n), late)
	}
	for id, p := range n.member.peers {
		if len(p.receivedPromises) > 0 || p.giveBackPending {
			t.Errorf("peer %s: promises %v, give-back pending %v; want none, false", id, p.receivedPromises, p.giveBackPending)
		}
		if sim.nodes[1].member.promiseInForce(sim.nodes[1].member.peers["m0"]) {
			t.Error("a promise is in force after the give-back, want none")
		}
	}
}

package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// simulation runs members through one history in virtual time. Appends to its log
// may be lost, late or unacknowledged, its list lags, and its links have delays.
// All randomness comes from one seeded source.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	queue      events
	eventCount int
	settings   Settings
	options    options
	drift      float64 // maximum deviation of a clock's rate from 1
	nodes      []*node
	partitions []fleet.PartitionID

	log              []Entry
	logDown          bool
	deferredAppends  []Record // appends that take effect after the outage
	appendFaultShare float64  // share of appends that are lost, late or unacknowledged
	slowShare        float64  // share of messages and reads with a long delay

	listFrozen   bool
	frozenSample []fleet.Instance
	frozenAt     time.Duration

	cuts               map[[2]int]bool
	violation          string
	acquired           int
	takeovers          int
	extendedByPromises int
	lastHolder         map[fleet.PartitionID]MemberKey
}

// node is one process: a member with its clock and its active faults.
type node struct {
	index       int
	id          fleet.Instance
	member      *Member
	earlierRuns []*Member // their leases may still be in use
	clockRate   float64
	run         uint64
	nextRead    int // index of the next log entry to read
	alive       bool
	frozen      bool
	deferred    []func()
	logCut      bool
	listCut     bool
	listChanges []listChange // in time order
}

type listChange struct {
	at     time.Duration
	listed bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	testRegion    = fleet.Region("accra")
	testTick      = 250 * time.Millisecond
	testReadEvery = 100 * time.Millisecond
	testListEvery = 400 * time.Millisecond
)

var clockStart = time.Unix(1_700_000_000, 0)

func newSimulation(seed uint64, members, partitions int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), settings: DefaultSettings(),
		cuts: map[[2]int]bool{}, lastHolder: map[fleet.PartitionID]MemberKey{},
	}
	for i := range partitions {
		sim.partitions = append(sim.partitions, fleet.PartitionOf("dc", fleet.Rack(fmt.Sprintf("r%03d", i))))
	}
	for range members {
		sim.join()
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{sim.now + d, sim.eventCount, run})
}

// runTo runs all events up to a time or until the first violation.
func (sim *simulation) runTo(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

func (sim *simulation) delay(typical, tail time.Duration) time.Duration {
	if sim.rng.Float64() < sim.slowShare {
		return time.Duration(sim.rng.Int64N(int64(tail)))
	}
	return typical/4 + time.Duration(sim.rng.Int64N(int64(typical)))
}

// localTime returns the time on a node's clock.
func (sim *simulation) localTime(n *node) time.Time {
	return clockStart.Add(time.Duration(float64(sim.now)*n.clockRate) + time.Duration(n.index)*time.Hour)
}

// join starts a new process, which is listed from now on.
func (sim *simulation) join() *node {
	i := len(sim.nodes)
	n := &node{
		index: i, alive: true,
		id:        fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("m%d", i)), Region: testRegion},
		clockRate: 1 + sim.drift*(2*sim.rng.Float64()-1),
	}
	sim.nodes = append(sim.nodes, n)
	sim.setListed(n, true)
	sim.restart(n)
	sim.after(sim.jitter(testTick), func() { sim.tick(n) })
	sim.after(sim.jitter(testReadEvery), func() { sim.readLog(n) })
	sim.after(sim.jitter(testListEvery), func() { sim.readList(n) })
	return n
}

func (sim *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// restart builds a new member, as after a panic of the duty. Other duties of the
// process may still use the leases of the earlier run.
func (sim *simulation) restart(n *node) {
	if n.member != nil {
		n.earlierRuns = append(n.earlierRuns, n.member)
	}
	n.run++
	n.nextRead = 0
	n.member = NewMember(n.id, n.run, sim.settings)
	n.member.options = sim.options
}

// deliver passes an event to the current run of a node. It waits for the end of a
// freeze and drops the event if the run has ended by then.
func (sim *simulation) deliver(n *node, f func(m *Member, now time.Time) *Actions) {
	run := n.run
	sim.runOrDefer(n, func() {
		if n.run == run {
			sim.execute(n, f(n.member, sim.localTime(n)))
		}
	})
}

func (sim *simulation) runOrDefer(n *node, f func()) {
	switch {
	case !n.alive:
	case n.frozen:
		n.deferred = append(n.deferred, f)
	default:
		f()
	}
}

func (sim *simulation) tick(n *node) {
	sim.runOrDefer(n, func() {
		sim.deliver(n, func(m *Member, now time.Time) *Actions { return m.Tick(now) })
		sim.after(testTick, func() { sim.tick(n) })
	})
}

// readLog reads the log, with a delay, and schedules the next read. A failed read
// is retried after 1 s.
func (sim *simulation) readLog(n *node) {
	sim.runOrDefer(n, func() {
		if sim.logDown || n.logCut {
			sim.after(time.Second, func() { sim.readLog(n) })
			return
		}
		sim.commitDeferred()
		batch := slices.Clone(sim.log[n.nextRead:])
		n.nextRead = len(sim.log)
		run := n.run
		sim.after(sim.delay(10*time.Millisecond, 3*time.Second), func() {
			if n.run == run {
				sim.deliver(n, func(m *Member, now time.Time) *Actions { return m.HandleRecords(now, batch) })
			}
			sim.after(testReadEvery, func() { sim.readLog(n) })
		})
	})
}

// readList reads the list and schedules the next read. The snapshot's time is the
// time of the call, less the age of the list if it is frozen.
func (sim *simulation) readList(n *node) {
	sim.runOrDefer(n, func() {
		called, at := sim.localTime(n), sim.now
		sim.after(sim.delay(10*time.Millisecond, 1500*time.Millisecond), func() {
			if !n.listCut {
				l := List{SampledAt: called, Partitions: sim.partitions}
				l.Instances = sim.sample(sim.now)
				if sim.listFrozen {
					l.Instances, l.SampledAt = sim.frozenSample, called.Add(sim.frozenAt-at)
				}
				sim.deliver(n, func(m *Member, now time.Time) *Actions { return m.HandleList(now, l) })
			}
			sim.after(testListEvery, func() { sim.readList(n) })
		})
	})
}

// sample returns the list at a time. It shows each member's state at a random time
// up to ListLag earlier.
func (sim *simulation) sample(at time.Duration) []fleet.Instance {
	var list []fleet.Instance
	for _, n := range sim.nodes {
		if n.listedAt(at - sim.jitter(sim.settings.ListLag)) {
			list = append(list, n.id)
		}
	}
	return list
}

func (n *node) listedAt(at time.Duration) bool {
	listed := false
	for _, t := range n.listChanges {
		if t.at <= at {
			listed = t.listed
		}
	}
	return listed
}

func (sim *simulation) setListed(n *node, listed bool) {
	n.listChanges = append(n.listChanges, listChange{sim.now, listed})
}

// execute executes the actions of one event and checks for two holders.
func (sim *simulation) execute(n *node, a *Actions) {
	for _, r := range a.Appends {
		sim.append(n, r)
	}
	for _, r := range a.Requests {
		sim.send(n, r.Peer, func(m *Member, now time.Time) *Actions { return m.HandlePromiseRequest(now, r.Message) })
	}
	for _, p := range a.Promises {
		sim.send(n, p.Peer, func(m *Member, now time.Time) *Actions { return m.HandlePromise(now, p.Message) })
	}
	for _, g := range a.GiveBacks {
		sim.send(n, g.Peer, func(m *Member, now time.Time) *Actions { return m.HandleGiveBack(now, g.Message) })
	}
	for _, l := range a.Acquired {
		sim.acquired++
		if last, held := sim.lastHolder[l.Partition]; held && last.ID != n.id.ID {
			sim.takeovers++
		}
		sim.lastHolder[l.Partition] = n.member.self
		sim.checkHolders(l.Partition)
	}
	for _, l := range a.Extended {
		if n.member.promisesActive {
			sim.extendedByPromises++
		}
		sim.checkHolders(l.Partition)
	}
}

// checkHolders checks the safety property: at most one member holds the partition.
// A lease is valid from its acquisition until its end, so two leases can begin to
// overlap only when one is acquired or extended.
func (sim *simulation) checkHolders(p fleet.PartitionID) {
	holders := sim.holders(p)
	if len(holders) > 1 && sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v partition %s is held by %v, want at most one holder", sim.now, p, holders)
	}
}

func (sim *simulation) holders(p fleet.PartitionID) []MemberKey {
	var holders []MemberKey
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		now, held := sim.localTime(n), MemberKey{}
		for _, m := range append(n.earlierRuns, n.member) {
			if m.Valid(p, now) {
				held = m.self
			}
		}
		if held.ID != "" {
			holders = append(holders, held)
		}
	}
	return holders
}

func (sim *simulation) send(from *node, to fleet.InstanceID, f func(*Member, time.Time) *Actions) {
	for _, n := range sim.nodes {
		if n.id.ID != to || sim.cuts[[2]int{from.index, n.index}] {
			continue
		}
		// A message goes to the run of the member that is current on its arrival.
		sim.after(sim.delay(2*time.Millisecond, 3*time.Second), func() {
			sim.runOrDefer(n, func() { sim.execute(n, f(n.member, sim.localTime(n))) })
		})
	}
}

// append appends a record after a delay, late, or never. The acknowledgement may be
// lost.
func (sim *simulation) append(n *node, r Record) {
	effect := sim.delay(5*time.Millisecond, 2*time.Second)
	lost, acknowledged := false, true
	if sim.rng.Float64() < sim.appendFaultShare {
		switch sim.rng.IntN(3) {
		case 0:
			lost, acknowledged = true, false
		case 1:
			effect += sim.jitter(12 * time.Second)
			acknowledged = false
		default:
			acknowledged = false
		}
	}
	if sim.logDown || n.logCut {
		lost, acknowledged = sim.rng.IntN(2) == 0, false
		effect += sim.jitter(12 * time.Second)
	}
	if !lost {
		sim.after(effect, func() { sim.commit(r) })
	}
	sim.after(effect, func() {
		sim.deliver(n, func(m *Member, now time.Time) *Actions { return m.HandleAppendResult(now, r.ID, !acknowledged, true) })
	})
}

// commitDeferred commits the appends deferred by an outage, in random order.
func (sim *simulation) commitDeferred() {
	deferredAppends := sim.deferredAppends
	sim.deferredAppends = nil
	sim.rng.Shuffle(len(deferredAppends), func(i, j int) { deferredAppends[i], deferredAppends[j] = deferredAppends[j], deferredAppends[i] })
	for _, r := range deferredAppends {
		sim.commit(r)
	}
}

// commit adds a record to the log, or defers it until the end of a log outage.
func (sim *simulation) commit(r Record) {
	if sim.logDown {
		sim.deferredAppends = append(sim.deferredAppends, r)
		return
	}
	sim.log = append(sim.log, Entry{Offset: fleet.Offset(len(sim.log)), Record: r})
}

func (sim *simulation) freeze(n *node, d time.Duration) {
	if !n.alive || n.frozen {
		return
	}
	n.frozen = true
	sim.after(d, func() {
		n.frozen = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			sim.runOrDefer(n, f)
		}
	})
}

func (sim *simulation) kill(n *node) {
	n.alive, n.deferred = false, nil
	sim.after(sim.jitter(8*time.Second), func() { sim.setListed(n, false) })
}

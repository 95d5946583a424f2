package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// world drives members through one history in virtual time: a log whose
// appends may be lost, late or unacknowledged, a lagging list, and links with
// delays. Everything random comes from one seeded source.
type world struct {
	rng        *rand.Rand
	now        time.Duration
	queue      events
	order      int
	settings   Settings
	options    options
	drift      float64 // greatest deviation of a clock's rate from 1
	nodes      []*node
	partitions []fleet.PartitionID

	log     []Entry
	logDown bool
	stalled []Record // appends that take effect after the outage
	late    float64  // share of appends that are lost, late or unacknowledged
	slow    float64  // share of messages and reads with a long delay

	listFrozen   bool
	frozenSample []fleet.Instance
	frozenAt     time.Duration

	cuts       map[[2]int]bool
	violation  string
	acquired   int
	takeovers  int
	promised   int
	lastHolder map[fleet.PartitionID]MemberKey
}

// node is one process: a member with its clock and its faults.
type node struct {
	index   int
	id      fleet.Instance
	member  *Member
	zombies []*Member // earlier runs, whose leases may still be used
	rate    float64
	run     uint64
	read    int // next log index to read
	alive   bool
	frozen  bool
	backlog []func()
	logCut  bool
	listCut bool
	toggles []toggle // its states on the list, in time order
}

type toggle struct {
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

var epochStart = time.Unix(1_700_000_000, 0)

func newWorld(seed uint64, members, partitions int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), settings: DefaultSettings(),
		cuts: map[[2]int]bool{}, lastHolder: map[fleet.PartitionID]MemberKey{},
	}
	for i := range partitions {
		w.partitions = append(w.partitions, fleet.PartitionOf("dc", fleet.Rack(fmt.Sprintf("r%03d", i))))
	}
	for range members {
		w.join()
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, run})
}

// runTo executes all events up to a time or to the first violation.
func (w *world) runTo(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) delay(typical, tail time.Duration) time.Duration {
	if w.rng.Float64() < w.slow {
		return time.Duration(w.rng.Int64N(int64(tail)))
	}
	return typical/4 + time.Duration(w.rng.Int64N(int64(typical)))
}

// local is the time on a node's clock.
func (w *world) local(n *node) time.Time {
	return epochStart.Add(time.Duration(float64(w.now)*n.rate) + time.Duration(n.index)*time.Hour)
}

// join starts a new process, listed from now on.
func (w *world) join() *node {
	i := len(w.nodes)
	n := &node{
		index: i, alive: true,
		id:   fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("m%d", i)), Region: testRegion},
		rate: 1 + w.drift*(2*w.rng.Float64()-1),
	}
	w.nodes = append(w.nodes, n)
	w.list(n, true)
	w.restart(n)
	w.after(w.jitter(testTick), func() { w.tick(n) })
	w.after(w.jitter(testReadEvery), func() { w.readLog(n) })
	w.after(w.jitter(testListEvery), func() { w.readList(n) })
	return n
}

func (w *world) jitter(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// restart builds a new member, as after a panic of the duty. The leases of the
// earlier run may still be used by other duties of the process.
func (w *world) restart(n *node) {
	if n.member != nil {
		n.zombies = append(n.zombies, n.member)
	}
	n.run++
	n.read = 0
	n.member = NewMember(n.id, n.run, w.settings)
	n.member.options = w.options
}

// on delivers an event to the current run of a node, after its freeze if it is
// frozen.
func (w *world) on(n *node, f func(m *Member, now time.Time) *Actions) {
	run := n.run
	w.wake(n, func() {
		if n.run == run {
			w.carryOut(n, f(n.member, w.local(n)))
		}
	})
}

func (w *world) wake(n *node, f func()) {
	switch {
	case !n.alive:
	case n.frozen:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

func (w *world) tick(n *node) {
	w.wake(n, func() {
		w.on(n, func(m *Member, now time.Time) *Actions { return m.Tick(now) })
		w.after(testTick, func() { w.tick(n) })
	})
}

// readLog reads once; the answer may be slow. Reads that fail are repeated.
func (w *world) readLog(n *node) {
	w.wake(n, func() {
		if w.logDown || n.logCut {
			w.after(time.Second, func() { w.readLog(n) })
			return
		}
		w.unstall()
		batch := slices.Clone(w.log[n.read:])
		n.read = len(w.log)
		run := n.run
		w.after(w.delay(10*time.Millisecond, 3*time.Second), func() {
			if n.run == run {
				w.on(n, func(m *Member, now time.Time) *Actions { return m.HandleRecords(now, batch) })
			}
			w.after(testReadEvery, func() { w.readLog(n) })
		})
	})
}

// readList dates the snapshot by the time of the call, less its age.
func (w *world) readList(n *node) {
	w.wake(n, func() {
		called, at := w.local(n), w.now
		w.after(w.delay(10*time.Millisecond, 1500*time.Millisecond), func() {
			if !n.listCut {
				l := List{SampledAt: called, Partitions: w.partitions}
				l.Instances = w.sample(w.now)
				if w.listFrozen {
					l.Instances, l.SampledAt = w.frozenSample, called.Add(w.frozenAt-at)
				}
				w.on(n, func(m *Member, now time.Time) *Actions { return m.HandleList(now, l) })
			}
			w.after(testListEvery, func() { w.readList(n) })
		})
	})
}

// sample shows each member as it was at some time within the lag bound.
func (w *world) sample(at time.Duration) []fleet.Instance {
	var list []fleet.Instance
	for _, n := range w.nodes {
		if n.listedAt(at - w.jitter(w.settings.ListLag)) {
			list = append(list, n.id)
		}
	}
	return list
}

func (n *node) listedAt(at time.Duration) bool {
	listed := false
	for _, t := range n.toggles {
		if t.at <= at {
			listed = t.listed
		}
	}
	return listed
}

func (w *world) list(n *node, listed bool) {
	n.toggles = append(n.toggles, toggle{w.now, listed})
}

// carryOut executes the actions of one event and checks for two holders.
func (w *world) carryOut(n *node, a *Actions) {
	for _, r := range a.Appends {
		w.append(n, r)
	}
	for _, r := range a.Requests {
		w.send(n, r.Peer, func(m *Member, now time.Time) *Actions { return m.HandlePromiseRequest(now, r.Message) })
	}
	for _, p := range a.Promises {
		w.send(n, p.Peer, func(m *Member, now time.Time) *Actions { return m.HandlePromise(now, p.Message) })
	}
	for _, g := range a.GiveBacks {
		w.send(n, g.Peer, func(m *Member, now time.Time) *Actions { return m.HandleGiveBack(now, g.Message) })
	}
	for _, l := range a.Acquired {
		w.acquired++
		if last, held := w.lastHolder[l.Partition]; held && last.ID != n.id.ID {
			w.takeovers++
		}
		w.lastHolder[l.Partition] = n.member.self
		w.check(l.Partition)
	}
	for _, l := range a.Extended {
		if n.member.asking {
			w.promised++
		}
		w.check(l.Partition)
	}
}

// check is the safety property. A lease is valid from an acquisition until its
// end, so two can begin to overlap only when one is acquired or extended.
func (w *world) check(p fleet.PartitionID) {
	holders := w.holders(p)
	if len(holders) > 1 && w.violation == "" {
		w.violation = fmt.Sprintf("at %v partition %s is held by %v", w.now, p, holders)
	}
}

func (w *world) holders(p fleet.PartitionID) []MemberKey {
	var holders []MemberKey
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		now, held := w.local(n), MemberKey{}
		for _, m := range append(n.zombies, n.member) {
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

func (w *world) send(from *node, to fleet.InstanceID, f func(*Member, time.Time) *Actions) {
	for _, n := range w.nodes {
		if n.id.ID != to || w.cuts[[2]int{from.index, n.index}] {
			continue
		}
		// A message finds whatever run of the member is there when it arrives.
		w.after(w.delay(2*time.Millisecond, 3*time.Second), func() {
			w.wake(n, func() { w.carryOut(n, f(n.member, w.local(n))) })
		})
	}
}

// append takes effect after a delay, late, or never; the result may be lost.
func (w *world) append(n *node, r Record) {
	effect := w.delay(5*time.Millisecond, 2*time.Second)
	lost, acknowledged := false, true
	if w.rng.Float64() < w.late {
		switch w.rng.IntN(3) {
		case 0:
			lost, acknowledged = true, false
		case 1:
			effect += w.jitter(12 * time.Second)
			acknowledged = false
		default:
			acknowledged = false
		}
	}
	if w.logDown || n.logCut {
		lost, acknowledged = w.rng.IntN(2) == 0, false
		effect += w.jitter(12 * time.Second)
	}
	if !lost {
		w.after(effect, func() { w.effect(r) })
	}
	w.after(effect, func() {
		w.on(n, func(m *Member, now time.Time) *Actions { return m.HandleAppendResult(now, r.ID, !acknowledged, true) })
	})
}

// unstall lets appends of an outage take effect in any order.
func (w *world) unstall() {
	stalled := w.stalled
	w.stalled = nil
	w.rng.Shuffle(len(stalled), func(i, j int) { stalled[i], stalled[j] = stalled[j], stalled[i] })
	for _, r := range stalled {
		w.effect(r)
	}
}

// effect puts a record into the log, or after the outage while the log is down.
func (w *world) effect(r Record) {
	if w.logDown {
		w.stalled = append(w.stalled, r)
		return
	}
	w.log = append(w.log, Entry{Offset: fleet.Offset(len(w.log)), Record: r})
}

func (w *world) freeze(n *node, d time.Duration) {
	if !n.alive || n.frozen {
		return
	}
	n.frozen = true
	w.after(d, func() {
		n.frozen = false
		backlog := n.backlog
		n.backlog = nil
		for _, f := range backlog {
			w.wake(n, f)
		}
	})
}

func (w *world) kill(n *node) {
	n.alive, n.backlog = false, nil
	w.after(w.jitter(8*time.Second), func() { w.list(n, false) })
}

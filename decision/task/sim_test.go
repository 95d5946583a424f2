package task

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// The simulation connects the Ledgers of several instances to one log and to
// workers. It has its own clock.
const (
	tick           = 100 * time.Millisecond
	holderTTL      = 4 * time.Second
	simRegion      = fleet.Region("accra")
	slotsPerWorker = 3
	restartDelay   = 6 * time.Second
)

type sim struct {
	t               *rapid.T
	rand            *rand.Rand
	now             time.Time
	log             []entry
	appendsInFlight []inFlightAppend
	logDown         bool
	faultsStopped   bool // no more faults
	instances       []*instance
	racks           map[fleet.PartitionID]*rack
	workers         map[fleet.BackendServerID]*worker
	listed          []fleet.BackendServer
	scheduled       timers
	started         map[string]int // worker-side starts by task and attempt
	resumed         map[string]int // worker-side starts by checkpoint
	jobs            []fleet.JobID  // accepted
	oracle          *Fold
}

type inFlightAppend struct {
	due time.Time
	entry
}

type rack struct {
	holder *instance
	epoch  fleet.Epoch
	until  time.Time
}

type instance struct {
	name        fleet.InstanceID
	ledger      *Ledger
	incarnation int
	read        int
	pausedUntil time.Time // the process is suspended until then
	downUntil   time.Time // the process is not restarted until then
	reserved    map[string]fleet.BackendServerID
	// snapshot is restored once the instance has read snapshotAt records.
	snapshot   *Snapshot
	snapshotAt int
}

type worker struct {
	id          fleet.BackendServerID
	partition   fleet.PartitionID
	newestEpoch fleet.Epoch
	tasks       map[string]*attempt
	unreachable bool
	leaving     bool
	faulty      bool
}

type attempt struct {
	Observation
	leaseUntil, doneAt, endedAt time.Time
}

// key identifies an attempt.
func key(r Ref, attempt int) string { return fmt.Sprint(r.ID(), "#", attempt) }

func newSim(t *rapid.T) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:   time.Unix(1_000_000, 0),
		racks: map[fleet.PartitionID]*rack{}, workers: map[fleet.BackendServerID]*worker{},
		started: map[string]int{}, resumed: map[string]int{}, oracle: NewFold(),
	}
	for i := range 3 {
		id := fleet.PartitionOf("accra-1", fleet.Rack(fmt.Sprint("rack-", i)))
		s.racks[id] = &rack{}
		for k := range 3 {
			b := fleet.BackendServer{
				ID: fleet.BackendServerID(fmt.Sprintf("w%d%d", i, k)), Region: simRegion,
				DataCentre: "accra-1", Rack: fleet.Rack(fmt.Sprint("rack-", i)),
				Capacity: fleet.Resources{Slots: slotsPerWorker},
			}
			s.listed = append(s.listed, b)
			s.workers[b.ID] = &worker{id: b.ID, partition: id, tasks: map[string]*attempt{}}
		}
	}
	for i := range 3 {
		s.instances = append(s.instances, &instance{name: fleet.InstanceID(fmt.Sprint("entry-", i))})
		s.boot(s.instances[i])
	}
	return s
}

// boot starts an instance with empty state. It reads the log from the beginning.
func (s *sim) boot(m *instance) {
	settings := DefaultSettings(m.name, simRegion)
	m.ledger, m.read, m.reserved, m.snapshot = NewLedger(s.now, settings), 0, map[string]fleet.BackendServerID{}, nil
	m.incarnation++
	m.ledger.Begin()
	m.ledger.SetServers(s.now, s.listed)
	m.ledger.SetTeams(map[fleet.Team]float64{"dye": 0.7, "seam": 0.3})
}

// truncate drops records that the instance has not read, as the log's retention
// does. A snapshot of a later state follows in the log.
func (s *sim) truncate(m *instance) {
	from := s.rand.IntN(len(s.log) + 1)
	cut := from + s.rand.IntN(len(s.log)-from+1)
	f := NewFold()
	for _, e := range s.log[:cut] {
		f.Apply(e.at, e.record)
	}
	snapshot := f.Snapshot()
	if cut == 0 || from == len(s.log) || snapshot.At.Offset+1 < s.log[from].at.Offset {
		return
	}
	m.snapshot, m.snapshotAt, m.read = &snapshot, cut, from
	m.ledger.Truncated(s.now)
}

func (m *instance) isRunning(now time.Time) bool {
	return !now.Before(m.pausedUntil) && !now.Before(m.downUntil)
}

// chance returns true with the given probability in percent, and false once the
// faults have stopped.
func (s *sim) chance(percent int) bool { return !s.faultsStopped && s.rand.IntN(100) < percent }

func (s *sim) afterTicks(ticks int, run func()) {
	s.scheduled.add(s.now.Add(time.Duration(ticks)*tick), func(time.Time) { run() })
}

func (s *sim) step() {
	s.now = s.now.Add(tick)
	s.scheduled.fire(s.now)
	s.deliverAppends()
	s.assignRacks()
	for _, w := range s.sortedWorkers() {
		w.run(s)
		if s.rand.IntN(5) == 0 {
			s.report(w)
		}
	}
	for _, m := range s.instances {
		if m.isRunning(s.now) {
			s.stepInstance(m)
		}
	}
	s.checkSingleExecution()
}

func (s *sim) sortedWorkers() []*worker {
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int {
		return int(a.id[1])*10 + int(a.id[2]) - int(b.id[1])*10 - int(b.id[2])
	})
}

// deliverAppends applies the appends in flight whose delay has passed.
func (s *sim) deliverAppends() {
	if s.logDown {
		return
	}
	kept := s.appendsInFlight[:0]
	for _, a := range s.appendsInFlight {
		if a.due.After(s.now) {
			kept = append(kept, a)
			continue
		}
		a.at = Position{Offset: fleet.Offset(len(s.log) / 2), Index: len(s.log) % 2}
		s.log = append(s.log, a.entry)
		if v := s.oracle.Apply(a.at, a.record); v == Accepted && a.record.Kind == JobSubmitted {
			s.jobs = append(s.jobs, a.record.Job.ID)
		}
	}
	s.appendsInFlight = kept
}

func (s *sim) append(a Append) {
	if s.logDown && s.chance(70) || s.chance(8) {
		return // lost before it takes effect
	}
	e := entry{id: a.ID, record: a.Record}
	s.appendsInFlight = append(s.appendsInFlight, inFlightAppend{s.now.Add(time.Duration(s.rand.IntN(5)) * tick), e})
	if s.chance(8) { // retried late because its response was lost
		s.appendsInFlight = append(s.appendsInFlight, inFlightAppend{s.now.Add(time.Duration(s.rand.IntN(300)) * tick), e})
	}
}

// assignRacks keeps one holder for each rack. The next holder takes over after the
// lease of the previous one has expired.
func (s *sim) assignRacks() {
	for _, id := range slices.Sorted(maps.Keys(s.racks)) {
		r := s.racks[id]
		if r.holder != nil && r.holder.isRunning(s.now) && s.now.Before(r.until) {
			r.until = s.now.Add(holderTTL)
			continue
		}
		next := s.instances[s.rand.IntN(len(s.instances))]
		if s.now.Before(r.until.Add(200*time.Millisecond)) || !next.isRunning(s.now) {
			continue
		}
		r.holder, r.epoch, r.until = next, r.epoch+1, s.now.Add(holderTTL)
	}
}

func (s *sim) stepInstance(m *instance) {
	var own []Holding
	for _, id := range slices.Sorted(maps.Keys(s.racks)) {
		if r := s.racks[id]; r.holder == m {
			own = append(own, Holding{id, r.epoch, r.until})
		}
	}
	m.ledger.SetHoldings(s.now, own)
	for n := s.rand.IntN(8); n > 0 && m.read < len(s.log) && !s.logDown; n-- {
		e := s.log[m.read]
		m.read++
		m.ledger.Read(s.now, e.at, e.id, e.record)
	}
	if m.snapshot != nil && m.read >= m.snapshotAt && m.ledger.Restore(s.now, *m.snapshot) {
		m.snapshot = nil
	}
	if m.read == len(s.log) && !s.logDown {
		m.ledger.CaughtUp(s.now, fleet.Offset((len(s.log)+1)/2))
	}
	s.perform(m, m.ledger.Step(s.now))
}

func (s *sim) perform(m *instance, a Actions) {
	for _, x := range a.Appends {
		s.append(x)
	}
	for _, r := range a.Releases {
		delete(m.reserved, key(r.Task, r.Attempt))
	}
	incarnation := m.incarnation
	for _, o := range a.Offers {
		s.afterTicks(s.rand.IntN(3), func() {
			if m.incarnation == incarnation && m.isRunning(s.now) {
				s.answerOffer(m, o)
			}
		})
	}
	for _, c := range a.Calls {
		s.afterTicks(s.rand.IntN(3), func() {
			if s.now.Before(m.downUntil) {
				return
			}
			result := s.deliverCall(m, c)
			s.afterTicks(s.rand.IntN(3), func() {
				if m.incarnation == incarnation && m.isRunning(s.now) { // else the runner failed
					m.ledger.CallDone(s.now, result)
				}
			})
		})
	}
}

func (s *sim) setLeaving(i int, leaving bool) {
	s.listed[i].Leaving = leaving
	s.workers[s.listed[i].ID].leaving = leaving
	for _, m := range s.instances {
		m.ledger.SetServers(s.now, s.listed)
	}
}

// answerOffer simulates the partition duty. It counts running tasks and
// reservations against the capacity.
func (s *sim) answerOffer(m *instance, o Offer) {
	for _, w := range s.sortedWorkers() {
		used := 0
		for _, a := range w.tasks {
			if a.State == WorkerRunning {
				used++
			}
		}
		for _, id := range m.reserved {
			if id == w.id {
				used++
			}
		}
		if w.partition == o.Partition && !w.leaving && used < slotsPerWorker && !slices.Contains(o.Avoid, w.id) {
			m.reserved[key(o.Task, o.Attempt)] = w.id
			m.ledger.Placed(s.now, Release{o.Task, o.Attempt, o.Partition, o.Epoch, w.id})
			return
		}
	}
	m.ledger.Declined(s.now, o.Task, o.Attempt, o.Partition)
}

// deliverCall simulates the runner and the network.
func (s *sim) deliverCall(m *instance, c Call) CallResult {
	r := CallResult{Call: c, Outcome: CallUnknown}
	w := s.workers[c.Server]
	if !s.now.Before(c.NotAfter) || !m.isRunning(s.now) {
		r.Outcome = CallNotSent
		return r
	}
	if w.unreachable || s.chance(5) {
		return r
	}
	if s.chance(3) { // takes effect later, but before the deadline
		s.afterTicks(s.rand.IntN(int(c.NotAfter.Sub(s.now)/tick)+1), func() { w.handleCall(s, c) })
		return r
	}
	outcome, seen := w.handleCall(s, c)
	if s.chance(5) {
		return r // response lost
	}
	r.Outcome, r.Observed = outcome, seen
	return r
}

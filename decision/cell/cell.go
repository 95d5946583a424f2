// Package cell makes all decisions about the jobs of a cell, which is a set of
// workers and the jobs that run on them. One holder at a time feeds a Cell with
// events and carries out the resulting actions.
//
// Invariants:
//
//   - Only the holder orders starts, with its epoch in the fencing token, so the
//     capacity of each worker is accounted for in one place. A run occupies its
//     resources from the order to start it until the worker lists its end, its
//     lease has certainly expired, or its server has restarted.
//   - A task has at most one run at a time unless its step is speculative. A
//     start without an answer is refused after a stop of that attempt, which a
//     later list of its worker confirms. It may still be carried out by a later
//     incarnation of the worker, within the bounds of unanswered_start.go, and
//     its task does not start on another worker before that.
//   - A new holder starts nothing that an earlier holder may have started until
//     every worker that the earlier one could reach has been fenced or its
//     lease has certainly expired.
//   - A job is reported as accepted or cancelled only once its record is
//     durable, and an end is acknowledged only after it has been recorded.
package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/congestion"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the time limits and factors that a Cell applies.
type Settings struct {
	// Lease is how long a worker may keep running tasks without contact with
	// the holder.
	Lease time.Duration
	// MaxLease bounds any lease that a worker grants.
	MaxLease time.Duration
	// AuthorityBound is how long a superseded holder may continue to give
	// orders.
	AuthorityBound time.Duration
	// StatusRetention is how long the state of a finished job can be queried.
	StatusRetention time.Duration
	// RemoteFactor is the slowdown of a task that runs outside the rack of its
	// data.
	RemoteFactor float64
	// MaxTimeOverTarget is how long a task may exceed its latency target.
	MaxTimeOverTarget time.Duration
	// MaxEvacuationAge bounds the age of the evacuation requests by which starts are
	// ordered; 0 is no bound.
	MaxEvacuationAge time.Duration
	// Capacity is that of the holder's instance.
	Capacity congestion.Capacity
	// Regions are the regions of the data centres.
	Regions map[fleet.DataCentre]fleet.Region
	// TriageByCost, ServingRoom and UnevenDemand switch on decisions for deployments
	// whose load exceeds their room at times, or is uneven.
	TriageByCost bool
	ServingRoom  bool
	UnevenDemand bool
}

// DefaultSettings returns the settings for the project's own stand-in platform.
func DefaultSettings() Settings {
	return Settings{
		Lease: 6 * time.Second, MaxLease: 10 * time.Second, AuthorityBound: 2500 * time.Millisecond,
		StatusRetention: 2 * time.Minute, RemoteFactor: 1.5,
		MaxTimeOverTarget: 4 * time.Second,
	}
}

// clockDrift is the fraction by which a worker's clock may run slow, as stated
// by the platform.
const clockDrift = 0.02

// attemptsPerRound separates the attempt numbers of successive holders: a new
// holder does not know every attempt that the previous one used.
const attemptsPerRound = 1000

// interferenceRecordInterval is the time between two records of the
// interference model. A record is about a kilobyte. A new holder that misses a
// few seconds of observations makes up for them with its own.
const interferenceRecordInterval = 3 * time.Second

// Cell is the state of one cell. It is not safe for concurrent use.
type Cell struct {
	settings Settings
	round    int // number of this holder, counted from 1
	now      Moment
	events   uint64 // applied so far

	queues        map[job.Queue]QueueSettings
	retiredQueues map[job.Queue]QueueSettings // removed from the configuration, with their last settings
	jobs          map[fleet.JobID]*jobState
	workers       map[fleet.BackendServerID]*worker
	sortedWorkers []*worker // by identifier, so that decisions do not depend on map order
	ready         []*stepState
	regions       regions
	cold          map[fleet.Service]ColdSettings // of services that have any
	// longRunningExcess is the processor use of long-running tasks less that of
	// all others, by service.
	longRunningExcess map[fleet.Service]int64
	crowdingMeasured  bool
	room              map[roomKey]*room // of the present scheduling pass or event
	open              map[openKey][]int // likewise, positions of the workers that are not closed
	ratedBuffer       ratedWorkers      // reused by the searches of a pass
	interferenceWaits map[fleet.Service]interferenceWait
	racks             racks
	sizes             sizes
	runTimes          map[runKind]*runTimes
	copiesSearchedAt  time.Duration
	uneven            unevenCounts // since the last note
	unevenNotedAt     time.Duration
	nextPass          time.Duration // no scheduling pass before
	triage            triageState
	admission         admission

	interference           *interferenceModel
	nextEviction           time.Duration // no search for images to let go before
	interferenceRecordedAt time.Duration // time of the last record of the model
	nextPreemption         time.Duration // no search for a task to preempt before
	// consolidatedAt is the time of the last move of a serving task.
	consolidatedAt time.Duration

	unansweredStarts int // starts without an answer yet
	lateStarts       int // part of unansweredStarts whose answers are late
	silentCalls      int // stops and holds in flight to workers that leave an order unanswered
	dataCentres      map[fleet.DataCentre]*dataCentre
	evacuations      evacuations
	adviceInFlight   int           // advisor calls without an answer yet
	authority        bool          // the holder may give orders
	behind           bool          // the holder leaves out work that starts and ends nothing
	serverListRead   bool          // the whole server list has been read once
	blocked          bool          // tasks of restored jobs may still run on workers that are not fenced yet
	storeWait        time.Duration // how long an append has been unanswered
	holdNumber       uint64        // of the last hold sent
	listInterval     time.Duration // least time between two lists of a worker
	starts           uint64        // starts ordered
	workerChecks     uint64        // checks whether a worker can run a task
	orderChecks      uint64        // computations of the place of a step in the order

	restoredAt         time.Duration
	startsUntil        time.Duration                  // starts that the start record does not name may be carried out until then
	startsRecorded     bool                           // the last start record that was taken names starts
	steppedDown        bool                           // the holder gives no more orders
	inLeaseRecord      map[fleet.BackendServerID]bool // named by the last lease record that was taken
	lastLeasesRecorded bool                           // the lease record of the step down is durable

	batchNumber     uint64 // of nextBatch
	nextBatch       *batch
	inFlight        *batch // its append has no answer yet; nil if there is none
	actions         []Action
	needsScheduling bool // a scheduling pass is due
}

// New returns an empty cell. round is the number of the holder, counted from 1;
// each takeover begins a new round.
func New(settings Settings, round int) *Cell {
	c := &Cell{
		settings: settings, round: max(1, round), authority: true,
		queues: map[job.Queue]QueueSettings{}, retiredQueues: map[job.Queue]QueueSettings{}, jobs: map[fleet.JobID]*jobState{},
		workers: map[fleet.BackendServerID]*worker{}, longRunningExcess: map[fleet.Service]int64{}, room: map[roomKey]*room{},
		interferenceWaits: map[fleet.Service]interferenceWait{}, open: map[openKey][]int{},
		dataCentres: map[fleet.DataCentre]*dataCentre{},
	}
	c.evacuations = evacuations{
		dataCentres: map[fleet.DataCentre]bool{}, reopenedAt: map[fleet.DataCentre]time.Duration{}, unknown: map[fleet.DataCentre]bool{}, reports: map[fleet.DataCentre]evacuationReport{},
	}
	c.nextBatch, c.interference = newBatch(1), newInterferenceModel()
	c.batchNumber = 1
	if settings.ServingRoom {
		c.interference.enableFilter()
	}
	return c
}

// Handle applies one event. The resulting actions are collected until Actions
// is called.
func (c *Cell) Handle(now Moment, event Event) {
	c.now = now
	c.events++
	c.forgetRoom()
	switch e := event.(type) {
	case Submitted:
		c.submit(e)
	case CancelRequested:
		c.cancel(e)
	case StateRequested:
		c.answerState(e)
	case QueuesChanged:
		c.setQueues(e.Queues)
	case ServerListed:
		c.serverListed(e.Server)
	case ServerUnlisted:
		c.serverUnlisted(e.ID)
	case ServerListRead:
		c.serverListRead = true
		c.checkEvacuatedNames()
		c.needsScheduling = true
	case HoldAnswered:
		c.holdAnswered(e)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case ThrottleAnswered:
		c.throttleAnswered(e)
	case AdviceAnswered:
		c.adviceAnswered(e)
	case Committed:
		c.committed(e.Batch)
	case BatchRefused:
		c.batchRefused(e.Batch)
	case StoreHealth:
		c.storeWait = e.Waiting
		if c.storeWait > maxStoreWait {
			c.nextBatch.jobs = c.rejectUnstored(c.nextBatch.jobs)
		}
	case AuthorityChanged:
		c.authority = e.Held && !c.steppedDown
		if !e.Held {
			c.forgetEvacuationReads()
		}
		c.needsScheduling = true
	case SteppedDown:
		c.stepDown()
	case EvacuationsChanged:
		c.evacuationsChanged(e)
	case HolderLoad:
		c.behind = e.Behind
	case Tick:
		c.tick()
	}
}

// Actions returns the actions that resulted from events since the last call, in
// order.
func (c *Cell) Actions() []Action {
	if c.needsScheduling && c.now.Steady >= c.nextPass {
		c.needsScheduling = false
		c.schedule()
		if !c.behind {
			c.reportWaits()
		}
		c.nextPass = c.now.Steady + c.passInterval()
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// spaceLists sets the least time between two lists of a worker while most paths are
// congested.
func (c *Cell) spaceLists() {
	congested, listBytes := 0, 0
	for _, d := range c.dataCentres {
		if d.path.Congested() {
			congested++
		}
	}
	c.listInterval = 0
	if 2*congested <= len(c.dataCentres) {
		return
	}
	for _, w := range c.sortedWorkers {
		listBytes += w.listBytes
	}
	c.listInterval = congestion.ListInterval(c.settings.Capacity, len(c.sortedWorkers), listBytes)
}

const (
	// passTimePerStep and passTimePerWorker are twenty times what a step that waits
	// and a worker add to the time of a scheduling pass, so that passes take a
	// twentieth of the processor.
	passTimePerStep   = 8 * time.Microsecond
	passTimePerWorker = 12 * time.Microsecond
	// minPassInterval is the interval below which a pass follows each event, and
	// maxPassInterval that of ticks.
	minPassInterval = 2 * time.Millisecond
	maxPassInterval = 50 * time.Millisecond
)

// passInterval returns the least time between two scheduling passes.
func (c *Cell) passInterval() time.Duration {
	interval := time.Duration(len(c.ready))*passTimePerStep + time.Duration(len(c.sortedWorkers))*passTimePerWorker
	if interval < minPassInterval {
		return 0
	}
	return min(interval, maxPassInterval)
}

// PassDue returns how long the next scheduling pass has to wait, and whether one is
// due. Actions makes it after the first event from then on, PassTime at the latest.
func (c *Cell) PassDue(now time.Duration) (time.Duration, bool) {
	return max(0, c.nextPass-now), c.needsScheduling
}

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }

// tick does the work that depends on time alone: holds that are due, lease
// expiry, scheduled occurrences and the removal of finished jobs.
func (c *Cell) tick() {
	c.spaceLists()
	for _, w := range c.sortedWorkers {
		c.checkLeaseExpiry(w)
		c.checkStalls(w)
		c.holdIfDue(w)
		c.resendStops(w)
	}
	c.recordLeasesIfDue()
	c.recordStartsIfDue()
	c.countLateStarts()
	c.removeUnlisted()
	c.checkBlocked()
	c.migrate()
	if !c.behind {
		c.consolidate()
	}
	if c.interference.changed && c.now.Steady-c.interferenceRecordedAt >= c.interference.recordInterval() {
		c.interferenceRecordedAt, c.interference.changed, c.interference.risen = c.now.Steady, false, false
		c.nextBatch.interference = true
	}
	c.startCopies()
	c.noteUneven()
	for _, j := range c.jobs {
		c.openDueOccurrences(j)
		c.removeFinished(j)
	}
	if c.settings.TriageByCost {
		c.measureBacklogs()
	}
	c.needsScheduling = true
}

// Pending returns the number of accepted jobs of each queue of which no task
// has started; queues without such jobs are omitted.
func (c *Cell) Pending() map[job.Queue]int {
	counts := map[job.Queue]int{}
	for _, j := range c.jobs {
		if j.stored && !j.started && !j.state().Final() {
			counts[j.job.Queue]++
		}
	}
	return counts
}

// Stats are the counts of a cell for the state dump and the metrics.
type Stats struct {
	Jobs         int  `json:"jobs"`
	Workers      int  `json:"workers"`
	Reachable    int  `json:"reachable_workers"`
	Runs         int  `json:"runs"`
	WaitingTasks int  `json:"waiting_tasks"`
	AwaitingRack int  `json:"awaiting_rack,omitempty"` // part of WaitingTasks
	Blocked      bool `json:"blocked"`
	Authority    bool `json:"authority"`
	// Images is the number of images in the interference model, and ImageEvictions that
	// of the images that it has let go.
	Images         int    `json:"images"`
	ImageEvictions uint64 `json:"image_evictions,omitempty"`
	// Evacuations holds the evacuated data centres and what still runs there.
	Evacuations []EvacuationStats `json:"evacuations,omitempty"`
}

// Stats returns the counts of the cell.
func (c *Cell) Stats() Stats {
	s := Stats{Jobs: len(c.jobs), Workers: len(c.sortedWorkers), AwaitingRack: c.racks.waiting, Blocked: c.blocked, Authority: c.authority}
	s.Images, s.ImageEvictions = len(c.interference.imageIDs)-1, c.interference.evictions
	for _, w := range c.sortedWorkers {
		s.Runs += len(w.runs)
		if w.usable() {
			s.Reachable++
		}
	}
	for _, step := range c.ready {
		s.WaitingTasks += len(step.waiting)
	}
	s.Evacuations = c.Evacuations()
	return s
}

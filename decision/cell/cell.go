// Package cell decides everything about the jobs of a cell: a set of workers
// with the jobs that run on them. One holder at a time feeds a Cell with
// events and carries out its actions.
//
// Invariants:
//
//   - Only the holder orders starts, with its epoch as fencing token, so each
//     worker's room is counted in one place. A run takes its room from the
//     order until its end is listed, it has surely lapsed, or its server has
//     restarted.
//   - A task has at most one run at a time unless its step allows copies. A
//     start without an answer is settled by a stop of that attempt and a later
//     list of its worker, or by the surely lapsed lease; never by a timer alone.
//   - A new holder starts nothing that an earlier one may have started before
//     every worker that the earlier one could reach has been fenced or has
//     surely lapsed.
//   - A job is accepted or cancelled only once its record is durable, and an
//     end is acknowledged only after it has been recorded.
package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the bounds that a Cell keeps to.
type Settings struct {
	// Lease is how long a worker may go on without hearing from the holder.
	Lease time.Duration
	// MaxLease bounds any lease that a worker grants.
	MaxLease time.Duration
	// AuthorityBound is how long a holder that was superseded may go on.
	AuthorityBound time.Duration
	// StatusRetention is how long the state of a finished job can be asked for.
	StatusRetention time.Duration
	// RemoteFactor is the slowdown of a task that is far from its data.
	RemoteFactor float64
	// MaxTimeOverTarget is how long a task may be over its target.
	MaxTimeOverTarget time.Duration
}

// DefaultSettings are the bounds of the project's own stand-in.
func DefaultSettings() Settings {
	return Settings{
		Lease: 6 * time.Second, MaxLease: 10 * time.Second, AuthorityBound: 2500 * time.Millisecond,
		StatusRetention: 2 * time.Minute, RemoteFactor: 1.5,
		MaxTimeOverTarget: 4 * time.Second,
	}
}

// clockDrift is by how much a worker's clock may be slow, as the platform
// states.
const clockDrift = 0.02

// attemptsPerTerm separates the attempts of successive holders. A holder that
// takes over does not know which attempts its predecessor used.
const attemptsPerTerm = 1000

// interferenceRecordInterval spaces the records of what was learnt of the images. They are a
// kilobyte, and a holder that has lost some seconds of it learns on.
const interferenceRecordInterval = 3 * time.Second

// Cell is the state of one cell. Only one goroutine may use it.
type Cell struct {
	settings Settings
	term     int // number of the holder, from 1
	now      Moment

	queues        map[job.Queue]QueueSettings
	retiredQueues map[job.Queue]QueueSettings // left the configuration, by their last settings
	jobs          map[fleet.JobID]*jobState
	workers       map[fleet.BackendServerID]*worker
	sortedWorkers []*worker // by identifier, so that decisions do not depend on map order
	ready         []*stepState

	interference           *interferenceModel
	interferenceRecordedAt time.Duration // last record of what was learnt
	// consolidatedAt is when the last serving task was moved.
	consolidatedAt time.Duration

	unansweredStarts int // starts without an answer yet
	adviceInFlight   int // calls of the advisor without an answer yet
	authority        bool
	serverListRead   bool
	blocked          bool // tasks of restored jobs may still run somewhere unknown
	storeWait        time.Duration
	holdNumber       uint64

	batchNumber     uint64
	nextBatch       *batch
	inFlight        *batch
	actions         []Action
	needsScheduling bool // the scheduling pass has to run
}

// New returns an empty cell. round counts the holders of the cell, from 1.
func New(settings Settings, round int) *Cell {
	c := &Cell{
		settings: settings, term: max(1, round), authority: true,
		queues: map[job.Queue]QueueSettings{}, retiredQueues: map[job.Queue]QueueSettings{}, jobs: map[fleet.JobID]*jobState{},
		workers: map[fleet.BackendServerID]*worker{},
	}
	c.nextBatch, c.interference = newBatch(1), newInterferenceModel()
	c.batchNumber = 1
	return c
}

// Handle applies one event. The actions that follow are collected until
// Actions is called.
func (c *Cell) Handle(now Moment, event Event) {
	c.now = now
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
		c.authority = e.Held
		c.needsScheduling = true
	case Tick:
		c.tick()
	}
}

// Actions returns what is to be done since the last call, in order.
func (c *Cell) Actions() []Action {
	if c.needsScheduling {
		c.needsScheduling = false
		c.schedule()
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }

// tick does what depends on time alone: holds that are due, leases that have
// lapsed, scheduled occurrences and jobs to forget.
func (c *Cell) tick() {
	for _, w := range c.sortedWorkers {
		c.checkLeaseExpiry(w)
		c.checkStalls(w)
		c.holdIfDue(w)
		c.resendStops(w)
	}
	c.removeUnlisted()
	c.checkBlocked()
	c.consolidate()
	if c.interference.changed && c.now.Steady-c.interferenceRecordedAt >= interferenceRecordInterval {
		c.interferenceRecordedAt, c.interference.changed = c.now.Steady, false
		c.nextBatch.interference = true
	}
	for _, j := range c.jobs {
		c.openDueOccurrences(j)
		c.removeFinished(j)
	}
	c.needsScheduling = true
}

// Pending returns the number of accepted jobs of each queue of which no task
// has started; queues without one are left out.
func (c *Cell) Pending() map[job.Queue]int {
	counts := map[job.Queue]int{}
	for _, j := range c.jobs {
		if j.stored && !j.started && !j.state().Final() {
			counts[j.job.Queue]++
		}
	}
	return counts
}

// Stats are the figures of a cell for the state dump and the metrics.
type Stats struct {
	Jobs         int  `json:"jobs"`
	Workers      int  `json:"workers"`
	Reachable    int  `json:"reachable_workers"`
	Runs         int  `json:"runs"`
	WaitingTasks int  `json:"waiting_tasks"`
	Blocked      bool `json:"blocked"`
	Authority    bool `json:"authority"`
}

// Stats returns the figures of the cell.
func (c *Cell) Stats() Stats {
	s := Stats{Jobs: len(c.jobs), Workers: len(c.sortedWorkers), Blocked: c.blocked, Authority: c.authority}
	for _, w := range c.sortedWorkers {
		s.Runs += len(w.runs)
		if w.usable() {
			s.Reachable++
		}
	}
	for _, step := range c.ready {
		s.WaitingTasks += len(step.waiting)
	}
	return s
}

package cell

import (
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// runKey identifies a run on its worker.
type runKey struct {
	task    job.TaskRef
	attempt int
}

// worker is the agent on one backend server, in its present incarnation.
type worker struct {
	server Server
	listed bool
	// stored means that the record of the worker is durable, so that a later
	// holder will read it; recordQueued, that it is in a batch or durable.
	stored       bool
	recordQueued bool
	// recordedIncarnation is the one that the record of an earlier holder names; 0 if
	// there is none.
	recordedIncarnation int64
	// incarnation is the one that answered last; 0 until the first answer.
	incarnation int64
	// replacedAt is when the holder learnt that it replaced another one; 0 if it has
	// not.
	replacedAt time.Duration
	// generation is the number of times that it did so. It is part of the fencing token:
	// once the incarnation has answered a call of its generation, it does nothing for
	// calls to former ones.
	generation  int
	unfenceable bool // its generations are used up; no run is started until the next holder
	fenced      bool // the incarnation has answered a hold of its generation
	// unreachable means that the last call got no answer; missedCalls counts
	// such calls.
	unreachable      bool
	missedCalls      int
	unreachableSince time.Duration
	connectionBroke  bool // the first of these calls ended with its connection
	lastAnswerAt     time.Duration
	vacatingUntil    time.Duration // long-running tasks avoid the worker until then
	// earlierHolderUntil is the time until which runs of an earlier holder that this
	// holder does not know may be on the worker or have ended there; 0 if there are
	// none.
	earlierHolderUntil time.Duration
	bound              *leaseBound // by the lease record; nil if that does not name it
	clock              clockSample
	leaseGranted       time.Duration // latest lease end sent, on the worker's clock
	// leaseLimit is the end of the longest lease that any call sent so far can grant.
	leaseLimit time.Duration
	// lateLeaseUntil is the time until which the present incarnation may hold a lease by
	// a call to an earlier one, or of an earlier holder; 0 if it cannot. Until the
	// incarnation is fenced, leaseLimit bounds such leases.
	lateLeaseUntil time.Duration
	// awaitsLeaseRecord means that lateLeaseUntil is later than a new holder assumes, and
	// that no durable record says so.
	awaitsLeaseRecord bool
	settledStarts     []settledStart
	used              fleet.Resources
	bestEffortCPU     int64
	bestEffortMiB     int64 // part of used
	longRunningCPU    int64 // part of used
	runs              map[runKey]*run
	runsInOrder       []*run // the same runs, in the order in which they were added
	// serving and bestEffort are the confirmed runs of each kind; runListsStale
	// means that they have to be computed again.
	serving       []*run
	bestEffort    []*run
	runListsStale bool
	imageSlacks   []imageSlack  // as of the event slacksEvent
	slacksEvent   uint64        // 0 if imageSlacks is stale
	shareHistory  []shareChange // recent processor use of the best-effort runs
	// orphanResources are the resources of listed runs that belong to no task
	// and are being stopped. unknownOrphan means that the need of such a run is
	// not known.
	orphanResources     fleet.Resources
	unknownOrphan       bool
	holdInFlight        uint64        // number of the hold in flight, 0 when none
	holdGeneration      int           // of that hold
	nextHoldAt          time.Duration // time of the next hold
	listedAt            time.Duration // time of the answer to the last hold
	listBytes           int           // estimated size of that answer
	extraHoldAt         time.Duration // time of an extra hold; 0 if none is needed
	extraHoldInFlight   uint64
	extraHoldGeneration int
	listClock           time.Duration // worker's clock at the newest list applied
	moreEnds            bool          // that list may lack ends
	lastEndApplied      int64         // number of the highest end applied
	lastEndRecorded     int64         // number of the highest end that may be acknowledged
	lastEndForgotten    int64         // number of the highest end that the worker has forgotten
	holdAck             int64         // acknowledged by the hold in flight
	extraHoldAck        int64         // acknowledged by the extra hold in flight
	leaseCalls          leaseCalls
	health              health
	answers             answers
	dataCentre          *dataCentre
	reserved            fleet.Resources // of reservations, for tasks that are being moved
	reservations        []*reservation
	throttling          throttling
	suspectRuns         int          // runs of tasks that may crash it
	lastCrash           *crash       // nil if none was observed
	lapsedRuns          []crashedRun // ended with its lease; it may have crashed under them
	region              fleet.Region // empty if the region of its data centre is not known
	cold                coldness
	rackWantedUntil     time.Duration // tasks without data in its rack prefer others until then
}

// clockSample relates the worker's clock to the holder's.
type clockSample struct {
	known      bool
	workerTime time.Duration // on the worker's clock
	received   time.Duration // on the holder's clock
}

const (
	// holdWait is how long a worker may delay its answer until a run ends.
	holdWait = 1800 * time.Millisecond
	// watchedHoldWait is the holdWait of a worker with both serving and
	// best-effort runs. The worker's measurements cover half a second.
	watchedHoldWait = 500 * time.Millisecond
	// unreachableRetry is the time between calls to a worker that does not
	// answer.
	unreachableRetry = 250 * time.Millisecond
	// unrecordedRetry is the time between calls while an end waits to be
	// recorded: the worker answers immediately until the end is acknowledged.
	unrecordedRetry = 300 * time.Millisecond
	// drainLease is the lease on a draining server. It is short, so that runs
	// lost with the server are soon known to have ended.
	drainLease = 1500 * time.Millisecond
	// maxOrderDelay is how long after it was sent an order without an answer may
	// take effect. The platform documents a delay of some seconds; during its
	// faults the delay is up to twelve seconds.
	maxOrderDelay = 12 * time.Second
	// clockMargin covers the rounding of clocks to milliseconds.
	clockMargin = 50 * time.Millisecond
)

// usable reports whether a run may be started on the worker.
func (w *worker) usable() bool {
	return !w.unfenceable && w.listed && w.fenced && w.stored && (w.bound == nil || w.bound.full) && !w.awaitsLeaseRecord && !w.unreachable && !w.server.Draining
}

func (c *Cell) serverListed(s Server) {
	w := c.workers[s.ID]
	if w == nil {
		w = c.addWorker(s)
		c.emit(Note{Event: NoteWorkerListed, Server: s.ID, Detail: map[string]any{
			"service": s.Service, "rack": s.Rack(), "milli_cpu": s.Capacity.MilliCPU, "draining": s.Draining,
		}})
	}
	if s.Incarnation != 0 && w.incarnation != 0 && s.Incarnation > w.incarnation {
		c.newIncarnation(w, s.Incarnation)
	}
	if s.Draining && !w.server.Draining {
		c.emit(Note{Event: NoteWorkerListed, Server: s.ID, Detail: map[string]any{"draining": true}})
	}
	c.listCold(w, s)
	c.sizes.listed(w, s)
	w.server, w.listed, w.dataCentre, w.region = s, true, c.dataCentreOf(s.DataCentre), c.settings.Regions[s.DataCentre]
	c.racks.members = nil
	if s.Draining {
		w.releaseSettledStarts()
		c.moveOffDraining(w)
	}
	c.needsScheduling = true
	c.holdIfDue(w)
}

func (c *Cell) addWorker(s Server) *worker {
	w := &worker{server: s, runs: map[runKey]*run{}, dataCentre: c.dataCentreOf(s.DataCentre), region: c.settings.Regions[s.DataCentre]}
	c.workers[s.ID] = w
	if c.inLeaseRecord[s.ID] {
		w.bound = &leaseBound{} // it had been removed since
	}
	c.forgetRoom() // it holds positions
	at, _ := slices.BinarySearchFunc(c.sortedWorkers, s.ID, func(w *worker, id fleet.BackendServerID) int {
		return strings.Compare(string(w.server.ID), string(id))
	})
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	return w
}

func (c *Cell) serverUnlisted(id fleet.BackendServerID) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.emit(Note{Event: NoteWorkerUnlisted, Server: id, Detail: map[string]any{"runs": len(w.runs), "silent": w.unreachable}})
}

// queueRecord adds the record of a worker to the next batch. Only a worker that has
// answered gets one: nothing is started on any other, and a later holder waits for
// every worker that has a record.
func (c *Cell) queueRecord(w *worker) {
	if !w.recordQueued {
		w.recordQueued = true
		c.nextBatch.servers = append(c.nextBatch.servers, w)
	}
}

// newIncarnation resets the state after a restart of a worker. The runs that it has
// listed have ended. Until it has answered a call of its generation, the new incarnation
// may carry out calls without an answer, and a run that only the answer to its start has
// confirmed may be on either.
func (c *Cell) newIncarnation(w *worker, incarnation int64) {
	c.noteRestart(w, incarnation)
	c.serverCrashed(w)
	w.incarnation, w.fenced, w.replacedAt = incarnation, false, c.now.Steady
	w.clock, w.leaseGranted = clockSample{}, 0
	w.lastEndApplied, w.lastEndRecorded, w.lastEndForgotten, w.listClock, w.moreEnds = 0, 0, 0, 0, false
	w.holdAck, w.extraHoldAck = 0, 0
	w.nextHoldAt, w.answers.stops = 0, 0
	if w.holdInFlight != 0 {
		w.extraHoldAt = c.now.Steady // the hold in flight does not fence the new incarnation
	}
	w.unfenceable = w.generation == fleet.MaxGeneration
	w.generation = min(w.generation+1, fleet.MaxGeneration)
	w.lateLeaseUntil = 0
	c.startedCold(w)
	for _, r := range slices.Clone(w.runsInOrder) {
		switch {
		case r.listed:
			c.runEnded(r, job.EndLost, "")
		case r.state != runConfirmed:
			c.setState(r, runUncertain)
			r.stopAcked = false
		}
	}
	c.trackSettledStarts(w, true)
	c.nextBatch.starts = c.nextBatch.starts || len(w.runs) > 0
}

// removeUnlisted removes workers that are not listed, do not answer and run
// nothing. A later holder waits for every worker that has a record, so records
// of removed workers would delay it.
func (c *Cell) removeUnlisted() {
	c.forgetRoom() // it holds positions
	c.racks.members = nil
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || w.hasOrphans() || w.missedCalls == 0 || w.earlierHolderUntil > 0 || c.expectsLateCalls(w) {
			return false
		}
		if w.recordQueued && !w.stored {
			return false // until the record is durable, so that its deletion follows it
		}
		if w.stored {
			c.nextBatch.deleteServer(w)
		}
		delete(c.workers, w.server.ID)
		return true
	})
}

// hasOrphans reports whether the newest list contains runs that belong to no
// task.
func (w *worker) hasOrphans() bool { return w.unknownOrphan || w.orphanResources != fleet.Resources{} }

// checkBlocked unblocks the tasks of restored jobs once every worker that an
// earlier holder may have used has been fenced and has listed all its ends, or its
// lease has certainly expired.
func (c *Cell) checkBlocked() {
	if !c.blocked || !c.serverListRead || c.now.Steady < c.startsUntil {
		return
	}
	for _, w := range c.sortedWorkers {
		if w.earlierHolderUntil > 0 {
			return
		}
	}
	c.blocked = false
	c.presumeCrashes()
	c.needsScheduling = true
	c.emit(Note{Event: NoteUnblocked, Detail: map[string]any{"workers": len(c.sortedWorkers)}})
}

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
	// incarnation is the one that answered last; 0 until the first answer.
	incarnation int64
	fenced      bool
	// unreachable means that the last call got no answer; missedCalls counts
	// such calls.
	unreachable        bool
	missedCalls        int
	unreachableSince   time.Duration
	connectionBroke    bool // the first of these calls ended with its connection
	lastAnswerAt       time.Duration
	vacatingUntil      time.Duration // long-running tasks avoid the worker until then
	earlierHolderUntil time.Duration // an earlier holder may use it until then; 0 if none can
	clock              clockSample
	leaseGranted       time.Duration // latest lease end sent, on the worker's clock
	// lateOrderUntil is the time until which the present incarnation may run a
	// task by an order to an earlier one; 0 if it cannot.
	lateOrderUntil time.Duration
	used           fleet.Resources
	bestEffortCPU  int64
	bestEffortMiB  int64 // part of used
	longRunningCPU int64 // part of used
	runs           map[runKey]*run
	runsInOrder    []*run // the same runs, in the order in which they were added
	// serving and bestEffort are the confirmed runs of each kind; runListsStale
	// means that they have to be computed again.
	serving       []*run
	bestEffort    []*run
	runListsStale bool
	shareHistory  []shareChange // recent processor use of the best-effort runs
	// orphanResources are the resources of listed runs that belong to no task
	// and are being stopped. unknownOrphan means that the need of such a run is
	// not known.
	orphanResources   fleet.Resources
	unknownOrphan     bool
	holdInFlight      uint64        // number of the hold in flight, 0 when none
	nextHoldAt        time.Duration // time of the next hold
	extraHoldAt       time.Duration // time of an extra hold; 0 if none is needed
	extraHoldInFlight uint64
	listClock         time.Duration // worker's clock at the newest list applied
	lastEndApplied    int64         // number of the highest end applied
	lastEndRecorded   int64         // number of the highest end that may be acknowledged
	lastEndForgotten  int64         // number of the highest end that the worker has forgotten
	holdAck           int64         // acknowledged by the hold in flight
	extraHoldAck      int64         // acknowledged by the extra hold in flight
	health            health
	answers           answers
	dataCentre        *dataCentre
	throttling        throttling
	suspectRuns       int          // runs of tasks that may crash it
	lastCrash         *crash       // nil if none was observed
	lapsedRuns        []crashedRun // ended with its lease; it may have crashed under them
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
	return w.listed && w.fenced && w.stored && !w.unreachable && !w.server.Draining
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
	w.server, w.listed, w.dataCentre = s, true, c.dataCentreOf(s.DataCentre)
	if s.Draining {
		c.moveOffDraining(w)
	}
	c.needsScheduling = true
	c.holdIfDue(w)
}

func (c *Cell) addWorker(s Server) *worker {
	w := &worker{server: s, runs: map[runKey]*run{}, dataCentre: c.dataCentreOf(s.DataCentre)}
	c.workers[s.ID] = w
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

// newIncarnation resets the state after a restart of a worker. Its confirmed runs
// have ended, but starts without an answer may still reach the new incarnation.
func (c *Cell) newIncarnation(w *worker, incarnation int64) {
	c.emit(Note{Event: NoteWorkerRestarted, Server: w.server.ID, Detail: map[string]any{"born": incarnation, "before": w.incarnation, "runs": len(w.runs)}})
	c.serverCrashed(w)
	w.incarnation, w.fenced = incarnation, false
	w.clock, w.leaseGranted = clockSample{}, 0
	w.lastEndApplied, w.lastEndRecorded, w.lastEndForgotten, w.listClock = 0, 0, 0, 0
	w.holdAck, w.extraHoldAck = 0, 0
	w.nextHoldAt = 0
	for _, r := range slices.Clone(w.runsInOrder) {
		if r.state == runOrdered || r.state == runUncertain {
			c.setState(r, runUncertain)
			r.stopAcked = false
			w.lateOrderUntil = max(w.lateOrderUntil, r.orderedAt+maxOrderDelay+time.Duration(float64(c.settings.MaxLease)/(1-clockDrift)))
			c.sendStop(r)
			continue
		}
		c.runEnded(r, job.EndLost, "")
	}
}

// removeUnlisted removes workers that are not listed, do not answer and run
// nothing. A later holder waits for every worker that has a record, so records
// of removed workers would delay it.
func (c *Cell) removeUnlisted() {
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || w.hasOrphans() || w.missedCalls == 0 || w.earlierHolderUntil > 0 {
			return false
		}
		if w.recordQueued && !w.stored {
			return false // until the record is durable, so that its deletion follows it
		}
		if w.stored {
			c.nextBatch.deletions = append(c.nextBatch.deletions, serverKey(w.server.ID))
		}
		delete(c.workers, w.server.ID)
		return true
	})
}

// hasOrphans reports whether the newest list contains runs that belong to no
// task.
func (w *worker) hasOrphans() bool { return w.unknownOrphan || w.orphanResources != fleet.Resources{} }

// leaseExpiry returns the time by which every run on the worker has certainly
// ended if no further call reaches it.
func (w *worker) leaseExpiry() time.Duration {
	if w.leaseGranted == 0 || !w.clock.known {
		return w.lateOrderUntil
	}
	left := float64(w.leaseGranted-w.clock.workerTime) / (1 - clockDrift)
	return max(w.lateOrderUntil, w.clock.received+time.Duration(left)+clockMargin)
}

// holdIfDue sends the next hold of a worker, or an extra one, if due.
func (c *Cell) holdIfDue(w *worker) {
	if !c.authority {
		return
	}
	if w.holdInFlight == 0 && c.now.Steady >= w.nextHoldAt {
		w.holdAck = w.endsToAcknowledge()
		w.holdInFlight = c.sendHold(w, c.holdWaitFor(w), w.holdAck, false)
		return
	}
	// The regular holds of an unreachable worker do not wait, and occupy no order
	// duty, so it needs no extra ones.
	if w.extraHoldAt > 0 && c.now.Steady >= w.extraHoldAt && w.extraHoldInFlight == 0 && !w.unreachable {
		w.extraHoldAt = 0
		w.extraHoldAck = w.endsToAcknowledge()
		w.extraHoldInFlight = c.sendHold(w, 0, w.extraHoldAck, true)
	}
}

// holdWaitFor returns how long the worker may delay the answer to the next hold.
func (c *Cell) holdWaitFor(w *worker) time.Duration {
	switch {
	case !w.fenced, w.unreachable, w.answers.missing, w.lastEndApplied > w.lastEndRecorded:
		return 0
	case w.throttling.watched:
		return watchedHoldWait
	default:
		return holdWait
	}
}

// endsToAcknowledge returns the number up to which the next hold acknowledges ends; 0
// for none. A hold without an answer may be carried out by the next incarnation,
// which numbers its ends from 1, so no hold acknowledges more often than needed, or
// while the worker does not answer.
func (w *worker) endsToAcknowledge() int64 {
	if w.lastEndRecorded <= w.lastEndForgotten || w.unreachable || w.answers.missing {
		return 0
	}
	return w.lastEndRecorded
}

func (c *Cell) sendHold(w *worker, wait time.Duration, ack int64, extra bool) uint64 {
	c.holdNumber++
	h := Hold{Server: w.server.ID, Address: w.server.Address, Number: c.holdNumber, Ack: ack, Wait: wait, Extra: extra}
	// A call to a worker that does not answer carries no lease: each call may
	// still reach the worker, so its lease would never count as expired.
	if len(w.runs) > 0 && w.clock.known && !w.unreachable && !w.answers.missing {
		h.Deadline = c.leaseEnd(w)
		w.leaseGranted = max(w.leaseGranted, h.Deadline)
	}
	c.emit(h)
	return c.holdNumber
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock.
func (c *Cell) leaseEnd(w *worker) time.Duration {
	lease := c.settings.Lease
	if w.server.Draining {
		lease = drainLease
	}
	return (w.clock.workerTime + c.now.Steady - w.clock.received + lease).Truncate(time.Millisecond)
}

// holdAnswered applies the answer to a hold.
func (c *Cell) holdAnswered(e HoldAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	extra := e.Number == w.extraHoldInFlight && e.Number != 0
	switch e.Number {
	case w.holdInFlight:
		w.holdInFlight = 0
	case w.extraHoldInFlight:
		w.extraHoldInFlight = 0
	default:
		return // an answer to a hold of an earlier holder duty
	}
	switch {
	case e.Fenced:
		c.emit(Superseded{Server: e.Server})
		w.nextHoldAt = c.now.Steady + unreachableRetry
		return
	case !e.OK:
		c.holdUnanswered(w, extra, e.OtherIncarnation, e.Broke)
		return
	}
	if !c.holdSucceeded(w, e) {
		w.nextHoldAt = c.now.Steady + unreachableRetry
		return
	}
	if extra {
		w.lastEndForgotten = max(w.lastEndForgotten, w.extraHoldAck)
	} else {
		w.lastEndForgotten = max(w.lastEndForgotten, w.holdAck)
	}
	w.nextHoldAt = c.now.Steady
	if w.lastEndApplied > w.lastEndRecorded {
		w.nextHoldAt += unrecordedRetry // or as soon as the ends are recorded
	}
	c.holdIfDue(w)
}

// holdUnanswered handles a hold without an answer of the tracked incarnation.
func (c *Cell) holdUnanswered(w *worker, extra, otherIncarnation, broke bool) {
	if extra {
		w.extraHoldAt = c.now.Steady + unreachableRetry
		if !w.answers.missing {
			return
		}
	}
	if !w.unreachable {
		w.unreachable, w.unreachableSince, w.connectionBroke = true, c.now.Steady, broke
		c.emit(Note{Event: NoteWorkerUnreachable, Server: w.server.ID, Detail: map[string]any{
			"runs": len(w.runs), "heard_ms_ago": (c.now.Steady - w.lastAnswerAt).Milliseconds(),
			"lease_left_ms": (w.leaseExpiry() - c.now.Steady).Milliseconds(), "other_life": otherIncarnation,
		}})
	}
	if extra {
		return
	}
	w.missedCalls++
	w.nextHoldAt = c.now.Steady + unreachableRetry
	if otherIncarnation {
		c.incarnationReplaced(w)
	}
}

// incarnationReplaced ends the runs of a worker at whose address another worker
// answers: its incarnation has ended, and the other worker refuses orders to it.
func (c *Cell) incarnationReplaced(w *worker) {
	w.earlierHolderUntil = 0
	c.serverCrashed(w)
	for _, r := range slices.Clone(w.runsInOrder) {
		c.runEnded(r, job.EndLost, "")
	}
	c.checkBlocked()
	c.needsScheduling = true
}

// holdSucceeded applies the clock and the lists of a successful hold. It returns
// false for the late answer of an earlier incarnation, which has no effect.
func (c *Cell) holdSucceeded(w *worker, e HoldAnswered) bool {
	if e.Incarnation != 0 && w.incarnation != 0 && e.Incarnation < w.incarnation {
		return false
	}
	if w.incarnation != 0 && e.Incarnation > w.incarnation {
		c.newIncarnation(w, e.Incarnation)
	}
	w.lapsedRuns = nil // the incarnation goes on, or serverCrashed has used them
	if w.unreachable {
		c.emit(Note{Event: NoteWorkerReachable, Server: w.server.ID, Detail: map[string]any{"silent_ms": (c.now.Steady - w.unreachableSince).Milliseconds()}})
		w.unreachable = false
		c.needsScheduling = true
	}
	c.heard(w)
	w.missedCalls, w.incarnation, w.lastAnswerAt = 0, e.Incarnation, c.now.Steady
	w.updateClock(e.Clock, c.now.Steady)
	if !w.fenced {
		w.fenced, w.earlierHolderUntil = true, 0
		c.queueRecord(w)
		c.emit(Note{Event: NoteWorkerFenced, Server: w.server.ID, Detail: map[string]any{
			"running": len(e.Running), "finished": len(e.Finished), "born": e.Incarnation,
		}})
		c.checkBlocked()
		c.needsScheduling = true
	}
	c.processEnds(w, e.Finished)
	if e.Clock >= w.listClock {
		w.listClock = e.Clock
		c.reconcileRuns(w, e)
	}
	c.adjustSpeeds(w)
	return true
}

// updateClock replaces the clock sample by a more accurate or newer one.
func (w *worker) updateClock(clock, received time.Duration) {
	if clock == 0 {
		return
	}
	// The sample in which the worker's clock is furthest ahead is the most
	// accurate: the answers of the others were longer in transit.
	if w.clock.known && clock-w.clock.workerTime < received-w.clock.received && received-w.clock.received < maxClockSampleAge {
		return
	}
	w.clock = clockSample{known: true, workerTime: clock, received: received}
}

// maxClockSampleAge bounds the drift of a clock sample to 2 % of this time.
const maxClockSampleAge = 2 * time.Second

// checkLeaseExpiry ends the runs of a worker that does not answer once its lease
// has certainly expired.
func (c *Cell) checkLeaseExpiry(w *worker) {
	if w.earlierHolderUntil > 0 && c.now.Steady >= w.earlierHolderUntil && w.unreachable {
		w.earlierHolderUntil = 0
		c.emit(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{"holder": "earlier"}})
	}
	if !w.unreachable || len(w.runs) == 0 || c.now.Steady < w.leaseExpiry() {
		return
	}
	c.emit(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{
		"runs": len(w.runs), "silent_ms": (c.now.Steady - w.unreachableSince).Milliseconds(),
	}})
	w.lapsedRuns = w.lastRuns(w.lostAt(c.now.Steady))
	for _, r := range slices.Clone(w.runsInOrder) {
		c.runEnded(r, job.EndLeaseExpired, "")
	}
	c.needsScheduling = true
}

// checkBlocked unblocks the tasks of restored jobs once every worker that an
// earlier holder may have used is fenced or its lease has certainly expired.
func (c *Cell) checkBlocked() {
	if !c.blocked || !c.serverListRead {
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

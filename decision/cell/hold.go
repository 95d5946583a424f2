package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
)

// leaseExpiry returns the time by which every run on the worker has certainly
// ended if no further call reaches it.
func (w *worker) leaseExpiry() time.Duration {
	if w.leaseGranted == 0 || !w.clock.known {
		return w.lateLeaseUntil
	}
	// The samples of the clock may be of another incarnation than the lease.
	left := float64(w.leaseGranted-w.clock.workerTime) / (1 - clockDrift)
	return max(w.lateLeaseUntil, min(w.leaseLimit, w.clock.received+time.Duration(left)+clockMargin))
}

// holdIfDue sends the next hold of a worker, or an extra one, if due.
func (c *Cell) holdIfDue(w *worker) {
	if !c.authority {
		return
	}
	if w.holdInFlight == 0 && c.now.Steady >= max(w.nextHoldAt, w.listedAt+c.listInterval) {
		w.holdAck = w.endsToAcknowledge()
		w.holdInFlight = c.sendHold(w, c.holdWaitFor(w), w.holdAck, false)
		return
	}
	// The regular holds of an unreachable worker do not wait, and occupy no order
	// duty, so it needs no extra ones.
	// The stops in flight to a worker that leaves an order unanswered show as well
	// whether it answers again.
	if w.extraHoldAt > 0 && c.now.Steady >= w.extraHoldAt && w.extraHoldInFlight == 0 && !w.unreachable &&
		(!w.answers.missing || w.answers.stopsAwaited(c.now.Steady) == 0) {
		w.extraHoldAt = 0
		w.extraHoldAck = w.endsToAcknowledge()
		w.extraHoldInFlight = c.sendHold(w, 0, w.extraHoldAck, true)
	}
}

// holdWaitFor returns how long the worker may delay the answer to the next hold.
func (c *Cell) holdWaitFor(w *worker) time.Duration {
	switch {
	case !w.fenced, w.unreachable, w.moreEnds, w.answers.missing, w.lastEndApplied > w.lastEndRecorded:
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
	h := Hold{
		Server: w.server.ID, Address: w.server.Address, Generation: w.generation, Number: c.holdNumber, Ack: ack, Wait: wait, Extra: extra,
		Timeout: w.dataCentre.path.Timeout(),
	}
	// A call to a worker that does not answer carries no lease: each call may
	// still reach the worker, so its lease would never count as expired.
	if len(w.runs) > 0 && w.clock.known && !w.unreachable && !w.answers.missing && (w.bound == nil || w.bound.renewed > 0) {
		h.Deadline = c.leaseEnd(w)
		w.leaseGranted, w.leaseLimit = max(w.leaseGranted, h.Deadline), c.latestLeaseEnd(c.now.Steady)
		w.leaseCalls.sent(c.now.Steady, h.Deadline, extra)
	}
	if extra {
		w.extraHoldGeneration = w.generation
	} else {
		w.holdGeneration = w.generation
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
	if w.bound != nil {
		lease = min(lease, w.bound.renewed)
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
	answered := e.Fenced || e.OK && e.Incarnation == w.incarnation
	generation := w.holdGeneration
	if extra {
		generation = w.extraHoldGeneration
	}
	switch e.Number {
	case w.holdInFlight:
		w.holdInFlight = 0
	case w.extraHoldInFlight:
		w.extraHoldInFlight = 0
	default:
		return // an answer to a hold of an earlier holder duty
	}
	w.leaseCalls.ended(extra, answered)
	switch {
	case e.Fenced:
		w.nextHoldAt = c.now.Steady + unreachableRetry
		c.callFenced(w, generation)
		return
	case !e.OK:
		c.holdUnanswered(w, extra, e.OtherIncarnation, e.Broke)
		return
	}
	if !c.holdSucceeded(w, e, generation) {
		w.nextHoldAt = c.now.Steady + unreachableRetry
		return
	}
	if extra {
		w.lastEndForgotten = max(w.lastEndForgotten, w.extraHoldAck)
	} else {
		w.lastEndForgotten = max(w.lastEndForgotten, w.holdAck)
	}
	w.nextHoldAt, w.listedAt = c.now.Steady, c.now.Steady
	w.listBytes = listOverheadBytes + listRowBytes*(len(e.Running)+len(e.Finished))
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
		c.trackSettledStarts(w, false)
		c.nextBatch.starts = c.nextBatch.starts || w.hasUnansweredStarts()
		c.emit(Note{Event: NoteWorkerUnreachable, Server: w.server.ID, Detail: map[string]any{
			"runs": len(w.runs), "heard_ms_ago": (c.now.Steady - w.lastAnswerAt).Milliseconds(),
			"lease_left_ms": (w.leaseExpiry() - c.now.Steady).Milliseconds(), "other_life": otherIncarnation,
			"late_call_left_ms": max(0, w.lateLeaseUntil-c.now.Steady).Milliseconds(), "lease_call_ms_ago": w.leaseCalls.sinceMs(c.now.Steady),
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
		r.refused = true // by the other worker, whenever it gets the start
		c.runEnded(r, job.EndLost, "")
	}
	c.checkBlocked()
	c.needsScheduling = true
}

// holdSucceeded applies the clock and the lists of a successful hold, which was sent to
// the given generation of the worker. It returns false for the late answer of an earlier
// incarnation, which has no effect.
func (c *Cell) holdSucceeded(w *worker, e HoldAnswered, generation int) bool {
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
	if generation < w.generation {
		return true // it may still carry out calls to former incarnations; the next list counts
	}
	if !w.fenced {
		w.fenced = true
		c.boundLateLease(w)
		if len(e.Running) > 0 {
			w.leaseGranted = max(w.leaseGranted, e.Clock+c.settings.Lease+clockMargin) // by the earlier holder
			w.leaseLimit = c.latestLeaseEnd(c.now.Steady)
		}
		c.queueRecord(w)
		c.emit(Note{Event: NoteWorkerFenced, Server: w.server.ID, Detail: map[string]any{
			"running": len(e.Running), "finished": len(e.Finished), "more_ends": e.MoreEnds, "born": e.Incarnation, "generation": w.generation,
		}})
		c.needsScheduling = true
	}
	c.processEnds(w, e.Finished)
	if e.Clock >= w.listClock {
		w.listClock, w.moreEnds = e.Clock, e.MoreEnds
		c.reconcileRuns(w, e)
	}
	if !w.moreEnds && w.earlierHolderUntil > 0 {
		w.earlierHolderUntil = 0
		c.checkBlocked()
	}
	c.adjustSpeeds(w)
	if _, quiet := c.leaseOf(w); w.bound != nil && !quiet {
		c.nextBatch.leases = true // without it, so that it can be used
	}
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

// A hold and its answer take listOverheadBytes on the wire, and listRowBytes for each
// row.
const (
	listOverheadBytes = 450
	listRowBytes      = 60
)

// maxClockSampleAge bounds the drift of a clock sample to 2 % of this time.
const maxClockSampleAge = 2 * time.Second

// checkLeaseExpiry ends the runs of a worker that does not answer once its lease
// has certainly expired.
func (c *Cell) checkLeaseExpiry(w *worker) {
	if w.earlierHolderUntil > 0 && c.now.Steady >= w.earlierHolderUntil && w.unreachable {
		w.earlierHolderUntil = 0
		c.emit(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{"holder": "earlier"}})
	}
	if !w.unreachable || len(w.runs) == 0 {
		return
	}
	var ended []*run
	tasks := map[*task]bool{}
	for _, r := range w.runsInOrder {
		if c.now.Steady >= w.endOf(r) {
			ended = append(ended, r)
			tasks[r.task] = true
		}
	}
	if len(ended) == 0 {
		return
	}
	c.emit(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{
		"runs": len(ended), "unanswered_starts": len(w.runs) - len(ended), "silent_ms": (c.now.Steady - w.unreachableSince).Milliseconds(),
	}})
	for _, last := range w.lastRuns(w.lostAt(c.now.Steady)) {
		if tasks[last.task] {
			w.lapsedRuns = append(w.lapsedRuns, last)
		}
	}
	for _, r := range ended {
		c.runEnded(r, job.EndLeaseExpired, "")
	}
	c.needsScheduling = true
}

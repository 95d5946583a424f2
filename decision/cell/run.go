package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/congestion"
	"lacewingfork.example/lacewingfork/fleet"
)

// runState is the state of a run as known to the holder.
type runState int

const (
	runOrdered   runState = iota // the start is in flight
	runConfirmed                 // the worker has confirmed the run
	runUncertain                 // the start had no answer and may still take effect
	runStopping                  // a stop is in flight, or the end is not listed yet
)

// run is one run of a task. It occupies its resources until it has ended.
type run struct {
	key                runKey
	task               *task
	worker             *worker
	need               fleet.Resources
	bestEffort         bool
	state              runState
	generation         int // of its worker, when it was ordered or last listed
	orderedAt          time.Duration
	confirmedAt        time.Duration
	refused            bool // its start was refused or not sent
	restarts           int  // starts without an answer before it, in a row on the same worker
	onUnknown          bool // an incarnation that the holder does not know has accepted its start
	percent            int
	listedAt           time.Duration // when its worker last listed or confirmed it
	listed             bool          // the present incarnation of its worker has listed it
	progressAt         time.Duration // when percent last changed
	fresh              bool          // started without a checkpoint
	copy               bool          // a second run of its task
	pace               pace
	measurement        int
	speed              int // acknowledged speed, in percent
	desiredSpeed       int
	speedChangedAt     time.Duration
	speedUnknown       bool // an earlier holder may have set another speed
	speedReason        SpeedReason
	image              imageID
	appliedMeasurement int     // last measurement used by the interference model
	addedLoad          float64 // load that best-effort runs on the worker add
	loadLimit          float64 // load at which it misses its target
	excess             float64 // load of a serving run that is not explained
	reason             string  // reason for the stop
	stopSent           time.Duration
	stopAcked          bool          // the worker has acknowledged the stop
	stopAckedAt        time.Duration // time of the acknowledgement
	stops              int
	suspect            bool               // counted in suspectRuns of the worker
	path               *congestion.Window // on which the start is in flight
}

// stopResendInterval is the time until an unanswered stop is sent again. A stop
// without an answer may take effect seconds later or never.
const stopResendInterval = 400 * time.Millisecond

func (c *Cell) addRun(t *task, w *worker, attempt int, state runState) *run {
	r := &run{
		key: runKey{task: t.ref(), attempt: attempt}, task: t, worker: w, need: t.step.spec.Need, bestEffort: t.step.spec.BestEffort,
		state: state, generation: w.generation, image: t.step.image, orderedAt: c.now.Steady, progressAt: c.now.Steady, speed: fullSpeed, desiredSpeed: fullSpeed,
	}
	if state == runOrdered {
		c.unansweredStarts++
		r.path = w.dataCentre.path
		r.path.Sent()
		w.answers.startOrdered(c.now.Steady)
	}
	w.runs[r.key] = r
	w.runsInOrder = append(w.runsInOrder, r)
	w.account(r, 1)
	w.runsChanged(r)
	r.setSuspect(t.isSuspect())
	t.runs = append(t.runs, r)
	t.attempt = max(t.attempt, attempt)
	return r
}

// setState sets the state of a run and updates the count of unanswered starts.
func (c *Cell) setState(r *run, state runState) {
	if r.state == runOrdered && state != runOrdered {
		c.startSettled(r)
	}
	r.state = state
}

// startSettled removes a run from the starts without an answer.
func (c *Cell) startSettled(r *run) {
	c.unansweredStarts--
	r.path.Ended()
	r.worker.answers.awaited--
}

// account adds the resources of a run to those in use; sign -1 subtracts them.
func (w *worker) account(r *run, sign int64) {
	need := r.need
	if r.bestEffort {
		w.bestEffortCPU += sign * need.MilliCPU
		w.bestEffortMiB += sign * need.MemoryMiB
		need.MilliCPU = 0
	}
	if r.task.step.spec.LongRunning {
		w.longRunningCPU += sign * need.MilliCPU
	}
	if sign > 0 {
		w.used = w.used.Add(need)
	} else {
		w.used = w.used.Sub(need)
	}
}

// runsChanged marks the run lists of the worker as stale and recounts its
// serving runs.
func (w *worker) runsChanged(r *run) {
	w.runListsStale = true
	if !r.serves() {
		return
	}
	w.throttling.serving = 0
	for _, other := range w.runsInOrder {
		if other.serves() {
			w.throttling.serving++
		}
	}
}

func (c *Cell) removeRun(r *run) {
	if r.state == runOrdered {
		c.startSettled(r)
	}
	r.setSuspect(false)
	delete(r.worker.runs, r.key)
	r.worker.runsInOrder = slices.DeleteFunc(r.worker.runsInOrder, func(other *run) bool { return other == r })
	r.worker.account(r, -1)
	r.worker.runsChanged(r)
	if r.bestEffort {
		r.worker.recordShares(c.now.Steady)
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.needsScheduling = true
}

// startRun orders a run of a waiting task.
func (c *Cell) startRun(t *task, w *worker) *run {
	attempt := max(t.attempt, (c.round-1)*attemptsPerRound) + 1
	r := c.addRun(t, w, attempt, runOrdered)
	r.fresh, r.copy = t.checkpoint == "", len(t.runs) > 1
	c.starts++
	if c.settings.ServingRoom && r.bestEffort {
		c.admit(r)
	}
	c.startTrials(r)
	if c.settings.UnevenDemand {
		c.unevenStarted(r)
	}
	j := t.step.occurrence.job
	ticket, _ := c.ticketFor(t.step, w) // choose has checked that it is valid
	deadline := c.leaseEnd(w)
	w.leaseGranted, w.leaseLimit = max(w.leaseGranted, deadline), c.latestLeaseEnd(c.now.Steady)
	c.emit(Start{
		Server: w.server.ID, Address: w.server.Address, Generation: w.generation, Task: r.key.task, Attempt: attempt, Spec: j.job.Spec,
		Deadline: deadline, Checkpoint: t.checkpoint, Ticket: ticket, Timeout: r.path.Timeout(),
	})
	detail := map[string]any{
		"attempt": attempt, "waited_ms": (c.now.Steady - max(j.acceptedAt, t.requeuedAt)).Milliseconds(), "free_milli_cpu": w.server.Capacity.MilliCPU - w.used.MilliCPU,
		"list_age_ms": (c.now.Steady - w.lastAnswerAt).Milliseconds(),
	}
	if r.copy {
		delete(detail, "waited_ms") // the task did not wait for it
		detail["copy"] = true
	}
	c.emit(Note{Event: NoteStartOrdered, Job: j.job.ID, Task: r.key.task.String(), Server: w.server.ID, Detail: detail})
	return r
}

func (c *Cell) startAnswered(e StartAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Attempt}]
	if r == nil {
		return
	}
	c.needsScheduling = true
	if r.state != runOrdered {
		c.startAnsweredLate(r, e.Outcome)
		return
	}
	if e.Outcome != StartAccepted {
		c.emit(Note{Event: NoteStartAnswered, Job: e.Task.Job, Task: e.Task.String(), Server: e.Server, Detail: map[string]any{
			"attempt": e.Attempt, "outcome": startOutcomeNames[e.Outcome], "took_ms": (c.now.Steady - e.Sent).Milliseconds(),
		}})
	}
	if r.orderedAt > w.replacedAt {
		w.updateClock(e.Clock, c.now.Steady) // otherwise the clock may be that of the former incarnation
	}
	switch e.Outcome {
	case StartUnknown, StartNotConnected:
		if w.dataCentre.unresponsiveSince > 0 {
			r.path.Lost(c.now.Steady, r.orderedAt)
		}
	case StartNotSent:
	default:
		c.heard(w)
		r.path.Answered(c.now.Steady, r.orderedAt)
	}
	switch e.Outcome {
	case StartAccepted:
		if r.onUnknown = w.answeredByUnknown(r, e.Clock); r.onUnknown {
			w.extraHoldAt = c.now.Steady
		}
		c.confirm(r)
	case StartUnknown:
		c.setState(r, runUncertain)
		r.reason = "start_unanswered"
		c.nextBatch.starts = true
		c.sendStop(r)
		c.orderUnanswered(w)
	case StartNotConnected:
		c.withdrawRun(r, startRetryDelay)
		c.orderUnanswered(w)
	case StartFenced:
		c.callFenced(w, r.generation)
		c.withdrawRun(r, startRetryDelay)
	case StartInvalid:
		c.withdrawRun(r, startRetryDelay)
		w.unreachable, w.nextHoldAt = true, 0 // until the next hold shows which incarnation answers
		c.trackSettledStarts(w, false)
		c.holdIfDue(w)
	case StartNotSent:
		c.withdrawRun(r, startRetryDelay)
	case StartNoTicket:
		delete(r.task.step.advice.tickets, w.server.ID)
		c.withdrawRun(r, startRetryDelay)
	default: // StartOldAttempt, StartExpired, StartNoRoom, StartRefused: nothing was done
		before := w.health.quarantinedUntil
		w.health.refused(c.now.Steady)
		c.logHealth(w, before, "refusals")
		c.withdrawRun(r, startRetryDelay)
	}
}

// startAnsweredLate applies the answer to the start of a run that is being stopped, or
// whose worker has restarted since.
func (c *Cell) startAnsweredLate(r *run, outcome StartOutcome) {
	switch {
	case outcome == StartUnknown || r.state == runConfirmed:
	case outcome == StartAccepted:
		r.confirmedAt = c.now.Steady
	default:
		r.refused = true
		c.withdrawRun(r, startRetryDelay)
	}
}

// startOutcomeNames are the names of the outcomes in the log.
var startOutcomeNames = map[StartOutcome]string{
	StartUnknown: "unknown", StartAccepted: "accepted", StartFenced: "fenced", StartOldAttempt: "old_attempt",
	StartExpired: "late", StartNoCapacity: "no_room", StartRefused: "refused", StartInvalid: "other_life", StartNotSent: "not_sent", StartNoTicket: "no_ticket", StartNotConnected: "not_connected",
}

// startRetryDelay is the time until a task whose start was not accepted may be
// started again. Without it, a refused task would be tried in a tight loop.
const startRetryDelay = 50 * time.Millisecond

func (c *Cell) confirm(r *run) {
	c.setState(r, runConfirmed)
	r.confirmedAt, r.listedAt, r.progressAt = c.now.Steady, c.now.Steady, c.now.Steady
	r.task.preempted = false
	if r.fresh {
		c.observePace(r, 0)
	}
	r.worker.runsChanged(r)
	if r.bestEffort {
		r.worker.recordShares(c.now.Steady)
		c.setSpeed(r, r.desiredSpeed)
	}
	if w := r.worker; (r.bestEffort && w.throttling.serving > 0 || r.serves() && w.bestEffortCPU > 0) && w.extraHoldAt == 0 {
		w.extraHoldAt = c.now.Steady + measurementWindow + clockMargin // the first measurement that covers only time with this run
	}
	j := r.task.step.occurrence.job
	if r.task.step.spec.LongRunning && !j.started {
		c.markDirty(j) // no end of such a task may ever do it
	}
	j.started = true
	if j.ended || r.task.done && len(r.task.runs) > 0 {
		c.stopRun(r, "task_over")
	}
}

// withdrawRun removes a run that has not started and requeues its task. The task
// is not started again within retryDelay.
func (c *Cell) withdrawRun(r *run, retryDelay time.Duration) {
	t := r.task
	c.removeRun(r)
	t.notBefore = c.now.Steady + retryDelay
	c.requeue(t)
}

// stopRun orders the end of a run. Its resources stay occupied until the end is
// confirmed.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	if r.state != runUncertain {
		c.setState(r, runStopping)
	}
	r.reason = reason
	r.worker.runListsStale = true
	if r.serves() {
		c.forgetRoom() // nothing disturbs the task any more
	}
	c.emit(Note{Event: NoteStopOrdered, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{
		"attempt": r.key.attempt, "reason": reason, "percent": r.percent,
	}})
	c.sendStop(r)
}

// sendStop sends a stop, but only one at a time to a worker that leaves an order
// unanswered; resendStops sends the others when it answers.
func (c *Cell) sendStop(r *run) {
	if r.worker.answers.missing && r.worker.answers.stopsAwaited(c.now.Steady) > 0 {
		return
	}
	r.stopSent = c.now.Steady
	r.stops++
	r.worker.answers.stopSent(c.now.Steady)
	c.emit(Stop{
		Server: r.worker.server.ID, Address: r.worker.server.Address, Generation: r.worker.generation, Task: r.key.task, Attempt: r.key.attempt,
		Timeout: r.worker.dataCentre.path.Timeout(),
	})
}

// resendStops sends unanswered stops again, except to a worker that left an order
// unanswered: each would occupy an order duty for 700 ms. They follow as soon as it
// answers a call.
func (c *Cell) resendStops(w *worker) {
	if !c.authority || w.unreachable || w.answers.missing {
		return
	}
	for _, r := range w.runsInOrder {
		if (r.state == runStopping || r.state == runUncertain) && !r.stopAcked && c.now.Steady-r.stopSent >= stopResendInterval {
			c.sendStop(r)
		}
	}
}

func (c *Cell) stopAnswered(e StopAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	if e.Generation < w.generation {
		return // the former incarnation may have answered, and the present one refuses nothing
	}
	w.answers.stopEnded()
	if e.Fenced {
		c.callFenced(w, e.Generation)
		return
	}
	if !e.OK {
		c.orderUnanswered(w)
		return
	}
	c.heard(w)
	r := w.runs[runKey{e.Task, e.Attempt}]
	if r == nil || r.stopAcked {
		return
	}
	r.stopAcked, r.stopAckedAt = true, c.now.Steady
	if w.extraHoldAt == 0 {
		w.extraHoldAt = c.now.Steady // a list requested from now on shows whether the run has ended
	}
	c.holdIfDue(w)
}

// queueOf returns the settings of a job's queue, or its last settings if the
// configuration no longer has the queue.
func (c *Cell) queueOf(j *jobState) QueueSettings {
	if q, ok := c.queues[j.job.Queue]; ok {
		return q
	}
	return c.retiredQueues[j.job.Queue]
}

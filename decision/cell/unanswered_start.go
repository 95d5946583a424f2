package cell

import (
	"slices"
	"time"
)

// A start without an answer may be carried out until maxOrderDelay after the order. Its
// worker refuses it after a stop, but the next incarnation of the worker knows nothing of
// that stop: it carries the start out if it receives it before the holder's first call, and
// then runs the task for the longest lease without a word from the holder. Until then the
// task does not start on another worker. A long-running task starts again on the same
// worker, as a next incarnation implies the end of that run; a finite task waits, as its
// run could be done before. All other runs of the worker end with its lease.

// settledStart is a start without an answer that the incarnation of its time has not
// carried out, and refuses since.
type settledStart struct {
	task      *task
	attempt   int
	orderedAt time.Duration
}

// startUnanswered reports whether it is unknown if the worker has carried out, or will
// carry out, the start of the run.
func (r *run) startUnanswered() bool { return r.confirmedAt == 0 && !r.listed && !r.refused }

// heldByLease reports whether the incarnation of its worker that the holder knows has the
// run, which ends with its lease.
func (r *run) heldByLease() bool {
	return r.listed || r.confirmedAt > 0 && r.generation == r.worker.generation && !r.onUnknown
}

// endOf returns the time by which a run on the worker has certainly ended if no further
// call reaches it. A start without an answer is bound by no lease that the holder knows:
// an incarnation that it does not know may carry it out later, and holds with it. That is
// no second run if the task may have several.
func (w *worker) endOf(r *run) time.Duration {
	if r.heldByLease() || r.task.step.spec.Speculative {
		return w.leaseExpiry()
	}
	return max(w.leaseExpiry(), w.leaseLimit)
}

// hasUnansweredStarts reports whether the worker has starts without an answer.
func (w *worker) hasUnansweredStarts() bool {
	return slices.ContainsFunc(w.runsInOrder, (*run).startUnanswered)
}

// answeredByUnknown reports whether the clock in the answer to a start shows that an
// incarnation of the worker has answered that began after the present one.
func (w *worker) answeredByUnknown(r *run, clock time.Duration) bool {
	if clock == 0 || !w.clock.known || r.orderedAt < w.clock.received {
		return false
	}
	elapsed := time.Duration(float64(r.orderedAt-w.clock.received) * (1 - clockDrift))
	return clock < w.clock.workerTime+elapsed-clockMargin
}

// startSettledUnanswered keeps a start without an answer that is settled, until it can
// no longer be carried out.
func (c *Cell) startSettledUnanswered(r *run) {
	w, until := r.worker, r.orderedAt+maxOrderDelay
	w.dropSettledStarts(c.now.Steady)
	if !r.startUnanswered() || c.now.Steady >= until {
		return
	}
	w.settledStarts = append(w.settledStarts, settledStart{task: r.task, attempt: r.key.attempt, orderedAt: r.orderedAt})
	if !r.task.step.spec.Speculative && !w.leavesAsPlanned(r.task) {
		r.task.lateStartUntil = max(r.task.lateStartUntil, until)
	}
}

// maxRestartsInPlace bounds the starts in a row of a task on a worker that leaves each of
// them unanswered.
const maxRestartsInPlace = 3

// restartInPlace starts a long-running task again on the worker that refuses its settled
// start. The run of a finite task could be done before the next incarnation carries out
// the settled start.
func (c *Cell) restartInPlace(settled *run) {
	t, w := settled.task, settled.worker
	if !t.step.spec.LongRunning || t.step.spec.Gang || t.reservation != nil || t.lateStartUntil <= c.now.Steady || settled.restarts >= maxRestartsInPlace {
		return
	}
	if !slices.Contains(t.step.waiting, t.index) || !c.mayStart() || c.startsExhausted() || c.mustWait(t.step.occurrence.job) || !c.canRun(w, t) {
		return
	}
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(i int) bool { return i == t.index })
	c.startRun(t, w).restarts = settled.restarts + 1
}

func (w *worker) dropSettledStarts(now time.Duration) {
	w.settledStarts = slices.DeleteFunc(w.settledStarts, func(s settledStart) bool { return now >= s.orderedAt+maxOrderDelay })
}

// trackSettledStarts tracks the settled starts of a worker that has restarted, or does not
// answer, as uncertain runs until its lists show whether it has carried them out. A task
// that waits does not start elsewhere before that.
func (c *Cell) trackSettledStarts(w *worker, restarted bool) {
	w.dropSettledStarts(c.now.Steady)
	for _, settled := range w.settledStarts {
		if restarted || !w.leavesAsPlanned(settled.task) {
			c.trackUnanswered(w, settled.task, settled.attempt, settled.orderedAt)
		}
	}
	w.settledStarts = nil
}

// leavesAsPlanned reports whether a long-running task need not wait until the settled
// start can no longer be carried out: its worker drains, so that most probably no other
// incarnation follows, and the task would be unavailable for long.
func (w *worker) leavesAsPlanned(t *task) bool { return w.server.Draining && t.step.spec.LongRunning }

// releaseSettledStarts lets the long-running tasks with settled starts on a worker that
// begins to drain start elsewhere.
func (w *worker) releaseSettledStarts() {
	for _, settled := range w.settledStarts {
		if w.leavesAsPlanned(settled.task) {
			settled.task.lateStartUntil = 0
		}
	}
}

// trackUnanswered tracks a start without an answer as an uncertain run, which the present
// incarnation of the worker refuses.
func (c *Cell) trackUnanswered(w *worker, t *task, attempt int, orderedAt time.Duration) {
	key := runKey{t.ref(), attempt}
	if w.runs[key] != nil || c.jobs[key.task.Job] != t.step.occurrence.job {
		return
	}
	r := c.addRun(t, w, attempt, runUncertain)
	r.orderedAt, r.reason, r.generation = orderedAt, "start_unanswered", w.generation-1
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(i int) bool { return i == t.index })
	w.leaseLimit = max(w.leaseLimit, c.latestLeaseEnd(orderedAt))
}

// dropEarlierStarts ends the tracking of starts without an answer of a task that runs in a
// later attempt: the earlier holder ordered that after they were settled.
func (c *Cell) dropEarlierStarts(t *task, attempt int) {
	for _, r := range slices.Clone(t.runs) {
		if r.state == runUncertain && r.startUnanswered() && r.key.attempt < attempt && attempt > t.attempt {
			c.startSettledUnanswered(r)
			c.removeRun(r)
		}
	}
}

// newestUnanswered returns when the newest start without an answer was ordered; 0 if there
// is none.
func (w *worker) newestUnanswered() (newest time.Duration) {
	for _, r := range w.runsInOrder {
		if r.startUnanswered() {
			newest = max(newest, r.orderedAt)
		}
	}
	for _, s := range w.settledStarts {
		newest = max(newest, s.orderedAt)
	}
	return newest
}

package cell

import (
	"slices"

	"lacewingfork.example/lacewingfork/decision/job"
)

// processEnds applies the ends that a worker lists.
func (c *Cell) processEnds(w *worker, rows []FinishedRow) {
	for _, row := range rows {
		if row.Number <= w.lastEndApplied {
			continue
		}
		w.lastEndApplied = row.Number
		c.nextBatch.addCursor(w)
		if r := w.runs[runKey{row.Task, row.Attempt}]; r != nil {
			c.runEnded(r, row.End, row.Checkpoint)
			continue
		}
		c.unknownRunEnded(w, row)
	}
	if w.lastEndApplied > w.lastEndRecorded {
		c.nextBatch.addCursor(w)
	}
}

// unknownRunEnded applies the end of a run that this holder does not track: an
// earlier holder started it, or this holder removed it when its lease expired.
func (c *Cell) unknownRunEnded(w *worker, row FinishedRow) {
	t := c.lookup(row.Task)
	if t == nil || !validAttempt(row.Attempt) || t.done || row.Attempt < t.attempt && !countsEarlier(t, row.End) {
		return
	}
	t.attempt = max(t.attempt, row.Attempt)
	t.step.occurrence.job.started = true
	t.lastRunAt = c.now.Steady
	c.applyEnd(t, w, row.Attempt, row.End, row.Checkpoint)
}

// countsEarlier reports whether the end of an attempt counts after a later one has been
// observed. That of a speculative task may be done while a later one runs, or be listed
// late by a worker that was lost: were it left out, the task could start again after it is
// done.
func countsEarlier(t *task, end job.End) bool {
	return end == job.EndFailed || end == job.EndDone && t.step.spec.Speculative
}

// runEnded removes a run and applies its end to the task.
func (c *Cell) runEnded(r *run, end job.End, checkpoint string) {
	t, w := r.task, r.worker
	c.removeRun(r)
	if r.state == runUncertain && (end == job.EndLeaseExpired || end == job.EndLost) {
		c.startSettledUnanswered(r)
		c.requeue(t)
		return
	}
	if outlived(end) {
		t.clearSuspicion()
	}
	if end == job.EndDone {
		c.observeRunTime(r)
		c.copyEnded(r)
	}
	before := w.health.quarantinedUntil
	w.health.ended(c.now.Steady, r, end)
	c.logHealth(w, before, string(end))
	switch {
	case end != job.EndLeaseExpired && end != job.EndLost:
		t.lastRunAt = c.now.Steady
	case r.listedAt > 0:
		t.lastRunAt = r.listedAt // it may have ended at any time since
	}
	c.applyEnd(t, w, r.key.attempt, end, checkpoint)
}

// applyEnd updates a task after the end of one of its runs.
func (c *Cell) applyEnd(t *task, w *worker, attempt int, end job.End, checkpoint string) {
	j := t.step.occurrence.job
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if end != job.EndDone || t.step.spec.LongRunning {
		t.requeuedAt = c.now.Steady
	}
	if t.preempted {
		t.notBefore = t.lastRunAt + preemptedDelay
	}
	c.emit(Note{Event: NoteTaskEnded, Job: j.job.ID, Task: t.ref().String(), Server: w.server.ID, Detail: map[string]any{
		"attempt": attempt, "end": end, "failures": len(t.failed), "checkpoint": checkpoint != "",
	}})
	switch end {
	case job.EndDone:
		c.markDirty(j)
		if t.step.spec.Gang {
			c.gangDone(t.step)
			return
		}
		if !t.step.spec.LongRunning {
			c.taskDone(t)
			return
		}
	case job.EndFailed:
		c.markDirty(j)
		if c.countFailure(t, w, attempt) {
			return
		}
	default:
		if checkpoint != "" {
			c.markDirty(j)
		}
	}
	if t.step.spec.Gang {
		c.breakGang(t.step)
	}
	c.requeue(t)
}

// maxAvoided bounds the number of servers that a task avoids.
const maxAvoided = 4

// countFailure records a failed attempt and reports whether it ended the job.
func (c *Cell) countFailure(t *task, w *worker, attempt int) bool {
	counter := t.failureCounter()
	if !slices.Contains(counter.failed, attempt) {
		counter.failed = append(counter.failed, attempt)
	}
	t.avoid = append(t.avoid, w.server.ID)
	if len(t.avoid) > maxAvoided {
		t.avoid = t.avoid[1:]
	}
	return c.failIfAttemptsExhausted(t)
}

// failureCounter returns the task that keeps the failed attempts: a gang fails
// as a whole, so its first task keeps them.
func (t *task) failureCounter() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// failIfAttemptsExhausted ends the job of a task that has used up its attempts
// and reports whether it did. The limit is checked before each start too, as a
// holder may restore failures before it has the configuration.
func (c *Cell) failIfAttemptsExhausted(t *task) bool {
	limit := c.queueOf(t.step.occurrence.job).MaxAttempts
	if t.step.spec.LongRunning || limit <= 0 || len(t.failureCounter().failed) < limit {
		return false
	}
	c.failJob(t.step.occurrence.job)
	return true
}

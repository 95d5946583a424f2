package cell

import (
	"slices"

	"lacewingfork.example/lacewingfork/decision/job"
)

// takeEnds takes in the ends that a worker lists.
func (c *Cell) takeEnds(w *worker, rows []FinishedRow) {
	for _, row := range rows {
		if row.Number <= w.seen {
			continue
		}
		w.seen = row.Number
		c.gathering.cursor(w)
		if r := w.runs[runKey{row.Task, row.Attempt}]; r != nil {
			c.runEnded(r, row.End, row.Checkpoint)
			continue
		}
		c.unexpectedEnd(w, row)
	}
	if w.seen > w.recorded {
		c.gathering.cursor(w)
	}
}

// unexpectedEnd takes in the end of a run that this holder does not know: one
// that an earlier holder started, or one that it has given up as lapsed.
func (c *Cell) unexpectedEnd(w *worker, row FinishedRow) {
	t := c.lookup(row.Task)
	if t == nil || t.done || row.Attempt < t.attempt && row.End != job.EndFailed {
		return
	}
	t.attempt = max(t.attempt, row.Attempt)
	t.of.of.job.everStarted = true
	c.applyEnd(t, w, row.Attempt, row.End, row.Checkpoint)
}

// runEnded removes a run and applies its end to the task.
func (c *Cell) runEnded(r *run, end job.End, saved string) {
	t, w := r.task, r.worker
	c.removeRun(r)
	if r.state == runUnsettled && (end == job.EndLeaseExpired || end == job.EndLost) {
		c.waitAgain(t)
		return
	}
	before := w.health.asideUntil
	w.health.ended(c.now.Steady, r, end)
	c.noteHealth(w, before, string(end))
	c.applyEnd(t, w, r.key.attempt, end, saved)
}

// applyEnd advances a task by the end of one of its runs.
func (c *Cell) applyEnd(t *task, w *worker, attempt int, end job.End, saved string) {
	j := t.of.of.job
	if saved != "" {
		t.saved = saved
	}
	if end != job.EndDone || t.of.step.LongRunning {
		t.lostAt = c.now.Steady
	}
	c.do(Note{Event: NoteTaskEnded, Job: j.job.ID, Task: t.ref().String(), Server: w.server.ID, Detail: map[string]any{
		"attempt": attempt, "end": end, "failures": len(t.failed), "checkpoint": saved != "",
	}})
	switch end {
	case job.EndDone:
		c.markDirty(j)
		if t.of.step.Gang {
			c.gangDone(t.of)
			return
		}
		if !t.of.step.LongRunning {
			c.taskDone(t)
			return
		}
	case job.EndFailed:
		c.markDirty(j)
		if c.countFailure(t, w, attempt) {
			return
		}
	default:
		if saved != "" {
			c.markDirty(j)
		}
	}
	if t.of.step.Gang {
		c.breakGang(t.of)
	}
	c.waitAgain(t)
}

// maxAvoided bounds the servers that a task keeps away from.
const maxAvoided = 4

// countFailure counts a failed end and reports whether it ended the job.
func (c *Cell) countFailure(t *task, w *worker, attempt int) bool {
	counter := t.failureCounter()
	if !slices.Contains(counter.failed, attempt) {
		counter.failed = append(counter.failed, attempt)
	}
	t.avoid = append(t.avoid, w.server.ID)
	if len(t.avoid) > maxAvoided {
		t.avoid = t.avoid[1:]
	}
	return c.failIfSpent(t)
}

// failureCounter is the task that keeps the failed attempts: a gang fails as a
// whole.
func (t *task) failureCounter() *task {
	if t.of.step.Gang {
		return t.of.tasks[0]
	}
	return t
}

// failIfSpent ends the job of a task that has used up its attempts. The limit
// is checked before each start too: a holder may learn of failures before it
// knows the configuration.
func (c *Cell) failIfSpent(t *task) bool {
	limit := c.queueOf(t.of.of.job).MaxAttempts
	if t.of.step.LongRunning || limit <= 0 || len(t.failureCounter().failed) < limit {
		return false
	}
	c.failJob(t.of.of.job)
	return true
}

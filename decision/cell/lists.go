package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// takeRunning compares a worker's list with what the cell believes.
func (c *Cell) takeRunning(w *worker, e HoldAnswered) {
	listed := make(map[runKey]bool, len(e.Running))
	w.orphans, w.unknownOrphan = fleet.Resources{}, false
	for _, row := range e.Running {
		key := runKey{row.Task, row.Attempt}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, row)
			if r == nil {
				continue
			}
		}
		c.refresh(r, row)
	}
	for _, r := range slices.Clone(w.list) {
		if !listed[r.key] {
			c.unlisted(r, e.Sent)
		}
	}
}

func (c *Cell) refresh(r *run, row RunningRow) {
	if r.state == runOrdered {
		c.confirm(r)
	}
	if row.Percent != r.percent {
		r.percent, r.movedAt = row.Percent, c.now.Steady
	}
	r.figure = row.Measurement
	if r.task.of.step.LongRunning && r.percent >= fullPace && r.orderedAt >= r.worker.health.asideUntil &&
		c.now.Steady-r.confirmed >= soundAfter {
		before := r.worker.health.asideUntil
		r.worker.health.sound()
		c.noteHealth(r.worker, before, "sound_work")
	}
	if row.Checkpoint != "" && r.task.of.step.Checkpoints {
		r.task.saved = row.Checkpoint
	}
}

// unlisted decides on a run that a list asked for at sent does not show.
func (c *Cell) unlisted(r *run, sent time.Duration) {
	switch {
	case r.state == runConfirmed && sent > r.confirmed:
		c.runEnded(r, job.EndLost, "")
	case (r.state == runUnsettled || r.state == runStopping) && r.stopped && sent > r.stoppedAt:
		// Its stop was acknowledged before the list was made, so it has
		// ended, or never began and will be refused.
		c.removeRun(r)
		c.waitAgain(r.task)
	}
}

// adopt takes over a run that an earlier holder started, or stops one that
// belongs to no task that may run.
func (c *Cell) adopt(w *worker, row RunningRow) *run {
	t := c.lookup(row.Task)
	if t == nil || t.done || t.of.of.job.ended || row.Attempt < t.attempt || len(t.runs) > 0 && !t.of.step.Speculative {
		c.do(Note{Event: NoteRunWithoutTask, Job: row.Task.Job, Task: row.Task.String(), Server: w.server.ID, Detail: map[string]any{"attempt": row.Attempt}})
		c.do(Stop{Server: w.server.ID, Address: w.server.Address, Task: row.Task, Attempt: row.Attempt})
		c.countOrphan(w, row.Task)
		return nil
	}
	r := c.addRun(t, w, row.Attempt, runConfirmed)
	r.confirmed = c.now.Steady
	t.of.of.job.everStarted = true
	t.of.waiting = slices.DeleteFunc(t.of.waiting, func(i int) bool { return i == t.index })
	return r
}

// countOrphan takes the room of a run that belongs to no task until a later list
// no longer shows it.
func (c *Cell) countOrphan(w *worker, ref job.TaskRef) {
	j := c.jobs[ref.Job]
	if j == nil || ref.Step >= len(j.job.Steps) {
		w.unknownOrphan = true
		return
	}
	step := &j.job.Steps[ref.Step]
	need := step.Need
	if step.BestEffort {
		need.MilliCPU = 0
	}
	w.orphans = w.orphans.Add(need)
}

package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// reconcileRuns compares the running list of a worker with the tracked runs. A run
// that it lacks has ended; how is not known until all ends have been listed.
func (c *Cell) reconcileRuns(w *worker, e HoldAnswered) {
	listed := make(map[runKey]bool, len(e.Running))
	w.orphanResources, w.unknownOrphan = fleet.Resources{}, false
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
		c.updateRun(r, row)
	}
	if e.MoreEnds {
		return
	}
	for _, r := range slices.Clone(w.runsInOrder) {
		if !listed[r.key] {
			c.runUnlisted(r, e.Sent)
		}
	}
}

// updateRun applies a row of the running list to its run.
func (c *Cell) updateRun(r *run, row RunningRow) {
	if r.state == runOrdered {
		c.confirm(r)
	}
	c.observePace(r, row.Percent)
	if row.Percent != r.percent {
		r.percent, r.progressAt = row.Percent, c.now.Steady
	}
	r.measurement, r.listedAt, r.listed, r.generation = row.Measurement, c.now.Steady, true, r.worker.generation
	c.clearIfOutlived(r)
	if r.task.step.spec.LongRunning && r.percent >= fullSpeed && r.orderedAt >= r.worker.health.quarantinedUntil &&
		c.now.Steady-r.confirmedAt >= healthyAfter {
		before := r.worker.health.quarantinedUntil
		r.worker.health.markHealthy()
		c.logHealth(r.worker, before, "sound_work")
	}
	if row.Checkpoint != "" && r.task.step.spec.Checkpoints {
		r.task.checkpoint = row.Checkpoint
	}
}

// runUnlisted handles a run that is missing from a list requested at sent.
func (c *Cell) runUnlisted(r *run, sent time.Duration) {
	switch {
	case r.generation < r.worker.generation && r.state != runConfirmed:
		// The worker refuses the start from now on.
		c.startSettledUnanswered(r)
		c.removeRun(r)
		c.requeue(r.task)
		c.restartInPlace(r)
	case r.generation < r.worker.generation, r.state == runConfirmed && sent > r.confirmedAt:
		c.runEnded(r, job.EndLost, "")
	case (r.state == runUncertain || r.state == runStopping) && r.stopAcked && sent > r.stopAckedAt:
		// The stop was acknowledged before the list was requested, so the run has
		// ended or never started, and this incarnation refuses a late start.
		c.startSettledUnanswered(r)
		c.removeRun(r)
		c.requeue(r.task)
		c.restartInPlace(r)
	}
}

// adopt tracks a listed run that an earlier holder started. If its task is
// unknown or must not run, adopt stops the run and returns nil.
func (c *Cell) adopt(w *worker, row RunningRow) *run {
	t := c.lookup(row.Task)
	if t != nil {
		c.dropEarlierStarts(t, row.Attempt)
	}
	if t == nil || !validAttempt(row.Attempt) || t.done || t.step.occurrence.job.ended || row.Attempt < t.attempt || len(t.runs) > 0 && !t.step.spec.Speculative {
		c.emit(Note{Event: NoteRunWithoutTask, Job: row.Task.Job, Task: row.Task.String(), Server: w.server.ID, Detail: map[string]any{"attempt": row.Attempt}})
		c.emit(Stop{Server: w.server.ID, Address: w.server.Address, Generation: w.generation, Task: row.Task, Attempt: row.Attempt})
		c.accountOrphan(w, row.Task)
		return nil
	}
	r := c.addRun(t, w, row.Attempt, runConfirmed)
	r.speedUnknown = c.settings.ServingRoom && r.bestEffort
	r.confirmedAt = c.now.Steady
	t.step.occurrence.job.started = true
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(i int) bool { return i == t.index })
	return r
}

// accountOrphan reserves the resources of a run that belongs to no task, until
// the next list.
func (c *Cell) accountOrphan(w *worker, ref job.TaskRef) {
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
	w.orphanResources = w.orphanResources.Add(need)
}

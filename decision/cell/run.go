package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// runState is how much is known of a run.
type runState int

const (
	runOrdered   runState = iota // the start is on its way
	runConfirmed                 // the worker has said that it is there
	runUnsettled                 // the start had no answer and may still be carried out
	runStopping                  // a stop is on its way, or its end is not listed yet
)

// run is one run of a task. It takes its room until it has ended.
type run struct {
	key       runKey
	task      *task
	worker    *worker
	need      fleet.Resources
	fills     bool
	state     runState
	orderedAt time.Duration
	confirmed time.Duration
	percent   int
	movedAt   time.Duration // when percent last changed
	figure    int
	paced     int // share of its speed, in percent
	pacedWant int
	pacedAt   time.Duration
	image     imageID
	served    served  // of a task with a target
	pressed   float64 // load that the fills beside it add
	limit     float64 // load at which it misses its target, less a margin
	reason    string  // why it is being stopped
	stopSent  time.Duration
	stopped   bool          // the worker has acknowledged the stop
	stoppedAt time.Duration // when it did
	stops     int
}

// stopRepeat spaces the repetitions of a stop that has not been answered; an
// order without an answer may be carried out seconds later.
const stopRepeat = 400 * time.Millisecond

func (c *Cell) addRun(t *task, w *worker, attempt int, state runState) *run {
	r := &run{
		key: runKey{task: t.ref(), attempt: attempt}, task: t, worker: w, need: t.of.step.Need, fills: t.of.step.Fills,
		state: state, image: t.of.image, orderedAt: c.now.Steady, movedAt: c.now.Steady, paced: fullPace, pacedWant: fullPace,
	}
	if state == runOrdered {
		c.ordered++
	}
	w.runs[r.key] = r
	w.list = append(w.list, r)
	w.take(r, 1)
	w.changed(r)
	t.runs = append(t.runs, r)
	t.attempt = max(t.attempt, attempt)
	return r
}

// setState changes what is known of a run and keeps the number of starts that
// have no answer yet.
func (c *Cell) setState(r *run, state runState) {
	if r.state == runOrdered && state != runOrdered {
		c.ordered--
	}
	r.state = state
}

// take adds the need of a run to what is used, or gives it back with sign -1.
func (w *worker) take(r *run, sign int64) {
	need := r.need
	if r.fills {
		w.fillCPU += sign * need.MilliCPU
		need.MilliCPU = 0
	}
	if sign > 0 {
		w.used = w.used.Add(need)
	} else {
		w.used = w.used.Sub(need)
	}
}

// changed notes that what the tasks with a target on the worker live beside is
// not the same any more.
func (w *worker) changed(r *run) {
	w.unsurveyed = true
	if !r.serves() {
		return
	}
	w.pacing.serving = 0
	for _, other := range w.list {
		if other.serves() {
			w.pacing.serving++
		}
	}
}

func (c *Cell) removeRun(r *run) {
	if r.state == runOrdered {
		c.ordered--
	}
	delete(r.worker.runs, r.key)
	r.worker.list = slices.DeleteFunc(r.worker.list, func(other *run) bool { return other == r })
	r.worker.take(r, -1)
	r.worker.changed(r)
	if r.fills {
		r.worker.faded = append(r.worker.faded, fadedFill{image: r.image, share: r.share(), at: c.now.Steady})
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.needsOrder = true
}

// startRun orders a run of a waiting task.
func (c *Cell) startRun(t *task, w *worker, ticket string) {
	attempt := max(t.attempt, (c.round-1)*attemptsPerRound) + 1
	r := c.addRun(t, w, attempt, runOrdered)
	j := t.of.of.job
	deadline := c.leaseEnd(w)
	w.granted = max(w.granted, deadline)
	c.do(Start{
		Server: w.server.ID, Address: w.server.Address, Task: r.key.task, Attempt: attempt, Spec: j.job.Spec,
		Deadline: deadline, Checkpoint: t.saved, Ticket: ticket,
	})
	c.do(Note{Event: NoteStarted, Job: j.job.ID, Task: r.key.task.String(), Server: w.server.ID, Detail: map[string]any{
		"attempt": attempt, "waited_ms": (c.now.Steady - max(j.acceptedAt, t.lostAt)).Milliseconds(), "free_milli_cpu": w.server.Capacity.MilliCPU - w.used.MilliCPU,
		"list_age_ms": (c.now.Steady - w.heardAt).Milliseconds(),
	}})
}

func (c *Cell) startAnswered(e StartAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Attempt}]
	if r == nil || r.state != runOrdered {
		return
	}
	c.needsOrder = true
	if e.Outcome != StartAccepted {
		c.do(Note{Event: NoteStartAnswered, Job: e.Task.Job, Task: e.Task.String(), Server: e.Server, Detail: map[string]any{
			"attempt": e.Attempt, "outcome": startOutcomeNames[e.Outcome], "took_ms": (c.now.Steady - e.Sent).Milliseconds(),
		}})
	}
	w.takeClock(e.Clock, c.now.Steady)
	switch e.Outcome {
	case StartAccepted:
		c.confirm(r)
	case StartUnknown:
		c.setState(r, runUnsettled)
		r.reason = "start_unanswered"
		c.sendStop(r)
	case StartFenced:
		c.do(Superseded{Server: e.Server})
		c.giveBack(r, orderPause)
	case StartNever:
		c.giveBack(r, orderPause)
		w.silent, w.holdAt = true, 0 // until the next hold tells who answers there
		c.holdIfDue(w)
	case StartNotSent:
		c.giveBack(r, orderPause)
	default: // StartOld, StartLate, StartNoRoom, StartRefused: nothing was done
		w.health.refused(c.now.Steady)
		c.giveBack(r, orderPause)
	}
}

// startOutcomeNames are the outcomes in the log.
var startOutcomeNames = map[StartOutcome]string{
	StartUnknown: "unknown", StartAccepted: "accepted", StartFenced: "fenced", StartOld: "old_attempt",
	StartLate: "late", StartNoRoom: "no_room", StartRefused: "refused", StartNever: "other_life", StartNotSent: "not_sent",
}

// orderPause keeps a task from being offered to refusing servers in a tight loop.
const orderPause = 50 * time.Millisecond

func (c *Cell) confirm(r *run) {
	c.setState(r, runConfirmed)
	r.confirmed, r.movedAt = c.now.Steady, c.now.Steady
	r.worker.changed(r)
	if w := r.worker; (r.fills && w.pacing.serving > 0 || r.serves() && w.fillCPU > 0) && w.lookAt == 0 {
		w.lookAt = c.now.Steady + figureSpan + lapseMargin // the first figures that show it
	}
	j := r.task.of.of.job
	j.everStarted = true
	if j.ended || r.task.done && len(r.task.runs) > 0 {
		c.stopRun(r, "task_over")
	}
}

// giveBack ends a run that has not begun.
func (c *Cell) giveBack(r *run, pause time.Duration) {
	t := r.task
	c.removeRun(r)
	t.notBefore = c.now.Steady + pause
	c.waitAgain(t)
}

// stopRun orders the end of a run. Its room stays taken until its end is known.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	if r.state != runUnsettled {
		c.setState(r, runStopping)
	}
	r.reason = reason
	r.worker.unsurveyed = true
	c.do(Note{Event: NoteStop, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{
		"attempt": r.key.attempt, "reason": reason, "percent": r.percent,
	}})
	c.sendStop(r)
}

func (c *Cell) sendStop(r *run) {
	r.stopSent = c.now.Steady
	r.stops++
	c.do(Stop{Server: r.worker.server.ID, Address: r.worker.server.Address, Task: r.key.task, Attempt: r.key.attempt})
}

// repeatStops sends unanswered stops again.
func (c *Cell) repeatStops(w *worker) {
	if !c.authority {
		return
	}
	for _, r := range w.list {
		if (r.state == runStopping || r.state == runUnsettled) && !r.stopped && c.now.Steady-r.stopSent >= stopRepeat {
			c.sendStop(r)
		}
	}
}

func (c *Cell) stopAnswered(e StopAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	if e.Fenced {
		c.do(Superseded{Server: e.Server})
		return
	}
	r := w.runs[runKey{e.Task, e.Attempt}]
	if r == nil || !e.OK || r.stopped {
		return
	}
	r.stopped, r.stoppedAt = true, c.now.Steady
	if w.lookAt == 0 {
		w.lookAt = c.now.Steady // a list from now on shows whether it runs
	}
	c.holdIfDue(w)
}

// takeEnds takes in the ends that a worker lists.
func (c *Cell) takeEnds(w *worker, rows []FinishedRow) {
	for _, row := range rows {
		if row.Number <= w.seen {
			continue
		}
		w.seen = row.Number
		c.gathering.cursor(w)
		if r := w.runs[runKey{row.Task, row.Attempt}]; r != nil {
			c.runEnded(r, row.End, row.Saved)
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
	c.applyEnd(t, w, row.Attempt, row.End, row.Saved)
}

// runEnded removes a run and applies its end to the task.
func (c *Cell) runEnded(r *run, end job.End, saved string) {
	t, w := r.task, r.worker
	c.removeRun(r)
	if r.state == runUnsettled && (end == job.EndLapsed || end == job.EndLost) {
		c.waitAgain(t)
		return
	}
	w.health.ended(c.now.Steady, r, end)
	c.applyEnd(t, w, r.key.attempt, end, saved)
}

// applyEnd advances a task by the end of one of its runs.
func (c *Cell) applyEnd(t *task, w *worker, attempt int, end job.End, saved string) {
	j := t.of.of.job
	if saved != "" {
		t.saved = saved
	}
	if end != job.EndDone || t.of.step.Lasting {
		t.lostAt = c.now.Steady
	}
	c.do(Note{Event: NoteEnded, Job: j.job.ID, Task: t.ref().String(), Server: w.server.ID, Detail: map[string]any{
		"attempt": attempt, "end": end, "failures": len(t.failed), "checkpoint": saved != "",
	}})
	switch end {
	case job.EndDone:
		c.markDirty(j)
		if t.of.step.Gang {
			c.gangDone(t.of)
			return
		}
		if !t.of.step.Lasting {
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
	if t.of.step.Lasting || limit <= 0 || len(t.failureCounter().failed) < limit {
		return false
	}
	c.failJob(t.of.of.job)
	return true
}

// takeRunning compares a worker's list with what the cell believes.
func (c *Cell) takeRunning(w *worker, e Held) {
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
	r.figure = row.Figure
	if row.Saved != "" && r.task.of.step.Checkpoints {
		r.task.saved = row.Saved
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
	if t == nil || t.done || t.of.of.job.ended || row.Attempt < t.attempt || len(t.runs) > 0 && !t.of.step.Copies {
		c.do(Note{Event: NoteRunUnexplained, Job: row.Task.Job, Task: row.Task.String(), Server: w.server.ID, Detail: map[string]any{"attempt": row.Attempt}})
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
	if step.Fills {
		need.MilliCPU = 0
	}
	w.orphans = w.orphans.Add(need)
}

// queueOf returns the settings of a job's queue; those of a queue that the
// configuration no longer has stay in force for the jobs that it accepted.
func (c *Cell) queueOf(j *jobState) QueueSettings {
	if q, ok := c.queues[j.job.Queue]; ok {
		return q
	}
	return c.retired[j.job.Queue]
}

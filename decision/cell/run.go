package cell

import (
	"slices"
	"time"

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
	learnt    int     // newest figure that has been learnt from
	pressed   float64 // load that the fills beside it add
	limit     float64 // load at which it misses its target
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
		key: runKey{task: t.ref(), attempt: attempt}, task: t, worker: w, need: t.of.step.Need, fills: t.of.step.BestEffort,
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
		r.worker.noteShares(c.now.Steady)
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.needsOrder = true
}

// startRun orders a run of a waiting task.
func (c *Cell) startRun(t *task, w *worker) {
	attempt := max(t.attempt, (c.round-1)*attemptsPerRound) + 1
	r := c.addRun(t, w, attempt, runOrdered)
	c.tryBeside(r)
	j := t.of.of.job
	ticket, _ := c.ticketFor(t.of, w) // choose has checked that it is good
	deadline := c.leaseEnd(w)
	w.granted = max(w.granted, deadline)
	c.do(Start{
		Server: w.server.ID, Address: w.server.Address, Task: r.key.task, Attempt: attempt, Spec: j.job.Spec,
		Deadline: deadline, Checkpoint: t.saved, Ticket: ticket,
	})
	c.do(Note{Event: NoteStartOrdered, Job: j.job.ID, Task: r.key.task.String(), Server: w.server.ID, Detail: map[string]any{
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
	case StartInvalid:
		c.giveBack(r, orderPause)
		w.silent, w.holdAt = true, 0 // until the next hold tells who answers there
		c.holdIfDue(w)
	case StartNotSent:
		c.giveBack(r, orderPause)
	case StartNoTicket:
		delete(r.task.of.advice.tickets, w.server.ID)
		c.giveBack(r, orderPause)
	default: // StartOldAttempt, StartExpired, StartNoRoom, StartRefused: nothing was done
		before := w.health.asideUntil
		w.health.refused(c.now.Steady)
		c.noteHealth(w, before, "refusals")
		c.giveBack(r, orderPause)
	}
}

// startOutcomeNames are the outcomes in the log.
var startOutcomeNames = map[StartOutcome]string{
	StartUnknown: "unknown", StartAccepted: "accepted", StartFenced: "fenced", StartOldAttempt: "old_attempt",
	StartExpired: "late", StartNoRoom: "no_room", StartRefused: "refused", StartInvalid: "other_life", StartNotSent: "not_sent", StartNoTicket: "no_ticket",
}

// orderPause keeps a task from being offered to refusing servers in a tight loop.
const orderPause = 50 * time.Millisecond

func (c *Cell) confirm(r *run) {
	c.setState(r, runConfirmed)
	r.confirmed, r.movedAt = c.now.Steady, c.now.Steady
	r.worker.changed(r)
	if r.fills {
		r.worker.noteShares(c.now.Steady)
	}
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
	c.do(Note{Event: NoteStopOrdered, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{
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

// queueOf returns the settings of a job's queue; those of a queue that the
// configuration no longer has stay in force for the jobs that it accepted.
func (c *Cell) queueOf(j *jobState) QueueSettings {
	if q, ok := c.queues[j.job.Queue]; ok {
		return q
	}
	return c.retired[j.job.Queue]
}

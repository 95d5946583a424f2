package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// jobState is one job of the cell.
type jobState struct {
	job job.Job
	// chains is the longest chain of work from each step on.
	chains     []time.Duration
	acceptedAt time.Duration // steady clock of this holder
	accepted   time.Time     // time of day, for the record
	stored     bool
	restored   bool // an earlier holder may have started its tasks
	waiting    []Token
	cancelled  bool
	// cancelStored and cancelWaiting belong to the record of a cancellation.
	cancelStored  bool
	cancelWaiting []Token
	failed        bool
	ended         bool
	endedAt       time.Duration
	everStarted   bool
	occurrences   map[int]*occurrence
	closed        map[int]bool // occurrences that are complete
	nextDue       int          // first occurrence that is not open yet
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job    *jobState
	number int
	steps  []*stepState
	open   int // steps that are not done
}

type stepState struct {
	of      *occurrence
	index   int
	step    *job.Step
	image   imageID
	advice  advice // of a queue with an advisor
	served  served // load of its tasks, if they have a target
	tasks   []*task
	waiting []int // indexes of tasks without a run that may start
	done    int
	opened  bool
	// openedAt is when the tasks of the step could first start.
	openedAt time.Duration
	queued   bool // among the ready steps of the cell
}

type task struct {
	of        *stepState
	index     int
	done      bool
	runs      []*run
	attempt   int   // highest attempt used or seen
	failed    []int // attempts that ended failed; ends of several workers come in any order
	saved     string
	notBefore time.Duration
	avoid     []fleet.BackendServerID
	lostAt    time.Duration
	moves     int // away from servers where it disturbed
	// consolidatedAt is when the task was last moved to free a server.
	consolidatedAt time.Duration
}

func (t *task) ref() job.TaskRef {
	return job.TaskRef{Job: t.of.of.job.job.ID, Occurrence: t.of.of.number, Step: t.of.index, Index: t.index}
}

func (j *jobState) state() job.State {
	switch {
	case j.cancelled:
		return job.Cancelled
	case j.failed:
		return job.Failed
	case len(j.closed) == max(1, j.job.Repeats):
		return job.Complete
	case j.everStarted:
		return job.Running
	default:
		return job.Queued
	}
}

// limits of what a cell takes in; beyond them its memory would not hold.
const maxJobs = 50000

// storeSlow is how long an append may stay unanswered before further jobs are
// turned away: a caller who waits for the store has to come back in time.
const storeSlow = 500 * time.Millisecond

// retryFirst and retryLater are the times to return while the store does not
// answer. An outage that has lasted for a second lasts for several, and callers
// come again only a few times.
const (
	retryFirst = time.Second
	retryLater = 3 * time.Second
)

func (c *Cell) retryAfter() time.Duration {
	if c.storeWait > retryFirst {
		return retryLater
	}
	return retryFirst
}

func (c *Cell) submit(e Submitted) {
	if j, known := c.jobs[e.Job.ID]; known {
		if j.stored {
			c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.state()}})
			return
		}
		j.waiting = append(j.waiting, e.Token)
		return
	}
	if _, ok := c.queues[e.Job.Queue]; !ok {
		c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: NoSuchQueue}})
		return
	}
	if reason := c.cannotStore(); reason != "" {
		c.reject(e, reason)
		return
	}
	j := &jobState{
		job: e.Job, chains: chainsOf(&e.Job), acceptedAt: c.now.Steady, accepted: c.now.Wall, waiting: []Token{e.Token},
		occurrences: map[int]*occurrence{}, closed: map[int]bool{},
	}
	c.jobs[e.Job.ID] = j
	c.gathering.jobs = append(c.gathering.jobs, j)
}

// cannotStore returns why no further job can be stored now, or an empty text.
func (c *Cell) cannotStore() string {
	switch {
	case !c.authority:
		return "holder_unconfirmed"
	case c.storeWait > storeSlow:
		return "store_silent"
	case len(c.jobs) >= maxJobs:
		return "cell_full"
	default:
		return ""
	}
}

func (c *Cell) reject(e Submitted, reason string) {
	c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: NotStored, RetryAfter: c.retryAfter(), Reason: reason}})
	c.do(Note{Event: NoteRejected, Job: e.Job.ID, Detail: map[string]any{
		"reason": reason, "store_waiting_ms": c.storeWait.Milliseconds(), "jobs": len(c.jobs),
	}})
}

// turnAway answers the callers of jobs that are not stored and not on their way
// to the store, so that they can come again. It returns an empty list.
func (c *Cell) turnAway(jobs []*jobState) []*jobState {
	for _, j := range jobs {
		for _, token := range j.waiting {
			c.reject(Submitted{Token: token, Job: j.job}, "store_silent")
		}
		for _, token := range j.cancelWaiting {
			c.do(Reply{Token: token, Reply: JobReply{Verdict: NoSuchJob}})
		}
		delete(c.gathering.dirty, j)
		c.gathering.cancels = slices.DeleteFunc(c.gathering.cancels, func(other *jobState) bool { return other == j })
		delete(c.jobs, j.job.ID)
	}
	return nil
}

// jobStored opens a job whose record is durable.
func (c *Cell) jobStored(j *jobState) {
	j.stored = true
	for _, token := range j.waiting {
		c.do(Reply{Token: token, Reply: JobReply{Verdict: Accepted, State: j.state()}})
	}
	c.do(Note{Event: NoteAccepted, Job: j.job.ID, Detail: map[string]any{
		"queue": j.job.Queue, "steps": len(j.job.Steps), "to_store_us": (c.now.Steady - j.acceptedAt).Microseconds(),
	}})
	j.waiting = nil
	c.openDue(j)
	c.needsOrder = true
}

func (c *Cell) cancel(e CancelRequested) {
	j, known := c.jobs[e.ID]
	if !known {
		c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: NoSuchJob}})
		return
	}
	if !j.cancelled && j.state().Final() || j.cancelStored {
		c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.state()}})
		return
	}
	j.cancelWaiting = append(j.cancelWaiting, e.Token)
	if j.cancelled {
		return
	}
	j.cancelled = true
	c.markDirty(j)
	c.gathering.cancels = append(c.gathering.cancels, j)
	c.do(Note{Event: NoteCancelled, Job: j.job.ID, Detail: map[string]any{"runs": j.countRuns()}})
	c.endJob(j)
}

func (c *Cell) cancelRecorded(j *jobState) {
	j.cancelStored = true
	for _, token := range j.cancelWaiting {
		c.do(Reply{Token: token, Reply: JobReply{Verdict: Accepted, State: j.state()}})
	}
	j.cancelWaiting = nil
}

func (c *Cell) answerState(e StateRequested) {
	j, known := c.jobs[e.ID]
	if !known || !j.stored {
		c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: NoSuchJob}})
		return
	}
	c.do(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.state()}})
}

func (j *jobState) countRuns() int {
	runs := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				runs += len(t.runs)
			}
		}
	}
	return runs
}

// endJob stops what runs of a job that has its final state.
func (c *Cell) endJob(j *jobState) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, c.now.Steady
	c.do(Note{Event: NoteJobEnded, Job: j.job.ID, Detail: map[string]any{
		"state": j.state(), "after_ms": (c.now.Steady - j.acceptedAt).Milliseconds(),
	}})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.waiting = nil
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					c.stopRun(r, "job_"+string(j.state()))
				}
			}
		}
	}
}

// failJob ends a job of which a task has used up its attempts.
func (c *Cell) failJob(j *jobState) {
	if j.failed || j.cancelled {
		return
	}
	j.failed = true
	c.markDirty(j)
	c.endJob(j)
}

// forget drops a finished job that nobody may ask for any more.
func (c *Cell) forget(j *jobState) {
	if !j.ended || c.now.Steady-j.endedAt < c.settings.StatusRetention || j.countRuns() > 0 || !j.stored {
		return
	}
	if j.cancelled && !j.cancelStored {
		return
	}
	c.gathering.drops = append(c.gathering.drops, jobKey(j.job.ID), progressKey(j.job.ID))
	delete(c.jobs, j.job.ID)
}

// lookup returns the task that a reference names, opening nothing.
func (c *Cell) lookup(ref job.TaskRef) *task {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.steps) || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return o.steps[ref.Step].tasks[ref.Index]
}

func (c *Cell) setQueues(queues []QueueSettings) {
	for name, q := range c.queues {
		c.retired[name] = q
	}
	c.queues = make(map[job.Queue]QueueSettings, len(queues))
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	c.needsOrder = true
	c.do(Note{Event: NoteQueuesChanged, Detail: map[string]any{"queues": len(queues)}})
}

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
	// criticalPathTimes is the estimated time of the longest chain of steps that
	// begins with each step.
	criticalPathTimes []time.Duration
	acceptedAt        time.Duration // monotonic clock of this holder
	acceptedWall      time.Time     // time of day, for the record
	stored            bool
	restored          bool // an earlier holder may have started its tasks
	submitTokens      []Token
	cancelled         bool
	// finalStored means that the record of the final state is durable;
	// cancelTokens are the cancel requests that are answered then.
	finalStored  bool
	cancelTokens []Token
	failed       bool
	ended        bool
	endedAt      time.Duration
	crashBatch   uint64 // batch with the newest crash under one of its tasks; 0 once it is durable
	started      bool
	occurrences  map[int]*occurrence
	completed    map[int]bool // occurrences that are complete
	nextDue      int          // first occurrence that has not been opened yet
	work         float64      // of one occurrence, in core-seconds
	worth        jobWorth     // only with TriageByCost
	// firstAt is the first submission of a job that was rejected and came again when
	// its caller was told to; 0 for any other.
	firstAt time.Duration
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job    *jobState
	number int
	// dueAt is the time at which the job was accepted or, of a scheduled job, at
	// which the occurrence was due.
	dueAt        time.Duration
	steps        []*stepState
	pendingSteps int // steps that are not done yet
	// doneWork is the work of the tasks that are done, in core-seconds.
	doneWork  float64
	countedIn uint64 // measurement of the backlogs that has counted it
}

// stepState is one step of an occurrence.
type stepState struct {
	occurrence *occurrence
	index      int
	spec       *job.Step
	image      imageID
	advice     advice       // only for a queue with an advisor
	load       loadEstimate // load of its tasks, if they have a target
	tasks      []*task
	waiting    []int // indexes of the tasks that may start and have no run
	done       int
	opened     bool
	// openedAt is the time from which the tasks of the step could start.
	openedAt time.Duration
	inReady  bool  // the step is in Cell.ready
	order    order // of the last scheduling pass
	// nextWaitReport is the length of the wait that began at waitReportSince at
	// which it is logged.
	nextWaitReport  time.Duration
	waitReportSince time.Duration
	nextPreemption  time.Duration // no search for a task to preempt for it before
	starvingAt      time.Duration // of its last turn as a starving step
	nextMigration   time.Duration // no search for a place of a task to be moved before
	fit             sizeFit
	rackFullIn      uint64 // last scheduling pass in which the rack of its data had no room
}

// task is one task of a step.
type task struct {
	step       *stepState
	index      int
	done       bool
	runs       []*run
	attempt    int   // highest attempt used or observed
	failed     []int // attempts that ended as failed; several workers may list them in any order
	checkpoint string
	notBefore  time.Duration // the next run starts no earlier
	// lateStartUntil is the time until which an earlier start may be carried out by an
	// incarnation of its worker that the holder does not know; 0 if none may.
	lateStartUntil time.Duration
	avoid          []fleet.BackendServerID // servers where it failed or stalled
	requeuedAt     time.Duration           // time of the last end that requires another run
	lastRunAt      time.Duration           // end of the last run, or its last sign of life if that is not known
	moves          int                     // moves off servers where it interfered
	// disruptedAt is the time of the last stop of the task by preemption or
	// consolidation.
	disruptedAt time.Duration
	preempted   bool // it has not run since the last preemption
	suspicion   suspicion
	// awaitsRack means that it waits for the rack of its data since the last pass, and
	// hasAwaitedRack that it has done so before.
	awaitsRack, hasAwaitedRack bool
	copies                     int          // second runs started
	reservation                *reservation // its next place while it is moved off an evacuated data centre; nil if none
	rackPlanning               uint64       // plan in which it has claimed room
}

func (t *task) ref() job.TaskRef {
	return job.TaskRef{Job: t.step.occurrence.job.job.ID, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

// startsFrom returns the time from which the task may start.
func (t *task) startsFrom() time.Duration { return max(t.notBefore, t.lateStartUntil) }

func (j *jobState) state() job.State {
	switch {
	case j.cancelled:
		return job.Cancelled
	case j.failed:
		return job.Failed
	case len(j.completed) == max(1, j.job.Repeats):
		return job.Complete
	case j.started:
		return job.Running
	default:
		return job.Queued
	}
}

// visibleState returns the state that callers see. A final state whose record is
// not durable is unknown to a later holder, which may run the tasks again.
func (j *jobState) visibleState() job.State {
	switch state := j.state(); {
	case !state.Final() || j.finalStored:
		return state
	case j.started:
		return job.Running
	default:
		return job.Queued
	}
}

// maxJobs bounds the jobs in memory, which has no room for more.
const maxJobs = 50000

// maxStoreWait is how long an append may stay unanswered before further jobs
// are rejected. A caller that waits for the store needs the rejection early
// enough to retry within its own deadline.
const maxStoreWait = 500 * time.Millisecond

// shortRetry and longRetry are the retry times given to callers while the store
// does not answer. An outage that has lasted for a second usually lasts for
// several, and callers retry only a few times.
const (
	shortRetry = time.Second
	longRetry  = 3 * time.Second
)

func (c *Cell) retryAfter() time.Duration {
	if c.storeWait > shortRetry {
		return longRetry
	}
	return shortRetry
}

func (c *Cell) submit(e Submitted) {
	if j, known := c.jobs[e.Job.ID]; known {
		if j.stored {
			c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.visibleState()}})
			return
		}
		j.submitTokens = append(j.submitTokens, e.Token)
		return
	}
	if _, ok := c.queues[e.Job.Queue]; !ok {
		c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: NoSuchQueue}})
		return
	}
	j := &jobState{
		job: e.Job, criticalPathTimes: criticalPathTimesOf(&e.Job), work: workOf(&e.Job), acceptedAt: c.now.Steady, acceptedWall: c.now.Wall, submitTokens: []Token{e.Token},
		occurrences: map[int]*occurrence{}, completed: map[int]bool{},
	}
	if reason := c.rejectionReason(j); reason != "" {
		c.reject(e, reason)
		return
	}
	if c.settings.TriageByCost {
		c.accepting(j)
	}
	c.jobs[e.Job.ID] = j
	c.nextBatch.jobs = append(c.nextBatch.jobs, j)
}

// rejectionReason returns the reason why a job is not accepted now, or an empty
// string.
func (c *Cell) rejectionReason(j *jobState) string {
	switch {
	case !c.authority:
		return "holder_unconfirmed"
	case c.storeWait > maxStoreWait:
		return "store_silent"
	case len(c.jobs) >= maxJobs:
		return "cell_full"
	case c.settings.TriageByCost && !c.admits(j):
		return overloadReason
	default:
		return ""
	}
}

func (c *Cell) reject(e Submitted, reason string) {
	after := c.retryAfter()
	detail := map[string]any{"reason": reason, "store_waiting_ms": c.storeWait.Milliseconds(), "jobs": len(c.jobs)}
	if c.settings.TriageByCost {
		after = c.retryTime(&e.Job, reason)
		c.addRejectionCost(detail, &e.Job, reason, after)
	}
	c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: NotStored, RetryAfter: after, Reason: reason}})
	c.emit(Note{Event: NoteRejected, Job: e.Job.ID, Detail: detail})
}

// rejectUnstored rejects jobs that are neither stored nor in flight to the
// store, so that their callers can retry. It returns an empty list.
func (c *Cell) rejectUnstored(jobs []*jobState) []*jobState {
	for _, j := range jobs {
		for _, token := range j.submitTokens {
			c.reject(Submitted{Token: token, Job: j.job}, "store_silent")
		}
		for _, token := range j.cancelTokens {
			c.emit(Reply{Token: token, Reply: JobReply{Verdict: NoSuchJob}})
		}
		delete(c.nextBatch.dirty, j)
		delete(c.jobs, j.job.ID)
	}
	return nil
}

// jobStored opens a job whose record has become durable.
func (c *Cell) jobStored(j *jobState) {
	j.stored = true
	for _, token := range j.submitTokens {
		c.emit(Reply{Token: token, Reply: JobReply{Verdict: Accepted, State: j.visibleState()}})
	}
	tasks, coreTime := sizeOf(&j.job)
	c.emit(Note{Event: NoteAccepted, Job: j.job.ID, Detail: map[string]any{
		"queue": j.job.Queue, "steps": len(j.job.Steps), "to_store_us": (c.now.Steady - j.acceptedAt).Microseconds(),
		"tasks": tasks, "core_ms": coreTime.Milliseconds(), "objective_ms": c.objective(j).Milliseconds(),
	}})
	j.submitTokens = nil
	c.openDueOccurrences(j)
	c.needsScheduling = true
}

// sizeOf returns the number of tasks of a job, and the processor time of those
// that end by themselves as the caller estimates it.
func sizeOf(j *job.Job) (tasks int, coreTime time.Duration) {
	for _, s := range j.Steps {
		tasks += s.Count
		if !s.LongRunning {
			coreTime += time.Duration(float64(s.Count) * float64(s.Need.MilliCPU) / milliCPUPerCore * float64(s.Estimate))
		}
	}
	return tasks, coreTime
}

func (c *Cell) cancel(e CancelRequested) {
	j, known := c.jobs[e.ID]
	if !known {
		c.nextBatch.unknownJobs = append(c.nextBatch.unknownJobs, e.Token)
		return
	}
	if j.finalStored {
		c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.visibleState()}})
		return
	}
	j.cancelTokens = append(j.cancelTokens, e.Token)
	if j.ended {
		return
	}
	j.cancelled = true
	c.markDirty(j)
	c.emit(Note{Event: NoteCancelled, Job: j.job.ID, Detail: map[string]any{"runs": j.countRuns()}})
	c.endJob(j)
}

func (c *Cell) finalStateRecorded(j *jobState) {
	j.finalStored = true
	for _, token := range j.cancelTokens {
		c.emit(Reply{Token: token, Reply: JobReply{Verdict: Accepted, State: j.visibleState()}})
	}
	j.cancelTokens = nil
}

// answerState answers with the state of a job. That a job does not exist is said at once
// while the holder has authority, as a later holder may have accepted it only since the
// last confirmation; otherwise it waits for one.
func (c *Cell) answerState(e StateRequested) {
	j, known := c.jobs[e.ID]
	switch {
	case known && j.stored:
		c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: Accepted, State: j.visibleState()}})
	case c.authority:
		c.emit(Reply{Token: e.Token, Reply: JobReply{Verdict: NoSuchJob}})
	default:
		c.nextBatch.unknownJobs = append(c.nextBatch.unknownJobs, e.Token)
	}
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

// endJob stops the runs of a job that has reached its final state.
func (c *Cell) endJob(j *jobState) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, c.now.Steady
	c.emit(Note{Event: NoteJobEnded, Job: j.job.ID, Detail: map[string]any{
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

// failJob ends a job after one of its tasks has used up its attempts.
func (c *Cell) failJob(j *jobState) {
	if j.failed || j.cancelled {
		return
	}
	j.failed = true
	c.markDirty(j)
	c.endJob(j)
}

// removeFinished removes a finished job once its state can no longer be
// queried.
func (c *Cell) removeFinished(j *jobState) {
	if !j.finalStored || c.now.Steady-j.endedAt < c.settings.StatusRetention || j.countRuns() > 0 || !j.stored {
		return
	}
	c.nextBatch.deleteJob(j)
	delete(c.jobs, j.job.ID)
}

// lookup returns the task that a reference identifies, or nil. It opens no
// occurrence.
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
		c.retiredQueues[name] = q
	}
	c.setRegions(queues)
	c.setCold(queues)
	c.queues = make(map[job.Queue]QueueSettings, len(queues))
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	c.needsScheduling = true
	c.emit(Note{Event: NoteQueuesChanged, Detail: map[string]any{"queues": len(queues)}})
}

package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Key identifies a record of the cell. A newer record replaces an older one
// with the same key.
type Key string

// MaxKeyBytes is the length of the longest key that a store must accept.
const MaxKeyBytes = 255

const (
	jobPrefix       = "job/"
	progressPrefix  = "progress/"
	serverPrefix    = "server/"
	interferenceKey = Key("learnt")
)

func jobKey(id fleet.JobID) Key              { return Key(jobPrefix + string(id)) }
func progressKey(id fleet.JobID) Key         { return Key(progressPrefix + string(id)) }
func serverKey(id fleet.BackendServerID) Key { return Key(serverPrefix + string(id)) }

// Record is one record of the cell. At most one field other than Key is set; if
// none is, the record deletes the key.
type Record struct {
	Key          Key                 `json:"-"`
	Job          *JobRecord          `json:"job,omitempty"`
	Progress     *ProgressRecord     `json:"progress,omitempty"`
	Server       *Server             `json:"server,omitempty"`
	Interference *InterferenceRecord `json:"learnt,omitempty"`
	Leases       *LeaseRecord        `json:"leases,omitempty"`
	Evacuations  *EvacuationRecord   `json:"evacuations,omitempty"`
	Starts       *StartRecord        `json:"starts,omitempty"`
}

// Deletes reports whether the record deletes its key.
func (r Record) Deletes() bool {
	return r.Job == nil && r.Progress == nil && r.Server == nil && r.Interference == nil && r.Leases == nil && r.Evacuations == nil && r.Starts == nil
}

// JobRecord is an accepted job.
type JobRecord struct {
	Job      job.Job   `json:"job"`
	Accepted time.Time `json:"accepted"`
}

// ProgressRecord is the progress of a job. It includes every end that has been
// acknowledged to a worker.
type ProgressRecord struct {
	Cancelled   bool                 `json:"cancelled,omitempty"`
	Failed      bool                 `json:"failed,omitempty"`
	Started     bool                 `json:"started,omitempty"`
	Completed   []int                `json:"closed,omitempty"` // occurrences that are complete
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is the progress of an open occurrence.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Tasks  []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the recorded progress of a task.
type TaskProgress struct {
	Step       int    `json:"s"`
	Index      int    `json:"i"`
	Done       bool   `json:"d,omitempty"`
	Failed     []int  `json:"f,omitempty"` // attempts that ended failed
	Checkpoint string `json:"k,omitempty"`
	// Crashes are the crashes of servers that had just started the task, and
	// CountedCrashes those of them that nothing else explains.
	Crashes        int `json:"c,omitempty"`
	CountedCrashes int `json:"cc,omitempty"`
}

// batch is the content of one append and the state to update once it is durable.
type batch struct {
	number       uint64
	jobs         []*jobState
	dirty        map[*jobState]bool
	ended        []*jobState // jobs whose final state is in the records
	servers      []*worker
	deletions    []Key
	cursors      map[*worker]endCursor
	interference bool
	leases       bool
	evacuations  bool
	starts       bool
	unbound      []*worker                 // workers that the lease record of the batch does not name any more
	bound        []*worker                 // workers that it names
	late         map[*worker]time.Duration // their lateLeaseUntil
	lastLeases   bool                      // its lease record was taken after the holder had stepped down
	// unknownJobs are the requests for jobs that do not exist, which a later holder
	// may know: the append of the batch shows that there was none.
	unknownJobs []Token
}

// endCursor is the number of the highest end applied from one incarnation of a
// worker.
type endCursor struct {
	incarnation    int64
	lastEndApplied int64
}

func newBatch(number uint64) *batch {
	return &batch{number: number, dirty: map[*jobState]bool{}, cursors: map[*worker]endCursor{}, late: map[*worker]time.Duration{}}
}

// addCursor adds the number of the highest end applied from a worker.
func (b *batch) addCursor(w *worker) {
	b.cursors[w] = endCursor{incarnation: w.incarnation, lastEndApplied: w.lastEndApplied}
}

func (b *batch) empty() bool {
	return len(b.jobs) == 0 && len(b.dirty) == 0 && len(b.servers) == 0 &&
		len(b.deletions) == 0 && len(b.cursors) == 0 && !b.interference && !b.leases && !b.evacuations && !b.starts && len(b.unknownJobs) == 0
}

func (c *Cell) markDirty(j *jobState) { c.nextBatch.dirty[j] = true }

// Batch is a set of records that are appended together. Confirms means that the append is
// also needed without records: it shows that no other instance has taken the cell over.
type Batch struct {
	Number   uint64
	Records  []Record
	Confirms bool
}

// TakeBatch returns the records to append, or ok false if there are none or a
// batch is still in flight. Committed or BatchRefused reports the outcome.
func (c *Cell) TakeBatch() (b Batch, ok bool) {
	if c.inFlight != nil || c.nextBatch.empty() {
		return Batch{}, false
	}
	taken := c.nextBatch
	c.batchNumber++
	c.inFlight, c.nextBatch = taken, newBatch(c.batchNumber)
	b.Number, b.Confirms = taken.number, len(taken.unknownJobs) > 0
	for _, j := range taken.jobs {
		b.Records = append(b.Records, Record{Key: jobKey(j.job.ID), Job: &JobRecord{Job: j.job, Accepted: j.acceptedWall}})
	}
	dirty := make([]*jobState, 0, len(taken.dirty))
	for j := range taken.dirty {
		dirty = append(dirty, j)
	}
	slices.SortFunc(dirty, func(a, b *jobState) int { return cmp.Compare(a.job.ID, b.job.ID) })
	for _, j := range dirty {
		progress := j.progress()
		b.Records = append(b.Records, Record{Key: progressKey(j.job.ID), Progress: &progress})
		if j.ended {
			taken.ended = append(taken.ended, j)
		}
	}
	for _, w := range taken.servers {
		server := w.server
		server.Incarnation = max(server.Incarnation, w.incarnation)
		b.Records = append(b.Records, Record{Key: serverKey(server.ID), Server: &server})
	}
	if taken.interference {
		b.Records = append(b.Records, Record{Key: interferenceKey, Interference: c.interference.record()})
		c.interference.markRecorded()
	}
	if taken.leases {
		b.Records = append(b.Records, Record{Key: leasesKey, Leases: c.leaseRecord(taken)})
	}
	if taken.evacuations {
		b.Records = append(b.Records, Record{Key: evacuationsKey, Evacuations: c.evacuationRecord()})
	}
	if taken.starts {
		b.Records = append(b.Records, Record{Key: startsKey, Starts: c.startRecord()})
	}
	for _, key := range taken.deletions {
		b.Records = append(b.Records, Record{Key: key})
	}
	return b, true
}

// committed applies the effects of a batch that has become durable.
func (c *Cell) committed(number uint64) {
	b := c.inFlight
	if b == nil || b.number != number {
		return
	}
	c.inFlight = nil
	for _, j := range b.jobs {
		c.jobStored(j)
	}
	for _, j := range b.ended {
		c.finalStateRecorded(j)
	}
	for _, token := range b.unknownJobs {
		c.emit(Reply{Token: token, Reply: JobReply{Verdict: NoSuchJob}})
	}
	for j := range b.dirty {
		if j.crashBatch == b.number {
			j.crashBatch = 0
		}
	}
	for _, w := range b.servers {
		w.stored = true
	}
	c.leasesRecorded(b)
	for _, w := range c.sortedWorkers {
		cursor, ok := b.cursors[w]
		if !ok || w.incarnation != cursor.incarnation || cursor.lastEndApplied <= w.lastEndRecorded {
			continue
		}
		w.lastEndRecorded = cursor.lastEndApplied
		if w.lastEndApplied == w.lastEndRecorded && !w.unreachable {
			w.nextHoldAt = c.now.Steady
			c.holdIfDue(w)
		}
	}
	c.needsScheduling = true
}

// batchRefused handles a batch that was certainly not stored. It rejects the jobs
// of the batch and adds the rest to the next batch.
func (c *Cell) batchRefused(number uint64) {
	b := c.inFlight
	if b == nil || b.number != number {
		return
	}
	c.inFlight = nil
	next := c.nextBatch
	next.servers = append(b.servers, next.servers...)
	next.deletions = append(b.deletions, next.deletions...)
	next.interference, next.leases = next.interference || b.interference, next.leases || b.leases
	next.evacuations, next.starts = next.evacuations || b.evacuations, next.starts || b.starts
	next.unknownJobs = append(b.unknownJobs, next.unknownJobs...)
	for j := range b.dirty {
		next.dirty[j] = true
		if j.crashBatch == b.number {
			j.crashBatch = next.number
		}
	}
	for w, cursor := range b.cursors {
		if _, newer := next.cursors[w]; !newer {
			next.cursors[w] = cursor
		}
	}
	c.rejectUnstored(b.jobs)
}

// progress returns the record of the progress of a job.
func (j *jobState) progress() ProgressRecord {
	p := ProgressRecord{Cancelled: j.cancelled, Failed: j.failed, Started: j.started}
	for number := range j.completed {
		p.Completed = append(p.Completed, number)
	}
	slices.Sort(p.Completed)
	if j.ended {
		return p
	}
	for _, o := range j.occurrences {
		op := OccurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || len(t.failed) > 0 || t.checkpoint != "" || t.suspicion.total() > 0 {
					op.Tasks = append(op.Tasks, TaskProgress{
						Step: s.index, Index: t.index, Done: t.done, Failed: t.failed, Checkpoint: t.checkpoint,
						Crashes: t.suspicion.total(), CountedCrashes: t.suspicion.counted(),
					})
				}
			}
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	slices.SortFunc(p.Occurrences, func(a, b OccurrenceProgress) int { return a.Number - b.Number })
	return p
}

// Restore initializes an empty cell from the records of earlier holders.
// Workers in these records count as in use until they are fenced or their
// leases have certainly expired. Each record must have passed Record.Check.
func (c *Cell) Restore(now Moment, records []Record) {
	c.now = now
	c.restoredAt = now.Steady
	othersWait, longestBound := c.longestWait(), c.settings.AuthorityBound+c.latestLeaseEnd(clockMargin)
	waits := map[fleet.BackendServerID]time.Duration{}
	for _, r := range records {
		if r.Leases != nil && r.Leases.Round == c.round-1 {
			others := WorkerLease{LeftMs: r.Leases.OthersLeftMs}
			othersWait = max(othersWait, min(others.wait(c.settings), longestBound))
			for _, lease := range r.Leases.Workers {
				waits[lease.Server] = lease.wait(c.settings)
			}
		}
	}
	progress := map[fleet.JobID]*ProgressRecord{}
	for _, r := range records {
		switch {
		case r.Job != nil:
			c.restoreJob(r.Job)
		case r.Progress != nil:
			progress[fleet.JobID(r.Key[len(progressPrefix):])] = r.Progress
		case r.Evacuations != nil:
			c.restoreEvacuations(r.Evacuations)
		case r.Interference != nil:
			c.interference.restore(r.Interference)
		case r.Server != nil:
			w := c.addWorker(*r.Server)
			w.stored, w.recordQueued, w.earlierHolderUntil = true, true, now.Steady+othersWait
			w.recordedIncarnation = r.Server.Incarnation
			if wait, known := waits[r.Server.ID]; known {
				w.earlierHolderUntil = 0
				if wait > 0 {
					w.earlierHolderUntil = now.Steady + min(wait, longestBound)
				}
			}
			w.lateLeaseUntil = w.earlierHolderUntil
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if p := progress[id]; p != nil {
			c.restoreProgress(c.jobs[id], p)
		}
		c.reopen(c.jobs[id])
	}
	for _, r := range records {
		if r.Starts != nil {
			c.restoreStarts(r.Starts)
		}
	}
	c.blocked = len(c.sortedWorkers) > 0 || len(c.jobs) > 0
	c.emit(Note{Event: NoteRestored, Detail: map[string]any{"jobs": len(c.jobs), "workers": len(c.sortedWorkers), "round": c.round}})
}

func (c *Cell) restoreJob(r *JobRecord) {
	age := max(0, c.now.Wall.Sub(r.Accepted))
	c.jobs[r.Job.ID] = &jobState{
		job: r.Job, criticalPathTimes: criticalPathTimesOf(&r.Job), work: workOf(&r.Job), acceptedWall: r.Accepted, acceptedAt: c.now.Steady - age, stored: true, restored: true,
		occurrences: map[int]*occurrence{}, completed: map[int]bool{},
	}
}

func (c *Cell) restoreProgress(j *jobState, p *ProgressRecord) {
	j.cancelled, j.failed, j.started = p.Cancelled, p.Failed, p.Started
	occurrences := max(1, j.job.Repeats)
	for _, number := range p.Completed {
		if number < occurrences {
			j.completed[number] = true
		}
	}
	if j.state().Final() {
		j.ended, j.endedAt, j.finalStored = true, c.now.Steady, true
		return
	}
	for _, op := range p.Occurrences {
		if op.Number >= occurrences || j.occurrences[op.Number] != nil {
			continue
		}
		o := c.newOccurrence(j, op.Number)
		for _, tp := range op.Tasks {
			if tp.Step >= len(o.steps) || tp.Index >= len(o.steps[tp.Step].tasks) {
				continue
			}
			t := o.steps[tp.Step].tasks[tp.Index]
			t.failed, t.checkpoint = tp.Failed, tp.Checkpoint
			t.suspicion = suspicion{earlierCrashes: tp.Crashes, earlierCounted: tp.CountedCrashes}
			for _, attempt := range tp.Failed {
				t.attempt = max(t.attempt, attempt)
			}
			if tp.Done && !t.done {
				t.done = true
				t.step.done++
				o.doneWork += taskWork(t.step.spec)
			}
		}
		for _, s := range o.steps {
			if s.isDone() {
				s.opened = true
				o.pendingSteps--
			}
		}
	}
}

// reopen opens the steps of a restored job that are due.
func (c *Cell) reopen(j *jobState) {
	if j.ended {
		return
	}
	for _, o := range j.occurrences {
		c.openSteps(o)
	}
	c.openDueOccurrences(j)
}

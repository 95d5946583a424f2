package cell

import (
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

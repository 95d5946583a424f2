package task

import (
	"lacewingfork.example/lacewingfork/fleet"
)

// maxEndedJobs bounds the ended jobs that are retained: one day at 25,000 jobs a
// day. A resubmission is recognised as a duplicate for as long.
const maxEndedJobs = 25_000

// Fold is the state of all jobs of a region, derived by applying the records in
// order. It is deterministic: equal records give equal states on every instance.
type Fold struct {
	position Position
	jobs     map[fleet.JobID]*job
	// ended lists the jobs that have ended and have no running task, oldest
	// first.
	ended      []fleet.JobID
	accepted   uint64 // number of jobs ever accepted
	teams      map[fleet.Team]*team
	partitions nameTable[fleet.PartitionID]
	servers    nameTable[fleet.BackendServerID]
	epochs     []fleet.Epoch // by partition number
	health     []health      // by server number
	maxEnded   int
}

type team struct {
	open int // jobs that are not ended
	// slots is the number of slots that running tasks hold.
	slots int
}

type job struct {
	spec     Job
	sequence uint64 // order of acceptance
	state    JobState
	reason   string
	tasks    []task // nil once the job has ended and nothing runs
	running  int
	done     int
	// failed and evictions count attempts.
	failed    int
	evictions int
	// failedOn lists the servers on which tasks failed while no task of the
	// job had succeeded.
	failedOn []uint32
}

// task is the state of one task. It is kept small because a region has several
// hundred thousand tasks.
type task struct {
	epoch     fleet.Epoch
	retry     *retryState // nil for a task that never failed and was never evicted
	partition uint32
	server    uint32
	attempt   uint32
	state     taskState
}

// retryState is what the next attempt of a task depends on.
type retryState struct {
	checkpoint string
	failedOn   []uint32
	failures   int
}

// taskState is the state of a task. Snapshots store the values; they must not
// change.
type taskState uint8

const (
	waiting taskState = iota
	running
	succeeded
)

// JobState is the state of a job. Snapshots store the values; they must not change.
type JobState uint8

const (
	// Open means that the job's tasks may still start.
	Open JobState = iota
	// Finished means that every task succeeded.
	Finished
	// CancelledState means that the job was cancelled. Its tasks may still be
	// stopping.
	CancelledState
	// SetAsideState means that no further task of the job starts. The job's
	// reason says why.
	SetAsideState
)

// String returns the state's name in API responses.
func (s JobState) String() string {
	return [...]string{"open", "finished", "cancelled", "set-aside"}[s]
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{
		position: Position{Offset: -1},
		jobs:     map[fleet.JobID]*job{},
		teams:    map[fleet.Team]*team{},
		maxEnded: maxEndedJobs,
	}
}

// Position returns the position of the newest record applied.
func (f *Fold) Position() Position { return f.position }

// Apply applies the record at a position. A record at a position that was already
// applied has no effect.
func (f *Fold) Apply(at Position, r Record) Verdict {
	if !at.After(f.position) {
		return AlreadyApplied
	}
	f.position = at
	switch r.Kind {
	case JobSubmitted:
		return f.submit(r.Job)
	case Held:
		return f.held(r)
	case Started:
		return f.start(r)
	case Ended, Evicted:
		return f.end(r)
	case Cancelled:
		return f.close(f.jobs[r.Task.Job], CancelledState, r.Reason)
	case SetAside:
		return f.close(f.jobs[r.Task.Job], SetAsideState, r.Reason)
	default:
		return NotApplicable
	}
}

func (f *Fold) submit(spec *Job) Verdict {
	if spec == nil || spec.Tasks < 1 || spec.Tasks > MaxTasks {
		return NotApplicable
	}
	if known := f.jobs[spec.ID]; known != nil {
		if SameSubmission(known.spec, *spec) {
			return Duplicate
		}
		return Conflict
	}
	t := f.team(spec.Team)
	if t.open >= spec.TeamLimit {
		return TeamLimit
	}
	t.open++
	f.accepted++
	f.jobs[spec.ID] = &job{spec: *spec, sequence: f.accepted, tasks: make([]task, spec.Tasks)}
	return Accepted
}

// SameSubmission reports whether b repeats a. It ignores the team's limit, which
// may change between a submission and its retry.
func SameSubmission(a, b Job) bool {
	a.TeamLimit, b.TeamLimit = 0, 0
	return a == b
}

func (f *Fold) team(name fleet.Team) *team {
	t := f.teams[name]
	if t == nil {
		t = &team{}
		f.teams[name] = t
	}
	return t
}

func (f *Fold) held(r Record) Verdict {
	p := f.partition(r.Partition)
	if r.Epoch <= f.epochs[p] {
		return OldEpoch
	}
	f.epochs[p] = r.Epoch
	return Accepted
}

func (f *Fold) start(r Record) Verdict {
	j, t := f.find(r.Task)
	if t == nil {
		return NoSuchTask
	}
	p := f.partition(r.Partition)
	switch {
	case r.Epoch < f.epochs[p]:
		return OldEpoch
	case j.state != Open:
		return JobClosed
	case t.state != waiting:
		return NotWaiting
	case r.Attempt != int(t.attempt)+1:
		return WrongAttempt
	case r.Checkpoint != t.checkpoint():
		return OldCheckpoint
	}
	f.epochs[p] = r.Epoch
	t.state, t.attempt = running, t.attempt+1
	t.partition, t.epoch, t.server = p, r.Epoch, f.server(r.Server)
	j.running++
	f.team(j.spec.Team).slots += slotsOf(j.spec)
	return Accepted
}

// end applies the end of an attempt. The record's epoch is that of the holder that
// observed the end; after a takeover it differs from the epoch of the start.
func (f *Fold) end(r Record) Verdict {
	j, t := f.find(r.Task)
	if t == nil {
		return NoSuchTask
	}
	p := f.partition(r.Partition)
	switch {
	case t.state != running || r.Attempt != int(t.attempt):
		return WrongAttempt
	case p != t.partition:
		return WrongHolder
	case r.Epoch < f.epochs[p]:
		return OldEpoch
	}
	f.epochs[p] = r.Epoch
	t.state = waiting
	j.running--
	f.team(j.spec.Team).slots -= slotsOf(j.spec)
	if r.Kind == Evicted {
		t.ensureRetryState().checkpoint = r.Checkpoint
		j.evictions++
	} else {
		f.applyEnd(j, t, r)
	}
	f.retireIfEnded(j)
	return Accepted
}

func (f *Fold) applyEnd(j *job, t *task, r Record) {
	switch r.End {
	case Succeeded:
		t.state, t.retry = succeeded, nil
		j.done++
		j.failedOn = nil
		f.health[t.server].recordSuccess()
	case Failed:
		f.applyFailure(j, t, r)
	case Lost:
		t.ensureRetryState().failures++
		f.checkFailures(j, t, r)
	}
}

func (f *Fold) close(j *job, state JobState, reason string) Verdict {
	if j == nil {
		return NoSuchTask
	}
	// A job that was set aside can still be cancelled, which stops its running
	// tasks.
	if j.state == Finished || j.state == CancelledState || j.state == state {
		return Duplicate
	}
	if j.tasks == nil {
		return JobClosed
	}
	if j.state == Open {
		f.team(j.spec.Team).open--
	}
	j.state, j.reason = state, reason
	f.retireIfEnded(j)
	return Accepted
}

// retireIfEnded drops the tasks of a job that has ended and has no running task.
// It deletes the oldest ended jobs beyond maxEnded.
func (f *Fold) retireIfEnded(j *job) {
	if j.state == Open && j.done == len(j.tasks) {
		j.state = Finished
		f.team(j.spec.Team).open--
	}
	if j.state == Open || j.running > 0 || j.tasks == nil {
		return
	}
	j.tasks, j.failedOn = nil, nil
	f.ended = append(f.ended, j.spec.ID)
	for len(f.ended) > f.maxEnded {
		delete(f.jobs, f.ended[0])
		f.ended = f.ended[1:]
	}
}

func (f *Fold) find(r Ref) (*job, *task) {
	j := f.jobs[r.Job]
	if j == nil || r.Index < 0 || r.Index >= len(j.tasks) {
		return j, nil
	}
	return j, &j.tasks[r.Index]
}

func (f *Fold) partition(name fleet.PartitionID) uint32 {
	n := f.partitions.number(name)
	if int(n) == len(f.epochs) {
		f.epochs = append(f.epochs, 0)
	}
	return n
}

func (f *Fold) server(name fleet.BackendServerID) uint32 {
	n := f.servers.number(name)
	if int(n) == len(f.health) {
		f.health = append(f.health, health{})
	}
	return n
}

func (t *task) checkpoint() string {
	if t.retry == nil {
		return ""
	}
	return t.retry.checkpoint
}

func (t *task) ensureRetryState() *retryState {
	if t.retry == nil {
		t.retry = &retryState{}
	}
	return t.retry
}

// slotsOf returns the slots that a task counts for in its team's share, at least
// one.
func slotsOf(j Job) int { return max(1, j.Resources.Slots) }

// nameTable assigns numbers to names, so that a task stores four bytes instead
// of a string.
type nameTable[T ~string] struct {
	numbers map[T]uint32
	names   []T
}

func (n *nameTable[T]) number(name T) uint32 {
	number, ok := n.numbers[name]
	if !ok {
		if n.numbers == nil {
			n.numbers = map[T]uint32{}
		}
		number = uint32(len(n.names))
		n.numbers[name] = number
		n.names = append(n.names, name)
	}
	return number
}

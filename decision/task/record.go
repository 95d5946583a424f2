// Package task schedules batch jobs and their tasks. It is pure: the Fold derives
// the state of every job from the records of the stream tasks.<region>, and the
// Ledger plans the actions of one entry instance for the partitions that it
// holds. The ledger duty of entry/batch starts and owns the Ledger, and rebuilds
// it from the log when the duty fails.
//
// Invariants:
//   - Of the starts of one attempt exactly one is accepted.
//   - The next attempt is proposed only after the end of the previous one is
//     recorded. That end is recorded only once the worker confirmed it or the
//     worker's lease has expired.
//   - A cancelled job accepts no start.
//   - An accepted job ends as finished, cancelled or set aside.
package task

import (
	"strconv"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Ref identifies a task by its job and its index, from 0.
type Ref struct {
	Job   fleet.JobID
	Index int
}

// ID returns the task's identifier in messages to workers and partition duties.
func (r Ref) ID() fleet.TaskID {
	return fleet.TaskID(string(r.Job) + "/" + strconv.Itoa(r.Index))
}

// ParseRef is the inverse of ID.
func ParseRef(id fleet.TaskID) (Ref, bool) {
	i := strings.LastIndexByte(string(id), '/')
	if i <= 0 {
		return Ref{}, false
	}
	index, err := strconv.Atoi(string(id[i+1:]))
	if err != nil || index < 0 || index >= MaxTasks {
		return Ref{}, false
	}
	return Ref{Job: fleet.JobID(id[:i]), Index: index}, true
}

// MaxTasks bounds the tasks of one job, so that one submission can neither fill
// the state nor delay the Ledger by more than about a millisecond.
const MaxTasks = 10_000

// Job is a job as submitted. It is immutable.
type Job struct {
	ID   fleet.JobID
	Team fleet.Team
	// Kind is the kind of work, for interference estimates.
	Kind string
	// Tasks is the number of tasks, from 1 to MaxTasks.
	Tasks     int
	Resources fleet.Resources
	// RunTime is the declared run time of one task.
	RunTime    time.Duration
	Parameters string
	// TeamLimit is the bound on the team's open jobs that was configured on the
	// submitting instance. It is part of the record because the fold must not
	// depend on the configuration, which is in another stream.
	TeamLimit int
}

// Kind is the type of a record.
type Kind uint8

const (
	// JobSubmitted adds Job.
	JobSubmitted Kind = iota + 1
	// Held records that Partition is held under Epoch. Later records of earlier
	// epochs are ignored.
	Held
	// Started begins Attempt of Task on Server from Checkpoint.
	Started
	// Ended ends Attempt of Task with End.
	Ended
	// Evicted ends Attempt of Task with Checkpoint.
	Evicted
	// Cancelled cancels job Task.Job.
	Cancelled
	// SetAside prevents further starts of job Task.Job, with Reason.
	SetAside
	// SnapshotPart contains a part of a snapshot in Part. It changes no state.
	SnapshotPart
)

// End is how an attempt ended.
type End uint8

const (
	// Succeeded ends the task.
	Succeeded End = iota + 1
	// Failed means that the worker reported a failure of the task.
	Failed
	// Stopped means that the worker confirmed a stop without a checkpoint.
	Stopped
	// Lost means that the attempt no longer runs and its result is unknown.
	Lost
	// NotStarted means that no start call was sent for the attempt, or that the
	// worker confirmed that it did not run.
	NotStarted
)

// Record is one record of the stream tasks.<region>.
type Record struct {
	Kind       Kind
	Job        *Job
	Task       Ref
	Attempt    int // from 1
	Partition  fleet.PartitionID
	Epoch      fleet.Epoch
	Server     fleet.BackendServerID
	Checkpoint string
	End        End
	Reason     string
	Part       *Part
}

// Part is one part of an encoded snapshot.
type Part struct {
	// Snapshot identifies the snapshot, because the parts of several writers
	// may interleave.
	Snapshot string
	Index    int
	Count    int
	Data     []byte
}

// Position is a position in the stream: an offset, and the index among the entries
// of the group commit at that offset.
type Position struct {
	Offset fleet.Offset
	Index  int
}

// After reports whether p comes later in the stream than other.
func (p Position) After(other Position) bool {
	if p.Offset != other.Offset {
		return p.Offset > other.Offset
	}
	return p.Index > other.Index
}

// Verdict is the result of applying a record.
type Verdict string

const (
	Accepted Verdict = "accepted"
	// Duplicate means that the record repeats a submission, or closes a job that is
	// finished or closed already.
	Duplicate Verdict = "duplicate"
	// Conflict rejects a submission whose identifier a different job has.
	Conflict     Verdict = "identifier-used-by-another-job"
	TeamLimit    Verdict = "team-limit-reached"
	OldEpoch     Verdict = "old-epoch"
	NoSuchTask   Verdict = "no-such-task"
	NotWaiting   Verdict = "not-waiting"
	WrongAttempt Verdict = "wrong-attempt"
	JobClosed    Verdict = "job-closed"
	// WrongHolder rejects an end from a partition other than the one that the
	// attempt runs on.
	WrongHolder Verdict = "another-partition"
	// OldCheckpoint rejects a start from a checkpoint other than the task's newest.
	OldCheckpoint Verdict = "old-checkpoint"
	// NotApplicable means that the record is malformed or changes no state, or
	// that the state is not rebuilt yet.
	NotApplicable  Verdict = "no-effect"
	AlreadyApplied Verdict = "position-already-applied"
)

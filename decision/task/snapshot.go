package task

import (
	"cmp"
	"slices"

	"lacewingfork.example/lacewingfork/fleet"
)

// Snapshot is the whole state of a Fold. It has names instead of the numbers of the
// Fold's name tables, so that equal states have equal snapshots.
type Snapshot struct {
	At       Position
	Accepted uint64
	Epochs   []PartitionEpoch // by partition
	Health   []ServerHealth   // by server; only servers with failures
	Jobs     []JobSnapshot    // in the order of acceptance
	Ended    []fleet.JobID    // oldest first
}

// PartitionEpoch is the newest recorded epoch of a partition.
type PartitionEpoch struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// ServerHealth lists the jobs that failed on a server since its last success.
type ServerHealth struct {
	Server fleet.BackendServerID
	Failed []fleet.JobID
}

// JobSnapshot is one job.
type JobSnapshot struct {
	Spec     Job
	Sequence uint64
	State    JobState
	Reason   string
	Done     int
	// Failed and Evictions count attempts.
	Failed    int
	Evictions int
	FailedOn  []fleet.BackendServerID
	// Tasks is empty for a job that has ended.
	Tasks []TaskSnapshot
}

// TaskSnapshot is one task. Partition, Epoch and Server are set only while it runs.
type TaskSnapshot struct {
	State      uint8 // 0 waiting, 1 running, 2 succeeded
	Attempt    int
	Partition  fleet.PartitionID
	Epoch      fleet.Epoch
	Server     fleet.BackendServerID
	Checkpoint string
	Failures   int
	FailedOn   []fleet.BackendServerID
}

// Snapshot returns a copy of the state.
func (f *Fold) Snapshot() Snapshot {
	s := Snapshot{At: f.position, Accepted: f.accepted, Ended: slices.Clone(f.ended)}
	for n, epoch := range f.epochs {
		if epoch > 0 {
			s.Epochs = append(s.Epochs, PartitionEpoch{f.partitions.names[n], epoch})
		}
	}
	slices.SortFunc(s.Epochs, func(a, b PartitionEpoch) int { return cmp.Compare(a.Partition, b.Partition) })
	for n := range f.health {
		if failed := f.health[n].failed; len(failed) > 0 {
			s.Health = append(s.Health, ServerHealth{f.servers.names[n], slices.Clone(failed)})
		}
	}
	slices.SortFunc(s.Health, func(a, b ServerHealth) int { return cmp.Compare(a.Server, b.Server) })
	for _, j := range f.jobs {
		s.Jobs = append(s.Jobs, f.jobSnapshot(j))
	}
	slices.SortFunc(s.Jobs, func(a, b JobSnapshot) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return s
}

func (f *Fold) jobSnapshot(j *job) JobSnapshot {
	s := JobSnapshot{
		Spec: j.spec, Sequence: j.sequence, State: j.state, Reason: j.reason,
		Done: j.done, Failed: j.failed, Evictions: j.evictions, FailedOn: f.serverNames(j.failedOn),
	}
	if j.tasks != nil {
		s.Tasks = make([]TaskSnapshot, len(j.tasks))
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		out := TaskSnapshot{State: uint8(t.state), Attempt: int(t.attempt)}
		if t.state == running {
			out.Partition, out.Epoch, out.Server = f.partitions.names[t.partition], t.epoch, f.servers.names[t.server]
		}
		if t.retry != nil {
			out.Checkpoint, out.Failures = t.retry.checkpoint, t.retry.failures
			out.FailedOn = f.serverNames(t.retry.failedOn)
		}
		s.Tasks[i] = out
	}
	return s
}

func (f *Fold) serverNames(numbers []uint32) []fleet.BackendServerID {
	var names []fleet.BackendServerID
	for _, n := range numbers {
		names = append(names, f.servers.names[n])
	}
	return names
}

// Restore returns a Fold with the state of a snapshot.
func Restore(s Snapshot) *Fold {
	f := NewFold()
	f.position, f.accepted, f.ended = s.At, s.Accepted, slices.Clone(s.Ended)
	for _, e := range s.Epochs {
		n := f.partition(e.Partition) // may grow f.epochs
		f.epochs[n] = e.Epoch
	}
	for _, h := range s.Health {
		n := f.server(h.Server) // may grow f.health
		f.health[n].failed = slices.Clone(h.Failed)
	}
	for _, j := range s.Jobs {
		f.restoreJob(j)
	}
	return f
}

func (f *Fold) restoreJob(s JobSnapshot) {
	j := &job{spec: s.Spec, sequence: s.Sequence, state: s.State, reason: s.Reason, done: s.Done}
	j.failed, j.evictions = s.Failed, s.Evictions
	j.failedOn = f.serverNumbers(s.FailedOn)
	if len(s.Tasks) > 0 {
		j.tasks = make([]task, len(s.Tasks))
	}
	for i, from := range s.Tasks {
		t := &j.tasks[i]
		t.state, t.attempt = taskState(from.State), uint32(from.Attempt)
		if t.state == running {
			t.partition, t.epoch, t.server = f.partition(from.Partition), from.Epoch, f.server(from.Server)
			j.running++
		}
		if from.Checkpoint != "" || from.Failures > 0 {
			t.retry = &retryState{
				checkpoint: from.Checkpoint, failures: from.Failures,
				failedOn: f.serverNumbers(from.FailedOn),
			}
		}
	}
	f.jobs[s.Spec.ID] = j
	t := f.team(s.Spec.Team)
	t.slots += j.running * slotsOf(s.Spec)
	if j.state == Open {
		t.open++
	}
}

func (f *Fold) serverNumbers(names []fleet.BackendServerID) []uint32 {
	var numbers []uint32
	for _, name := range names {
		numbers = append(numbers, f.server(name))
	}
	return numbers
}

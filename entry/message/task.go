package message

import (
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// TaskCommand goes from the ledger duty to a partition duty. It is one of
// TaskOffer, TaskEnded and TaskAdopted. Its ring refuses when full; the ledger
// repeats a refused TaskEnded or TaskAdopted and treats a refused TaskOffer as
// not made.
type TaskCommand interface{ taskCommand() }

// TaskOffer asks for resources for one attempt of a task. The partition duty
// answers on the ledger's signal ring with TaskPlaced or TaskDeclined. It
// reserves the resources before it answers and releases them when the ring
// refuses the answer, or on TaskEnded.
type TaskOffer struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists the backend servers on which the attempt must not run.
	Avoid []fleet.BackendServerID
}

// TaskEnded releases the resources of an attempt: it ended, or its start was
// lost or failed. It may arrive more than once, and for a task unknown to the
// partition duty.
type TaskEnded struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// TaskAdopted reports that an attempt started by a former holder may be running
// on Server. Its resources stay reserved until TaskEnded, or until a usage
// report no longer includes it.
type TaskAdopted struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
	Kind      string
	Resources fleet.Resources
}

func (TaskOffer) taskCommand()   {}
func (TaskEnded) taskCommand()   {}
func (TaskAdopted) taskCommand() {}

// TaskSignal goes from the scheduling duties to the ledger duty. It is one of
// TaskPlaced, TaskDeclined, EvictTask, ThrottleTask and TaskRoute. Its ring
// refuses when full.
type TaskSignal interface{ taskSignal() }

// TaskPlaced answers an offer: resources are reserved on Server.
type TaskPlaced struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// TaskDeclined answers an offer: no resources are free at present.
type TaskDeclined struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
}

// EvictTask asks the ledger to checkpoint a task, stop it and resume it on
// another backend server.
type EvictTask struct {
	Task   fleet.TaskID
	Server fleet.BackendServerID
}

// ThrottleTask asks the ledger to throttle a task or to lift the throttle.
type ThrottleTask struct {
	Task      fleet.TaskID
	Server    fleet.BackendServerID
	Throttled bool
}

// TaskRoute gives the ledger the command ring of the duty of a held partition.
// It is repeated about every second, in case the ledger was restarted or its
// ring was full.
type TaskRoute struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Commands  *supervise.Ring[TaskCommand]
}

func (TaskPlaced) taskSignal()   {}
func (TaskDeclined) taskSignal() {}
func (EvictTask) taskSignal()    {}
func (ThrottleTask) taskSignal() {}
func (TaskRoute) taskSignal()    {}

// TaskCall asks a runner duty to make one call to a worker. Its ring has a
// place for each call that the ledger has in progress.
type TaskCall struct{ task.Call }

// TaskCallDone is the result of a TaskCall. Its ring waits when full.
type TaskCallDone struct{ task.CallResult }

// JobCommand goes from the HTTP front end to the ledger duty. It is one of
// SubmitJob, CancelJob, JobStatus and ListJobs. Its ring refuses when full; a
// refused command has no effect. Each reply ring has capacity 1 and refuses
// when full.
type JobCommand interface{ jobCommand() }

// SubmitJob asks the ledger to accept a job. The ledger sets the job's
// TeamLimit.
type SubmitJob struct {
	Job   task.Job
	Reply *supervise.Ring[JobReply]
}

// CancelJob cancels a job and stops its running tasks.
type CancelJob struct {
	ID    fleet.JobID
	Reply *supervise.Ring[JobReply]
}

// JobStatus asks for the state of a job.
type JobStatus struct {
	ID    fleet.JobID
	Reply *supervise.Ring[JobReply]
}

// ListJobs asks for up to Limit jobs with identifiers greater than After, of
// Team or, if it is empty, of all teams.
type ListJobs struct {
	Team  fleet.Team
	After fleet.JobID
	Limit int
	Reply *supervise.Ring[JobListReply]
}

func (SubmitJob) jobCommand() {}
func (CancelJob) jobCommand() {}
func (JobStatus) jobCommand() {}
func (ListJobs) jobCommand()  {}

// JobOutcome is the result of a job command.
type JobOutcome string

const (
	// JobAccepted means that the job's record was read back from the log, or
	// that View holds the requested status or the cancelled job.
	JobAccepted JobOutcome = "accepted"
	// JobRepeated means that the same submission was accepted before.
	JobRepeated JobOutcome = "repeated"
	// JobConflict means that another job has the identifier.
	JobConflict JobOutcome = "identifier-used-by-another-job"
	// JobOverLimit means that the team has too many open jobs.
	JobOverLimit JobOutcome = "team-limit-reached"
	// JobUnknownTeam means that the configuration in force has no such team.
	JobUnknownTeam JobOutcome = "no-such-team"
	// JobUnknownKind means that the job names no resources and the
	// configuration in force has no such kind to take them from.
	JobUnknownKind JobOutcome = "no-such-kind"
	// JobNotFound means that no such job is known.
	JobNotFound JobOutcome = "no-such-job"
	// JobNotReady means that the ledger is not ready; the command had no
	// effect.
	JobNotReady JobOutcome = "not-ready"
	// JobUnconfirmed means that the record was not read back in time. It may
	// still take effect; the command can safely be repeated.
	JobUnconfirmed JobOutcome = "not-confirmed"
)

// JobReply answers SubmitJob, CancelJob and JobStatus.
type JobReply struct {
	Outcome JobOutcome
	View    task.JobView
}

// JobListReply answers ListJobs.
type JobListReply struct {
	Outcome JobOutcome
	Jobs    []task.JobView
}

package message

import (
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// TaskCommand goes from the ledger duty to a partition duty. Its ring refuses
// when full; the ledger repeats a TaskEnded and a TaskAdopted, and an offer
// counts as not made. It is one of TaskOffer, TaskEnded and TaskAdopted.
type TaskCommand interface{ taskCommand() }

// TaskOffer asks for room for one attempt of a task. The partition duty answers
// on the ledger's ring of signals with TaskPlaced or TaskDeclined. It reserves
// the room before it answers and gives it back when the ring refuses the
// answer, or on TaskEnded.
type TaskOffer struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists backend servers that must not take the attempt.
	Avoid []fleet.BackendServerID
}

// TaskEnded says that the room of an attempt is free again: it ended, or its
// start was lost or failed. It may come for a task that the partition duty
// doesn't know, and more than once.
type TaskEnded struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// TaskAdopted says that an attempt which a former holder started may run on
// Server. Its room is taken until TaskEnded or until a report lacks it.
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

// TaskSignal goes from the scheduling duties to the ledger duty. Its ring
// refuses when full. It is one of TaskPlaced, TaskDeclined, EvictTask,
// ThrottleTask and TaskRoute.
type TaskSignal interface{ taskSignal() }

// TaskPlaced answers an offer: room is reserved on Server.
type TaskPlaced struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// TaskDeclined answers an offer: no room is free now.
type TaskDeclined struct {
	Task      fleet.TaskID
	Attempt   int
	Partition fleet.PartitionID
}

// EvictTask asks the ledger to checkpoint and stop a task and to resume it
// elsewhere.
type EvictTask struct {
	Task   fleet.TaskID
	Server fleet.BackendServerID
}

// ThrottleTask asks the ledger to slow a task down, or to lift that.
type ThrottleTask struct {
	Task      fleet.TaskID
	Server    fleet.BackendServerID
	Throttled bool
}

// TaskRoute tells the ledger where the partition duty of a held partition takes
// commands. It is repeated about every second, for a ledger that was
// restarted or whose ring was full.
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

// TaskCall asks a runner duty for one worker call. Its ring has a place for
// each call that the ledger has in progress.
type TaskCall struct{ task.Call }

// TaskCallDone is the end of a worker call. Its ring waits.
type TaskCallDone struct{ task.CallResult }

// JobCommand goes from the HTTP front end to the ledger duty. Its ring refuses
// when full: the command had no effect. It is one of SubmitJob, CancelJob,
// JobStatus and ListJobs; each reply ring has one place and refuses.
type JobCommand interface{ jobCommand() }

// SubmitJob asks for a job to be accepted. TeamLimit of the job is set by the
// ledger.
type SubmitJob struct {
	Job   task.Job
	Reply *supervise.Ring[JobReply]
}

// CancelJob withdraws a job. Its running tasks are stopped.
type CancelJob struct {
	ID    fleet.JobID
	Reply *supervise.Ring[JobReply]
}

// JobStatus asks for the state of a job.
type JobStatus struct {
	ID    fleet.JobID
	Reply *supervise.Ring[JobReply]
}

// ListJobs asks for up to Limit jobs with identifiers greater than After, of a
// team or of all teams.
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

// JobOutcome is the end of a job command.
type JobOutcome string

const (
	// JobAccepted means that the job's record was read back, or that the
	// status or cancellation is attached.
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
	// JobNotReady means that the ledger is not ready; nothing was done.
	JobNotReady JobOutcome = "not-ready"
	// JobUnconfirmed means that the record was not read back in time. It may
	// still take effect; a repeat is harmless.
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

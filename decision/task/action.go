package task

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Actions is what has to be done, in order within each list.
type Actions struct {
	Appends  []Append
	Offers   []Offer
	Releases []Release
	Calls    []Call
	Events   []Event
	// Snapshot asks the owner to encode Fold().Snapshot() and to hand the
	// parts to AppendParts.
	Snapshot bool
}

// Append asks for a record to be appended. It is repeated under the same ID
// until the record is read back, so it must be harmless twice.
type Append struct {
	ID     string
	Record Record
}

// Offer asks the partition duty for room for one attempt.
type Offer struct {
	Task      Ref
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists backend servers on which the task failed and those that
	// fail everything.
	Avoid []fleet.BackendServerID
}

// Release tells the partition duty that the room of an attempt is free again.
type Release struct {
	Task      Ref
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// CallKind says which worker call is to be made.
type CallKind uint8

const (
	StartCall CallKind = iota + 1
	CheckpointCall
	StopCall
	ThrottleCall
	RenewCall
)

// Call is a worker call. It must not be sent at or after NotAfter, and its
// answer is not awaited longer than that.
type Call struct {
	ID        uint64
	Kind      CallKind
	Server    fleet.BackendServerID
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Task      Ref // unset for RenewCall
	Attempt   int
	NotAfter  time.Time
	Lease     time.Duration // of StartCall and RenewCall
	// WorkKind, Resources, RunTime, Checkpoint and Parameters belong to
	// StartCall.
	WorkKind   string
	Resources  fleet.Resources
	RunTime    time.Duration
	Checkpoint string
	Parameters string
	Throttled  bool // of ThrottleCall
}

// CallOutcome is how a call ended.
type CallOutcome uint8

const (
	// CallDone means that the worker answered.
	CallDone CallOutcome = iota + 1
	// CallRefused means that the worker answered with an error.
	CallRefused
	// CallUnknown means that the call may have taken effect.
	CallUnknown
	// CallNotSent means that the call was dropped before it was sent.
	CallNotSent
)

// CallResult is the end of a call.
type CallResult struct {
	Call    Call
	Outcome CallOutcome
	// Observed is the worker's report of the task; its State is NotReported for calls
	// that return none.
	Observed Observation
	Reason   string
}

// WorkerState is a task's state on its worker.
type WorkerState uint8

const (
	NotReported WorkerState = iota
	WorkerRunning
	WorkerSucceeded
	WorkerFailed
	// WorkerCheckpointed means stopped after a checkpoint.
	WorkerCheckpointed
	WorkerStopped
)

// Observation is what a worker says of one attempt.
type Observation struct {
	Task       Ref
	Attempt    int
	State      WorkerState
	Checkpoint string
	Reason     string
}

// EventKind is a stable word for the explanation history.
type EventKind string

const (
	EventStarted           EventKind = "task_started"
	EventStartLost         EventKind = "task_start_lost"
	EventAdopted           EventKind = "task_adopted"
	EventEnded             EventKind = "task_ended"
	EventEvicted           EventKind = "task_evicted"
	EventStrayStopped      EventKind = "task_stray_stopped"
	EventServerUnreachable EventKind = "task_server_unreachable"
	EventSetAside          EventKind = "job_set_aside"
	EventAccepted          EventKind = "job_accepted"
	EventLogUnresponsive   EventKind = "task_log_silent"
	EventLogRecovered      EventKind = "task_log_answers"
	EventRebuilt           EventKind = "task_state_rebuilt"
	EventStateLost         EventKind = "task_state_lost"
	EventStartRejected     EventKind = "task_start_rejected"
)

// Event explains a decision.
type Event struct {
	Kind    EventKind
	Task    Ref
	Server  fleet.BackendServerID
	Attempt int
	End     End // of EventEnded
	Detail  string
}

package task

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Actions lists the effects that the owner of a Ledger has to perform, in order
// within each list.
type Actions struct {
	Appends  []Append
	Offers   []Offer
	Releases []Release
	Calls    []Call
	Events   []Event
	// Snapshot requests that the owner encode Fold().Snapshot() and pass the
	// parts to AppendParts.
	Snapshot bool
}

// Append requests the append of a record. It is retried under the same ID until
// the record is read back, so the record must be idempotent.
type Append struct {
	ID     string
	Record Record
}

// Offer requests a reservation for one attempt from the partition duty.
type Offer struct {
	Task      Ref
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists the backend servers on which the task failed, and those that
	// are faulty or unresponsive.
	Avoid []fleet.BackendServerID
}

// Release identifies the reservation of one attempt. As an action it frees the
// reservation.
type Release struct {
	Task      Ref
	Attempt   int
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Server    fleet.BackendServerID
}

// CallKind is the operation that a worker call requests.
type CallKind uint8

const (
	StartCall CallKind = iota + 1
	CheckpointCall
	StopCall
	ThrottleCall
	RenewCall
)

// Call is a call to a worker. NotAfter is the deadline both for sending it and
// for its response.
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

// CallOutcome is the outcome of a call.
type CallOutcome uint8

const (
	// CallDone means that the worker responded with success.
	CallDone CallOutcome = iota + 1
	// CallRefused means that the worker responded with an error.
	CallRefused
	// CallUnknown means that there was no response and the call may have taken
	// effect.
	CallUnknown
	// CallNotSent means that the call was dropped before it was sent.
	CallNotSent
)

// CallResult is a call with its outcome.
type CallResult struct {
	Call    Call
	Outcome CallOutcome
	// Observed is the task's state in the response. Its State is NotReported
	// for calls that return none.
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
	// WorkerCheckpointed means that the attempt was stopped after a checkpoint.
	WorkerCheckpointed
	WorkerStopped
)

// Observation is the state of one attempt as its worker reported it.
type Observation struct {
	Task       Ref
	Attempt    int
	State      WorkerState
	Checkpoint string
	Reason     string
}

// EventKind identifies an event in the explanation history. The values are
// stable.
type EventKind string

const (
	EventStarted EventKind = "task_started"
	// EventStartLost means that another start of the task was accepted first.
	EventStartLost EventKind = "task_start_lost"
	// EventAdopted means that a worker reported an attempt that an earlier holder
	// or an earlier run of the duty had started.
	EventAdopted EventKind = "task_adopted"
	EventEnded   EventKind = "task_ended"
	EventEvicted EventKind = "task_evicted"
	// EventStrayStopped means that a worker still ran an attempt that the fold
	// does not have as running there.
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

// Event describes a decision for the explanation history.
type Event struct {
	Kind    EventKind
	Task    Ref
	Server  fleet.BackendServerID
	Attempt int
	End     End // of EventEnded
	Detail  string
}

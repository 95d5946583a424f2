// Package partition schedules the work of one partition: the backend servers of
// one rack under one epoch of its lease. It combines the decision packages:
// estimate predicts run times, admission orders and limits the queue, placement
// chooses the backend server, breaker takes failing servers out of service,
// retry limits further attempts, interference throttles and evicts batch tasks,
// and requestkey detects repeated requests.
//
// The package is pure: every method takes the time as an argument and appends
// the actions to carry out to a list. The partition duty owns a State and calls
// it. When that duty fails, the state is lost and a new one starts with every
// slot counted as in use. The steady state doesn't allocate.
//
// Invariants: the work placed on a backend server never exceeds its capacity; a
// request is placed on at most one backend server at a time; a non-idempotent
// request is never placed again once it may have run.
package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// Work is the part of a request that decisions are based on.
type Work struct {
	ID         fleet.RequestID
	Service    fleet.Service
	Operation  fleet.Operation
	Team       fleet.Team
	Class      fleet.Class
	Idempotent bool
	Deadline   time.Time
}

// Result is the result of one placement of a request.
type Result uint8

const (
	// Succeeded means that a complete answer without a server failure arrived.
	Succeeded Result = iota
	// Failed means that a complete answer arrived and reports a server failure.
	Failed
	// NotWritten means that no byte of the request reached the server.
	NotWritten
	// Lost means that the request may have run, and no complete answer arrived.
	Lost
)

// Completion reports the end of a placement.
type Completion struct {
	ID     fleet.RequestID
	Server fleet.BackendServerID
	// Attempt is that of the Run action, or 0 for the attempt in progress.
	Attempt  int
	Result   Result
	Duration time.Duration
	// SlotReleased is false if the server may still be running the request.
	SlotReleased bool
	// Leaving is set if the server announced that it is leaving.
	Leaving bool
}

// Usage is the part of a usage report that decisions are based on.
type Usage struct {
	Server    fleet.BackendServerID
	SampledAt time.Time // no later than the time of the sample
	// RequestSlots is the number of slots used by requests.
	RequestSlots int
	// Tasks are the tasks that the worker ran, with their resources.
	Tasks []RunningTask
	// Latencies are the mean service times since the previous sample.
	Latencies map[fleet.Service]time.Duration
}

// RunningTask is a batch task on a worker.
type RunningTask struct {
	Task      fleet.TaskID
	Kind      string // kind of work, for interference estimates
	Resources fleet.Resources
	// Progress is the run time that an eviction without a checkpoint would lose.
	Progress time.Duration
}

// TaskOffer is a batch task to be placed.
type TaskOffer struct {
	Task      fleet.TaskID
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists the backend servers on which the task failed.
	Avoid []fleet.BackendServerID
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Run places request ID on Server.
	Run ActionKind = iota
	// Refuse ends request ID as not run.
	Refuse
	// Deliver ends request ID with the last complete answer to it. An answer
	// that reports a server failure is kept until the request ends, because
	// further attempts may return none.
	Deliver
	// GiveUp ends request ID with an unknown outcome.
	GiveUp
	// PlaceTask confirms that resources on Server are reserved for Task.
	PlaceTask
	// DeclineTask means that Task can't be placed now.
	DeclineTask
	// ThrottleTask slows Task down on Server, to limit interference.
	ThrottleTask
	// UnthrottleTask returns Task on Server to full speed.
	UnthrottleTask
	// EvictTask evicts Task from Server, to limit interference.
	EvictTask
)

// Action is an action that the caller of a State carries out.
type Action struct {
	Kind       ActionKind
	ID         fleet.RequestID
	Task       fleet.TaskID
	Server     fleet.BackendServerID
	Attempt    int  // of a Run, from 1
	Long       bool // of a Run: it takes a slot as long work
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// MaxDeadline is the longest deadline of a request, and so the maximum time that
// one started by a former holder may still run.
const MaxDeadline = 60 * time.Second

// MaxWaiting is the maximum number of waiting requests of a partition. All
// partitions of an instance together hold at most 4,096 requests of 1 MiB.
const MaxWaiting = 4096

// Package partition decides what happens to the work of one partition: the
// backend servers of one rack under one epoch of its lease. It composes the
// decision packages: estimate says how long work runs, admission which work is
// next, placement where it goes, breaker which servers are in service, retry
// whether there is another attempt, interference which batch tasks give way,
// and requestkey which request a repeat joins.
//
// It is pure: every method takes the time and appends what has to be done to a
// list of actions. The partition duty that owns a State calls it; when that
// duty fails, the state is lost and a new one starts with every slot taken.
// The steady state doesn't allocate.
//
// Invariants: the work placed on a backend server never exceeds what the
// server holds; a request is placed on at most one backend server at a time;
// a non-idempotent request is never placed again once it may have run.
package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// Work is what the decisions need to know of a request.
type Work struct {
	ID         fleet.RequestID
	Service    fleet.Service
	Operation  fleet.Operation
	Team       fleet.Team
	Class      fleet.Class
	Idempotent bool
	Deadline   time.Time
}

// Result is how one placement of a request ended.
type Result uint8

const (
	// Succeeded means that a whole answer came and was no server failure.
	Succeeded Result = iota
	// Failed means that a whole answer came and reports a server failure.
	Failed
	// NotWritten means that no byte of the request reached the server.
	NotWritten
	// Lost means that the request may have run and no whole answer came.
	Lost
)

// Completion reports the end of a placement.
type Completion struct {
	ID     fleet.RequestID
	Server fleet.BackendServerID
	// Attempt is that of the Run action; 0 stands for the attempt in progress.
	Attempt  int
	Result   Result
	Duration time.Duration
	// SlotReleased is false when the server may still be busy with it.
	SlotReleased bool
	// Leaving is set when the server said that it is leaving.
	Leaving bool
}

// Usage is the part of a usage report that the partition counts with.
type Usage struct {
	Server    fleet.BackendServerID
	SampledAt time.Time // no later than the time of the sample
	// RequestSlots is the number of slots that requests used.
	RequestSlots int
	// Tasks are the tasks that the worker ran, with what they were given.
	Tasks []RunningTask
	// Latencies are mean service times since the sample before.
	Latencies map[fleet.Service]time.Duration
}

// RunningTask is a batch task on a worker.
type RunningTask struct {
	Task      fleet.TaskID
	Kind      string // kind of work, for interference estimates
	Resources fleet.Resources
	// Progress is the work that an eviction without a checkpoint would lose.
	Progress time.Duration
}

// TaskOffer asks for a place for a batch task.
type TaskOffer struct {
	Task      fleet.TaskID
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists backend servers on which the task failed.
	Avoid []fleet.BackendServerID
}

// ActionKind says what has to be done.
type ActionKind uint8

const (
	// Run places request ID on Server.
	Run ActionKind = iota
	// Refuse ends request ID as not run.
	Refuse
	// Deliver passes on the answer of the last placement of request ID that
	// ended with a whole answer. An answer that reports a server failure is
	// kept until the request ends, because another attempt may bring none.
	Deliver
	// GiveUp ends request ID with an unknown outcome.
	GiveUp
	// PlaceTask reserved room on Server for Task.
	PlaceTask
	// DeclineTask means that no room is free for Task now.
	DeclineTask
	// ThrottleTask, UnthrottleTask and EvictTask relieve Server.
	ThrottleTask
	UnthrottleTask
	EvictTask
)

// Action is one thing to do.
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

// MaxDeadline bounds how long a request that a former holder started may still
// run.
const MaxDeadline = 60 * time.Second

// MaxWaiting bounds the waiting requests of a partition; 4,096 requests of
// 1 MiB at the most are held by all partitions of an instance together.
const MaxWaiting = 4096

// Package message defines the messages that the duties of an entry instance
// exchange over rings. The comment of each type names the sender, the receiver
// and what the ring does when it is full.
package message

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Field is one header field of a request or an answer.
type Field struct{ Name, Value string }

// Request is one request of a caller. It is immutable after submission.
type Request struct {
	ID        fleet.RequestID
	Caller    fleet.Caller
	Team      fleet.Team
	Service   fleet.Service
	Operation fleet.Operation
	Class     fleet.Class
	// Idempotent requests may run more than once.
	Idempotent bool
	// Key is the request key of a non-idempotent request, or empty.
	Key string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	Fields   []Field
	Body     []byte
}

// Submission carries a request to the routing duty, and from there to a
// partition duty or a link. Its rings refuse when full.
type Submission struct {
	Request *Request
	// Partition is set when the partition is already chosen, either by another
	// entry instance or by the request key.
	Partition fleet.PartitionID
	// Forwarded is set for a request that came over a link; it is not forwarded
	// again.
	Forwarded bool
	// IssueKey asks for a request key instead of running the request.
	IssueKey bool
	// Cancel withdraws the request with this ID; no other field of the request
	// is set.
	Cancel bool
	// Reply receives the only answer. A full ring means that no one waits for
	// it any more.
	Reply *supervise.Ring[Answer]
}

// Answer is the result of a request.
type Answer struct {
	ID         fleet.RequestID
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Status is the HTTP status of an answered request.
	Status int
	Fields []Field
	Body   []byte
	// Server is the backend server that ran the request; empty if none did.
	Server    fleet.BackendServerID
	Partition fleet.PartitionID
	// KeyChecked is set when the holder looked the request key up in its table,
	// so that a refusal applies to every use of the key.
	KeyChecked bool
	// Key is the request key issued for a submission with IssueKey.
	Key string
	// Hint is the load of the partition at the time of the answer.
	Hint LoadHint
}

// LoadHint is a possibly outdated report of a partition's load.
type LoadHint struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// FreeSlots and Capacity count slots; Waiting counts queued requests.
	FreeSlots int
	Waiting   int
	// ExpectedWait is the expected queueing time of an urgent request.
	ExpectedWait time.Duration
	Capacity     int
}

// Refusal returns an answer for a request that was not run.
func Refusal(id fleet.RequestID, reason outcome.Reason, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: outcome.RefusedNotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownOutcome returns an answer for a request that may have run.
func UnknownOutcome(id fleet.RequestID, reason outcome.Reason) Answer {
	return Answer{ID: id, Outcome: outcome.Unknown, Reason: reason}
}

// Deliver puts the answer on the submission's reply ring. It returns false
// when no one waits for the answer any more.
func (s Submission) Deliver(a Answer) bool {
	return s.Reply.Put(context.Background(), a) == nil
}

// Package message holds the typed messages that the duties of an entry
// instance exchange over rings. Each type says who sends it, who receives it
// and what its ring does when full.
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

// Request is one request of a caller. It is immutable once submitted.
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
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Fields   []Field
	Body     []byte
}

// Submission hands a request to the routing duty, and from there to a
// partition duty or a link. Its rings refuse when full.
type Submission struct {
	Request *Request
	// Partition is set when the holder was already chosen: by another entry
	// instance, or by the request key.
	Partition fleet.PartitionID
	// Forwarded requests came over a link and are not forwarded again.
	Forwarded bool
	// IssueKey asks for a request key instead of running the request.
	IssueKey bool
	// Cancel withdraws the request with this ID; all else but the ID is unset.
	Cancel bool
	// Reply takes the one answer. A full ring means that nobody waits.
	Reply *supervise.Ring[Answer]
}

// Answer is the end of a request.
type Answer struct {
	ID         fleet.RequestID
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	Status     int
	Fields     []Field
	Body       []byte
	// Server ran the request, if any did.
	Server    fleet.BackendServerID
	Partition fleet.PartitionID
	// KeyChecked is set when the holder consulted its table of request keys,
	// so that a refusal speaks for every use of the key.
	KeyChecked bool
	// Key is the issued request key when one was asked for.
	Key string
	// Hint is the partition's load when it answered.
	Hint LoadHint
}

// LoadHint is a lagging view of a partition's load.
type LoadHint struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	FreeSlots int
	Waiting   int
	// ExpectedWait is what an urgent request would wait now.
	ExpectedWait time.Duration
	Capacity     int
}

// Refusal builds an answer that says the request was not run.
func Refusal(id fleet.RequestID, reason outcome.Reason, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: outcome.RefusedNotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownOutcome builds an answer for a request that may have run.
func UnknownOutcome(id fleet.RequestID, reason outcome.Reason) Answer {
	return Answer{ID: id, Outcome: outcome.Unknown, Reason: reason}
}

// Deliver puts the answer on the submission's reply ring. It reports false
// when nobody waits any more.
func (s Submission) Deliver(a Answer) bool {
	return s.Reply.Put(context.Background(), a) == nil
}

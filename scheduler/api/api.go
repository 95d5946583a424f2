// Package api declares what the scheduler requires of a platform: a store of
// keyed records, the workers, and the formats of callers, operators and backend
// servers. An adapter implements it; it translates names, formats and calls and
// makes no decisions.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Topic names a partition of keyed records in the store.
type Topic string

// Topics that the platform writes. All others belong to the scheduler.
const (
	// OperatorTopic holds the publications of the operators.
	OperatorTopic Topic = "operator"
	// EvacuationTopic holds the operators' requests to evacuate data centres. It is a
	// part of OperatorTopic, has the same offsets, and is only for Store.Newest.
	EvacuationTopic Topic = "evacuations"
	// ServerTopic holds one entry for each backend server.
	ServerTopic Topic = "servers"
)

// Errors of the store. Any other error means that no answer was received: the
// call may have been executed, or may still be executed later.
var (
	// ErrFenced means that a higher epoch has written. The append was not
	// executed.
	ErrFenced = errors.New("append fenced: a higher epoch has written")
	// ErrEndMismatch means that the partition does not end at the expected
	// offset. The append was not executed.
	ErrEndMismatch = errors.New("partition does not end at the expected offset")
	// ErrSequence means that the sequence number does not follow the last one
	// of its epoch. The append was not executed.
	ErrSequence = errors.New("append sequence number does not follow the last one")
	// ErrUnavailable means that the store rejected the call without executing
	// it.
	ErrUnavailable = errors.New("store rejected the call without executing it")
	// ErrTrimmed means that records from the requested offset on have expired.
	ErrTrimmed = errors.New("records from the requested offset on have expired")
)

// Item is a record of a key. An empty value deletes the key.
type Item struct {
	Key    string
	Value  []byte
	Offset fleet.Offset
}

// Append is an atomic append of keyed records to a topic.
type Append struct {
	Topic Topic
	Items []Item // Offset is ignored
	// Producer, Epoch and Sequence fence and order the appends of a holder. An
	// append with an empty Producer is not fenced.
	Producer string
	Epoch    fleet.Epoch
	Sequence uint64
	// ExpectedEnd, unless negative, is the offset at which the partition must
	// end.
	ExpectedEnd fleet.Offset
}

// Store is the platform's store of keyed records.
type Store interface {
	// Append returns the offset after the appended records.
	Append(ctx context.Context, a Append) (end fleet.Offset, err error)
	// Newest returns the newest record of each key and the end of the partition
	// before the first page was read. Records appended during the call may or
	// may not be included.
	Newest(ctx context.Context, topic Topic) (items []Item, end fleet.Offset, err error)
	// Read returns the records from an offset on, and the offset after them. If
	// there is none, it waits for one, at most for wait. Records without a key
	// are left out.
	Read(ctx context.Context, topic Topic, from fleet.Offset, wait time.Duration) (items []Item, next fleet.Offset, err error)
	// End returns the end of the partition. It waits until the end is greater
	// than beyond, at most for wait.
	End(ctx context.Context, topic Topic, beyond fleet.Offset, wait time.Duration) (fleet.Offset, error)
}

// Workers makes the calls to the agents on the backend servers. A result also
// says whether an answer was received.
type Workers interface {
	Hold(ctx context.Context, epoch fleet.Epoch, h cell.Hold) cell.HoldAnswered
	Start(ctx context.Context, epoch fleet.Epoch, s cell.Start) cell.StartAnswered
	Stop(ctx context.Context, epoch fleet.Epoch, s cell.Stop) cell.StopAnswered
	Throttle(ctx context.Context, epoch fleet.Epoch, t cell.Throttle) cell.ThrottleAnswered
}

// Advisor says which workers may run a step of a queue that requires advice.
type Advisor interface {
	Advise(ctx context.Context, a cell.Advise) cell.AdviceAnswered
}

// Configuration is a publication of the operators.
type Configuration struct {
	Version int64
	Routes  []Route
	Limits  Limits
	// Findings name the parts that could not be read and were left out.
	Findings []string
	// Document is the encoded publication, kept to pass it on to peers.
	Document []byte
	// Offset is that of its record in OperatorTopic.
	Offset fleet.Offset
}

// Route maps a host and a path prefix to a queue.
type Route struct {
	Host       string
	PathPrefix string
	Timeout    time.Duration
	Queue      cell.QueueSettings
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RecordDecoder decodes the records that others write into the store.
type RecordDecoder interface {
	// Server decodes an entry of the server list. ok is false when the entry
	// names no server that passes cell.Server.Check; reason says why. With ok it
	// names a part of the entry that could not be read and was left out.
	Server(item Item) (server cell.Server, ok bool, reason string)
	// IsConfiguration reports whether a record of the operators is a
	// publication.
	IsConfiguration(item Item) bool
	// Evacuation decodes the key of a request to evacuate a data centre, or of its
	// withdrawal, which has no value. ok is false for any other record; reason says why
	// if it can only be meant as a request.
	Evacuation(item Item) (dataCentre fleet.DataCentre, ok bool, reason string)
	// Configuration decodes a publication.
	Configuration(document []byte) (Configuration, error)
}

// CallerFormat decodes requests of callers and encodes the answers.
type CallerFormat interface {
	// Deadline returns how long the caller waits; 0 if the header sets no
	// deadline.
	Deadline(header http.Header) time.Duration
	// Submission decodes a job. The error lists the findings.
	Submission(id fleet.JobID, queue job.Queue, body []byte) (job.Job, error)
	// StateBody, PendingBody and ErrorBody encode response bodies.
	StateBody(state job.State) []byte
	PendingBody(count int) []byte
	ErrorBody(err error) []byte
	// ContentType is the content type of every response body.
	ContentType() string
}

// Platform holds the adapter's implementations.
type Platform struct {
	Store   Store
	Workers Workers
	Advisor Advisor
	Records RecordDecoder
	Callers CallerFormat
}

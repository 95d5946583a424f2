// Package api declares what the scheduler needs of a platform: a store of keyed
// records, the workers, and the formats in which callers, operators and servers
// speak. An adapter implements it and translates names, formats and calls; it
// decides nothing.
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

// The topics of the platform; all others are the scheduler's own.
const (
	// OperatorTopic holds what the operators publish.
	OperatorTopic Topic = "operator"
	// ServerTopic holds an entry for each backend server.
	ServerTopic Topic = "servers"
)

// Errors of the store. Any other error means that the call had no answer, so
// that it may have been executed or may be executed later.
var (
	// ErrFenced means that a higher epoch has written; nothing was done.
	ErrFenced = errors.New("a higher epoch has written")
	// ErrEndMismatch means that the partition does not end where the append demands;
	// nothing was done.
	ErrEndMismatch = errors.New("the partition ends elsewhere")
	// ErrSequence means that the append does not follow the last one of its
	// epoch; nothing was done.
	ErrSequence = errors.New("the append is out of sequence")
	// ErrUnavailable means that the store turned the call away; nothing was
	// done.
	ErrUnavailable = errors.New("the store turned the call away")
	// ErrTrimmed means that records from the offset on have expired.
	ErrTrimmed = errors.New("the records have expired")
)

// Item is the newest record of a key. An empty value means that the key was
// dropped.
type Item struct {
	Key    string
	Value  []byte
	Offset fleet.Offset
}

// Append is an append of keyed records, all or nothing.
type Append struct {
	Topic Topic
	Items []Item // Offset is ignored
	// Producer, Epoch and Sequence fence and number the appends of a holder;
	// an empty producer leaves them out.
	Producer string
	Epoch    fleet.Epoch
	Sequence uint64
	// ExpectedEnd, unless negative, is the offset at which the partition has to end.
	ExpectedEnd fleet.Offset
}

// Store is the platform's store of keyed records.
type Store interface {
	// Append returns the offset after the appended records.
	Append(ctx context.Context, a Append) (end fleet.Offset, err error)
	// Newest returns the newest record of each key and the end of the
	// partition before the first page was read. Records that were appended
	// meanwhile may be missing or present.
	Newest(ctx context.Context, topic Topic) (items []Item, end fleet.Offset, err error)
	// Read returns the records from an offset on and waits for one when there
	// is none. Records that cannot be read are left out.
	Read(ctx context.Context, topic Topic, from fleet.Offset, wait time.Duration) (items []Item, end fleet.Offset, err error)
	// End returns the end of the partition, without the records. It waits
	// until the end is beyond an offset, but no longer than wait.
	End(ctx context.Context, topic Topic, beyond fleet.Offset, wait time.Duration) (fleet.Offset, error)
}

// Workers are the calls to the agents on the backend servers. An answer that
// did not arrive is part of the result.
type Workers interface {
	Hold(ctx context.Context, epoch fleet.Epoch, h cell.Hold) cell.HoldAnswered
	Start(ctx context.Context, epoch fleet.Epoch, s cell.Start) cell.StartAnswered
	Stop(ctx context.Context, epoch fleet.Epoch, s cell.Stop) cell.StopAnswered
	Throttle(ctx context.Context, epoch fleet.Epoch, p cell.Throttle) cell.ThrottleAnswered
}

// Advisor says which workers may run a step of a queue that asks it.
type Advisor interface {
	Advise(ctx context.Context, a cell.Advise) cell.AdviceAnswered
}

// Configuration is what the operators published.
type Configuration struct {
	Version int64
	Routes  []Route
	Limits  Limits
	// Document is the publication as it was read, to hand it on.
	Document []byte
}

// Route leads callers to a queue.
type Route struct {
	Host       string
	PathPrefix string
	Timeout    time.Duration
	Queue      cell.QueueSettings
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RecordDecoder decodes what others write into the store.
type RecordDecoder interface {
	// Server decodes an entry of the server list. ok is false when the entry
	// names no server to use; why says what is wrong with it.
	Server(item Item) (server cell.Server, ok bool, why string)
	// IsConfiguration reports whether a record of the operators is a publication.
	IsConfiguration(item Item) bool
	// Configuration decodes a publication.
	Configuration(document []byte) (Configuration, error)
}

// CallerFormat is the format of the callers' interface.
type CallerFormat interface {
	// Deadline returns how long the caller waits; 0 means that it does not say.
	Deadline(header http.Header) time.Duration
	// Submission decodes a job. The error holds findings.
	Submission(id fleet.JobID, queue job.Queue, body []byte) (job.Job, error)
	// StateBody, Pending and Fault encode bodies.
	StateBody(state job.State) []byte
	PendingBody(count int) []byte
	ErrorBody(err error) []byte
	// ContentType is that of every body.
	ContentType() string
}

// Platform is all of it.
type Platform struct {
	Store   Store
	Workers Workers
	Advisor Advisor
	Records RecordDecoder
	Callers CallerFormat
}

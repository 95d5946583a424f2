package platformapi

import (
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
)

// Limits that the platform enforces.
const (
	// MaxRecordBytes is the size of the largest record that the log service
	// accepts. The client rejects a larger one without a call.
	MaxRecordBytes = 1 << 20
	// MaxReadWait is the longest time that a read waits for a record. The client
	// reduces a longer wait to it.
	MaxReadWait = 30 * time.Second
	// MaxBatchBytes limits the record data in the response to a read. A batch
	// holds at least one record if there is one, whatever its size.
	MaxBatchBytes = 4 << 20
)

var (
	// ErrInvalid means that the call was rejected as invalid. It had no effect.
	ErrInvalid = errors.New("platform rejected the call as invalid")
	// ErrUnknown means that the worker or the task does not exist. The call
	// had no effect.
	ErrUnknown = errors.New("worker or task not found on the platform")
)

// ErrorCode identifies the kind of error in a response of the platform.
type ErrorCode string

// Error codes. Each stands for the error variable with the same suffix.
const (
	CodeUnavailable ErrorCode = "unavailable"
	CodeTruncated   ErrorCode = "truncated"
	CodeFenced      ErrorCode = "fenced"
	CodeInvalid     ErrorCode = "invalid"
	CodeUnknown     ErrorCode = "unknown"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Oldest and End are set with CodeTruncated.
	Oldest fleet.Offset `json:"oldest,omitempty"`
	End    fleet.Offset `json:"end,omitempty"`
}

// Err returns the error of this package that matches the code, wrapped with the
// message. An unknown code counts as ErrUnavailable.
func (b ErrorBody) Err() error {
	switch b.Code {
	case CodeTruncated:
		return errors.Wrap(ErrTruncated, b.Message)
	case CodeFenced:
		return errors.Wrap(ErrFenced, b.Message)
	case CodeInvalid:
		return errors.Wrap(ErrInvalid, b.Message)
	case CodeUnknown:
		return errors.Wrap(ErrUnknown, b.Message)
	default:
		return errors.Wrap(ErrUnavailable, b.Message)
	}
}

// AppendAnswer is the response to an append.
type AppendAnswer struct {
	Offset fleet.Offset `json:"offset"`
}

// UsageAnswer is the response to a request for usage reports.
type UsageAnswer struct {
	Reports []UsageReport `json:"reports"`
}

// RenewTasks is the body of a request to renew the leases of a partition's tasks.
type RenewTasks struct {
	Partition   fleet.PartitionID `json:"partition"`
	Epoch       fleet.Epoch       `json:"epoch"`
	LeaseMillis int64             `json:"lease_ms"`
}

// TaskCall is the body of a checkpoint, throttle or stop request.
type TaskCall struct {
	Attempt   int         `json:"attempt"`
	Epoch     fleet.Epoch `json:"epoch"`
	Throttled bool        `json:"throttled,omitempty"`
}

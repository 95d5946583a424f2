package platformapi

import (
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
)

// Bounds that the platform enforces and the client checks before it sends.
const (
	// MaxRecordBytes is the largest record that the log service accepts.
	MaxRecordBytes = 1 << 20
	// MaxReadWait is the longest time that a read waits for a record.
	MaxReadWait = 30 * time.Second
	// MaxBatchBytes bounds the record data of one read. A batch holds at least
	// one record, whatever its size.
	MaxBatchBytes = 4 << 20
)

var (
	// ErrInvalid means that the call was rejected without any effect.
	ErrInvalid = errors.New("platform rejected the call as invalid")
	// ErrUnknown means that the worker or the task does not exist. The call
	// had no effect.
	ErrUnknown = errors.New("platform does not know the worker or task")
)

// ErrorCode is the stable word for an error in an answer of the platform.
type ErrorCode string

const (
	CodeUnavailable ErrorCode = "unavailable"
	CodeTruncated   ErrorCode = "truncated"
	CodeFenced      ErrorCode = "fenced"
	CodeInvalid     ErrorCode = "invalid"
	CodeUnknown     ErrorCode = "unknown"
)

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Oldest and End come with CodeTruncated.
	Oldest fleet.Offset `json:"oldest,omitempty"`
	End    fleet.Offset `json:"end,omitempty"`
}

// Err returns the package's error for the body.
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

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset fleet.Offset `json:"offset"`
}

// UsageAnswer is the answer to a call for usage reports.
type UsageAnswer struct {
	Reports []UsageReport `json:"reports"`
}

// RenewTasks is the body of a renewal of task leases.
type RenewTasks struct {
	Partition   fleet.PartitionID `json:"partition"`
	Epoch       fleet.Epoch       `json:"epoch"`
	LeaseMillis int64             `json:"lease_ms"`
}

// TaskCall is the body of a checkpoint, throttle or stop.
type TaskCall struct {
	Attempt   int         `json:"attempt"`
	Epoch     fleet.Epoch `json:"epoch"`
	Throttled bool        `json:"throttled,omitempty"`
}

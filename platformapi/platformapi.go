// Package platformapi defines the interface to the platform: the append-only
// log service, the lagging instance list, and the workers that run batch tasks
// under leases. Client implements the interfaces over HTTP; the types are the
// JSON bodies of its calls.
package platformapi

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
)

var (
	// ErrUnavailable means that the platform did not answer or did not serve the
	// call. An append that returns it may still have taken effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrTruncated means that the requested offset is older than the oldest
	// retained record.
	ErrTruncated = errors.New("requested offset is older than the oldest retained record")
	// ErrFenced means that a worker has seen a newer epoch.
	ErrFenced = errors.New("epoch is older than one the worker has seen")
)

// Record is one record of a stream.
type Record struct {
	Offset fleet.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	Oldest  fleet.Offset `json:"oldest"` // oldest retained offset
	Next    fleet.Offset `json:"next"`   // offset to read from next
	End     fleet.Offset `json:"end"`    // offset after the newest record
	Records []Record     `json:"records"`
}

// Log is the append-only log service.
type Log interface {
	// Append adds one record of at most MaxRecordBytes and returns its offset.
	// After an error the record may or may not be in the stream.
	Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error)
	// Read returns the records from an offset on. If there are none yet, it
	// waits for one for up to wait, at most MaxReadWait. ErrTruncated comes
	// with a Batch whose Oldest is the oldest retained offset.
	Read(ctx context.Context, stream string, from fleet.Offset, wait time.Duration) (Batch, error)
}

// Snapshot is the lagging list of instances and backend servers.
type Snapshot struct {
	// AgeMillis is the age of the list at the time of the response, in
	// milliseconds.
	AgeMillis      int64                 `json:"age_ms"`
	Instances      []fleet.Instance      `json:"instances"`
	BackendServers []fleet.BackendServer `json:"backend_servers"`
}

// InstanceList is the platform's list of live and leaving instances and backend
// servers.
type InstanceList interface {
	// List returns the latest snapshot. Callers must not modify its slices.
	List(ctx context.Context) (Snapshot, error)
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task. All but TaskRunning are final.
const (
	TaskRunning      TaskState = "running"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // stopped after a checkpoint
	TaskStopped      TaskState = "stopped"
)

// StartTask is a request to a worker to start one attempt of a task.
type StartTask struct {
	Task       fleet.TaskID      `json:"task"`
	Attempt    int               `json:"attempt"`
	Partition  fleet.PartitionID `json:"partition"`
	Epoch      fleet.Epoch       `json:"epoch"`
	Class      string            `json:"class"` // class of work, for interference estimates
	Resources  fleet.Resources   `json:"resources"`
	RunMillis  int64             `json:"run_ms"` // work to do in milliseconds; the stand-in's run time
	Checkpoint string            `json:"checkpoint,omitempty"`
	Parameters string            `json:"parameters,omitempty"`
	// LeaseMillis is the lease duration in milliseconds. The worker stops the
	// task if the lease is not renewed within it.
	LeaseMillis int64 `json:"lease_ms"`
}

// TaskReport is a worker's report on one task.
type TaskReport struct {
	Task    fleet.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
	Epoch   fleet.Epoch  `json:"epoch"`
	State   TaskState    `json:"state"`
	// Class and Resources are those of the StartTask.
	Class      string          `json:"class"`
	Resources  fleet.Resources `json:"resources"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	// ProgressMillis is the work done so far, in milliseconds.
	ProgressMillis int64  `json:"progress_ms"`
	Throttled      bool   `json:"throttled"`
	Error          string `json:"error,omitempty"`
}

// UsageReport is a worker's sample of its resource usage. It lags by AgeMillis.
type UsageReport struct {
	BackendServer fleet.BackendServerID `json:"backend_server"`
	// AgeMillis is the age of the sample at the time of the response, in
	// milliseconds.
	AgeMillis    int64 `json:"age_ms"`
	RequestSlots int   `json:"request_slots"` // slots in use by requests
	Connections  int   `json:"connections"`
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	// Latencies holds the mean service time of each service since the previous
	// sample, in microseconds.
	Latencies map[fleet.Service]int64 `json:"latencies_us,omitempty"`
	Tasks     []TaskReport            `json:"tasks,omitempty"`
}

// Workers controls the tasks on the workers and reads their usage reports.
type Workers interface {
	// Usage returns the latest report of each worker in a data centre.
	Usage(ctx context.Context, dataCentre fleet.DataCentre) ([]UsageReport, error)
	// Start is idempotent for the same task, attempt and epoch.
	Start(ctx context.Context, worker fleet.BackendServerID, start StartTask) error
	// Renew extends the lease of every task of the partition on the worker.
	Renew(ctx context.Context, worker fleet.BackendServerID, partition fleet.PartitionID, epoch fleet.Epoch, lease time.Duration) error
	// Checkpoint saves the task's progress and stops it; the report carries
	// the checkpoint. It is idempotent.
	Checkpoint(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch) (TaskReport, error)
	// Throttle slows the task down or restores its full speed.
	Throttle(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch, throttled bool) error
	// Stop ends the task without a checkpoint. It is idempotent.
	Stop(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch) (TaskReport, error)
}

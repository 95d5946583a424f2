package platformapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	contentJSON  = "application/json"
	contentBytes = "application/octet-stream"
)

// Append adds one record and returns its offset. A record above MaxRecordBytes
// fails with ErrInvalid and without a call. After any other error the record may
// or may not be in the stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error) {
	if len(data) > MaxRecordBytes {
		return 0, errors.Wrapf(ErrInvalid, "record is %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	answer := AppendAnswer{Offset: -1}
	err := c.do(ctx, request{
		method: http.MethodPost, path: []string{"v1", "streams", stream, "records"},
		contentType: contentBytes, body: data,
	}, &answer)
	if err == nil && answer.Offset < 0 {
		err = errors.Wrap(ErrUnavailable, "response to append has no valid offset")
	}
	if err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on. If there are none yet, it waits
// for one for up to wait, at most MaxReadWait.
func (c *Client) Read(ctx context.Context, stream string, from fleet.Offset, wait time.Duration) (Batch, error) {
	wait = min(max(wait, 0), MaxReadWait)
	var batch Batch
	err := c.do(ctx, request{
		method: http.MethodGet, path: []string{"v1", "streams", stream, "records"},
		query: url.Values{
			"from":    {strconv.FormatInt(int64(from), 10)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		extraTimeout: wait,
	}, &batch)
	var truncated *truncatedError
	if errors.As(err, &truncated) {
		return Batch{Oldest: truncated.body.Oldest, Next: truncated.body.Oldest, End: truncated.body.End}, err
	}
	if err != nil {
		return Batch{}, err
	}
	return batch, checkBatch(batch, from)
}

// checkBatch rejects a batch with a gap, so that no reader skips a record.
func checkBatch(b Batch, from fleet.Offset) error {
	for i, r := range b.Records {
		if r.Offset != from+fleet.Offset(i) {
			return errors.Wrapf(ErrUnavailable, "batch has a record at offset %d, expected %d", r.Offset, from+fleet.Offset(i))
		}
	}
	if expected := from + fleet.Offset(len(b.Records)); b.Next != expected {
		return errors.Wrapf(ErrUnavailable, "batch has next offset %d, expected %d", b.Next, expected)
	}
	return nil
}

// Usage returns the latest report of each worker in a data centre.
func (c *Client) Usage(ctx context.Context, dataCentre fleet.DataCentre) ([]UsageReport, error) {
	var answer UsageAnswer
	err := c.do(ctx, request{method: http.MethodGet, path: []string{"v1", "usage", string(dataCentre)}}, &answer)
	return answer.Reports, err
}

// Start starts one attempt of a task on a worker. It is idempotent for the same
// task, attempt and epoch.
func (c *Client) Start(ctx context.Context, worker fleet.BackendServerID, start StartTask) error {
	return c.post(ctx, []string{"v1", "workers", string(worker), "tasks"}, start, nil)
}

// Renew extends the lease of every task of the partition on the worker.
func (c *Client) Renew(ctx context.Context, worker fleet.BackendServerID, partition fleet.PartitionID, epoch fleet.Epoch, lease time.Duration) error {
	body := RenewTasks{Partition: partition, Epoch: epoch, LeaseMillis: lease.Milliseconds()}
	return c.post(ctx, []string{"v1", "workers", string(worker), "leases"}, body, nil)
}

// Checkpoint saves the progress of a task and stops it. It is idempotent.
func (c *Client) Checkpoint(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch) (TaskReport, error) {
	var report TaskReport
	err := c.post(ctx, taskPath(worker, task, "checkpoint"), TaskCall{Attempt: attempt, Epoch: epoch}, &report)
	return report, err
}

// Throttle slows a task down or restores its full speed.
func (c *Client) Throttle(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch, throttled bool) error {
	body := TaskCall{Attempt: attempt, Epoch: epoch, Throttled: throttled}
	return c.post(ctx, taskPath(worker, task, "throttle"), body, nil)
}

// Stop ends a task without a checkpoint. It is idempotent.
func (c *Client) Stop(ctx context.Context, worker fleet.BackendServerID, task fleet.TaskID, attempt int, epoch fleet.Epoch) (TaskReport, error) {
	var report TaskReport
	err := c.post(ctx, taskPath(worker, task, "stop"), TaskCall{Attempt: attempt, Epoch: epoch}, &report)
	return report, err
}

func taskPath(worker fleet.BackendServerID, task fleet.TaskID, verb string) []string {
	return []string{"v1", "workers", string(worker), "tasks", string(task), verb}
}

func (c *Client) post(ctx context.Context, path []string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "encode request body (%v)", err)
	}
	return c.do(ctx, request{method: http.MethodPost, path: path, contentType: contentJSON, body: data}, answer)
}

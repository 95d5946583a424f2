package batch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// runRunner makes worker calls from the shared ring, one at a time.
func (s *Supervisor) runRunner(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	done := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-dumps:
			r.Answer(map[string]int{"calls_done": done})
		case c := <-s.calls.Items():
			result := executeCall(ctx, s.settings.Workers, c.Call)
			done++
			if err := s.results.Put(ctx, message.TaskCallDone{CallResult: result}); err != nil {
				return err
			}
		}
	}
}

// executeCall makes one call. NotAfter is checked immediately before the call is
// sent; the lease of the partition ends no earlier.
func executeCall(ctx context.Context, workers platformapi.Workers, c task.Call) task.CallResult {
	result := task.CallResult{Call: c, Outcome: task.CallNotSent, Observed: task.Observation{Task: c.Task, Attempt: c.Attempt}}
	if !time.Now().Before(c.NotAfter) || ctx.Err() != nil {
		result.Reason = "time limit passed before the call was sent"
		return result
	}
	ctx, cancel := context.WithDeadline(ctx, c.NotAfter)
	defer cancel()
	report, err := send(ctx, workers, c)
	result.Outcome = outcomeOf(c.Kind, err)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	if c.Kind == task.StopCall || c.Kind == task.CheckpointCall {
		result.Observed.State = stateOf(report.State)
		result.Observed.Checkpoint, result.Observed.Reason = report.Checkpoint, report.Error
	}
	return result
}

func send(ctx context.Context, w platformapi.Workers, c task.Call) (platformapi.TaskReport, error) {
	switch c.Kind {
	case task.StartCall:
		return platformapi.TaskReport{}, w.Start(ctx, c.Server, platformapi.StartTask{
			Task: c.Task.ID(), Attempt: c.Attempt, Partition: c.Partition, Epoch: c.Epoch,
			Class: c.WorkKind, Resources: c.Resources, RunMillis: c.RunTime.Milliseconds(),
			Checkpoint: c.Checkpoint, Parameters: c.Parameters, LeaseMillis: c.Lease.Milliseconds(),
		})
	case task.CheckpointCall:
		return w.Checkpoint(ctx, c.Server, c.Task.ID(), c.Attempt, c.Epoch)
	case task.StopCall:
		return w.Stop(ctx, c.Server, c.Task.ID(), c.Attempt, c.Epoch)
	case task.ThrottleCall:
		return platformapi.TaskReport{}, w.Throttle(ctx, c.Server, c.Task.ID(), c.Attempt, c.Epoch, c.Throttled)
	default:
		return platformapi.TaskReport{}, w.Renew(ctx, c.Server, c.Partition, c.Epoch, c.Lease)
	}
}

// outcomeOf distinguishes a refusal without effect from a call that may have
// had an effect. ErrUnknown for a stop or checkpoint proves that the task does
// not run on that worker.
func outcomeOf(kind task.CallKind, err error) task.CallOutcome {
	switch {
	case err == nil:
		return task.CallDone
	case errors.Is(err, platformapi.ErrUnknown) && (kind == task.StopCall || kind == task.CheckpointCall):
		return task.CallDone
	case errors.Is(err, platformapi.ErrInvalid), errors.Is(err, platformapi.ErrFenced):
		return task.CallRefused
	default:
		return task.CallUnknown
	}
}

func stateOf(s platformapi.TaskState) task.WorkerState {
	switch s {
	case platformapi.TaskRunning:
		return task.WorkerRunning
	case platformapi.TaskSucceeded:
		return task.WorkerSucceeded
	case platformapi.TaskFailed:
		return task.WorkerFailed
	case platformapi.TaskCheckpointed:
		return task.WorkerCheckpointed
	case platformapi.TaskStopped:
		return task.WorkerStopped
	default:
		return task.NotReported
	}
}

// observations converts the reports on tasks that this system started. It skips
// tasks whose identifiers have another form.
func observations(reports []platformapi.TaskReport) []task.Observation {
	list := make([]task.Observation, 0, len(reports))
	for _, r := range reports {
		if ref, ok := task.ParseRef(r.Task); ok {
			list = append(list, task.Observation{
				Task: ref, Attempt: r.Attempt, State: stateOf(r.State), Checkpoint: r.Checkpoint, Reason: r.Error,
			})
		}
	}
	return list
}

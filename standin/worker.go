package standin

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

const (
	// ParameterFails is the value of a task's parameters that makes every
	// attempt fail.
	ParameterFails = "simulate=fail"
	// throttledSpeedPercent is the speed of a throttled task in percent of full
	// speed.
	throttledSpeedPercent = 50
	// maxEndedTasks limits the ended tasks that a worker keeps.
	maxEndedTasks = 256
)

// task is one attempt of a task on a worker. Each use of its state calls update
// first, so that no timer is needed.
type task struct {
	start      platformapi.StartTask
	state      platformapi.TaskState
	checkpoint string
	cause      string // error text of the report
	throttled  bool
	progress   time.Duration // work done up to updatedAt
	updatedAt  time.Time
	leaseEnd   time.Time
}

func (t *task) running() bool { return t.state == platformapi.TaskRunning }

// slots returns the slots that the task uses, at least one.
func (t *task) slots() int { return max(1, t.start.Resources.Slots) }

// progressLost reports whether the work done since the start of the attempt is
// lost.
func (t *task) progressLost() bool {
	return t.state == platformapi.TaskFailed || t.state == platformapi.TaskStopped
}

// speed returns the speed in percent of full speed.
func (t *task) speed() int64 {
	if t.throttled {
		return throttledSpeedPercent
	}
	return 100
}

// update advances the task to now. The task may have finished, or stopped because
// its lease lapsed, whichever was first.
func (t *task) update(now time.Time) {
	if !t.running() {
		return
	}
	left := time.Duration(t.start.RunMillis)*time.Millisecond - t.progress
	finish := t.updatedAt.Add(left * 100 / time.Duration(t.speed()))
	switch {
	case !finish.After(now) && !finish.After(t.leaseEnd):
		t.progress += left
		t.state = platformapi.TaskSucceeded
	case !t.leaseEnd.After(now):
		t.advance(t.leaseEnd)
		t.end(platformapi.TaskStopped, "lease lapsed")
	default:
		t.advance(now)
	}
}

// advance adds the work done from updatedAt to now.
func (t *task) advance(now time.Time) {
	t.progress += now.Sub(t.updatedAt) * time.Duration(t.speed()) / 100
	t.updatedAt = now
}

func (t *task) end(state platformapi.TaskState, cause string) {
	t.state = state
	t.cause = cause
}

func (t *task) report() platformapi.TaskReport {
	return platformapi.TaskReport{
		Task: t.start.Task, Attempt: t.start.Attempt, Epoch: t.start.Epoch, State: t.state,
		Class: t.start.Class, Resources: t.start.Resources,
		Checkpoint: t.checkpoint, ProgressMillis: t.progress.Milliseconds(),
		Throttled: t.throttled, Error: t.cause,
	}
}

// updateTasks updates all tasks of a worker and drops the oldest ended tasks
// beyond maxEndedTasks. The caller holds the lock.
func (m *machines) updateTasks(s *machine, now time.Time) {
	ended := 0
	for _, t := range s.tasks {
		t.update(now)
		if t.running() && s.faults.Mode == BackendFailing {
			t.end(platformapi.TaskFailed, "worker fails everything")
		}
		if !t.running() {
			ended++
		}
	}
	if ended <= maxEndedTasks {
		return
	}
	kept := s.tasks[:0]
	for _, t := range s.tasks {
		if !t.running() && ended > maxEndedTasks {
			ended--
			continue
		}
		kept = append(kept, t)
	}
	clear(s.tasks[len(kept):])
	s.tasks = kept
}

// findTask returns an attempt of a task, or nil.
func (s *machine) findTask(id fleet.TaskID, attempt int) *task {
	for _, t := range s.tasks {
		if t.start.Task == id && t.start.Attempt == attempt {
			return t
		}
	}
	return nil
}

// checkEpoch rejects an epoch older than the newest one that the worker has seen
// for the partition; it records a newer one.
func (s *machine) checkEpoch(p fleet.PartitionID, epoch fleet.Epoch) error {
	if seen := s.epochs[p]; epoch < seen {
		return errors.Wrapf(platformapi.ErrFenced, "partition %s: got epoch %d, expected at least %d", p, epoch, seen)
	}
	s.epochs[p] = epoch
	return nil
}

// worker returns a worker with its tasks updated to now, and now. The caller
// holds the lock.
func (m *machines) worker(id fleet.BackendServerID) (*machine, time.Time, error) {
	now := time.Now()
	s := m.servers[id]
	if s == nil {
		return nil, now, errors.Wrapf(platformapi.ErrUnknown, "worker %q", id)
	}
	if s.faults.Mode == BackendDown {
		return nil, now, errors.Wrapf(platformapi.ErrUnavailable, "worker %q is down", id)
	}
	m.updateTasks(s, now)
	return s, now, nil
}

// startTask starts one attempt of a task. A repeated start has no effect.
func (m *machines) startTask(id fleet.BackendServerID, start platformapi.StartTask) error {
	if start.Task == "" || start.Attempt < 1 || start.Partition == "" || start.LeaseMillis <= 0 || start.RunMillis < 0 {
		return errors.Wrap(platformapi.ErrInvalid, "start must have task, attempt, partition, lease_ms above 0 and run_ms of at least 0")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, now, err := m.worker(id)
	if err != nil {
		return err
	}
	if err := s.checkEpoch(start.Partition, start.Epoch); err != nil {
		return err
	}
	if t := s.findTask(start.Task, start.Attempt); t != nil {
		if t.start.Epoch == start.Epoch {
			return nil
		}
		return errors.Wrapf(platformapi.ErrInvalid, "attempt %d of task %q was started under epoch %d", start.Attempt, start.Task, t.start.Epoch)
	}
	progress, exists := m.checkpoints.progress[start.Checkpoint]
	if start.Checkpoint != "" && !exists {
		return errors.Wrapf(platformapi.ErrInvalid, "checkpoint %q does not exist", start.Checkpoint)
	}
	m.startAttempt(s, start, time.Duration(progress)*time.Millisecond, now)
	return nil
}

// startAttempt runs a new attempt with the progress of its checkpoint and counts
// the violations that it causes. The caller holds the lock.
func (m *machines) startAttempt(s *machine, start platformapi.StartTask, progress time.Duration, now time.Time) {
	if m.runsAnywhere(start.Task, now) {
		m.violations.TasksInTwoPlaces++
	}
	t := &task{
		start: start, state: platformapi.TaskRunning, progress: progress, updatedAt: now,
		leaseEnd: now.Add(time.Duration(start.LeaseMillis) * time.Millisecond),
	}
	if !m.checkpoints.resume(start.Checkpoint, t) {
		m.violations.CheckpointsResumedAgain++
	}
	s.tasks = append(s.tasks, t)
	s.stats.TasksStarted++
	m.countStart(s, now)
	switch {
	case s.faults.Mode == BackendFailing:
		t.end(platformapi.TaskFailed, "worker fails everything")
	case start.Parameters == ParameterFails:
		t.end(platformapi.TaskFailed, "task fails everywhere")
	}
}

// runsAnywhere reports whether an attempt of the task runs on any worker. The
// caller holds the lock.
func (m *machines) runsAnywhere(id fleet.TaskID, now time.Time) bool {
	for _, s := range m.servers {
		m.updateTasks(s, now)
		for _, t := range s.tasks {
			if t.start.Task == id && t.running() {
				return true
			}
		}
	}
	return false
}

// renewTasks extends the leases of the partition's running tasks on a worker.
func (m *machines) renewTasks(id fleet.BackendServerID, r platformapi.RenewTasks) error {
	if r.Partition == "" || r.LeaseMillis <= 0 {
		return errors.Wrap(platformapi.ErrInvalid, "renewal must have partition and lease_ms above 0")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, now, err := m.worker(id)
	if err != nil {
		return err
	}
	if err := s.checkEpoch(r.Partition, r.Epoch); err != nil {
		return err
	}
	for _, t := range s.tasks {
		if t.running() && t.start.Partition == r.Partition {
			t.leaseEnd = now.Add(time.Duration(r.LeaseMillis) * time.Millisecond)
		}
	}
	return nil
}

// changeTask applies a change to a running task and returns its report. An ended
// task is reported unchanged, which makes the calls idempotent.
func (m *machines) changeTask(id fleet.BackendServerID, name fleet.TaskID, call platformapi.TaskCall, change func(*task)) (platformapi.TaskReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, _, err := m.worker(id)
	if err != nil {
		return platformapi.TaskReport{}, err
	}
	t := s.findTask(name, call.Attempt)
	if t == nil {
		return platformapi.TaskReport{}, errors.Wrapf(platformapi.ErrUnknown, "attempt %d of task %q", call.Attempt, name)
	}
	if err := s.checkEpoch(t.start.Partition, call.Epoch); err != nil {
		return platformapi.TaskReport{}, err
	}
	if t.running() {
		change(t)
	}
	return t.report(), nil
}

// saveCheckpoint saves the progress of a task as a checkpoint and ends the task.
func (m *machines) saveCheckpoint(t *task) {
	t.checkpoint = fmt.Sprintf("%s/%d/%d", t.start.Task, t.start.Attempt, t.progress.Milliseconds())
	m.checkpoints.progress[t.checkpoint] = t.progress.Milliseconds()
	t.end(platformapi.TaskCheckpointed, "")
}

package standin

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

const (
	// ParameterFails as the parameters of a task makes every attempt fail.
	ParameterFails = "simulate=fail"
	// throttledSpeedPercent is the speed of a throttled task in percent.
	throttledSpeedPercent = 50
	// maxEndedTasks bounds a worker's history of ended tasks.
	maxEndedTasks = 256
)

// task is one attempt of a task on a worker. Its state is brought up to date
// by settle before each use, so that no timer is needed.
type task struct {
	start      platformapi.StartTask
	state      platformapi.TaskState
	checkpoint string
	cause      string
	throttled  bool
	progress   time.Duration // work done up to settledAt
	updatedAt  time.Time
	leaseEnd   time.Time
}

func (t *task) running() bool { return t.state == platformapi.TaskRunning }

func (t *task) slots() int { return max(1, t.start.Resources.Slots) }

// progressLost is true when the work since the attempt's start is lost.
func (t *task) progressLost() bool {
	return t.state == platformapi.TaskFailed || t.state == platformapi.TaskStopped
}

func (t *task) speed() int64 {
	if t.throttled {
		return throttledSpeedPercent
	}
	return 100
}

// update brings a task to its state at now: it may have finished, or ended
// itself when its lease lapsed, whichever was first.
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

// updateTasks brings all tasks of a worker to now and bounds its history.
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

func (s *machine) findTask(id fleet.TaskID, attempt int) *task {
	for _, t := range s.tasks {
		if t.start.Task == id && t.start.Attempt == attempt {
			return t
		}
	}
	return nil
}

// checkEpoch refuses a call of an older epoch than the worker has seen.
func (s *machine) checkEpoch(p fleet.PartitionID, epoch fleet.Epoch) error {
	if seen := s.epochs[p]; epoch < seen {
		return errors.Wrapf(platformapi.ErrFenced, "partition %s: epoch %d, seen %d", p, epoch, seen)
	}
	s.epochs[p] = epoch
	return nil
}

// worker returns a worker with its tasks settled. The caller holds the lock.
func (m *machines) worker(id fleet.BackendServerID) (*machine, time.Time, error) {
	now := time.Now()
	s := m.servers[id]
	if s == nil {
		return nil, now, errors.Wrapf(platformapi.ErrUnknown, "worker %q", id)
	}
	if s.faults.Mode == BackendDown {
		return nil, now, errors.Wrapf(platformapi.ErrUnavailable, "worker %q", id)
	}
	m.updateTasks(s, now)
	return s, now, nil
}

func (m *machines) startTask(id fleet.BackendServerID, start platformapi.StartTask) error {
	if start.Task == "" || start.Attempt < 1 || start.Partition == "" || start.LeaseMillis <= 0 || start.RunMillis < 0 {
		return errors.Wrap(platformapi.ErrInvalid, "start needs task, attempt, partition and lease_ms")
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
	progress, known := m.checkpoints.progress[start.Checkpoint]
	if start.Checkpoint != "" && !known {
		return errors.Wrapf(platformapi.ErrInvalid, "checkpoint %q does not exist", start.Checkpoint)
	}
	m.startAttempt(s, start, time.Duration(progress)*time.Millisecond, now)
	return nil
}

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

func (m *machines) renewTasks(id fleet.BackendServerID, r platformapi.RenewTasks) error {
	if r.Partition == "" || r.LeaseMillis <= 0 {
		return errors.Wrap(platformapi.ErrInvalid, "renewal needs partition and lease_ms")
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

// changeTask applies a change to one running task and returns its report. A task
// that has ended is only reported, which makes the calls idempotent.
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

// saveCheckpoint ends a task with its progress saved.
func (m *machines) saveCheckpoint(t *task) {
	t.checkpoint = fmt.Sprintf("%s/%d/%d", t.start.Task, t.start.Attempt, t.progress.Milliseconds())
	m.checkpoints.progress[t.checkpoint] = t.progress.Milliseconds()
	t.end(platformapi.TaskCheckpointed, "")
}

package cell

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// begin starts a life of the worker, with nothing in memory.
func (w *modelWorker) begin() {
	w.up, w.bornAt = true, w.m.now
	w.born = int64(w.m.now/time.Millisecond) + 1
	w.token, w.lease, w.lastEnd, w.acked, w.void = 0, 0, 0, 0, 0
	w.runs, w.refused, w.ends = map[runKey]*modelRun{}, map[job.TaskRef]int{}, nil
}

// crash ends all that runs; the worker begins anew under the same identifier.
func (w *modelWorker) crash(down time.Duration) {
	if !w.up {
		return
	}
	w.up, w.runs = false, nil
	w.m.after(down, func() {
		w.begin()
		w.m.holder().handle(ServerListed{Server: w.server()})
	})
}

func (w *modelWorker) server() Server {
	return Server{ID: w.id, Address: string(w.id), Service: "service", Capacity: w.capacity, Incarnation: w.born, Labels: []string{"a", "r1"}}
}

// sortedKeys returns the runs in an order that does not change between plays.
func (w *modelWorker) sortedKeys() []runKey {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b runKey) int {
		return cmp.Or(strings.Compare(a.task.String(), b.task.String()), a.attempt-b.attempt)
	})
}

func (w *modelWorker) clock() time.Duration {
	return time.Duration(float64(w.m.now-w.bornAt)*w.slow) + time.Millisecond
}

func (w *modelWorker) extend(deadline time.Duration) {
	if deadline == 0 {
		return
	}
	w.lease = max(w.lease, min(deadline, w.clock()+DefaultSettings().MaxLease))
	born := w.born
	left := time.Duration(float64(w.lease-w.clock()) / w.slow)
	w.m.after(left+time.Millisecond, func() {
		if w.up && w.born == born && w.clock() >= w.lease {
			w.void = w.lastEnd
			for _, key := range w.sortedKeys() {
				w.end(w.runs[key], job.EndLeaseExpired)
			}
		}
	})
}

func (w *modelWorker) hold(epoch int, h Hold) Event {
	held := HoldAnswered{Server: w.id, Number: h.Number, Sent: w.m.now, Incarnation: w.born, Clock: w.clock()}
	if epoch < w.token {
		held.Fenced = true
		return held
	}
	w.token = epoch
	w.extend(h.Deadline)
	if h.Ack > w.acked {
		w.acked = h.Ack
		for len(w.ends) > 0 && w.ends[0].Number <= h.Ack {
			w.acknowledge(w.ends[0])
			w.ends = w.ends[1:]
		}
	}
	held.OK = true
	for _, key := range w.sortedKeys() {
		r := w.runs[key]
		percent := 100
		if r.length > 0 {
			percent = int(100 * (w.m.now - r.began) / r.length)
		}
		held.Running = append(held.Running, RunningRow{Task: key.task, Attempt: key.attempt, Percent: min(percent, 100)})
	}
	held.Finished = append(held.Finished, w.ends...)
	return held
}

// acknowledge takes note of an end. One that was listed before the lease lapsed
// does not count as noted.
func (w *modelWorker) acknowledge(row FinishedRow) {
	if row.Number <= w.void {
		return
	}
	switch row.End {
	case job.EndDone:
		w.m.noted[row.Task] = true
	case job.EndFailed:
		w.m.failed[row.Task]++
	}
}

func (w *modelWorker) start(epoch int, s Start) Event {
	answer := StartAnswered{Server: w.id, Task: s.Task, Attempt: s.Attempt, Sent: w.m.now, Clock: w.clock()}
	key := runKey{s.Task, s.Attempt}
	switch {
	case epoch < w.token:
		answer.Outcome = StartFenced
		return answer
	case s.Attempt <= w.refused[s.Task]:
		answer.Outcome = StartOldAttempt
		return answer
	case w.clock() >= s.Deadline:
		answer.Outcome = StartExpired
		return answer
	}
	w.token = epoch
	answer.Outcome = StartAccepted
	if w.runs[key] != nil {
		return answer
	}
	w.check(s)
	w.extend(s.Deadline)
	w.begins(key)
	return answer
}

// check looks whether the promises allow a start.
func (w *modelWorker) check(s Start) {
	m := w.m
	j := m.jobs[s.Task.Job]
	step := &j.job.Steps[s.Task.Step]
	used := step.Need
	for key := range w.runs {
		used = used.Add(m.jobs[key.task.Job].job.Steps[key.task.Step].Need)
	}
	if !used.Fits(w.capacity) {
		m.fault("LIMIT: %s on %s takes %+v", s.Task, w.id, used)
	}
	for _, other := range m.workers {
		for key := range other.runs {
			if other.up && key.task == s.Task && !step.Speculative {
				m.fault("TWICE: %s runs on %s (attempt %d) and starts on %s (attempt %d)", s.Task, other.id, key.attempt, w.id, s.Attempt)
			}
		}
	}
	if m.noted[s.Task] && !step.LongRunning {
		m.fault("TWICE: %s starts after its end was acknowledged", s.Task)
	}
	for _, before := range step.After {
		for i := range j.job.Steps[before].Count {
			if !j.doneTasks[job.TaskRef{Job: s.Task.Job, Step: before, Index: i}] {
				m.fault("ORDER: %s starts before step %d is done", s.Task, before)
			}
		}
	}
	if m.failed[s.Task] >= m.queue.MaxAttempts && !step.LongRunning {
		m.fault("BUDGET: %s starts after %d failed runs", s.Task, m.failed[s.Task])
	}
	if j.cancelled > 0 && m.now > j.cancelled+3*time.Second {
		m.fault("UNASKED: %s starts %v after its cancellation", s.Task, m.now-j.cancelled)
	}
}

func (w *modelWorker) begins(key runKey) {
	m := w.m
	j := m.jobs[key.task.Job]
	step := &j.job.Steps[key.task.Step]
	m.seq++
	r := &modelRun{key: key, began: m.now, serial: m.seq, fails: j.poison || m.random.Float64() < 0.02}
	w.runs[key] = r
	if step.LongRunning {
		return
	}
	r.length = step.Estimate/2 + time.Duration(m.random.Int64N(int64(step.Estimate)))
	born := w.born
	m.after(r.length, func() {
		if !w.up || w.born != born || w.runs[key] != r || r.stopping {
			return
		}
		if r.fails {
			w.end(r, job.EndFailed)
			return
		}
		j.doneTasks[key.task] = true
		w.end(r, job.EndDone)
	})
}

func (w *modelWorker) end(r *modelRun, how job.End) {
	delete(w.runs, r.key)
	w.refused[r.key.task] = max(w.refused[r.key.task], r.key.attempt)
	w.lastEnd++
	w.ends = append(w.ends, FinishedRow{Number: w.lastEnd, Task: r.key.task, Attempt: r.key.attempt, End: how})
}

func (w *modelWorker) stop(epoch int, s Stop) Event {
	answer := StopAnswered{Server: w.id, Task: s.Task, Attempt: s.Attempt}
	if epoch < w.token {
		answer.Fenced = true
		return answer
	}
	w.token = epoch
	answer.OK = true
	w.refused[s.Task] = max(w.refused[s.Task], s.Attempt)
	for _, key := range w.sortedKeys() {
		r := w.runs[key]
		if key.task != s.Task || key.attempt > s.Attempt || r.stopping {
			continue
		}
		r.stopping = true
		born := w.born
		w.m.after(time.Duration(w.m.random.Int64N(int64(800*time.Millisecond))), func() {
			if w.up && w.born == born && w.runs[key] == r {
				w.end(r, job.EndStopped)
			}
		})
	}
	return answer
}

// smallJob is a job of two steps.
func smallJob(m *model, id fleet.JobID) job.Job {
	need := fleet.Resources{MilliCPU: 2000 + m.random.Int64N(5000), MemoryMiB: 1000}
	j := job.Job{ID: id, Queue: "queue", Steps: []job.Step{
		{Count: 1 + m.random.IntN(6), Need: need, Estimate: 800 * time.Millisecond, Speculative: m.random.Float64() < 0.2},
		{Count: 1 + m.random.IntN(4), Need: need, Estimate: 1200 * time.Millisecond, After: []int{0}},
	}}
	if m.random.Float64() < 0.08 {
		j.Steps = []job.Step{{Count: 1 + m.random.IntN(3), Need: need, LongRunning: true}}
	}
	return j
}

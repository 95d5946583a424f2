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

// boot starts a new incarnation of the worker with empty state.
func (w *modelWorker) boot() {
	w.up, w.bootedAt = true, w.m.now
	w.incarnation = int64(w.m.now/time.Millisecond) + 1
	w.highestToken, w.leaseExpiry, w.lastEndNumber, w.acknowledgedThrough, w.voidThrough = 0, 0, 0, 0, 0
	w.runs, w.refusedAttempts, w.ends = map[runKey]*modelRun{}, map[job.TaskRef]int{}, nil
}

// crash ends all runs and reboots the worker under the same identifier after the
// given downtime.
func (w *modelWorker) crash(downtime time.Duration) {
	if !w.up {
		return
	}
	w.m.countCrash(w)
	w.up, w.runs = false, nil
	w.m.after(downtime, func() {
		w.boot()
		if !w.cutOff {
			w.m.holder().handle(ServerListed{Server: w.server()})
		}
	})
}

// cutOffFor cuts the worker off from all holders and from the server list.
func (w *modelWorker) cutOffFor(duration time.Duration) {
	w.disconnected, w.cutOff = true, true
	w.m.after(duration, func() {
		if w.disconnected, w.cutOff = false, false; w.up {
			w.m.holder().handle(ServerListed{Server: w.server()})
		}
	})
}

// server returns the entry of the worker in the server list.
func (w *modelWorker) server() Server {
	s := Server{ID: w.id, Address: string(w.id), Service: "service", Capacity: w.capacity, Incarnation: w.incarnation, Labels: []string{"a", "r1"}, Draining: w.draining, DataCentre: w.dataCentre}
	if w.region != nil {
		s.DataCentre = w.region.name
	}
	return s
}

// sortedKeys returns the keys of the runs in a deterministic order.
func (w *modelWorker) sortedKeys() []runKey {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b runKey) int {
		return cmp.Or(strings.Compare(a.task.String(), b.task.String()), a.attempt-b.attempt)
	})
}

// clock returns the time since the boot by the clock of the worker.
func (w *modelWorker) clock() time.Duration {
	return time.Duration(float64(w.m.now-w.bootedAt)*w.clockRate) + time.Millisecond
}

// extendLease extends the lease to the deadline, but by no more than MaxLease from
// now. When the lease expires, all runs end.
func (w *modelWorker) extendLease(deadline time.Duration) {
	if deadline == 0 {
		return
	}
	w.leaseExpiry = max(w.leaseExpiry, min(deadline, w.clock()+DefaultSettings().MaxLease))
	incarnation := w.incarnation
	remaining := time.Duration(float64(w.leaseExpiry-w.clock()) / w.clockRate)
	w.m.after(remaining+time.Millisecond, func() {
		if w.up && w.incarnation == incarnation && w.clock() >= w.leaseExpiry {
			w.voidThrough = w.lastEndNumber
			for _, key := range w.sortedKeys() {
				w.endRun(w.runs[key], job.EndLeaseExpired)
			}
		}
	})
}

// hold executes a Hold call.
func (w *modelWorker) hold(token fleet.FencingToken, h Hold) Event {
	held := HoldAnswered{Server: w.id, Number: h.Number, Sent: w.m.now, Incarnation: w.incarnation, Clock: w.clock()}
	if token < w.highestToken {
		held.Fenced = true
		return held
	}
	w.highestToken = token
	w.extendLease(h.Deadline)
	if h.Ack > w.acknowledgedThrough {
		w.acknowledgedThrough = h.Ack
		for len(w.ends) > 0 && w.ends[0].Number <= h.Ack {
			w.acknowledge(w.ends[0])
			w.ends = w.ends[1:]
		}
	}
	held.OK = true
	for _, key := range w.sortedKeys() {
		r := w.runs[key]
		percent := 100
		if r.duration > 0 {
			percent = int(100 * (w.m.now - r.startedAt) / r.duration)
		}
		held.Running = append(held.Running, RunningRow{Task: key.task, Attempt: key.attempt, Percent: min(percent, 100)})
	}
	held.Finished = append(held.Finished, w.ends...)
	if limit := w.m.faults.listedEnds; limit > 0 && len(w.ends) >= limit {
		held.Finished, held.MoreEnds = held.Finished[:limit], true
	}
	return held
}

// acknowledge records an acknowledged end. Ends that were listed before the lease
// expired do not count.
func (w *modelWorker) acknowledge(row FinishedRow) {
	if row.Number <= w.voidThrough {
		return
	}
	switch row.End {
	case job.EndDone:
		w.m.acknowledgedDone[row.Task] = w.m.now
	case job.EndFailed:
		w.m.failedRuns[row.Task]++
	}
}

// start executes a Start call that was ordered at the given time.
func (w *modelWorker) start(epoch int, token fleet.FencingToken, s Start, ordered time.Duration) Event {
	answer := StartAnswered{Server: w.id, Task: s.Task, Attempt: s.Attempt, Sent: w.m.now, Clock: w.clock()}
	key := runKey{s.Task, s.Attempt}
	switch {
	case token < w.highestToken:
		answer.Outcome = StartFenced
		return answer
	case s.Attempt <= w.refusedAttempts[s.Task]:
		answer.Outcome = StartOldAttempt
		return answer
	case w.clock() >= s.Deadline:
		answer.Outcome = StartExpired
		return answer
	}
	w.highestToken = token
	answer.Outcome = StartAccepted
	if w.runs[key] != nil {
		return answer
	}
	w.checkStart(s, ordered)
	w.m.checkStartAfterCrashes(epoch, s.Task)
	w.extendLease(s.Deadline)
	w.beginRun(key)
	return answer
}

// checkStart checks a start against the scheduling guarantees.
func (w *modelWorker) checkStart(s Start, ordered time.Duration) {
	m := w.m
	j := m.jobs[s.Task.Job]
	step := &j.job.Steps[s.Task.Step]
	used := step.Need
	for key := range w.runs {
		used = used.Add(m.jobs[key.task.Job].job.Steps[key.task.Step].Need)
	}
	if !used.Fits(w.room(ordered)) {
		m.reportf("LIMIT: starting %s on %s raises the resources in use to %+v, more than its capacity", s.Task, w.id, used)
	}
	for _, other := range m.workers {
		for key := range other.runs {
			if other.up && key.task == s.Task && !step.Speculative {
				m.reportf("TWICE: %s is running on %s (attempt %d) and is started on %s (attempt %d)", s.Task, other.id, key.attempt, w.id, s.Attempt)
			}
		}
	}
	// A copy of a speculative task may be carried out late.
	if done := m.acknowledgedDone[s.Task]; done > 0 && !step.LongRunning && (!step.Speculative || ordered > done) {
		m.reportf("TWICE: %s is started after its end as done was acknowledged", s.Task)
	}
	for _, before := range step.After {
		for i := range j.job.Steps[before].Count {
			if !j.doneTasks[job.TaskRef{Job: s.Task.Job, Step: before, Index: i}] {
				m.reportf("ORDER: %s is started before step %d is done", s.Task, before)
			}
		}
	}
	if m.failedRuns[s.Task] >= m.queue.MaxAttempts && !step.LongRunning {
		m.reportf("BUDGET: %s is started after %d failed runs", s.Task, m.failedRuns[s.Task])
	}
	m.checkEvacuation(w, s, ordered)
	// The bound does not count for orders that a worker carries out late.
	if j.cancelled > 0 && ordered > j.cancelled+3*time.Second {
		m.reportf("UNASKED: %s is started %v after its cancellation", s.Task, ordered-j.cancelled)
	}
}

// beginRun starts a run and schedules its end unless it is long-running.
func (w *modelWorker) beginRun(key runKey) {
	m := w.m
	j := m.jobs[key.task.Job]
	step := &j.job.Steps[key.task.Step]
	m.seq++
	r := &modelRun{key: key, startedAt: m.now, serial: m.seq, fails: j.alwaysFails || m.random.Float64() < 0.02}
	r.fails = r.fails && !step.Gang // the model counts failed runs by task, and a gang fails as a whole
	w.runs[key] = r
	if j.crashing[key.task] {
		w.crashSoon(r)
	}
	if step.LongRunning {
		return
	}
	r.duration = step.Estimate/2 + time.Duration(m.random.Int64N(int64(step.Estimate)))
	incarnation := w.incarnation
	m.after(r.duration, func() {
		if !w.up || w.incarnation != incarnation || w.runs[key] != r || r.stopping {
			return
		}
		if r.fails {
			w.endRun(r, job.EndFailed)
			return
		}
		m.taskDone(j, key.task)
		w.endRun(r, job.EndDone)
	})
}

// endRun ends a run and adds its end to the list for the holder.
func (w *modelWorker) endRun(r *modelRun, end job.End) {
	delete(w.runs, r.key)
	w.refusedAttempts[r.key.task] = max(w.refusedAttempts[r.key.task], r.key.attempt)
	w.lastEndNumber++
	w.ends = append(w.ends, FinishedRow{Number: w.lastEndNumber, Task: r.key.task, Attempt: r.key.attempt, End: end})
}

// stop executes a Stop call. Runs end up to 800 ms later.
func (w *modelWorker) stop(token fleet.FencingToken, s Stop, sent time.Duration) Event {
	answer := StopAnswered{Server: w.id, Task: s.Task, Attempt: s.Attempt, Generation: s.Generation, Sent: sent}
	if token < w.highestToken {
		answer.Fenced = true
		return answer
	}
	w.highestToken = token
	answer.OK = true
	w.refusedAttempts[s.Task] = max(w.refusedAttempts[s.Task], s.Attempt)
	for _, key := range w.sortedKeys() {
		r := w.runs[key]
		if key.task != s.Task || key.attempt > s.Attempt || r.stopping {
			continue
		}
		r.stopping = true
		incarnation := w.incarnation
		w.m.after(time.Duration(w.m.random.Int64N(int64(800*time.Millisecond))), func() {
			if w.up && w.incarnation == incarnation && w.runs[key] == r {
				w.endRun(r, job.EndStopped)
			}
		})
	}
	return answer
}

// randomJob draws a job of two steps, or in 8 % of cases one with a single
// long-running step.
func randomJob(m *model, id fleet.JobID) job.Job {
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

package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// health is the evidence that a worker is faulty although it answers. A worker
// that fails every task immediately always has free capacity and would get most
// further tasks.
type health struct {
	failedJobs       []fleet.JobID // jobs with a failed task there since the last success
	failedAt         time.Duration
	doneAt           time.Duration
	quarantinedUntil time.Duration
	quarantineTime   time.Duration // length of the last quarantine
	refusedAt        time.Duration
	refusals         int
	stalls           int
}

const (
	// quarantineThreshold is the number of jobs with failed tasks, without a
	// success in between, that quarantine a worker. A single job may fail by its
	// own fault on any worker. The same number of stalls has the same effect.
	quarantineThreshold = 2
	// refusalThreshold is the number of refused starts, each within
	// suspicionTime of the one before, that quarantine a worker.
	refusalThreshold = 3
	// minQuarantine and maxQuarantine bound the length of a quarantine, after
	// which a worker gets one task at a time. Faults of a worker usually last a
	// few seconds.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// suspicionTime is how long other workers are preferred after a single
	// failure.
	suspicionTime = 3 * time.Second
	// stallTimeout is how long the lists may show the same progress of a run
	// before it counts as stalled. A task of 15 s advances by one percent every
	// 150 ms.
	stallTimeout = 1500 * time.Millisecond
	// bestEffortStallTimeout is the stallTimeout of a best-effort run, which gets
	// only idle processor time.
	bestEffortStallTimeout = 4 * time.Second
)

// ended applies the end of a run to the evidence.
func (h *health) ended(now time.Duration, r *run, end job.End) {
	switch end {
	case job.EndDone:
		h.failedJobs, h.doneAt = h.failedJobs[:0], now
		h.quarantineTime, h.quarantinedUntil, h.stalls = 0, 0, 0
	case job.EndFailed:
		if len(r.task.failed) > 0 && !slices.Contains(r.task.avoid, r.worker.server.ID) {
			return // it has failed on other workers: the task is at fault
		}
		h.failedAt = now
		if !slices.Contains(h.failedJobs, r.key.task.Job) {
			h.failedJobs = append(h.failedJobs, r.key.task.Job)
		}
		if len(h.failedJobs) >= quarantineThreshold {
			h.quarantine(now)
		}
	}
}

// healthyAfter is how long a long-running task has to run at full speed before
// it shows that its worker is healthy, as such a task never ends as done. A
// faulty worker fails a task within its run time, which is shorter.
const healthyAfter = 2 * time.Second

// markHealthy clears the evidence against a worker after its quarantine.
func (h *health) markHealthy() {
	if h.quarantineTime > 0 {
		h.failedJobs = h.failedJobs[:0]
		h.quarantineTime, h.quarantinedUntil, h.stalls = 0, 0, 0
	}
}

// quarantine begins a quarantine unless the worker is in one. Each quarantine is
// twice as long as the last one, up to maxQuarantine.
func (h *health) quarantine(now time.Duration) {
	if h.quarantinedUntil > now {
		return
	}
	h.quarantineTime = min(max(minQuarantine, h.quarantineTime*2), maxQuarantine)
	h.quarantinedUntil = now + h.quarantineTime
}

// refused applies a refused start to the evidence.
func (h *health) refused(now time.Duration) {
	if now-h.refusedAt > suspicionTime {
		h.refusals = 0
	}
	h.refusedAt = now
	h.refusals++
	if h.refusals >= refusalThreshold {
		h.quarantine(now)
	}
}

// logHealth logs that a worker was quarantined or cleared. before is the end
// of its quarantine before the new evidence.
func (c *Cell) logHealth(w *worker, before time.Duration, evidence string) {
	after := w.health.quarantinedUntil
	switch {
	case after == before:
	case after == 0:
		c.emit(Note{Event: NoteWorkerCleared, Server: w.server.ID, Detail: map[string]any{"evidence": evidence}})
	default:
		c.emit(Note{Event: NoteWorkerQuarantined, Server: w.server.ID, Detail: map[string]any{
			"evidence": evidence, "failed_jobs": len(w.health.failedJobs), "refusals": w.health.refusals, "aside_ms": (after - c.now.Steady).Milliseconds(),
		}})
	}
}

// acceptsTask reports whether the worker may get a task. After a quarantine it
// gets one at a time until one shows that it is healthy.
func (h *health) acceptsTask(now time.Duration, w *worker) bool {
	if now < h.quarantinedUntil {
		return false
	}
	return h.quarantineTime == 0 || !slices.ContainsFunc(w.runsInOrder, func(r *run) bool { return r.orderedAt >= h.quarantinedUntil })
}

// cost returns the placement cost of recent failures and refusals.
func (h *health) cost(now time.Duration) float64 {
	cost := 0.0
	if len(h.failedJobs) > 0 && now-h.failedAt < suspicionTime {
		cost += costSuspected
	}
	if h.refusals > 0 && now-h.refusedAt < suspicionTime {
		cost += costAvoided
	}
	return cost
}

// checkStalls stops runs that make no progress on a worker that answers.
func (c *Cell) checkStalls(w *worker) {
	if w.unreachable || !c.authority {
		return
	}
	for _, r := range w.runsInOrder { // stopRun keeps it until its end is listed
		if r.state != runConfirmed || r.task.step.spec.LongRunning || r.task.step.spec.Gang || r.speed < fullSpeed || r.percent >= fullSpeed {
			continue
		}
		limit := stallTimeout
		if r.bestEffort {
			limit = bestEffortStallTimeout
		}
		if w.lastAnswerAt-r.progressAt < limit {
			continue
		}
		w.health.stalls++
		if w.health.stalls >= quarantineThreshold {
			before := w.health.quarantinedUntil
			w.health.quarantine(c.now.Steady)
			c.logHealth(w, before, "stalls")
		}
		r.task.avoid = append(r.task.avoid, w.server.ID)
		c.stopRun(r, "stands_still")
	}
}

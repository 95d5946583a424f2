package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// health is the evidence against a worker that looks sound. A worker that
// fails what it starts becomes free early and would draw all work to itself.
type health struct {
	failedJobs []fleet.JobID // jobs that failed there since the last success
	failedAt   time.Duration
	doneAt     time.Duration
	asideUntil time.Duration
	aside      time.Duration // length of the last time aside
	refusedAt  time.Duration
	refusals   int
	stalls     int
}

const (
	// jobsForAside is the number of jobs that have to fail on a worker in a
	// row; a single job may fail by its own fault wherever it runs.
	jobsForAside = 2
	// firstAside and maxAside bound the time until a worker gets one task
	// again. The trouble of a worker lasts some seconds.
	firstAside = 2 * time.Second
	maxAside   = 8 * time.Second
	// suspicion is how long a single failure makes others preferred.
	suspicion = 3 * time.Second
	// stallLists is the shortest time between two lists that show the same
	// progress of a run before it counts as standing still. A task of 15 s
	// moves by a percent every 150 ms.
	stallLists = 1500 * time.Millisecond
	// fillStall is the same for a run that lives on what others leave.
	fillStall = 4 * time.Second
)

func (h *health) ended(now time.Duration, r *run, end job.End) {
	switch end {
	case job.EndDone:
		h.failedJobs, h.doneAt = h.failedJobs[:0], now
		h.aside, h.asideUntil, h.stalls = 0, 0, 0
	case job.EndFailed:
		if len(r.task.failed) > 0 && !slices.Contains(r.task.avoid, r.worker.server.ID) {
			return // it has failed elsewhere too: the fault is its own
		}
		h.failedAt = now
		if !slices.Contains(h.failedJobs, r.key.task.Job) {
			h.failedJobs = append(h.failedJobs, r.key.task.Job)
		}
		if len(h.failedJobs) >= jobsForAside {
			h.setAside(now)
		}
	}
}

// soundAfter is how long a lasting task has to be at work until it speaks for its
// worker: such a task never ends done. A worker that fails what it starts does so
// within its work, which is shorter.
const soundAfter = 2 * time.Second

// sound clears a worker whose time aside has passed and that does sound work.
func (h *health) sound() {
	if h.aside > 0 {
		h.failedJobs = h.failedJobs[:0]
		h.aside, h.asideUntil, h.stalls = 0, 0, 0
	}
}

func (h *health) setAside(now time.Duration) {
	if h.asideUntil > now {
		return
	}
	h.aside = min(max(firstAside, h.aside*2), maxAside)
	h.asideUntil = now + h.aside
}

func (h *health) refused(now time.Duration) {
	if now-h.refusedAt > suspicion {
		h.refusals = 0
	}
	h.refusedAt = now
	h.refusals++
	if h.refusals >= 3 {
		h.setAside(now)
	}
}

// noteHealth logs that a worker has been set aside or is trusted again; before is
// the end of its time aside before the evidence came in.
func (c *Cell) noteHealth(w *worker, before time.Duration, evidence string) {
	after := w.health.asideUntil
	switch {
	case after == before:
	case after == 0:
		c.do(Note{Event: NoteWorkerCleared, Server: w.server.ID, Detail: map[string]any{"evidence": evidence}})
	default:
		c.do(Note{Event: NoteWorkerQuarantined, Server: w.server.ID, Detail: map[string]any{
			"evidence": evidence, "failed_jobs": len(w.health.failedJobs), "refusals": w.health.refusals, "aside_ms": (after - c.now.Steady).Milliseconds(),
		}})
	}
}

// open reports whether the worker may get a task. After its time aside it gets
// one at a time until one is done.
func (h *health) open(now time.Duration, w *worker) bool {
	if now < h.asideUntil {
		return false
	}
	return h.aside == 0 || !slices.ContainsFunc(w.list, func(r *run) bool { return r.orderedAt >= h.asideUntil })
}

// cost is the suspicion against the worker as a cost of placing there.
func (h *health) cost(now time.Duration) float64 {
	cost := 0.0
	if len(h.failedJobs) > 0 && now-h.failedAt < suspicion {
		cost += costSuspect
	}
	if h.refusals > 0 && now-h.refusedAt < suspicion {
		cost += costAvoid
	}
	return cost
}

// checkStalls stops runs that stand still on a worker that answers.
func (c *Cell) checkStalls(w *worker) {
	if w.silent || !c.authority {
		return
	}
	for _, r := range slices.Clone(w.list) {
		if r.state != runConfirmed || r.task.of.step.LongRunning || r.task.of.step.Gang || r.paced < fullPace || r.percent >= fullPace {
			continue
		}
		limit := stallLists
		if r.fills {
			limit = fillStall
		}
		if w.heardAt-r.movedAt < limit {
			continue
		}
		w.health.stalls++
		if w.health.stalls >= jobsForAside {
			before := w.health.asideUntil
			w.health.setAside(c.now.Steady)
			c.noteHealth(w, before, "stalls")
		}
		r.task.avoid = append(r.task.avoid, w.server.ID)
		c.stopRun(r, "stands_still")
	}
}

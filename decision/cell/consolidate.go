package cell

import (
	"time"
)

const (
	// consolidationInterval is the time between two moves, so that the
	// measurements show the effect of a move before the next one.
	consolidationInterval = 700 * time.Millisecond
	// maxTasksToVacate bounds the serving tasks that are moved to vacate one
	// server: each move interrupts a task for a second or two.
	maxTasksToVacate = 3
	// minStarvedTasks is the number of waiting or throttled best-effort tasks
	// that justifies a server without serving tasks.
	minStarvedTasks = 4
	// vacatingTime is how long other servers are preferred for long-running
	// tasks after consolidate has selected a server to vacate.
	vacatingTime = 10 * time.Second
)

// consolidate vacates a server when best-effort tasks cannot be placed without
// interference: its few serving tasks move, one at a time, to other servers
// with serving tasks. The best-effort images that interfere can then run on the
// vacated server.
func (c *Cell) consolidate() {
	if !c.authority || c.blocked || c.now.Steady-c.consolidatedAt < consolidationInterval || !c.bestEffortStarved() {
		return
	}
	c.consolidatedAt = c.now.Steady
	vacating := c.serverToVacate()
	if vacating == nil {
		return
	}
	vacating.vacatingUntil = c.now.Steady + vacatingTime
	for _, r := range vacating.runsInOrder {
		if r.serves() && r.state == runConfirmed && c.mayDisrupt(r.task) {
			r.task.disruptedAt = c.now.Steady
			c.stopRun(r, "consolidate")
			return
		}
	}
}

// bestEffortStarved reports whether at least minStarvedTasks best-effort tasks
// wait or are throttled to less than half of full speed.
func (c *Cell) bestEffortStarved() bool {
	count := 0
	for _, s := range c.ready {
		if s.spec.BestEffort && c.now.Steady-s.openedAt > consolidationInterval {
			count += len(s.waiting)
		}
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.bestEffort {
			if r.desiredSpeed < fullSpeed/2 {
				count++
			}
		}
		if count >= minStarvedTasks {
			return true
		}
	}
	return count >= minStarvedTasks
}

// serverToVacate returns the server with the fewest serving tasks that can all
// move to other servers with serving tasks, or nil.
func (c *Cell) serverToVacate() *worker {
	var best *worker
	for _, w := range c.sortedWorkers {
		if w.throttling.serving == 0 || w.throttling.serving > maxTasksToVacate || !w.usable() || w.dataCentre.evacuated {
			continue
		}
		if best != nil && w.throttling.serving >= best.throttling.serving {
			continue
		}
		if c.canVacate(w) {
			best = w
		}
	}
	return best
}

// canVacate reports whether every serving task of a worker may be stopped now
// and has room on another server with serving tasks.
func (c *Cell) canVacate(w *worker) bool {
	reserved := map[*worker]int64{}
	for _, r := range w.runsInOrder {
		if !r.serves() {
			continue
		}
		if r.state != runConfirmed || !c.mayDisrupt(r.task) || r.task.step.spec.Gang ||
			r.task.recentlyDisrupted(c.now.Steady) {
			return false
		}
		target := c.consolidationTarget(w, r, reserved)
		if target == nil {
			return false
		}
		reserved[target] += r.need.MilliCPU
	}
	return true
}

// consolidationTarget returns the server with serving tasks, other than the one
// being vacated, that has room for a run and the least processor left after it,
// or nil. reserved is the processor need of runs that are to move to each
// server.
func (c *Cell) consolidationTarget(vacating *worker, r *run, reserved map[*worker]int64) *worker {
	var best *worker
	var least int64
	service := c.queueOf(r.task.step.occurrence.job).Service
	for _, w := range c.sortedWorkers {
		if w == vacating || w.throttling.serving == 0 || w.server.Service != service || c.now.Steady < w.vacatingUntil || !c.canRun(w, r.task) {
			continue
		}
		left := w.server.Capacity.MilliCPU - w.used.MilliCPU - reserved[w] - r.need.MilliCPU
		if left >= 0 && (best == nil || left < least) {
			best, least = w, left
		}
	}
	return best
}

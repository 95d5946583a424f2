package cell

import (
	"time"
)

const (
	// consolidationInterval is the time between two moves. The measurements
	// show the effect of each move before the next.
	consolidationInterval = 700 * time.Millisecond
	// maxDonorTasks bounds the serving tasks that are moved to vacate one
	// server: a move costs a task a second or two of work.
	maxDonorTasks = 3
	// minStay is how long a serving task stays on a server after a move.
	minStay = 20 * time.Second
	// minStarvedTasks is the number of waiting or paused best-effort tasks that
	// justifies a server of their own.
	minStarvedTasks = 4
	// donorDuration is how long a server that is being vacated gets no
	// long-running task while another one has room.
	donorDuration = 10 * time.Second
)

// consolidate vacates a server of serving tasks when best-effort tasks cannot
// be placed without interference. The few serving tasks of one server, the
// donor, move to servers that have others, and the images that interfere run on
// the donor alone.
func (c *Cell) consolidate() {
	if !c.authority || c.blocked || c.now.Steady-c.consolidatedAt < consolidationInterval || !c.bestEffortStarved() {
		return
	}
	c.consolidatedAt = c.now.Steady
	donor := c.donor()
	if donor == nil {
		return
	}
	donor.donorUntil = c.now.Steady + donorDuration
	for _, r := range donor.list {
		if r.serves() && r.state == runConfirmed && c.mayDisrupt(r.task) {
			r.task.consolidatedAt = c.now.Steady
			c.stopRun(r, "consolidate")
			return
		}
	}
}

// bestEffortStarved reports whether at least minStarvedTasks best-effort tasks
// wait or are paused.
func (c *Cell) bestEffortStarved() bool {
	count := 0
	for _, s := range c.ready {
		if s.spec.BestEffort && c.now.Steady-s.openedAt > consolidationInterval {
			count += len(s.waiting)
		}
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.bestEffort {
			if r.wantedSpeed < fullSpeed/2 {
				count++
			}
		}
		if count >= minStarvedTasks {
			return true
		}
	}
	return count >= minStarvedTasks
}

// donor returns the server with the fewest serving tasks that can all move to
// other servers with serving tasks, or nil.
func (c *Cell) donor() *worker {
	var best *worker
	for _, w := range c.sortedWorkers {
		if w.throttling.serving == 0 || w.throttling.serving > maxDonorTasks || !w.usable() {
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

func (c *Cell) canVacate(w *worker) bool {
	taken := map[*worker]int64{}
	for _, r := range w.list {
		if !r.serves() {
			continue
		}
		if r.state != runConfirmed || !c.mayDisrupt(r.task) || r.task.step.spec.Gang ||
			r.task.consolidatedAt > 0 && c.now.Steady-r.task.consolidatedAt < minStay {
			return false
		}
		target := c.consolidationTarget(w, r, taken)
		if target == nil {
			return false
		}
		taken[target] += r.need.MilliCPU
	}
	return true
}

// consolidationTarget returns the other server with serving tasks that has room
// for a run and the least left after it, or nil.
func (c *Cell) consolidationTarget(donor *worker, r *run, taken map[*worker]int64) *worker {
	var best *worker
	var least int64
	service := c.queueOf(r.task.step.occurrence.job).Service
	for _, w := range c.sortedWorkers {
		if w == donor || w.throttling.serving == 0 || w.server.Service != service || c.now.Steady < w.donorUntil || !c.fits(w, r.task) {
			continue
		}
		left := w.server.Capacity.MilliCPU - w.used.MilliCPU - taken[w] - r.need.MilliCPU
		if left >= 0 && (best == nil || left < least) {
			best, least = w, left
		}
	}
	return best
}

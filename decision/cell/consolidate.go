package cell

import (
	"time"
)

const (
	// consolidateEvery spaces the moves, so that each one is seen in the figures
	// before the next.
	consolidateEvery = 700 * time.Millisecond
	// maxDonorTasks bounds the serving tasks that are moved to free one server:
	// a move costs a task a second or two of work.
	maxDonorTasks = 3
	// movedOnce is how long a serving task stays where it was moved to.
	movedOnce = 20 * time.Second
	// troubledFills is the number of filling tasks that wait or are held from
	// which on a server of their own pays.
	troubledFills = 4
	// donorFor is how long a server that is being freed gets no lasting task
	// while another one has room.
	donorFor = 10 * time.Second
)

// consolidate frees a server of tasks with a target when tasks that fill find no
// place where they disturb nobody: a few serving tasks move together with others,
// and the images that disturb get the server for themselves.
func (c *Cell) consolidate() {
	if !c.authority || c.blocked || c.now.Steady-c.consolidatedAt < consolidateEvery || !c.fillsInTrouble() {
		return
	}
	c.consolidatedAt = c.now.Steady
	donor := c.donor()
	if donor == nil {
		return
	}
	donor.donorUntil = c.now.Steady + donorFor
	for _, r := range donor.list {
		if r.serves() && r.state == runConfirmed && c.mayTakeOut(r.task) {
			r.task.consolidatedAt = c.now.Steady
			c.stopRun(r, "consolidate")
			return
		}
	}
}

// fillsInTrouble reports whether enough filling tasks wait or are held.
func (c *Cell) fillsInTrouble() bool {
	count := 0
	for _, s := range c.ready {
		if s.step.BestEffort && c.now.Steady-s.openedAt > consolidateEvery {
			count += len(s.waiting)
		}
	}
	for _, w := range c.order {
		for _, r := range w.fills {
			if r.pacedWant < fullPace/2 {
				count++
			}
		}
		if count >= troubledFills {
			return true
		}
	}
	return count >= troubledFills
}

// donor returns the server with the fewest serving tasks, if each of them has
// room elsewhere beside others.
func (c *Cell) donor() *worker {
	var best *worker
	for _, w := range c.order {
		if w.pacing.serving == 0 || w.pacing.serving > maxDonorTasks || !w.usable() {
			continue
		}
		if best != nil && w.pacing.serving >= best.pacing.serving {
			continue
		}
		if c.canEmpty(w) {
			best = w
		}
	}
	return best
}

func (c *Cell) canEmpty(w *worker) bool {
	taken := map[*worker]int64{}
	for _, r := range w.list {
		if !r.serves() {
			continue
		}
		if r.state != runConfirmed || !c.mayTakeOut(r.task) || r.task.of.step.Gang ||
			r.task.consolidatedAt > 0 && c.now.Steady-r.task.consolidatedAt < movedOnce {
			return false
		}
		target := c.roomBeside(w, r, taken)
		if target == nil {
			return false
		}
		taken[target] += r.need.MilliCPU
	}
	return true
}

// roomBeside returns the fullest other server with serving tasks that has room
// for a run.
func (c *Cell) roomBeside(donor *worker, r *run, taken map[*worker]int64) *worker {
	var best *worker
	var least int64
	service := c.queueOf(r.task.of.of.job).Service
	for _, w := range c.order {
		if w == donor || w.pacing.serving == 0 || w.server.Service != service || c.now.Steady < w.donorUntil || !c.fits(w, r.task) {
			continue
		}
		left := w.server.Capacity.MilliCPU - w.used.MilliCPU - taken[w] - r.need.MilliCPU
		if left >= 0 && (best == nil || left < least) {
			best, least = w, left
		}
	}
	return best
}

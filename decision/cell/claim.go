package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// claimTimeout bounds the time that a place is kept free for a long-running task whose
// run goes on meanwhile. Only runs that end within it are counted on.
const claimTimeout = 5 * time.Second

// claim reserves a place for a long-running task on a worker that has no room yet, but
// will have when its finite runs end. Without it, the short tasks of a crowded cell would
// take each part of the room that is returned, and a large task would never move. It
// reports false if there is no such worker.
func (c *Cell) claim(t *task) bool {
	claims := 0
	for _, r := range c.evacuations.reservations {
		if r.claimed {
			claims++
		}
	}
	if !t.step.spec.LongRunning || claims >= c.maxMigrations()/2 {
		return false
	}
	var best *worker
	var bestFree int64
	for _, i := range c.openWorkers(c.queueOf(t.step.occurrence.job).Service, t.step.spec.BestEffort) {
		w := c.sortedWorkers[i]
		free := w.free().MilliCPU
		if (best == nil || free > bestFree) && len(w.reservations) == 0 && c.obstacleWithout(w, t, w.endingSoon()) == obstacleNone {
			best, bestFree = w, free
		}
	}
	if best == nil {
		return false
	}
	c.reserve(t, best)
	t.reservation.claimed = true
	return true
}

// endingSoon returns the resources that the finite runs on the worker return within
// claimTimeout.
func (w *worker) endingSoon() (sum fleet.Resources) {
	for _, r := range w.runsInOrder {
		if !r.task.step.spec.LongRunning && !r.bestEffort && r.remaining() <= claimTimeout {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// useClaims stops the runs whose claimed place has become free.
func (c *Cell) useClaims() {
	for _, reserved := range slices.Clone(c.evacuations.reservations) {
		free := reserved.worker.free()
		free.Slots = 0
		if !reserved.claimed || !(fleet.Resources{}).Fits(free) || !c.mayDisrupt(reserved.task) {
			continue
		}
		reserved.claimed, reserved.madeAt = false, c.now.Steady
		for _, r := range slices.Clone(reserved.task.runs) {
			if r.worker.dataCentre.evacuated && r.state == runConfirmed {
				c.stopForMigration(r)
			}
		}
	}
}

package cell

import "math"

// imageSlack is the load that may be added to the serving tasks of an image on a
// worker before one of them reaches its limit; negative if one has reached it.
type imageSlack struct {
	image imageID
	slack float64
}

// slacks returns the slack of each serving image on the worker. It is kept until the
// next event, or a change of the runs or their speeds.
func (c *Cell) slacks(w *worker) []imageSlack {
	if !w.runListsStale && w.slacksEvent == c.events {
		return w.imageSlacks
	}
	c.refreshRunLists(w)
	w.slacksEvent, w.imageSlacks = c.events, w.imageSlacks[:0]
next:
	for _, s := range w.serving {
		slack := s.loadLimit - c.upcomingLoad(s) - s.addedLoad - placementMargin
		for i := range w.imageSlacks {
			if kept := &w.imageSlacks[i]; kept.image == s.image {
				kept.slack = min(kept.slack, slack)
				continue next
			}
		}
		w.imageSlacks = append(w.imageSlacks, imageSlack{s.image, slack})
	}
	return w.imageSlacks
}

// interferenceFreeCPU returns a bound on the processor need of a best-effort task of an image
// that disturbs no serving task of the worker: no larger task does not, and hardly
// any smaller one does. It is negative if any task would disturb one.
func (c *Cell) interferenceFreeCPU(w *worker, image imageID) int64 {
	if w.throttling.serving == 0 {
		return math.MaxInt64
	}
	share := math.Inf(1)
	for _, s := range c.slacks(w) {
		if s.slack < 0 || c.interference.inTrial(s.image, image, c.now.Steady) {
			return -1
		}
		if p := c.interference.cautiousPressure(s.image, image); p > 0 {
			share = min(share, s.slack/p)
		}
	}
	capacity := float64(max(1, w.server.Capacity.MilliCPU))
	if share*capacity >= math.MaxInt32 {
		return math.MaxInt64
	}
	return int64(share*capacity) + 1 // the rounding must not exclude a task
}

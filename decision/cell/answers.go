package cell

import "time"

// answers is what the holder knows about the answers of a worker to its orders.
type answers struct {
	heardAt time.Duration // last answer to any call
	awaited int           // starts without an answer yet
	// awaitedSince is when the worker was first given one of these starts, or when
	// it last answered something if that was later.
	awaitedSince time.Duration
	// missing means that a start or a stop got no answer, and that the worker has
	// answered nothing since.
	missing bool
}

// lateAnswer is the time after which the answer to a start counts as late. It covers
// several round trips of 20 ms between regions, and is well below the 700 ms after
// which the order counts as unanswered.
const lateAnswer = 150 * time.Millisecond

func (a *answers) startOrdered(now time.Duration) {
	if a.awaited == 0 {
		a.awaitedSince = now
	}
	a.awaited++
}

// late reports whether the worker has answered nothing since a start was ordered
// lateAnswer ago.
func (a *answers) late(now time.Duration) bool {
	return a.awaited > 0 && now-a.awaitedSince >= lateAnswer
}

// heard applies an answer of a worker to any call.
func (c *Cell) heard(w *worker) {
	if w.answers.missing || w.answers.late(c.now.Steady) {
		c.needsScheduling = true
	}
	w.answers.heardAt, w.answers.awaitedSince, w.answers.missing = c.now.Steady, c.now.Steady, false
}

// orderUnanswered handles a start or stop without an answer. The worker gets no
// further start until it answers something, so it is asked for its lists at once.
func (c *Cell) orderUnanswered(w *worker) {
	w.answers.missing = true
	if w.extraHoldAt == 0 {
		w.extraHoldAt = c.now.Steady
	}
	c.holdIfDue(w)
}

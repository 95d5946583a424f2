package cell

import (
	"cmp"
	"slices"
	"strings"
)

// referencePass schedules without any state that is kept between the steps of a
// pass: it computes the order in each comparison and rates each worker for each task.
func (c *Cell) referencePass() {
	if !c.authority || !c.serverListRead || len(c.ready) == 0 {
		return
	}
	c.ready = slices.DeleteFunc(c.ready, func(s *stepState) bool {
		if len(s.waiting) > 0 && !s.occurrence.job.ended {
			return false
		}
		s.inReady = false
		return true
	})
	c.crowdingMeasured = false
	c.countLateStarts()
	c.racks.beginPass(c.now.Steady)
	if c.settings.TriageByCost {
		c.orderSteps()
	} else {
		slices.SortStableFunc(c.ready, c.referenceOrder)
	}
	for _, s := range c.ready {
		if c.startsExhausted() {
			return
		}
		clear(c.room)
		if c.blocked && s.occurrence.job.restored || c.crashUnrecorded(s.occurrence.job) || !c.ensureAdvice(s) {
			continue
		}
		if s.spec.Gang {
			c.startGang(s)
			continue
		}
		c.referenceStarts(s)
		if len(s.waiting) > 0 && !c.startsExhausted() {
			c.preempt(s)
		}
	}
}

func (c *Cell) referenceStarts(s *stepState) {
	waiting := slices.Clone(s.waiting)
	if c.referenceHasOverdue(s) {
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return !c.overdue(s.tasks[i]) })
	}
	for _, index := range waiting {
		t := s.tasks[index]
		if c.now.Steady < t.notBefore {
			continue
		}
		if c.failIfAttemptsExhausted(t) || c.startsExhausted() {
			return
		}
		if c.awaitsRack(t) {
			continue
		}
		w, cost := c.choose(t)
		if w != nil && s.spec.BestEffort && c.interferes(w, t, cost) && c.now.Steady-c.waitingSince(t) < c.maxInterferenceWait(w.server.Service) {
			return
		}
		if w == nil {
			if len(t.avoid) > 0 {
				continue
			}
			return
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == index })
		c.startRun(t, w)
	}
}

func (c *Cell) referenceOrder(a, b *stepState) int {
	return cmp.Or(
		cmp.Compare(c.queueOf(a.occurrence.job).Priority, c.queueOf(b.occurrence.job).Priority),
		cmp.Compare(c.referenceCrowding(a), c.referenceCrowding(b)),
		cmp.Compare(c.lateness(a), c.lateness(b)),
		cmp.Compare(c.objectiveAt(a.occurrence), c.objectiveAt(b.occurrence)),
		strings.Compare(string(a.occurrence.job.job.ID), string(b.occurrence.job.job.ID)),
		cmp.Compare(a.occurrence.number, b.occurrence.number),
		cmp.Compare(a.index, b.index),
	)
}

func (c *Cell) referenceCrowding(s *stepState) int {
	if s.spec.LongRunning && !c.referenceHasOverdue(s) && c.crowdedByLongRunning(c.queueOf(s.occurrence.job).Service) {
		return 1
	}
	return 0
}

func (c *Cell) referenceHasOverdue(s *stepState) bool {
	return s.spec.LongRunning && slices.ContainsFunc(s.waiting, func(i int) bool { return c.overdue(s.tasks[i]) })
}

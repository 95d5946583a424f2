package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/decision/triage"
	"lacewingfork.example/lacewingfork/fleet"
)

// order is the place of a step among the waiting steps of a scheduling pass.
type order struct {
	key        triage.Key
	hasOverdue bool // one of its waiting tasks is overdue
}

// orderSteps puts the steps with waiting tasks into the order in which they start.
func (c *Cell) orderSteps() {
	for _, s := range c.ready {
		s.order = c.orderOf(s)
	}
	if c.settings.TriageByCost {
		c.placeStarving()
	}
	slices.SortStableFunc(c.ready, compareSteps)
}

// orderOf computes the place of a step: by the priority of the queue, then by
// lateness, then by the time of the objective. On a service crowded by long-running
// tasks, new ones come last within their priority. With TriageByCost the same facts
// are weighed by what the caller loses (placeByCost).
func (c *Cell) orderOf(s *stepState) order {
	c.orderChecks++
	w, hasOverdue := c.workOfStep(s)
	if c.settings.TriageByCost {
		return order{key: c.placeByCost(s, w), hasOverdue: hasOverdue}
	}
	return order{key: triage.ByPriority(w), hasOverdue: hasOverdue}
}

// workOfStep returns what decides the place of a step, and whether one of its tasks is
// overdue.
func (c *Cell) workOfStep(s *stepState) (w triage.Work, hasOverdue bool) {
	j := s.occurrence.job
	q := c.queueOf(j)
	objective := q.objective(j)
	hasOverdue = c.hasOverdue(s)
	return triage.Work{
		Priority: q.Priority, Class: c.classOf(s, objective), Crowds: c.crowds(s, q.Service, hasOverdue),
		ObjectiveAt: s.occurrence.dueAt + objective,
	}, hasOverdue
}

// compareSteps orders steps by their place. A sort makes many comparisons of each
// step, so the places are computed before it.
func compareSteps(a, b *stepState) int {
	if places := a.order.key.Compare(&b.order.key); places != 0 {
		return places
	}
	return cmp.Or(
		strings.Compare(string(a.occurrence.job.job.ID), string(b.occurrence.job.job.ID)),
		cmp.Compare(a.occurrence.number, b.occurrence.number),
		cmp.Compare(a.index, b.index),
	)
}

// crowds reports whether a step has only new long-running tasks on a crowded
// service. A long-running task never returns its capacity and is never late, so it
// would take whatever the other tasks return.
func (c *Cell) crowds(s *stepState, service fleet.Service, hasOverdue bool) bool {
	return s.spec.LongRunning && !hasOverdue && c.crowdedByLongRunning(service)
}

// crowdedByLongRunning reports whether long-running tasks occupy most of the
// processors in use of a service. The result is kept for one scheduling pass.
func (c *Cell) crowdedByLongRunning(service fleet.Service) bool {
	if !c.crowdingMeasured {
		c.crowdingMeasured = true
		clear(c.longRunningExcess)
		for _, w := range c.sortedWorkers {
			c.longRunningExcess[w.server.Service] += 2*w.longRunningCPU - w.used.MilliCPU
		}
	}
	return c.longRunningExcess[service] > 0
}

// restartDelay is how long a long-running task that has run before waits behind
// the other tasks of a crowded service. The platform expects it back within 6 s of
// its last run if there is capacity for it anywhere.
const restartDelay = 5 * time.Second

// overdue reports whether a waiting long-running task has run before, has waited
// for restartDelay, and may start now. How long a task of a restored job that has
// started had been without a run is not known: it counts as overdue at once, or
// takeovers in a series would let it wait anew each time.
func (c *Cell) overdue(t *task) bool {
	j := t.step.occurrence.job
	if !t.step.spec.LongRunning || t.attempt == 0 && !j.restored || c.now.Steady < t.startsFrom() {
		return false
	}
	since := c.waitingSince(t)
	switch {
	case t.lastRunAt > 0:
		since = t.lastRunAt
	case j.restored && j.started && t.attempt == 0:
		return true
	}
	return c.now.Steady-since >= restartDelay
}

// hasOverdue reports whether one of the waiting tasks of a step is overdue.
func (c *Cell) hasOverdue(s *stepState) bool {
	return s.spec.LongRunning && slices.ContainsFunc(s.waiting, func(i int) bool { return c.overdue(s.tasks[i]) })
}

// lateness returns whether a step is in time, late or of no use. If late steps came
// first at peak load, every job behind them would be late too, and if those of no use
// did, the late ones would expire. A long-running step is always in time.
func (c *Cell) lateness(s *stepState) triage.Class {
	return c.classOf(s, c.objective(s.occurrence.job))
}

func (c *Cell) classOf(s *stepState, objective time.Duration) triage.Class {
	if s.spec.LongRunning {
		return triage.InTime
	}
	return triage.ClassOf(c.now.Steady+s.occurrence.job.criticalPathTimes[s.index]-s.occurrence.dueAt, objective)
}

// objectiveAt returns the time by which an occurrence should be complete.
func (c *Cell) objectiveAt(o *occurrence) time.Duration { return o.dueAt + c.objective(o.job) }

// objective returns the time that each occurrence of a job may take. It depends on
// the settings of the queue and the caller's estimates.
func (c *Cell) objective(j *jobState) time.Duration { return c.queueOf(j).objective(j) }

func (q QueueSettings) objective(j *jobState) time.Duration {
	longest := time.Duration(0)
	if len(j.criticalPathTimes) > 0 {
		longest = slices.Max(j.criticalPathTimes)
	}
	return q.TargetLatency + time.Duration(q.SlackFactor*float64(longest))
}

// criticalPathTimesOf returns for each step the estimated time of the longest
// chain of dependent steps that begins with it.
func criticalPathTimesOf(j *job.Job) []time.Duration {
	times := make([]time.Duration, len(j.Steps))
	for i, s := range slices.Backward(j.Steps) {
		if !s.LongRunning {
			times[i] += s.Estimate
		}
		for _, before := range s.After {
			times[before] = max(times[before], times[i])
		}
	}
	return times
}

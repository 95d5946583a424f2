package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// preemptAfter is how long a task waits for capacity until a long-running
	// task is stopped for it. Capacity that other tasks return meanwhile costs
	// nothing.
	preemptAfter = 300 * time.Millisecond
	// preemptInterval is the time between two searches for a task to preempt in a
	// cell of up to preemptWorkers workers. Larger cells make proportionally more,
	// down to minPreemptInterval, which bounds their processor time.
	preemptInterval    = 100 * time.Millisecond
	preemptWorkers     = 100
	minPreemptInterval = 10 * time.Millisecond
	// preemptRetry is how long a step for which no task may be preempted leaves
	// the search to other steps.
	preemptRetry = 500 * time.Millisecond
	// preemptedDelay is how long a preempted task leaves its capacity to other
	// tasks, also while none of them waits: otherwise each gap between two short
	// tasks would end in another preemption. It is shorter than restartDelay.
	preemptedDelay = 3 * time.Second
	// maxPreemptedShare bounds the long-running tasks that wait because of a
	// preemption, as a part of the processors of all long-running tasks.
	maxPreemptedShare = 0.06
	// minDisruptionInterval is the time between two stops of one long-running
	// task by preemption or consolidation.
	minDisruptionInterval = 20 * time.Second
)

// preempt stops a long-running task so that a waiting task of another kind can
// use its capacity. Without it, the capacity of a service that long-running tasks
// crowd is fragmented: there is no room for the larger tasks, however long they
// wait.
func (c *Cell) preempt(s *stepState) {
	if c.settings.TriageByCost {
		c.preemptByCost(s)
		return
	}
	now := c.now.Steady
	t := s.tasks[s.waiting[0]]
	if s.spec.LongRunning || s.spec.BestEffort || s.spec.Gang || c.blocked || now < c.nextPreemption || now < s.nextPreemption ||
		now-max(c.waitingSince(t), t.startsFrom()) < preemptAfter || !c.crowdedByLongRunning(c.queueOf(s.occurrence.job).Service) {
		return
	}
	c.nextPreemption = now + c.preemptionInterval()
	victim := c.preemptionVictim(t)
	if victim == nil || !c.mayPreempt(s, victim) {
		s.nextPreemption = now + preemptRetry
		return
	}
	victim.task.disruptedAt, victim.task.preempted = now, true
	c.stopRun(victim, "makes_room")
}

// preemptionVictim returns the smallest run of a long-running task, of the same or
// a lower priority, whose capacity would let a waiting task start, or nil.
func (c *Cell) preemptionVictim(t *task) *run {
	queue := c.queueOf(t.step.occurrence.job)
	var victim *run
	for _, w := range c.sortedWorkers {
		if w.server.Service != queue.Service {
			continue
		}
		switch c.obstacleTo(w, t) {
		case obstacleProcessor, obstacleMemory, obstacleAccelerators:
		default:
			continue
		}
		for _, r := range w.runsInOrder {
			if (victim == nil || r.need.MilliCPU < victim.need.MilliCPU) && c.preemptible(r, queue.Priority) &&
				c.obstacleWithout(w, t, r.need) == obstacleNone {
				victim = r
			}
		}
	}
	return victim
}

// preemptible reports whether a run may be stopped for a task of the given
// priority.
func (c *Cell) preemptible(r *run, priority int) bool {
	s := r.task.step
	return s.spec.LongRunning && !s.spec.BestEffort && !s.spec.Gang && r.state == runConfirmed && r.percent >= fullSpeed &&
		c.queueOf(s.occurrence.job).Priority >= priority && !r.task.recentlyDisrupted(c.now.Steady) && c.mayDisrupt(r.task)
}

// mayPreempt reports whether the capacity that is about to become free does not
// suffice for the waiting tasks of a step, and the bounds on preemptions allow
// another one.
func (c *Cell) mayPreempt(s *stepState, victim *run) bool {
	service := victim.worker.server.Service
	room, preempted, all := int64(0), victim.need.MilliCPU, int64(0)
	for _, w := range c.sortedWorkers {
		if w.server.Service != service {
			continue
		}
		all += w.longRunningCPU
		freed := int64(0)
		for _, r := range w.runsInOrder {
			if r.state != runStopping || r.bestEffort {
				continue
			}
			freed += r.need.MilliCPU
			if r.task.preempted {
				preempted += r.need.MilliCPU
			}
		}
		if freed > 0 {
			// The capacity of a server may have shrunk below what runs there.
			room += max(0, w.server.Capacity.MilliCPU-w.used.MilliCPU+freed) / max(1, s.spec.Need.MilliCPU)
		}
	}
	for _, other := range c.ready {
		if !other.spec.LongRunning || c.queueOf(other.occurrence.job).Service != service {
			continue
		}
		for _, index := range other.waiting {
			if other.tasks[index].preempted {
				preempted += other.spec.Need.MilliCPU
			}
		}
	}
	return room < int64(len(s.waiting)) && float64(preempted) <= maxPreemptedShare*float64(all)
}

// recentlyDisrupted reports whether the task was stopped less than
// minDisruptionInterval ago by preemption or consolidation.
func (t *task) recentlyDisrupted(now time.Duration) bool {
	return t.disruptedAt > 0 && now-t.disruptedAt < minDisruptionInterval
}

// obstacleWithout returns the obstacle that remains for a task on a worker when
// the given resources have become free there.
func (c *Cell) obstacleWithout(w *worker, t *task, freed fleet.Resources) obstacle {
	w.used = w.used.Sub(freed)
	defer func() { w.used = w.used.Add(freed) }()
	return c.obstacleTo(w, t)
}

package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// schedule starts the waiting tasks that can be started, in the order of
// compareSteps. A step without a suitable worker does not delay the steps after
// it.
func (c *Cell) schedule() {
	if !c.mayStart() || len(c.ready) == 0 {
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
	c.forgetRoom()
	if c.settings.UnevenDemand {
		c.racks.beginPass(c.now.Steady)
	}
	c.orderSteps()
	for _, s := range c.ready {
		if c.startsExhausted() {
			return // the answers trigger the next pass
		}
		if c.mustWait(s.occurrence.job) {
			continue
		}
		if !c.ensureAdvice(s) {
			continue
		}
		if s.spec.Gang {
			c.startGang(s)
			continue
		}
		c.startTasks(s)
		if len(s.waiting) > 0 && !c.startsExhausted() {
			c.preempt(s) // otherwise workers may have room
		}
	}
}

// mayStart reports whether the holder may start tasks at all.
func (c *Cell) mayStart() bool { return c.authority && c.serverListRead && c.evacuationsCurrent() }

// mustWait reports whether no task of a job may start: one may still run on a worker that
// is not fenced, or has to be recorded as a suspect first.
func (c *Cell) mustWait(j *jobState) bool { return c.blocked && j.restored || c.crashUnrecorded(j) }

// startTasks starts the waiting tasks of a step while workers have room. The
// tasks are identical, so none is tried after one without a worker. The attempts of
// finite tasks are checked nevertheless if that one avoids servers.
func (c *Cell) startTasks(s *stepState) {
	c.startReserved(s)
	if s.spec.LongRunning && c.exceedsRoom(s) {
		return
	}
	var found candidates
	waiting := slices.Clone(s.waiting)
	if s.order.hasOverdue {
		// The step owes its place in the order to these tasks.
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return !c.overdue(s.tasks[i]) })
	}
	for _, index := range waiting {
		t := s.tasks[index]
		if c.now.Steady < t.startsFrom() {
			continue
		}
		if c.failIfAttemptsExhausted(t) || c.startsExhausted() {
			return
		}
		mayAvoidInterference := s.spec.BestEffort && c.mayAvoidInterference(t)
		if mayAvoidInterference && len(t.avoid) == 0 && c.interferesEverywhere(s) {
			return // as below, without rating the workers
		}
		if c.settings.UnevenDemand && c.awaitsRack(t) {
			continue // one of those behind it may expect too long a wait
		}
		w, cost := c.findCandidate(&found, t)
		if w != nil && mayAvoidInterference && c.interferes(w, t, cost) {
			c.searchFailed(c.interferenceFreeKeyOf(s))
			return // the interference would cost more than the delay
		}
		if w == nil {
			if len(t.avoid) > 0 && !s.spec.LongRunning {
				continue
			}
			return
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == index })
		c.startRun(t, w)
	}
}

// choose returns the worker with the lowest cost for a task and that cost, or nil
// if no worker can run the task.
func (c *Cell) choose(t *task) (best *worker, bestCost float64) {
	queue := c.queueOf(t.step.occurrence.job)
	for _, w := range c.sortedWorkers {
		if w.server.Service != queue.Service || !c.feasible(w, t) {
			continue
		}
		if queue.Advisor.TicketValidity > 0 {
			if _, allowed := c.ticketFor(t.step, w); !allowed {
				continue
			}
		}
		if cost := c.cost(w, t); best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best, bestCost
}

const (
	// highUtilizationWait is how long a best-effort task waits for a server
	// without interference at high utilization. It is three times the task's
	// objective, after which the job has no value. A serving task that misses
	// its target costs several times as much as a delayed best-effort task.
	highUtilizationWait = time.Minute
	// lowUtilizationWait is how long it waits otherwise: while less than half of
	// the capacity is in use, the platform allows a job to wait beside free
	// capacity for at most 3 s.
	lowUtilizationWait = 2 * time.Second
	// highUtilization is the fraction of the capacity in use from which
	// highUtilizationWait applies. It is above the platform's half because runs
	// may end during the wait.
	highUtilization = 0.6
)

// mayAvoidInterference reports whether a best-effort task may still wait for a server
// without interference.
func (c *Cell) mayAvoidInterference(t *task) bool {
	return c.now.Steady-c.waitingSince(t) < c.maxInterferenceWait(c.queueOf(t.step.occurrence.job).Service)
}

// interferenceWait is the result of maxInterferenceWait after a number of starts of a
// scheduling pass.
type interferenceWait struct {
	starts uint64
	wait   time.Duration
}

// maxInterferenceWait returns how long a best-effort task waits for a server
// without interference.
func (c *Cell) maxInterferenceWait(service fleet.Service) time.Duration {
	kept, known := c.interferenceWaits[service]
	if !known || kept.starts != c.starts {
		kept = interferenceWait{c.starts, c.measureInterferenceWait(service)}
		c.interferenceWaits[service] = kept
	}
	return kept.wait
}

func (c *Cell) measureInterferenceWait(service fleet.Service) time.Duration {
	var used, capacity int64
	for _, w := range c.sortedWorkers {
		if w.server.Service == service && w.usable() && !w.dataCentre.evacuated {
			used += w.used.MilliCPU
			capacity += w.server.Capacity.MilliCPU
		}
	}
	if float64(used) < highUtilization*float64(capacity) {
		return lowUtilizationWait
	}
	return highUtilizationWait
}

// waitingSince returns when a task began to wait for its next run.
func (c *Cell) waitingSince(t *task) time.Duration { return max(t.step.openedAt, t.requeuedAt) }

// canRun reports whether a worker can run a task and the advisor of the queue, if
// any, allows it.
func (c *Cell) canRun(w *worker, t *task) bool {
	_, allowed := c.ticketFor(t.step, w)
	return allowed && c.feasible(w, t)
}

// feasible reports whether a worker is suitable for a task and has room for it.
// It does not consider tickets of the queue's advisor.
func (c *Cell) feasible(w *worker, t *task) bool { return c.obstacleTo(w, t) == obstacleNone }

// obstacleTo returns the first reason why a worker cannot run a task.
func (c *Cell) obstacleTo(w *worker, t *task) obstacle {
	if closed := c.closedTo(w, t.step.spec.BestEffort); closed != obstacleNone {
		c.workerChecks++
		return closed
	}
	return c.obstacleOnOpen(w, t)
}

// obstacleOnOpen is obstacleTo for a worker that is not closed.
func (c *Cell) obstacleOnOpen(w *worker, t *task) obstacle {
	c.workerChecks++
	s := t.step.spec
	if c.besideSuspect(w, t) {
		return obstacleSuspect
	}
	switch need, free := countedNeed(s), w.free(); {
	case need.MilliCPU > free.MilliCPU:
		return obstacleProcessor
	case need.MemoryMiB > free.MemoryMiB:
		return obstacleMemory
	case need.Accelerators > free.Accelerators:
		return obstacleAccelerators
	case s.Label != "" && !slices.Contains(w.server.Labels, s.Label):
		return obstacleLabel
	case s.MaxPerServer > 0 && w.runsOfStep(t.step) >= s.MaxPerServer:
		return obstacleMaxPerServer
	case len(c.regions.allowed) > 0 && !c.regionAllows(w, t.step.occurrence.job):
		return obstacleRegion
	case w.dataCentre.reopenedAt != 0 && c.waitsForWarmth(w, t):
		return obstacleCold
	case !s.Gang && !w.dataCentre.path.Allows():
		return obstaclePath // the members of a gang are ordered together, or not at all
	default:
		return obstacleNone
	}
}

// closedTo returns the first reason why a worker cannot run any best-effort task, or
// any other task.
func (c *Cell) closedTo(w *worker, bestEffort bool) obstacle {
	switch {
	case !w.usable():
		return obstacleUnusable
	case w.dataCentre.evacuated:
		return obstacleEvacuated
	case !c.answersStarts(w):
		return obstacleNoAnswer
	case !w.health.acceptsTask(c.now.Steady, w):
		return obstacleQuarantine
	case bestEffort && (w.throttling.overSince > 0 || c.settings.ServingRoom && w.holdsBack()):
		return obstacleMissedTarget // of a serving task there
	case w.unknownOrphan:
		return obstacleOrphan
	default:
		return obstacleNone
	}
}

// runsOfStep returns the number of runs of a step on the worker.
func (w *worker) runsOfStep(s *stepState) int {
	count := 0
	for _, r := range w.runsInOrder {
		if r.task.step == s {
			count++
		}
	}
	for _, reserved := range w.reservations {
		if reserved.task.step == s {
			count++
		}
	}
	return count
}

// moveOffDraining moves long-running tasks off a draining server.
func (c *Cell) moveOffDraining(w *worker) {
	for _, r := range slices.Clone(w.runsInOrder) {
		if r.state != runConfirmed || !r.task.step.spec.LongRunning {
			continue
		}
		if c.mayDisrupt(r.task) {
			c.stopRun(r, "server_drains")
		}
	}
}

// mayDisrupt reports whether the step's bound on unavailable tasks allows a task
// to be stopped.
func (c *Cell) mayDisrupt(t *task) bool {
	bound := t.step.spec.MaxUnavailable
	if bound == 0 {
		return true
	}
	unavailable := 0
	for _, other := range t.step.tasks {
		if other != t && !other.available() {
			unavailable++
		}
	}
	return unavailable < bound
}

// available reports whether a long-running task runs at full speed.
func (t *task) available() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.state == runConfirmed && r.percent >= fullSpeed && !r.worker.unreachable
	})
}

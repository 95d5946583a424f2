package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/triage"
	"lacewingfork.example/lacewingfork/fleet"
)

// maxFiniteStops bounds the finite runs that are being stopped for others at a time.
// The room that they return is not known to suffice before they have ended.
const maxFiniteStops = 4

// preemptByCost stops the run whose stop costs its caller least so that a waiting task
// can start, if the delay of that task costs more.
func (c *Cell) preemptByCost(s *stepState) {
	now := c.now.Steady
	t := s.tasks[s.waiting[0]]
	if s.spec.BestEffort || s.spec.Gang || c.blocked || now < c.nextPreemption || now < s.nextPreemption ||
		now-max(c.waitingSince(t), t.startsFrom()) < preemptAfter {
		return
	}
	waiting, _ := c.workOfStep(s)
	service := c.queueOf(s.occurrence.job).Service
	if b := c.admission.backlogs[service]; waiting.Class == triage.Useless ||
		(s.spec.LongRunning || !c.crowdedByLongRunning(service)) && (b == nil || !b.longRuns) {
		return
	}
	c.nextPreemption = now + c.preemptionInterval()
	victim, cost := c.cheapestVictim(t, waiting)
	if victim == nil || cost.LongRunning && !c.mayPreempt(s, victim) || !cost.LongRunning && c.finiteStops(service) >= maxFiniteStops {
		s.nextPreemption = now + preemptRetry
		return
	}
	victim.task.disruptedAt, victim.task.preempted = now, cost.LongRunning
	c.emit(Note{Event: NoteRoomMade, Job: victim.key.task.Job, Task: victim.key.task.String(), Server: victim.worker.server.ID, Detail: map[string]any{
		"for": t.ref().String(), "for_priority": waiting.Priority, "for_class": waiting.Class.String(),
		"priority": cost.Priority, "class": cost.Class.String(), "reason": stopReason(cost), "loss_permille": int64(1000 * cost.Loss), "remaining_ms": cost.Remaining.Milliseconds(),
	}})
	c.stopRun(victim, "makes_room")
}

// stopReason is the reason in the log and the metrics why a run is the cheapest one.
func stopReason(r triage.Run) string {
	switch {
	case r.Class == triage.Useless:
		return "no_use"
	case r.LongRunning:
		return "crowds"
	default:
		return "less_urgent"
	}
}

// cheapestVictim returns the run whose stop costs least, of those that may be stopped
// for a waiting task and whose room would let it start, or nil. Of equal ones it is
// the smallest.
func (c *Cell) cheapestVictim(t *task, waiting triage.Work) (victim *run, cost triage.Run) {
	service, longRunning := c.queueOf(t.step.occurrence.job).Service, t.step.spec.LongRunning
	crowded, now := !longRunning && c.crowdedByLongRunning(service), c.now.Steady
	for _, w := range c.sortedWorkers {
		if w.server.Service != service {
			continue
		}
		switch c.obstacleTo(w, t) {
		case obstacleProcessor, obstacleMemory, obstacleAccelerators:
		default:
			continue
		}
		for _, r := range w.runsInOrder {
			if spec := r.task.step.spec; spec.LongRunning && !crowded || !spec.LongRunning && spec.Estimate-(now-r.orderedAt) < triage.MinRemaining {
				continue // most runs; the other checks cost more
			}
			if !c.stoppable(r) {
				continue
			}
			stop := c.costOfStop(r)
			if !triage.MayStop(waiting, longRunning, stop) {
				continue
			}
			if victim != nil {
				if order := stop.Compare(cost); order > 0 || order == 0 && r.need.MilliCPU >= victim.need.MilliCPU {
					continue
				}
			}
			if c.obstacleWithout(w, t, countedNeedOf(r)) == obstacleNone {
				victim, cost = r, stop
			}
		}
	}
	return victim, cost
}

// stoppable reports whether a run may be stopped for another task at all.
func (c *Cell) stoppable(r *run) bool {
	s := r.task.step
	if s.spec.Gang || r.state != runConfirmed || r.task.recentlyDisrupted(c.now.Steady) {
		return false
	}
	return !s.spec.LongRunning || !s.spec.BestEffort && r.percent >= fullSpeed && c.mayDisrupt(r.task)
}

// costOfStop returns what the stop of a run costs its caller.
func (c *Cell) costOfStop(r *run) triage.Run {
	s := r.task.step
	j := s.occurrence.job
	q := c.queueOf(j)
	stop := triage.Run{Priority: q.Priority, LongRunning: s.spec.LongRunning, Loss: 1 / float64(len(s.tasks))}
	if s.spec.LongRunning {
		stop.Class = triage.InTime
		return stop
	}
	stop.Class = c.classOf(s, q.objective(j))
	stop.Preserved = s.spec.Checkpoints && r.task.checkpoint != ""
	ran := c.now.Steady - r.orderedAt
	stop.Remaining = max(0, s.spec.Estimate-ran)
	if !stop.Preserved {
		stop.Loss = min(1, ran.Seconds()*float64(r.need.MilliCPU)/milliCPUPerCore/max(minJobWork, j.work))
	}
	return stop
}

// finiteStops returns the number of finite runs of a service that are being stopped.
func (c *Cell) finiteStops(service fleet.Service) int {
	stops := 0
	for _, w := range c.sortedWorkers {
		if w.server.Service != service {
			continue
		}
		for _, r := range w.runsInOrder {
			if r.state == runStopping && !r.task.step.spec.LongRunning {
				stops++
			}
		}
	}
	return stops
}

// countedNeedOf returns the resources that the end of a run returns.
func countedNeedOf(r *run) fleet.Resources {
	need := r.need
	if r.bestEffort {
		need.MilliCPU = 0
	}
	return need
}

// preemptionInterval returns the time between two searches for a task to preempt.
func (c *Cell) preemptionInterval() time.Duration {
	return max(minPreemptInterval, preemptInterval*preemptWorkers/time.Duration(max(preemptWorkers, len(c.sortedWorkers))))
}

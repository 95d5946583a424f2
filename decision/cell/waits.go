package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/triage"
	"lacewingfork.example/lacewingfork/fleet"
)

// obstacle is a reason why a worker cannot run a task.
type obstacle int

const (
	obstacleNone         obstacle = iota
	obstacleUnusable              // not listed, not fenced, unreachable or draining
	obstacleEvacuated             // its data centre is evacuated
	obstacleNoAnswer              // it has not answered an order
	obstacleQuarantine            // it has failed tasks, or one is being tried there
	obstacleSuspect               // it and a task there may both crash their server
	obstacleMissedTarget          // a serving task there misses its target
	obstacleOrphan                // a run of unknown need is being stopped there
	obstacleCold                  // its data centre was reopened, and it is not warm enough for more
	obstacleProcessor
	obstacleMemory
	obstacleAccelerators
	obstacleLabel
	obstacleMaxPerServer
	obstacleRegion // its data centre is not in a region of the queue
	obstaclePath   // the path to its data centre carries no further start now
	obstacleCount
)

// obstacleNames are the names of the obstacles in the log. A worker without an
// obstacle has room for the task.
var obstacleNames = [obstacleCount]string{
	"with_room", "unusable", "evacuated", "no_answer", "set_aside", "suspect", "over_target", "unknown_run", "cold", "no_processor", "no_memory", "no_accelerator", "wrong_label", "step_limit", "wrong_region", "path_full",
}

// Reasons in the log for the wait of a step that are not obstacles of workers.
const (
	waitTakeover     = "takeover"           // a run of an earlier holder may still exist
	waitEvacuations  = "evacuations_unread" // the requests have not been read lately
	waitCrashRecord  = "crash_record"       // a crash under a task of the job is being recorded
	waitRetry        = "retry_delay"        // the last start was not accepted, or the task was preempted
	waitStarts       = "unanswered_starts"  // maxUnansweredCalls
	waitAdvice       = "advice"             // no valid ticket of the advisor
	waitInterference = "interference"       // it would disturb serving tasks
	waitGang         = "gang"               // there is room for some of its tasks only
	waitRack         = "rack"               // the rack of its data is expected to have room soon
)

// firstWaitReport is how long a step waits until its wait is logged. Each
// further line follows after twice the time of the one before, so that a step
// has a few lines at most.
const firstWaitReport = time.Second

// maxWaitReports bounds the lines on waits in one pass. Each line examines every
// worker, and when thousands of steps begin to wait together, their lines fall due
// together. A pass is made at least at each tick, 20 times a second.
const maxWaitReports = 16

// reportWaits logs steps that have waited for long and the reasons. Lines beyond
// maxWaitReports are left to the next passes.
func (c *Cell) reportWaits() {
	lines := 0
	for _, s := range c.ready {
		if len(s.waiting) == 0 || s.occurrence.job.ended {
			continue
		}
		t := s.tasks[s.waiting[0]]
		since := c.waitingSince(t)
		if s.waitReportSince != since {
			s.waitReportSince, s.nextWaitReport = since, firstWaitReport
		}
		if waited := c.now.Steady - since; waited >= s.nextWaitReport {
			s.nextWaitReport = 2 * waited
			c.reportWait(t, waited)
			if lines++; lines >= maxWaitReports {
				return
			}
		}
	}
}

// reportWait logs why a task waits: the number of workers by their obstacle, and
// what occupies the processors of the service.
func (c *Cell) reportWait(t *task, waited time.Duration) {
	s := t.step
	j := s.occurrence.job
	service := c.queueOf(j).Service
	var workers [obstacleCount]int
	var u usage
	for _, w := range c.sortedWorkers {
		if w.server.Service != service {
			continue
		}
		workers[c.reportedObstacle(w, t)]++
		if w.usable() && !w.dataCentre.evacuated {
			u.add(w)
		}
	}
	detail := map[string]any{
		"step": s.index, "waiting": len(s.waiting), "waited_ms": waited.Milliseconds(), "reason": c.waitReason(t, workers),
		"late": c.lateness(s) >= triage.Late, "expired": c.lateness(s) == triage.Useless, "objective_in_ms": (c.objectiveAt(s.occurrence) - c.now.Steady).Milliseconds(),
		"milli_cpu": s.spec.Need.MilliCPU, "memory_mib": s.spec.Need.MemoryMiB,
	}
	for o, count := range workers {
		if count > 0 {
			detail["workers_"+obstacleNames[o]] = count
		}
	}
	if c.settings.TriageByCost {
		c.addDelayCost(detail, s)
	}
	detail["capacity_milli_cpu"], detail["long_running_milli_cpu"], detail["other_milli_cpu"] = u.capacity.MilliCPU, u.longRunningCPU, u.otherCPU
	detail["capacity_mib"], detail["best_effort_mib"] = u.capacity.MemoryMiB, u.bestEffortMiB
	c.emit(Note{Event: NoteTaskWaits, Job: j.job.ID, Task: t.ref().String(), Detail: detail})
}

// waitReason returns the main reason why a task waits, given the number of
// workers by their obstacle.
func (c *Cell) waitReason(t *task, workers [obstacleCount]int) string {
	s := t.step
	switch {
	case !c.evacuationsCurrent():
		return waitEvacuations
	case c.blocked && s.occurrence.job.restored:
		return waitTakeover
	case c.crashUnrecorded(s.occurrence.job):
		return waitCrashRecord
	case c.now.Steady < t.startsFrom():
		return waitRetry
	case t.awaitsRack:
		return waitRack
	case workers[obstacleNone] == 0 && workers[obstacleEvacuated] > 0:
		return obstacleNames[obstacleEvacuated] // there would be room otherwise
	case workers[obstacleNone] == 0:
		most := obstacleUnusable
		for o := most; o < obstacleCount; o++ {
			if workers[o] > workers[most] {
				most = o
			}
		}
		return obstacleNames[most]
	case c.startsExhausted():
		return waitStarts
	case c.queueOf(s.occurrence.job).Advisor.TicketValidity > 0:
		return waitAdvice
	case s.spec.Gang:
		return waitGang
	default:
		return waitInterference
	}
}

// usage is what the runs on the usable workers of a service occupy, by kind of
// task.
type usage struct {
	capacity       fleet.Resources
	longRunningCPU int64
	bestEffortMiB  int64
	otherCPU       int64
}

func (u *usage) add(w *worker) {
	u.capacity = u.capacity.Add(w.server.Capacity)
	u.longRunningCPU += w.longRunningCPU
	u.bestEffortMiB += w.bestEffortMiB
	u.otherCPU += w.used.MilliCPU - w.longRunningCPU
}

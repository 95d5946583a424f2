package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/decision/triage"
)

// triageState is what the decisions by cost keep between passes. A takeover loses it:
// the sizes are learned again from the restored jobs, and the first starving step is
// chosen at once.
type triageState struct {
	sizes map[job.Queue]*triage.Sizes
	// starving is the step that comes first although delaying it costs nothing, until
	// nextStarving. Its tasks may have no worker at all, so it is not waited for.
	starving     *stepState
	nextStarving time.Duration
}

// taskWork returns the work of a task in core-seconds. That of a long-running task is
// not known.
func taskWork(s *job.Step) float64 {
	if s.LongRunning {
		return 0
	}
	return float64(s.Need.MilliCPU) / milliCPUPerCore * s.Estimate.Seconds()
}

// minJobWork bounds the work of a job from below, in core-seconds. The caller may state
// none.
const minJobWork = 1e-9

// workOf returns the work of one occurrence of a job in core-seconds.
func workOf(j *job.Job) float64 {
	work := 0.0
	for i := range j.Steps {
		work += float64(j.Steps[i].Count) * taskWork(&j.Steps[i])
	}
	return work
}

// jobWorth is the worth of a job as known when it is first ordered. It stays as it is
// then, so that the order does not change with each further job of the queue.
type jobWorth struct {
	worth   float64 // in mean jobs of its queue; 0 if it is not known yet
	perCore float64 // size of a core-second
}

// worthOf returns the worth of a finite job.
func (c *Cell) worthOf(j *jobState) jobWorth {
	if j.worth.worth == 0 {
		sizes := c.triage.sizes[j.job.Queue]
		if sizes == nil {
			if c.triage.sizes == nil {
				c.triage.sizes = map[job.Queue]*triage.Sizes{}
			}
			sizes = &triage.Sizes{}
			c.triage.sizes[j.job.Queue] = sizes
		}
		size := sizes.Observe(j.work)
		j.worth = jobWorth{worth: triage.Worth(size), perCore: size / max(minJobWork, j.work)}
	}
	return j.worth
}

// placeByCost returns the place of a step by what its caller loses by its delay.
func (c *Cell) placeByCost(s *stepState, w triage.Work) triage.Key {
	if j := s.occurrence.job; !s.spec.LongRunning {
		worth := c.worthOf(j)
		w.Worth, w.Left = worth.worth, c.workLeft(s)*worth.perCore
		if j.firstAt > 0 && j.job.Repeats == 0 {
			w.ObjectiveAt -= s.occurrence.dueAt - j.firstAt
		}
	}
	return triage.ByCost(w)
}

// workLeft returns the work of the job of a finite step that needs further room, in
// core-seconds. The tasks of the step that run need none.
func (c *Cell) workLeft(s *stepState) float64 {
	running := len(s.tasks) - s.done - len(s.waiting)
	return s.occurrence.job.work - s.occurrence.doneWork - float64(running)*taskWork(s.spec)
}

// addDelayCost adds to the log line of a wait what decided the place of the step. The
// loss is that of the job when it falls into the next class.
func (c *Cell) addDelayCost(detail map[string]any, s *stepState) {
	w, _ := c.workOfStep(s)
	detail["priority"], detail["class"] = w.Priority, w.Class.String()
	if s.spec.LongRunning {
		return
	}
	worth := c.worthOf(s.occurrence.job)
	detail["worth_permille"], detail["left_permille"] = int64(1000*worth.worth), int64(1000*c.workLeft(s)*worth.perCore)
	detail["loss_permille"] = int64(1000 * triage.LossOfDelay(worth.worth, w.Class, min(w.Class+1, triage.Useless)))
}

const (
	// starveAfter is how long a step waits after its job has become of no use, or a
	// step with new long-running tasks on a crowded service from the start, until it
	// may come first.
	starveAfter = 30 * time.Second
	// starvingShare bounds the capacity that goes to starving work. What it takes is
	// lost to work that is still of use, so the share is small.
	starvingShare = 0.02
	// minStarvingInterval bounds the searches for a starving step in a pass.
	minStarvingInterval = 500 * time.Millisecond
)

// placeStarving puts one of the steps that have waited longest first. Without it, work
// that earns nothing would wait for as long as there is too little room.
func (c *Cell) placeStarving() {
	now, t := c.now.Steady, &c.triage
	if now >= t.nextStarving {
		t.starving, t.nextStarving = c.longestStarving(), now+minStarvingInterval
		if t.starving != nil {
			t.starving.starvingAt = now
			t.nextStarving = now + max(minStarvingInterval, c.starvingInterval(t.starving))
		}
	}
	if s := t.starving; s != nil && s.inReady {
		s.order.key = triage.ByCost(triage.Work{Class: triage.Starving})
	}
}

// longestStarving returns the step that has starved longest since its last turn, or nil.
func (c *Cell) longestStarving() *stepState {
	var longest *stepState
	since := c.now.Steady - starveAfter
	for _, s := range c.ready {
		if from, may := c.starvesFrom(s); may && from <= since && (longest == nil || from < since) {
			longest, since = s, from
		}
	}
	return longest
}

// starvesFrom returns the time from which a step has only waited since its last turn,
// and whether there is one. That of a finite step does not depend on the holder, so a
// takeover does not let it wait anew.
func (c *Cell) starvesFrom(s *stepState) (from time.Duration, may bool) {
	switch {
	case s.spec.LongRunning && !s.order.hasOverdue:
		from = c.waitingSince(s.tasks[s.waiting[0]])
	case !s.spec.LongRunning && c.lateness(s) == triage.Useless:
		from = s.occurrence.dueAt + triage.LateFactor*c.objective(s.occurrence.job)
	default:
		return 0, false
	}
	if s.starvingAt > 0 { // the clock of the holder starts at 0; from may be before that
		from = max(from, s.starvingAt)
	}
	return from, true
}

// starvingInterval returns the time in which starvingShare of the capacity of a step's
// service does the work of its waiting tasks.
func (c *Cell) starvingInterval(s *stepState) time.Duration {
	service, capacity := c.queueOf(s.occurrence.job).Service, int64(0)
	for _, w := range c.sortedWorkers {
		if w.server.Service == service && w.usable() {
			capacity += w.server.Capacity.MilliCPU
		}
	}
	work := float64(len(s.waiting)) * float64(s.spec.Need.MilliCPU) * s.spec.Estimate.Seconds()
	seconds := min(work/(starvingShare*float64(max(1, capacity))), starveAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/decision/triage"
	"lacewingfork.example/lacewingfork/fleet"
)

// gateKey selects the jobs of a service that have the same place in the order, apart
// from their objectives.
type gateKey struct {
	service fleet.Service
	place   triage.Key
}

// admission is what admission by cost knows. A takeover loses it: the new holder
// rejects nothing until it has seen a backlog for minBacklog, and callers that come
// again are treated as new ones.
type admission struct {
	gates      map[gateKey]*triage.Gate
	backlogs   map[fleet.Service]*backlog
	promises   triage.Promises
	measuredAt time.Duration
	passes     uint64        // measurements so far
	rejected   triage.Demand // of the last job that was rejected
}

// backlog is what waits and runs in a service.
type backlog struct {
	waiting  map[triage.Key]float64 // core-seconds, by place without the objective
	arrivals triage.Arrivals
	running  float64 // cores of the finite runs
	lowest   int     // priority of the least urgent finite run
	longRuns bool    // a finite run is expected to go on for long enough to stop it
	// since is the time from which useful work has waited at each measurement; 0 if
	// none waits.
	since time.Duration
	// peak and earlierPeak are the most cores of finite runs in the present and the
	// former peakWindow.
	peak, earlierPeak float64
	peakSince         time.Duration
}

const (
	// backlogInterval is the time between two measurements of the backlogs, which go
	// through all waiting steps and runs.
	backlogInterval = 250 * time.Millisecond
	// minBacklog is how long work must have waited without a pause before a job is
	// rejected. What waits at the start of a burst says little.
	minBacklog = 5 * time.Second
	// peakWindow is how long the most cores of finite runs count as the rate of a
	// service. Fewer run while starts get no answer, which is no loss of capacity; if
	// workers are lost, the rate follows after two windows at most.
	peakWindow = 15 * time.Second
)

// measureBacklogs measures what waits and runs in each service.
func (c *Cell) measureBacklogs() {
	a, now := &c.admission, c.now.Steady
	if now-a.measuredAt < backlogInterval {
		return
	}
	a.measuredAt = now
	a.passes++
	for _, b := range a.backlogs {
		clear(b.waiting)
		b.running, b.lowest, b.longRuns = 0, 0, false
	}
	for _, w := range c.sortedWorkers {
		b := c.backlogOf(w.server.Service)
		for _, r := range w.runsInOrder {
			if spec := r.task.step.spec; !spec.LongRunning {
				b.running += float64(r.need.MilliCPU) / milliCPUPerCore
				b.lowest = max(b.lowest, c.queueOf(r.task.step.occurrence.job).Priority)
				b.longRuns = b.longRuns || spec.Estimate-(now-r.orderedAt) >= triage.MinRemaining
			}
		}
	}
	for _, s := range c.ready {
		c.addWaiting(s)
	}
	for _, b := range a.backlogs {
		switch {
		case len(b.waiting) == 0 || c.blocked:
			b.since = 0
		case b.since == 0:
			b.since = now
		}
		if now-b.peakSince >= peakWindow {
			b.peak, b.earlierPeak, b.peakSince = 0, b.peak, now
		}
		b.peak = max(b.peak, b.running)
	}
}

// addWaiting adds the work left of the job of a waiting step to the backlog of its
// service, once for all steps of the job.
func (c *Cell) addWaiting(s *stepState) {
	o := s.occurrence
	if s.spec.LongRunning || len(s.waiting) == 0 || o.job.ended || o.countedIn == c.admission.passes {
		return
	}
	o.countedIn = c.admission.passes
	q := c.queueOf(o.job)
	worth, left := c.worthOf(o.job), c.workLeft(s)
	w := triage.Work{Priority: q.Priority, Class: c.classOf(s, q.objective(o.job)), Worth: worth.worth, Left: left * worth.perCore}
	if w.Class != triage.Useless && left > 0 {
		c.backlogOf(q.Service).waiting[triage.ByCost(w)] += left
	}
}

func (c *Cell) backlogOf(service fleet.Service) *backlog {
	a := &c.admission
	if a.backlogs == nil {
		a.backlogs, a.gates = map[fleet.Service]*backlog{}, map[gateKey]*triage.Gate{}
	}
	b := a.backlogs[service]
	if b == nil {
		b = &backlog{waiting: map[triage.Key]float64{}}
		a.backlogs[service] = b
	}
	return b
}

// demandOf returns what waits before a new job, and whether the job may be rejected:
// only a finite job of a service that has had a backlog for minBacklog. An urgent job
// is accepted while others run that leave their room sooner or later.
func (c *Cell) demandOf(j *jobState) (d triage.Demand, mayReject bool) {
	q := c.queueOf(j)
	b := c.admission.backlogs[q.Service]
	if b == nil || b.since == 0 || c.now.Steady-b.since < minBacklog || q.Priority < b.lowest && q.Priority <= triage.Urgent || j.job.Repeats > 0 {
		return d, false
	}
	for i := range j.job.Steps {
		if j.job.Steps[i].LongRunning {
			return d, false
		}
	}
	key := c.placeOfNew(j)
	d.Objective, d.Rate = q.objective(j), max(b.running, b.peak, b.earlierPeak)
	_, d.Returns = c.admission.promises.Get(c.now.Steady, j.job.ID)
	d.Arriving = b.arrivals.Before(c.now.Steady, key)
	for other, work := range b.waiting {
		if other.Compare(&key) <= 0 {
			d.Ahead += work
		}
	}
	return d, true
}

// placeOfNew returns the place of a new finite job in the order, without its objective.
func (c *Cell) placeOfNew(j *jobState) triage.Key {
	worth := c.worthOf(j)
	return triage.ByCost(triage.Work{Priority: c.queueOf(j).Priority, Class: triage.InTime, Worth: worth.worth, Left: j.work * worth.perCore})
}

// overloadReason is the reason for the rejection of a job that cannot be served.
const overloadReason = "overload"

// admits reports whether a new job is accepted: unless the service completes far less
// than what comes before the job until it is of no use, and no worker has room for one
// of its tasks.
func (c *Cell) admits(j *jobState) bool {
	d, mayReject := c.demandOf(j)
	if !mayReject {
		return true
	}
	key := gateKey{c.queueOf(j).Service, c.placeOfNew(j)}
	gate := c.admission.gates[key]
	if gate == nil {
		gate = &triage.Gate{}
		c.admission.gates[key] = gate
	}
	if gate.Admits(d) || c.hasRoomFor(j) {
		return true
	}
	c.admission.rejected = d
	return false
}

// hasRoomFor reports whether a worker has room for a task of the first step of a job.
func (c *Cell) hasRoomFor(j *jobState) bool {
	first := &stepState{occurrence: &occurrence{job: j}, spec: &j.job.Steps[0], image: c.imageOf(j.job.Steps[0].Image)}
	t := &task{step: first}
	service := c.queueOf(j).Service
	for _, w := range c.sortedWorkers {
		if w.server.Service == service && c.feasible(w, t) {
			return true
		}
	}
	return false
}

// accepting counts a job that is accepted, and keeps the promise to its caller.
func (c *Cell) accepting(j *jobState) {
	if j.work > 0 {
		c.backlogOf(c.queueOf(j).Service).arrivals.Add(c.now.Steady, c.placeOfNew(j), j.work)
	}
	c.keepPromise(j)
}

// addRejectionCost adds to the log line of a rejection what decided it.
func (c *Cell) addRejectionCost(detail map[string]any, j *job.Job, reason string, after time.Duration) {
	detail["priority"], detail["retry_after_ms"], detail["expected"] = c.queues[j.Queue].Priority, after.Milliseconds(), c.admission.promises.Len()
	if d := c.admission.rejected; reason == overloadReason {
		detail["load_percent"], detail["objective_ms"] = int64(100*d.Load()), d.Objective.Milliseconds()
		detail["ahead_core_s"], detail["arriving_cores"], detail["rate_cores"] = int64(d.Ahead), int64(d.Arriving), int64(d.Rate)
	}
}

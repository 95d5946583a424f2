package cell

import (
	"cmp"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// rackKey identifies the workers of a service in one rack.
type rackKey struct {
	service fleet.Service
	rack    string
}

// racks is what the cell knows about racks that hold the data of waiting tasks. All of
// it follows from the runs and the time, so a new holder needs no record of it.
type racks struct {
	members map[rackKey][]*worker // in the order of identifiers; nil if it has to be computed again
	keys    []rackKey             // of members, in the order of their first workers
	plans   map[rackKey][]plannedWorker
	busy    map[fleet.Service]bool // result of highlyUtilized, as old as the plans
	// plannedAt is when the plans were begun, and planning counts them. pass counts the
	// scheduling passes.
	plannedAt      time.Duration
	planning, pass uint64
	waiting        int // tasks that wait for their rack since the last pass
}

// plannedWorker is a worker of a rack with the room that it has now, and the room
// that its runs are expected to return. Tasks that wait for the rack claim room, so
// that each expects the end that is left to it.
type plannedWorker struct {
	worker  *worker
	free    fleet.Resources
	returns []plannedReturn // earliest first
}

// plannedReturn is the need of a run, and the time until its expected end.
type plannedReturn struct {
	in   time.Duration
	need fleet.Resources
}

const (
	// wantedTime is how long tasks without data in a rack prefer others after a task
	// has found no room there. It covers several scheduling passes.
	wantedTime = time.Second
	// costWanted is the cost of a server in such a rack for a task whose data is not
	// there. It is below costRemote, so that it moves no task off its own data.
	costWanted = 50.0
	// crowdingWeight is the weight of the slowdown by other best-effort tasks against
	// that by the distance: it lasts until some of these tasks end, the distance for the
	// whole run. With a weight of 1 tasks left a rack that was just full.
	crowdingWeight = 0.5
	// rackWaitMargin stretches an expected wait: a prediction that is as often too
	// short as too long costs a waiting task more than it gains.
	rackWaitMargin = 1.25
	// planTime is how long a plan is used. Many passes may follow each other within it,
	// and hundreds of tasks may wait for one rack.
	planTime = 20 * time.Millisecond
)

// beginPass begins a scheduling pass, and drops plans that are too old.
func (k *racks) beginPass(now time.Duration) {
	k.pass++
	k.waiting = 0
	if now-k.plannedAt >= planTime {
		k.plannedAt = now
		k.planning++
		clear(k.plans)
		clear(k.busy)
	}
}

// awaitsRack reports whether a task should wait for the rack of its data rather than
// run outside it now. The rack has no room, but a run that ends there soon leaves room
// earlier than the slower run outside it would end. While the service is highly
// utilized, a task also waits when it gains nothing but can still meet its objective:
// a run outside the rack occupies RemoteFactor times as much processor time, which
// other tasks wait for.
func (c *Cell) awaitsRack(t *task) bool {
	awaited := t.awaitsRack && t.rackPlanning == c.racks.planning
	t.awaitsRack = false
	s := t.step.spec
	if !c.settings.UnevenDemand || s.DataRack == "" || s.LongRunning || s.BestEffort || s.Estimate <= 0 || c.settings.RemoteFactor <= 1 {
		return false
	}
	key := rackKey{c.queueOf(t.step.occurrence.job).Service, s.DataRack}
	if len(c.rackMembers(key)) == 0 || c.rackHasRoom(key, t) {
		return false
	}
	if awaited { // it has claimed room in the plan
		t.awaitsRack = true
		c.racks.waiting++
		return true
	}
	c.wantRack(key)
	plan := c.rackPlan(key)
	at, wait := earliestRoom(plan, c, t)
	if at < 0 || !c.worthWaiting(t, wait) {
		return false
	}
	plan[at].claim(countedNeed(s), wait+c.expectedRunTime(plan[at].worker, t))
	c.racks.waiting++
	if !t.hasAwaitedRack {
		t.hasAwaitedRack = true
		c.uneven.RackWaits++
	}
	t.awaitsRack, t.rackPlanning = true, c.racks.planning
	return true
}

// worthWaiting decides between a wait for the rack of a task and a run outside it.
func (c *Cell) worthWaiting(t *task, wait time.Duration) bool {
	s := t.step
	expected := time.Duration(rackWaitMargin * float64(wait))
	gain := time.Duration((c.settings.RemoteFactor - 1) * float64(s.spec.Estimate))
	if !c.highlyUtilized(c.queueOf(s.occurrence.job).Service) {
		// The platform bounds the wait beside free capacity.
		return expected <= gain && c.now.Steady-c.waitingSince(t)+expected <= lowUtilizationWait
	}
	slack := c.objectiveAt(s.occurrence) - c.now.Steady - s.occurrence.job.criticalPathTimes[s.index]
	return expected <= max(gain, slack/2)
}

// rackHasRoom reports whether a worker of a rack can run a task now, and the task has
// no reason to avoid it. Where one task of a step has no room in a pass, the others have
// none.
func (c *Cell) rackHasRoom(key rackKey, t *task) bool {
	alike := len(t.avoid) == 0 && !t.isSuspect()
	if alike && t.step.rackFullIn == c.racks.pass {
		return false
	}
	for _, w := range c.rackMembers(key) {
		if c.feasible(w, t) && !slices.Contains(t.avoid, w.server.ID) {
			return true
		}
	}
	if alike {
		t.step.rackFullIn = c.racks.pass
	}
	return false
}

// chooseInRack returns what choose does if that is a worker in the rack of the task's
// data, without rating the others: each of these costs at least the distance. It returns
// nil if another worker may cost less.
func (c *Cell) chooseInRack(t *task) (best *worker, bestCost float64) {
	s := t.step.spec
	if !c.settings.UnevenDemand || s.DataRack == "" || s.LongRunning || s.BestEffort {
		return nil, 0
	}
	queue := c.queueOf(t.step.occurrence.job)
	bestCost = costRemote * (c.settings.RemoteFactor - 1)
	for _, w := range c.rackMembers(rackKey{queue.Service, s.DataRack}) {
		if !c.canRunFrom(queue, w, t) {
			continue
		}
		if cost := c.cost(w, t); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best, bestCost
}

// rackMembers returns the workers of a rack.
func (c *Cell) rackMembers(key rackKey) []*worker {
	if c.racks.members == nil {
		c.racks.members, c.racks.keys = map[rackKey][]*worker{}, nil
		for _, w := range c.sortedWorkers {
			if rack := w.server.Rack(); rack != "" {
				k := rackKey{w.server.Service, rack}
				if c.racks.members[k] == nil {
					c.racks.keys = append(c.racks.keys, k)
				}
				c.racks.members[k] = append(c.racks.members[k], w)
			}
		}
	}
	return c.racks.members[key]
}

// rackPlan returns the present plan of a rack. Workers that can run no
// task now have no part in it, so no task waits for a rack that is lost.
func (c *Cell) rackPlan(key rackKey) []plannedWorker {
	if plan, known := c.racks.plans[key]; known {
		return plan
	}
	plan := []plannedWorker{}
	for _, w := range c.rackMembers(key) {
		if c.closedTo(w, false) != obstacleNone {
			continue
		}
		p := plannedWorker{worker: w, free: w.free()}
		for _, r := range w.runsInOrder {
			if remaining, ends := c.expectedRemaining(r); ends {
				p.returns = append(p.returns, plannedReturn{remaining, r.countedNeed()})
			}
		}
		slices.SortStableFunc(p.returns, compareReturns)
		plan = append(plan, p)
	}
	if c.racks.plans == nil {
		c.racks.plans = map[rackKey][]plannedWorker{}
	}
	c.racks.plans[key] = plan
	return plan
}

func compareReturns(a, b plannedReturn) int { return cmp.Compare(a.in, b.in) }

// countedNeed returns the resources that the end of the run returns.
func (r *run) countedNeed() fleet.Resources { return countedNeed(r.task.step.spec) }

// earliestRoom returns the position in a plan of the worker that is the first to have
// room for a task, and the time until then; -1 if none is expected to have any.
func earliestRoom(plan []plannedWorker, c *Cell, t *task) (at int, wait time.Duration) {
	at = -1
	s := t.step.spec
	for i := range plan {
		w := plan[i].worker
		if !c.regionAllows(w, t.step.occurrence.job) || s.Label != "" && !slices.Contains(w.server.Labels, s.Label) || slices.Contains(t.avoid, w.server.ID) || c.besideSuspect(w, t) ||
			s.MaxPerServer > 0 && w.runsOfStep(t.step) >= s.MaxPerServer {
			continue
		}
		if in, fits := plan[i].roomIn(countedNeed(s)); fits && (at < 0 || in < wait) {
			at, wait = i, in
		}
	}
	return at, wait
}

// roomIn returns the time until a worker is expected to have room for a need.
func (p *plannedWorker) roomIn(need fleet.Resources) (time.Duration, bool) {
	free := p.free
	if need.Fits(free) {
		return 0, true
	}
	for _, r := range p.returns {
		if free = free.Add(r.need); need.Fits(free) {
			return r.in, true
		}
	}
	return 0, false
}

// claim takes the room of a need until the expected end of its task. It is taken at
// once, so that no other task counts on it.
func (p *plannedWorker) claim(need fleet.Resources, end time.Duration) {
	p.free = p.free.Sub(need)
	p.returns = append(p.returns, plannedReturn{end, need})
	slices.SortStableFunc(p.returns, compareReturns)
}

// started updates the plan of the rack in which a run has been started.
func (k *racks) started(c *Cell, r *run) {
	key := rackKey{r.worker.server.Service, r.worker.server.Rack()}
	plan, known := k.plans[key]
	if !known {
		return
	}
	for i := range plan {
		if plan[i].worker == r.worker {
			plan[i].free = plan[i].free.Sub(r.countedNeed())
			if remaining, ends := c.expectedRemaining(r); ends {
				plan[i].returns = append(plan[i].returns, plannedReturn{remaining, r.countedNeed()})
				slices.SortStableFunc(plan[i].returns, compareReturns)
			}
		}
	}
}

// wantRack notes that a task has found no room in the rack of its data.
func (c *Cell) wantRack(key rackKey) {
	for _, w := range c.rackMembers(key) {
		w.rackWantedUntil = c.now.Steady + wantedTime
	}
}

// highlyUtilized reports whether the runs use most of the processors of a service. The
// result is kept for one scheduling pass.
func (c *Cell) highlyUtilized(service fleet.Service) bool {
	if busy, known := c.racks.busy[service]; known {
		return busy
	}
	if c.racks.busy == nil {
		c.racks.busy = map[fleet.Service]bool{}
	}
	busy := c.measureInterferenceWait(service) == highUtilizationWait
	c.racks.busy[service] = busy
	return busy
}

// rackCost returns the cost of the distance between a task and its data, and that of a
// server whose rack holds the data of others. Long-running tasks outlast the demand for
// a rack.
func (c *Cell) rackCost(w *worker, t *task) float64 {
	s := t.step.spec
	cost := 0.0
	if s.DataRack != "" {
		slowdown, inRack := c.settings.RemoteFactor, w.server.Rack() == s.DataRack
		if inRack {
			slowdown = 1
		}
		if c.settings.UnevenDemand && s.BestEffort {
			slowdown *= 1 + crowdingWeight*(w.crowding(s.Need.MilliCPU)-1)
		}
		cost = costRemote * (slowdown - 1)
		if inRack {
			return cost
		}
	}
	if c.now.Steady < w.rackWantedUntil && !s.LongRunning {
		cost += costWanted
	}
	return cost
}

// crowding returns the factor by which a best-effort task takes longer on a worker because
// the best-effort tasks there need more than the processor time that the others leave.
func (w *worker) crowding(need int64) float64 {
	idle := float64(w.server.Capacity.MilliCPU) - servingUtilization*float64(w.used.MilliCPU)
	return max(1, float64(w.bestEffortCPU+need)/max(idle, milliCPUPerCore))
}

// interferes reports whether the cost of the best worker for a best-effort task shows
// that the task would disturb serving tasks. With UnevenDemand, the distance to its data
// and the coldness of the server have no part in it: the first alone would exceed the
// cost of an interference.
func (c *Cell) interferes(w *worker, t *task, cost float64) bool {
	if c.settings.UnevenDemand {
		cost -= c.rackCost(w, t) + c.coldCost(w, t)
	}
	return cost >= costInterferes
}

package cell

import "slices"

// Costs of a placement. They rank the reasons against it: a suspected server
// costs most, then one that the task avoids or that has refused starts, then
// interference or a slow run, then the capacity left. The unit is a core of an
// evenly loaded server.
const (
	costSuspected = 5000.0
	costAvoided   = 2500.0
	// costUnresponsive keeps long-running tasks off data centres that don't answer.
	costUnresponsive = 1000.0
	costInterferes   = 250.0
	costRemote       = 200.0
	costPerRun       = 0.01
	// costVacating keeps long-running tasks off servers that are being vacated of
	// serving tasks.
	costVacating = 100.0
	// costLateLease keeps long-running tasks off workers on which a late call may extend
	// the lease, so that a task lost with the worker waits up to 22 s. It is more than
	// the free cores of a server cost and less than costNoServing.
	costLateLease   = 30.0
	milliCPUPerCore = 1000.0
)

// cost rates a worker for a task; the lowest is the best.
func (c *Cell) cost(w *worker, t *task) float64 {
	s := t.step.spec
	cost := w.health.cost(c.now.Steady)
	if slices.Contains(t.avoid, w.server.ID) {
		cost += costAvoided
	}
	switch {
	case c.settings.UnevenDemand:
		cost += c.rackCost(w, t) + c.coldCost(w, t) + c.sizeCost(w, t.step)
	case s.DataRack != "" && w.server.Rack() != s.DataRack:
		cost += costRemote * (c.settings.RemoteFactor - 1)
	}
	if s.SameRack {
		cost += costRemote * (c.settings.RemoteFactor - 1) * float64(c.outsideRack(t.step, w.server.Rack()))
	}
	freeCores := float64(w.server.Capacity.MilliCPU-w.used.MilliCPU) / milliCPUPerCore
	bestEffort := float64(w.bestEffortCPU) / milliCPUPerCore
	serving := w.throttling.serving
	switch {
	case s.LongRunning:
		if w.dataCentre.recentlyUnresponsive(c.now.Steady) {
			cost += costUnresponsive
		}
		if c.now.Steady < w.vacatingUntil {
			cost += costVacating
		}
		if w.lateLeaseUntil-c.now.Steady > c.settings.Lease {
			cost += costLateLease
		}
		if serving == 0 {
			cost += costNoServing
		}
		if w.servesOtherImage(t.step.image) {
			cost += c.mixedCost(w)
		}
		// Serving tasks are packed, so that other servers have none.
		cost += costFreeCore*freeCores + costBestEffortCore*bestEffort
	case s.BestEffort:
		cost += c.bestEffortCost(w, t.step)
	default:
		// On a server without serving tasks, best-effort tasks add to the cost.
		// Beside serving tasks they don't: capacity there is better used by these
		// tasks than by best-effort ones.
		if serving == 0 {
			cost += bestEffort
		}
		cost += freeCores * 0.1
	}
	return cost + c.crashCost(w, t) + costPerRun*float64(len(w.runs))
}

const (
	// costBestEffortFull is the cost of a server that is full of best-effort
	// tasks, and costServing that of a server with serving tasks, before the
	// cost of their interference. By the ratio of the two, best-effort tasks
	// first use servers without serving tasks, and leave the second half of
	// these servers to images that interfere.
	costBestEffortFull = 60.0
	costServing        = 20.0
	// costPressure is the cost of each unit of mean load that is added to the
	// serving tasks, so that each best-effort image is placed beside the
	// serving tasks with which it interferes least.
	costPressure = 400.0
	// costMixed is the cost of a server with serving tasks of another image,
	// and costNoServing that of a server without any. Most best-effort images
	// interfere with most serving images, so a server with one serving image
	// has room for several best-effort images, and a server with two for hardly
	// any.
	costMixed     = 80.0
	costNoServing = 40.0
	// costFreeCore and costBestEffortCore are the costs of each core beside a
	// serving task that is free or used by best-effort tasks. The sum for a
	// server of 96 cores stays below costNoServing.
	costFreeCore       = 0.3
	costBestEffortCore = 0.6
	// costMissingCore is the cost of each core by which a best-effort task
	// exceeds the idle processor capacity.
	costMissingCore = 4.0
	// servingUtilization is the fraction of its processor need that a serving
	// task rarely exceeds; best-effort tasks use the rest.
	servingUtilization = 0.65
)

// bestEffortCost returns the cost of a best-effort task on a worker. It is
// highest where serving tasks would miss their targets.
func (c *Cell) bestEffortCost(w *worker, s *stepState) float64 {
	need := float64(s.spec.Need.MilliCPU)
	capacity := float64(max(1, w.server.Capacity.MilliCPU))
	left := capacity - servingUtilization*float64(w.used.MilliCPU) - float64(w.bestEffortCPU) - need
	cost := costBestEffortFull * float64(w.bestEffortCPU) / capacity
	if left < 0 {
		cost -= costMissingCore * left / milliCPUPerCore
	}
	if w.throttling.serving == 0 {
		return cost
	}
	effect := c.impactOf(w, s.image, need/capacity)
	if effect.count == 0 {
		return cost + costServing*(1.5+effect.worst/2) + costPressure*effect.added
	}
	return cost + costInterferes*(1+float64(effect.count)+effect.worst)
}

// servesOtherImage reports whether the worker has serving tasks of another
// image.
func (w *worker) servesOtherImage(image imageID) bool {
	return slices.ContainsFunc(w.runsInOrder, func(r *run) bool { return r.serves() && r.image != image })
}

// outsideRack returns the number of runs of a step outside a rack.
func (c *Cell) outsideRack(s *stepState, rack string) int {
	count := 0
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.worker.server.Rack() != rack {
				count++
			}
		}
	}
	return count
}

package cell

import (
	"cmp"
	"slices"
	"time"
)

// rackFit is a rack and the number of members of a gang that it has room for.
type rackFit struct {
	key    rackKey
	isData bool // it holds the data of the gang
	fits   int
}

// placeGangInRack places a gang whose members are slow unless all of them run in one
// rack. It prefers the rack of their data, and then the one with the least room that
// suffices. If no rack has room, waits reports whether the gang should wait for one, by
// the same arithmetic as a task that waits for the rack of its data; otherwise the
// members may be spread.
func (c *Cell) placeGangInRack(s *stepState) (placed []*worker, waits bool) {
	first := s.tasks[0]
	awaited := first.awaitsRack && first.rackPlanning == c.racks.planning
	first.awaitsRack = false
	service := c.queueOf(s.occurrence.job).Service
	c.rackMembers(rackKey{}) // computes the racks
	var candidates []rackFit
	for _, key := range c.racks.keys {
		if key.service != service {
			continue
		}
		if fits := c.membersThatFit(key, s); fits >= len(s.tasks) {
			candidates = append(candidates, rackFit{key, s.spec.DataRack != "" && key.rack == s.spec.DataRack, fits})
		}
	}
	slices.SortStableFunc(candidates, func(a, b rackFit) int {
		if a.isData != b.isData {
			if a.isData {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.fits, b.fits)
	})
	for _, candidate := range candidates {
		placed := c.placeMembers(s, func(t *task) *worker { return c.cheapestOf(c.rackMembers(candidate.key), t) })
		if placed != nil {
			return placed, false
		}
	}
	if s.spec.LongRunning || s.spec.BestEffort || s.spec.Estimate <= 0 || c.settings.RemoteFactor <= 1 {
		return nil, false
	}
	return nil, awaited && c.keepsWaiting(first) || c.gangAwaitsRack(s)
}

// keepsWaiting continues a wait that the present plan contains.
func (c *Cell) keepsWaiting(t *task) bool {
	t.awaitsRack = true
	c.racks.waiting += len(t.step.tasks)
	return true
}

// gangAwaitsRack decides whether a gang waits for the rack that is the first to have
// room for it, and claims that room.
func (c *Cell) gangAwaitsRack(s *stepState) bool {
	var best []plannedWorker
	var bestKey rackKey
	var wait time.Duration
	for _, key := range c.racks.keys {
		if key.service != c.queueOf(s.occurrence.job).Service {
			continue
		}
		plan, in, fits := c.planGang(key, s)
		if fits && (best == nil || in < wait) {
			best, bestKey, wait = plan, key, in
		}
	}
	first := s.tasks[0]
	if best == nil || !c.worthWaiting(first, wait) {
		return false
	}
	c.racks.plans[bestKey] = best
	c.wantRack(bestKey)
	if !first.hasAwaitedRack {
		first.hasAwaitedRack = true
		c.uneven.RackWaits += len(s.tasks)
	}
	first.rackPlanning = c.racks.planning
	return c.keepsWaiting(first)
}

// planGang returns the plan of a rack with the room that a gang claims there, and the
// time until it has room for all members.
func (c *Cell) planGang(key rackKey, s *stepState) (plan []plannedWorker, wait time.Duration, fits bool) {
	plan = slices.Clone(c.rackPlan(key))
	for i := range plan {
		plan[i].returns = slices.Clone(plan[i].returns)
	}
	for range s.tasks {
		at, in := earliestRoom(plan, c, s.tasks[0])
		if at < 0 {
			return nil, 0, false
		}
		wait = max(wait, in)
		// No member gets the room of another: all run at the same time. A plan is too
		// short-lived for their ends to matter.
		plan[at].free = plan[at].free.Sub(countedNeed(s.spec))
	}
	return plan, wait, true
}

// membersThatFit returns how many members of a gang a rack has room for.
func (c *Cell) membersThatFit(key rackKey, s *stepState) int {
	fits := 0
	need := countedNeed(s.spec)
	for _, w := range c.rackMembers(key) {
		if !c.feasible(w, s.tasks[0]) {
			continue
		}
		free := w.free()
		free.Slots = 0
		count := 0
		for count < len(s.tasks) && (s.spec.MaxPerServer == 0 || count < s.spec.MaxPerServer) && need.Fits(free) {
			count++
			free = free.Sub(need)
		}
		fits += count
	}
	return fits
}

// cheapestOf returns the worker with the lowest cost for a task among some, or nil if
// none can run it.
func (c *Cell) cheapestOf(workers []*worker, t *task) (best *worker) {
	queue := c.queueOf(t.step.occurrence.job)
	bestCost := 0.0
	for _, w := range workers {
		if !c.canRunFrom(queue, w, t) {
			continue
		}
		if cost := c.cost(w, t); best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

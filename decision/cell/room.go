package cell

import (
	"slices"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// roomKey selects the workers that a step may use, whatever its need.
type roomKey struct {
	service    fleet.Service
	label      string
	bestEffort bool
	gang       bool
	regions    *regionSet
	// interferenceFree limits the processor need to that which disturbs no serving
	// task, for a best-effort image.
	interferenceFree bool
	image            imageID
}

// room is the capacity left on the workers of a key. Within a scheduling pass it
// only decreases, so a step whose need exceeds it has no worker in the rest of the
// pass.
type room struct {
	measured bool
	starts   uint64 // Cell.starts when free was measured
	// free is the capacity left on each worker, without that of workers that
	// have no more of any resource than another one.
	free []fleet.Resources
}

// openKey selects workers by closedTo.
type openKey struct {
	service    fleet.Service
	bestEffort bool
}

// forgetRoom drops what is known about the workers before it may have grown.
func (c *Cell) forgetRoom() {
	clear(c.room)
	clear(c.open)
	clear(c.interferenceWaits)
}

// openWorkers returns the positions of the workers of a service that are not closed.
// Within a scheduling pass workers only close, so some of them may be closed since.
func (c *Cell) openWorkers(service fleet.Service, bestEffort bool) []int {
	key := openKey{service, bestEffort}
	if open, known := c.open[key]; known {
		return open
	}
	open := []int{}
	for i, w := range c.sortedWorkers {
		if w.server.Service == service && c.closedTo(w, bestEffort) == obstacleNone {
			open = append(open, i)
		}
	}
	c.open[key] = open
	return open
}

// findWorker is choose for a scheduling pass. After a search without a result it
// compares the needs of further steps with the capacity left: many steps may wait,
// and each search rates every worker.
func (c *Cell) findWorker(t *task) (*worker, float64) {
	if c.exceedsRoom(t.step) {
		return nil, 0
	}
	w, cost := c.choose(t)
	if w == nil {
		c.searchFailed(c.roomKeyOf(t.step))
	}
	return w, cost
}

// searchFailed has the room of a key measured again if starts have reduced it. That is
// done at the next search, when no member of a gang reserves resources.
func (c *Cell) searchFailed(key roomKey) {
	if r := c.room[key]; r == nil || r.starts != c.starts {
		c.room[key] = &room{}
	}
}

// interferesEverywhere reports whether a best-effort task of a step would disturb a
// serving task on each worker that has room for it.
func (c *Cell) interferesEverywhere(s *stepState) bool {
	key := c.interferenceFreeKeyOf(s)
	r := c.room[key]
	if r == nil {
		r = &room{}
		c.room[key] = r
	}
	if !r.measured {
		c.measureRoom(key, r)
	}
	need := s.spec.Need
	need.Slots = 0
	return !slices.ContainsFunc(r.free, need.Fits)
}

func (c *Cell) interferenceFreeKeyOf(s *stepState) roomKey {
	key := c.roomKeyOf(s)
	key.interferenceFree, key.image = true, s.image
	return key
}

// exceedsRoom reports whether it is known in a scheduling pass that the tasks of a
// step need more than any of its workers has left.
func (c *Cell) exceedsRoom(s *stepState) bool {
	key := c.roomKeyOf(s)
	r := c.room[key]
	if r == nil {
		return false
	}
	if !r.measured {
		c.measureRoom(key, r)
	}
	return !slices.ContainsFunc(r.free, countedNeed(s.spec).Fits)
}

func (c *Cell) roomKeyOf(s *stepState) roomKey {
	j := s.occurrence.job
	return roomKey{service: c.queueOf(j).Service, label: s.spec.Label, bestEffort: s.spec.BestEffort, gang: s.spec.Gang, regions: c.regionsOf(j)}
}

// measureRoom measures the capacity left on the workers of a key.
func (c *Cell) measureRoom(key roomKey, r *room) {
	r.measured, r.starts = true, c.starts
	for _, i := range c.openWorkers(key.service, key.bestEffort) {
		w := c.sortedWorkers[i]
		if !key.gang && !w.dataCentre.path.Allows() ||
			!key.regions.allows(w) || key.label != "" && !slices.Contains(w.server.Labels, key.label) {
			continue
		}
		free := w.free()
		free.Slots = 0 // not a resource of tasks
		if key.interferenceFree {
			free.MilliCPU = c.interferenceFreeCPU(w, key.image)
		}
		if slices.ContainsFunc(r.free, free.Fits) {
			continue
		}
		r.free = slices.DeleteFunc(r.free, func(other fleet.Resources) bool { return other.Fits(free) })
		r.free = append(r.free, free)
	}
}

// free returns the capacity left on the worker.
func (w *worker) free() fleet.Resources {
	free := w.server.Capacity.Sub(w.used).Sub(w.orphanResources)
	if len(w.reservations) > 0 {
		free = free.Sub(w.reserved)
	}
	return free
}

// countedNeed returns the resources that a task of a step needs to have left on its
// server. A best-effort task uses the processor time that other tasks leave idle.
func countedNeed(s *job.Step) fleet.Resources {
	need := s.Need
	need.Slots = 0
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

package cell

import "container/heap"

// candidates are the workers that can run the tasks of one step, lowest cost first.
// The tasks of a step are alike, so the workers are rated once for all of them. While
// the step is placed, a start changes the cost of its own worker, and can only raise
// that of others, so a cost is brought up to date when it has become the lowest.
type candidates struct {
	collected bool
	rated     ratedWorkers
}

// ratedWorker is a worker with its cost for a task. Position is its place in the
// order of identifiers, which decides between equal costs.
type ratedWorker struct {
	worker   *worker
	position int
	cost     float64
}

type ratedWorkers []ratedWorker

func (r ratedWorkers) Len() int { return len(r) }
func (r ratedWorkers) Less(i, j int) bool {
	return r[i].cost < r[j].cost || r[i].cost == r[j].cost && r[i].position < r[j].position
}
func (r ratedWorkers) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push and Pop implement heap.Interface.
func (r *ratedWorkers) Push(x any) { *r = append(*r, x.(ratedWorker)) }

// Pop implements heap.Interface.
func (r *ratedWorkers) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// findCandidate returns what findWorker does, from the candidates of the step of the
// task. A task with a history of its own, or of a step whose members attract each
// other, is rated by itself.
func (c *Cell) findCandidate(found *candidates, t *task) (*worker, float64) {
	if len(t.avoid) > 0 || t.isSuspect() || t.step.spec.SameRack {
		found.collected = false // a start may change any cost
		return c.findWorker(t)
	}
	if !found.collected {
		if c.exceedsRoom(t.step) {
			return nil, 0
		}
		if w, cost := c.chooseInRack(t); w != nil {
			return w, cost
		}
		c.collect(found, t)
	}
	w, cost := c.best(found, t)
	if w == nil {
		c.searchFailed(c.roomKeyOf(t.step))
	}
	return w, cost
}

// collect rates all workers that can run a task. Some of them may be closed since the
// beginning of the pass; best leaves these out.
func (c *Cell) collect(found *candidates, t *task) {
	found.collected, found.rated = true, c.ratedBuffer[:0]
	queue := c.queueOf(t.step.occurrence.job)
	for _, i := range c.openWorkers(queue.Service, t.step.spec.BestEffort) {
		if w := c.sortedWorkers[i]; c.obstacleOnOpen(w, t) == obstacleNone && c.hasTicket(queue, w, t) {
			found.rated = append(found.rated, ratedWorker{w, i, c.cost(w, t)})
		}
	}
	c.ratedBuffer = found.rated
	heap.Init(&found.rated)
}

// best returns the candidate with the lowest cost and that cost, or nil.
func (c *Cell) best(found *candidates, t *task) (*worker, float64) {
	queue := c.queueOf(t.step.occurrence.job)
	for len(found.rated) > 0 {
		first := &found.rated[0]
		if !c.canRunFrom(queue, first.worker, t) {
			heap.Pop(&found.rated)
			continue
		}
		cost := c.cost(first.worker, t)
		risen := cost > first.cost
		first.cost = cost
		if !risen {
			return first.worker, cost
		}
		heap.Fix(&found.rated, 0)
	}
	return nil, 0
}

// canRunFrom is canRun for a task of a known queue.
func (c *Cell) canRunFrom(queue QueueSettings, w *worker, t *task) bool {
	return c.feasible(w, t) && c.hasTicket(queue, w, t)
}

// hasTicket reports whether the advisor of the queue, if any, allows a start.
func (c *Cell) hasTicket(queue QueueSettings, w *worker, t *task) bool {
	if queue.Advisor.TicketValidity == 0 {
		return true
	}
	_, allowed := c.ticketFor(t.step, w)
	return allowed
}

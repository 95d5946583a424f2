package cell

import "slices"

// startGang starts all tasks of a gang step, or none. The members share an attempt
// number and a checkpoint.
func (c *Cell) startGang(s *stepState) {
	if len(s.waiting) < len(s.tasks) {
		c.stopRest(s)
		return // until the members of the earlier run have ended
	}
	if c.failIfAttemptsExhausted(s.tasks[0]) {
		return
	}
	attempt := 0
	for _, t := range s.tasks {
		if c.now.Steady < t.startsFrom() {
			return
		}
		attempt = max(attempt, t.attempt)
	}
	placed := c.takeReserved(s)
	if placed == nil {
		placed = c.placeGang(s)
	}
	if placed == nil {
		return
	}
	checkpoint := s.gangCheckpoint()
	for i, t := range s.tasks {
		t.attempt, t.checkpoint = attempt, checkpoint
		c.startRun(t, placed[i])
	}
	s.waiting = nil
}

// placeGang returns a worker for each task, or nil if they do not all fit.
func (c *Cell) placeGang(s *stepState) []*worker {
	if c.settings.UnevenDemand && s.spec.SameRack {
		if placed, waits := c.placeGangInRack(s); placed != nil || waits {
			return placed
		}
	}
	return c.placeMembers(s, func(t *task) *worker {
		w, _ := c.findWorker(t) // the cost only ranks the workers
		return w
	})
}

// placeMembers returns the worker that pick returns for each task of a gang, or nil
// if it returns nil for one. Members that are already placed reserve their resources
// while the others are placed; the reservations are released at the end.
func (c *Cell) placeMembers(s *stepState, pick func(t *task) *worker) []*worker {
	placed := make([]*worker, 0, len(s.tasks))
	reserved := make([]*run, 0, len(s.tasks))
	defer func() {
		for _, r := range slices.Backward(reserved) {
			r.worker.runsInOrder = r.worker.runsInOrder[:len(r.worker.runsInOrder)-1]
			r.worker.account(r, -1)
			r.task.runs = nil
		}
	}()
	for _, t := range s.tasks {
		w := pick(t)
		if w == nil {
			return nil
		}
		placed = append(placed, w)
		r := &run{key: runKey{task: t.ref()}, task: t, worker: w, need: s.spec.Need, bestEffort: s.spec.BestEffort}
		w.runsInOrder = append(w.runsInOrder, r)
		w.account(r, 1)
		t.runs = []*run{r}
		reserved = append(reserved, r)
	}
	return placed
}

// gangCheckpoint returns the checkpoint that all members resume from. The
// checkpoint of any member is valid for the whole gang.
func (s *stepState) gangCheckpoint() string {
	at := slices.IndexFunc(s.tasks, func(t *task) bool { return t.checkpoint != "" })
	if at < 0 {
		return ""
	}
	return s.tasks[at].checkpoint
}

// gangDone marks all tasks of a gang done; the end of one member stands for
// all.
func (c *Cell) gangDone(s *stepState) {
	for _, t := range s.tasks {
		c.taskDone(t)
	}
}

// stopRest stops the members that run while others wait: a start was not accepted, or
// a takeover has found some of them only. Without the others they do no work.
func (c *Cell) stopRest(s *stepState) {
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.state == runOrdered || r.state == runConfirmed {
				c.stopRun(r, "gang_incomplete")
			}
		}
	}
}

// breakGang stops the remaining members of a gang after one has ended.
func (c *Cell) breakGang(s *stepState) {
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			c.stopRun(r, "gang_broken")
		}
	}
}

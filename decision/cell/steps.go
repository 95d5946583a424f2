package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
)

// openDue opens the occurrences whose time has come.
func (c *Cell) openDue(j *jobState) {
	if !j.stored || j.ended {
		return
	}
	for j.nextDue < max(1, j.job.Repeats) {
		if j.job.Repeats > 0 && c.now.Wall.Before(j.due(j.nextDue)) {
			return
		}
		number := j.nextDue
		j.nextDue++
		if !j.closed[number] && j.occurrences[number] == nil {
			c.openOccurrence(j, number)
		}
	}
}

func (j *jobState) due(number int) time.Time {
	return j.job.FirstDue.Add(time.Duration(number) * j.job.Interval)
}

func (c *Cell) openOccurrence(j *jobState, number int) *occurrence {
	o := c.newOccurrence(j, number)
	c.openSteps(o)
	return o
}

func (c *Cell) newOccurrence(j *jobState, number int) *occurrence {
	o := &occurrence{job: j, number: number, open: len(j.job.Steps)}
	for i := range j.job.Steps {
		s := &stepState{of: o, index: i, step: &j.job.Steps[i], image: c.disturbance.id(j.job.Steps[i].Image)}
		s.tasks = make([]*task, s.step.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{of: s, index: n}
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	return o
}

// openSteps opens each step whose earlier steps are done.
func (c *Cell) openSteps(o *occurrence) {
	for _, s := range o.steps {
		if s.opened || !slices.ContainsFunc(s.step.After, func(i int) bool { return !o.steps[i].isDone() }) {
			c.openStep(s)
		}
	}
}

func (s *stepState) isDone() bool { return s.done == len(s.tasks) }

func (c *Cell) openStep(s *stepState) {
	if s.opened {
		return
	}
	s.opened, s.openedAt = true, c.now.Steady
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 {
			s.waiting = append(s.waiting, t.index)
		}
	}
	c.enqueue(s)
}

// enqueue puts a step with waiting tasks among the ready ones.
func (c *Cell) enqueue(s *stepState) {
	if len(s.waiting) > 0 && !s.queued {
		s.queued = true
		c.ready = append(c.ready, s)
	}
	c.needsOrder = true
}

// waitAgain makes a task wait for another run.
func (c *Cell) waitAgain(t *task) {
	s := t.of
	if t.done || s.of.job.ended || len(t.runs) > 0 || !s.opened || slices.Contains(s.waiting, t.index) {
		return
	}
	s.waiting = append(s.waiting, t.index)
	c.enqueue(s)
}

// taskDone counts a task's end, opens what depends on it and ends the job when
// nothing is left.
func (c *Cell) taskDone(t *task) {
	if t.done {
		return
	}
	s := t.of
	t.done = true
	s.done++
	s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == t.index })
	for _, other := range slices.Clone(t.runs) {
		c.stopRun(other, "task_done")
	}
	if !s.isDone() {
		return
	}
	o := s.of
	o.open--
	if o.open > 0 {
		c.openSteps(o)
		return
	}
	o.job.closed[o.number] = true
	delete(o.job.occurrences, o.number)
	if o.job.state() == job.Complete {
		c.endJob(o.job)
	}
}

package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
)

// openDueOccurrences opens the occurrences that are due.
func (c *Cell) openDueOccurrences(j *jobState) {
	if !j.stored || j.ended {
		return
	}
	for j.nextDue < max(1, j.job.Repeats) {
		if j.job.Repeats > 0 && c.now.Wall.Before(j.due(j.nextDue)) {
			return
		}
		number := j.nextDue
		j.nextDue++
		if !j.completed[number] && j.occurrences[number] == nil {
			c.openOccurrence(j, number)
		}
	}
}

// due returns the time of day at which an occurrence is due.
func (j *jobState) due(number int) time.Time {
	return j.job.FirstDue.Add(time.Duration(number) * j.job.Interval)
}

func (c *Cell) openOccurrence(j *jobState, number int) *occurrence {
	o := c.newOccurrence(j, number)
	c.openSteps(o)
	return o
}

func (c *Cell) newOccurrence(j *jobState, number int) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: j.acceptedAt, pendingSteps: len(j.job.Steps)}
	if j.job.Repeats > 0 {
		o.dueAt = max(j.acceptedAt, c.now.Steady-c.now.Wall.Sub(j.due(number)))
	}
	j.occurrences[number] = o // its images are in use from now on
	for i := range j.job.Steps {
		s := &stepState{occurrence: o, index: i, spec: &j.job.Steps[i], image: c.imageOf(j.job.Steps[i].Image)}
		s.tasks = make([]*task, s.spec.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{step: s, index: n}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// openSteps opens each step whose earlier steps are done.
func (c *Cell) openSteps(o *occurrence) {
	for _, s := range o.steps {
		if s.opened || !slices.ContainsFunc(s.spec.After, func(i int) bool { return !o.steps[i].isDone() }) {
			c.openStep(s)
		}
	}
}

func (s *stepState) isDone() bool { return s.done == len(s.tasks) }

// openStep makes the tasks of a step wait for their runs.
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

// enqueue adds a step with waiting tasks to the ready steps.
func (c *Cell) enqueue(s *stepState) {
	if len(s.waiting) > 0 && !s.inReady {
		s.inReady = true
		c.wantSize(s)
		c.ready = append(c.ready, s)
	}
	c.needsScheduling = true
}

// requeue makes a task wait for another run.
func (c *Cell) requeue(t *task) {
	s := t.step
	if t.done || s.occurrence.job.ended || len(t.runs) > 0 || !s.opened || slices.Contains(s.waiting, t.index) {
		return
	}
	s.waiting = append(s.waiting, t.index)
	c.enqueue(s)
}

// taskDone records that a task is done, opens the steps that depend on it and
// ends the job when no step is left.
func (c *Cell) taskDone(t *task) {
	if t.done {
		return
	}
	s := t.step
	t.done = true
	s.done++
	s.occurrence.doneWork += taskWork(s.spec)
	s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == t.index })
	for _, other := range slices.Clone(t.runs) {
		c.stopRun(other, "task_done")
	}
	if !s.isDone() {
		return
	}
	o := s.occurrence
	o.pendingSteps--
	if o.pendingSteps > 0 {
		c.openSteps(o)
		return
	}
	o.job.completed[o.number] = true
	delete(o.job.occurrences, o.number)
	if o.job.state() == job.Complete {
		c.endJob(o.job)
	}
}

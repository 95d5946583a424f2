package placement

import (
	"math"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// demandWindow is the time constant that smooths the demand of requests.
	// Requests of shorter peaks wait in the queue, so that no slots are kept
	// idle for them.
	demandWindow = 3 * time.Second
	// demandHalfLife is the half-life of the peak of the smoothed demand.
	// Demand swings within seconds and batch tasks run for hours, so slots
	// that were needed a few minutes ago stay reserved.
	demandHalfLife = 10 * time.Minute
)

// Task is a batch task that has resources on a backend server.
type Task struct {
	ID   fleet.TaskID
	Kind string
	// Team is the caller's reference to the team that is charged for the task;
	// this package doesn't interpret it.
	Team      int32
	Resources fleet.Resources
	// Progress is the work that an eviction without a checkpoint would lose.
	Progress time.Duration
	PlacedAt time.Time
	// Throttled and EvictedAt record the throttling and the eviction of the
	// task. The caller maintains them.
	Throttled bool
	EvictedAt time.Time
	// Reported is set once a usage report has listed the task.
	Reported bool
}

// demand tracks the peak of the slots that requests need: the expected run time
// that arrives per second. Slots in use and the length of the queue don't
// measure this demand, because both grow when tasks take too many slots.
type demand struct {
	// short and long are the demands in slots at time at, smoothed over
	// demandWindow.
	short, long float64
	at          time.Time
	peak        float64
	peakAt      time.Time
}

// RecordDemand adds the expected run time of a latency-critical request that
// arrived.
func (t *Table) RecordDemand(now time.Time, run time.Duration, long bool) {
	d := &t.demand
	if passed := now.Sub(d.at); passed > 0 {
		factor := math.Exp(-float64(passed) / float64(demandWindow))
		d.short *= factor
		d.long *= factor
		d.at = now
	}
	if part := float64(run) / float64(demandWindow); long {
		d.long += part
	} else {
		d.short += part
	}
	need := min(float64(t.capacity), d.short+min(d.long, float64(t.MaxLongSlots())))
	if need >= t.peak(now) {
		d.peak, d.peakAt = need, now
	}
}

// peak returns the decayed peak of the demand in slots.
func (t *Table) peak(now time.Time) float64 {
	if t.demand.peak == 0 {
		return 0
	}
	return t.demand.peak * math.Exp2(-float64(now.Sub(t.demand.peakAt))/float64(demandHalfLife))
}

// Reserved returns the number of slots of the partition that batch tasks leave
// free. There is no margin: reserving 10% more lowered batch throughput
// below its target.
func (t *Table) Reserved(now time.Time) int {
	return min(t.capacity, int(math.Ceil(t.peak(now))))
}

// ChooseTask returns the backend server for a batch task, or NoServer. It
// doesn't reserve the resources. It prefers the server with the lowest fraction
// of slots in use, task slots counted twice.
func (t *Table) ChooseTask(now time.Time, need fleet.Resources, avoid []fleet.BackendServerID, limiter SlotLimiter, e *Explanation) Index {
	*e = Explanation{}
	usedByTasks := 0
	for i := range t.servers {
		if !t.servers[i].leaving() {
			usedByTasks += t.servers[i].taskSlots
		}
	}
	if usedByTasks+need.Slots > t.capacity-t.Reserved(now) {
		e.Excluded[NoSlot] = uint16(len(t.servers))
		return NoServer
	}
	for i := range t.servers {
		s := &t.servers[i]
		if cause, excluded := t.excludesTask(now, Index(i), s, need, avoid, limiter); excluded {
			e.Excluded[cause]++
			continue
		}
		e.add(Candidate{Index(i), float64(s.used.Slots+s.taskSlots) / float64(s.info.Capacity.Slots)})
	}
	if e.Count == 0 {
		return NoServer
	}
	return e.Best[0].Server
}

// excludesTask returns the cause for which a server can't take a task, and
// whether there is one.
func (t *Table) excludesTask(now time.Time, i Index, s *server, need fleet.Resources, avoid []fleet.BackendServerID, limiter SlotLimiter) (Cause, bool) {
	slots := s.info.Capacity.Slots
	free := s.info.Capacity.Sub(s.used)
	reserved := 0
	if t.limits.HasShortOperations && slots > reservedShortSlots {
		reserved = reservedShortSlots
	}
	switch {
	case s.leaving() || slots <= 0:
		return Leaving, true
	case slices.Contains(avoid, s.info.ID):
		return Avoided, true
	case need.Slots > free.Slots || s.long+s.taskSlots+need.Slots > slots-reserved:
		return NoSlot, true
	case !need.Fits(free):
		return NoResources, true
	case limiter.Allowed(now, i, slots) < slots:
		return NotAllowed, true
	}
	return 0, false
}

// AddTask counts the resources of a task on a backend server, even beyond its
// capacity, because a running task uses them whichever holder placed it. A task
// that is already counted there is replaced.
func (t *Table) AddTask(i Index, task Task) {
	s := &t.servers[i]
	if k := s.find(task.ID); k >= 0 {
		s.tasks[k] = task
	} else {
		s.tasks = append(s.tasks, task)
	}
	t.recount(i)
}

// RemoveTask frees the resources of a task on a backend server. It reports
// false if the task isn't there.
func (t *Table) RemoveTask(i Index, id fleet.TaskID) (Task, bool) {
	s := &t.servers[i]
	k := s.find(id)
	if k < 0 {
		return Task{}, false
	}
	task := s.tasks[k]
	s.tasks = slices.Delete(s.tasks, k, k+1)
	t.recount(i)
	return task, true
}

// find returns the position of a task in tasks, or -1.
func (s *server) find(id fleet.TaskID) int {
	return slices.IndexFunc(s.tasks, func(task Task) bool { return task.ID == id })
}

// FindTask returns the first server at index from or later that has the task,
// or NoServer.
func (t *Table) FindTask(id fleet.TaskID, from Index) Index {
	for i := int(from); i < len(t.servers); i++ {
		if t.servers[i].find(id) >= 0 {
			return Index(i)
		}
	}
	return NoServer
}

// Tasks returns the tasks on a backend server. The slice is valid until the
// next change; Throttled and EvictedAt may be set in it.
func (t *Table) Tasks(i Index) []Task { return t.servers[i].tasks }

// ReportTask records that a usage report listed a task. A task that isn't known
// is added, and adopted is true.
func (t *Table) ReportTask(i Index, task Task) (adopted bool) {
	s := &t.servers[i]
	task.Reported = true
	k := s.find(task.ID)
	if k < 0 {
		t.AddTask(i, task)
		return true
	}
	s.tasks[k].Reported, s.tasks[k].Progress = true, task.Progress
	return false
}

// RemoveEndedTasks removes the tasks that an earlier usage report listed and
// that this one, sampled after they were placed, doesn't list; removed is called
// for each. A task that no report has listed yet may be about to start and keeps
// its resources.
func (t *Table) RemoveEndedTasks(i Index, sampledAt time.Time, listed func(fleet.TaskID) bool, removed func(Task)) {
	s := &t.servers[i]
	for k := len(s.tasks) - 1; k >= 0; k-- {
		task := s.tasks[k]
		if task.Reported && task.PlacedAt.Before(sampledAt) && !listed(task.ID) {
			s.tasks = slices.Delete(s.tasks, k, k+1)
			removed(task)
		}
	}
	t.recount(i)
}

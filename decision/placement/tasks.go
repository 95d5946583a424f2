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
// free. There is no margin: 10% more cost more batch throughput than the target
// allows.
func (t *Table) Reserved(now time.Time) int {
	return min(t.capacity, int(math.Ceil(t.peak(now))))
}

// ChooseTask returns the backend server for a batch task, or NoServer. It
// doesn't reserve the resources. It prefers the server with the lowest fraction
// of slots in use, task slots counted twice.
func (t *Table) ChooseTask(now time.Time, need fleet.Resources, avoid []fleet.BackendServerID, limiter SlotLimiter, e *Explanation) Index {
	*e = Explanation{}
	held := 0
	for i := range t.servers {
		if !t.servers[i].leaving() {
			held += t.servers[i].taskSlots
		}
	}
	if held+need.Slots > t.capacity-t.Reserved(now) {
		e.Excluded[NoSlot] = uint16(len(t.servers))
		return NoServer
	}
	for i := range t.servers {
		v := &t.servers[i]
		if cause, excluded := t.excludesTask(now, Index(i), v, need, avoid, limiter); excluded {
			e.Excluded[cause]++
			continue
		}
		e.add(Candidate{Index(i), float64(v.used.Slots+v.taskSlots) / float64(v.info.Capacity.Slots)})
	}
	if e.Count == 0 {
		return NoServer
	}
	return e.Best[0].Server
}

func (t *Table) excludesTask(now time.Time, i Index, v *server, need fleet.Resources, avoid []fleet.BackendServerID, limiter SlotLimiter) (Cause, bool) {
	slots := v.info.Capacity.Slots
	free := v.info.Capacity.Sub(v.used)
	reserved := 0
	if t.limits.HasShortOperations && slots > reservedShortSlots {
		reserved = reservedShortSlots
	}
	switch {
	case v.leaving() || slots <= 0:
		return Leaving, true
	case slices.Contains(avoid, v.info.ID):
		return Avoided, true
	case need.Slots > free.Slots || v.long+v.taskSlots+need.Slots > slots-reserved:
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
	v := &t.servers[i]
	if k := v.find(task.ID); k >= 0 {
		v.tasks[k] = task
	} else {
		v.tasks = append(v.tasks, task)
	}
	t.recount(i)
}

// RemoveTask frees the resources of a task on a backend server. It reports
// false if the task isn't there.
func (t *Table) RemoveTask(i Index, id fleet.TaskID) (Task, bool) {
	v := &t.servers[i]
	k := v.find(id)
	if k < 0 {
		return Task{}, false
	}
	task := v.tasks[k]
	v.tasks = slices.Delete(v.tasks, k, k+1)
	t.recount(i)
	return task, true
}

func (v *server) find(id fleet.TaskID) int {
	return slices.IndexFunc(v.tasks, func(task Task) bool { return task.ID == id })
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
	v := &t.servers[i]
	task.Reported = true
	k := v.find(task.ID)
	if k < 0 {
		t.AddTask(i, task)
		return true
	}
	v.tasks[k].Reported, v.tasks[k].Progress = true, task.Progress
	return false
}

// RemoveEndedTasks removes the tasks that an earlier usage report listed and
// that this one, sampled after they were placed, doesn't list; removed is called
// for each. A task that no report has listed yet may be about to start and keeps
// its resources.
func (t *Table) RemoveEndedTasks(i Index, sampledAt time.Time, listed func(fleet.TaskID) bool, removed func(Task)) {
	v := &t.servers[i]
	for k := len(v.tasks) - 1; k >= 0; k-- {
		task := v.tasks[k]
		if task.Reported && task.PlacedAt.Before(sampledAt) && !listed(task.ID) {
			v.tasks = slices.Delete(v.tasks, k, k+1)
			removed(task)
		}
	}
	t.recount(i)
}

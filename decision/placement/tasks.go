package placement

import (
	"math"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// demandWindow smooths the demand of requests: shorter peaks are waited
	// out in the queue instead of keeping slots idle.
	demandWindow = 3 * time.Second
	// demandHalfLife is how fast the remembered peak of the smoothed demand
	// decays. Demand swings within seconds and batch tasks run for hours, so
	// room that was needed a few minutes ago is kept.
	demandHalfLife = 10 * time.Minute
)

// Task is a batch task that has room on a backend server.
type Task struct {
	ID   fleet.TaskID
	Kind string
	// Team is the user's own reference of the team that holds the room.
	Team      int32
	Resources fleet.Resources
	// Progress is the work that an eviction without a checkpoint would lose.
	Progress time.Duration
	PlacedAt time.Time
	// Throttled and EvictedAt are the state of relief.
	Throttled bool
	EvictedAt time.Time
	// Reported is set once a usage report showed the task.
	Reported bool
}

// demand remembers the peak of the slots that requests need: the expected run
// time that arrives per second. Slots in use and the queue don't tell that,
// because both grow when tasks take too much.
type demand struct {
	// short and long are smoothed over demandWindow at at.
	short, long float64
	at          time.Time
	peak        float64
	peakAt      time.Time
}

// RecordDemand takes the expected run time of a latency-critical request that arrived.
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

func (t *Table) peak(now time.Time) float64 {
	if t.demand.peak == 0 {
		return 0
	}
	return t.demand.peak * math.Exp2(-float64(now.Sub(t.demand.peakAt))/float64(demandHalfLife))
}

// Reserved returns the slots of the partition that batch tasks leave. A margin
// of 10% on top cost more batch throughput than the target allows.
func (t *Table) Reserved(now time.Time) int {
	return min(t.capacity, int(math.Ceil(t.peak(now))))
}

// ChooseTask returns the backend server for a batch task, or NoServer. It
// doesn't take the room. The server with the most room left is chosen.
func (t *Table) ChooseTask(now time.Time, need fleet.Resources, avoid []fleet.BackendServerID, gate SlotLimiter, w *Explanation) Index {
	*w = Explanation{}
	held := 0
	for i := range t.servers {
		if !t.servers[i].leaving() {
			held += t.servers[i].taskSlots
		}
	}
	if held+need.Slots > t.capacity-t.Reserved(now) {
		w.Excluded[NoSlot] = uint16(len(t.servers))
		return NoServer
	}
	for i := range t.servers {
		v := &t.servers[i]
		if cause, excluded := t.excludesTask(now, Index(i), v, need, avoid, gate); excluded {
			w.Excluded[cause]++
			continue
		}
		w.add(Candidate{Index(i), float64(v.used.Slots+v.taskSlots) / float64(v.info.Capacity.Slots)})
	}
	if w.Count == 0 {
		return NoServer
	}
	return w.Best[0].Server
}

func (t *Table) excludesTask(now time.Time, i Index, v *server, need fleet.Resources, avoid []fleet.BackendServerID, gate SlotLimiter) (Cause, bool) {
	slots := v.info.Capacity.Slots
	free := v.info.Capacity.Sub(v.used)
	room := 0
	if t.limits.HasShortOperations && slots > shortRoom {
		room = shortRoom
	}
	switch {
	case v.leaving() || slots <= 0:
		return Leaving, true
	case slices.Contains(avoid, v.info.ID):
		return Avoided, true
	case need.Slots > free.Slots || v.long+v.taskSlots+need.Slots > slots-room:
		return NoSlot, true
	case !need.Fits(free):
		return NoResources, true
	case gate.Allowed(now, i, slots) < slots:
		return NotAllowed, true
	}
	return 0, false
}

// AddTask takes room for a task, even beyond what the server holds: a task that
// runs takes its room whoever placed it.
func (t *Table) AddTask(i Index, task Task) {
	v := &t.servers[i]
	if k := v.find(task.ID); k >= 0 {
		v.tasks[k] = task
	} else {
		v.tasks = append(v.tasks, task)
	}
	t.recount(i)
}

// RemoveTask frees the room of a task on a backend server.
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

// FindTask returns a server with room for the task other than those before
// from, or NoServer.
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

// ReportTask takes that a usage report showed a task. It reports whether the
// task wasn't known, and takes its room then.
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

// RemoveEndedTasks frees the room of tasks that an earlier report showed and this
// one, sampled after they were placed, doesn't. A task that no report showed
// yet may be about to start and keeps its room.
func (t *Table) RemoveEndedTasks(i Index, sampledAt time.Time, shown func(fleet.TaskID) bool, forgotten func(Task)) {
	v := &t.servers[i]
	for k := len(v.tasks) - 1; k >= 0; k-- {
		task := v.tasks[k]
		if task.Reported && task.PlacedAt.Before(sampledAt) && !shown(task.ID) {
			v.tasks = slices.Delete(v.tasks, k, k+1)
			forgotten(task)
		}
	}
	t.recount(i)
}

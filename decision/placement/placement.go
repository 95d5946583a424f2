// Package placement counts what is on each backend server of a partition and
// chooses where work goes.
//
// Counts are exact, because one holder places all work of a rack. A request
// takes one slot and that slot's equal part of milli CPU and memory; a batch
// task takes what it declares. Slots that may be in use although nobody waits
// for them (work of a former holder, exchanges that ended without an answer)
// are held until a usage report sampled later shows fewer slots in use, or
// until the longest deadline has passed.
//
// Long work may hold only a part of each backend server's and of the
// partition's slots while short work may come, so that a short request never
// finds every slot taken for seconds. Batch tasks leave the slots that requests
// recently needed at their peak. Leaving backend servers get nothing.
//
// The package is pure, and choosing doesn't allocate.
package placement

import (
	"math"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// LeavingNoticeLifetime is how long a backend server that said that it is leaving
// gets nothing while the list doesn't show it as leaving. The list lags by 2 s;
// after a minute the list is right.
const LeavingNoticeLifetime = time.Minute

// Index refers to a backend server of a Table. It stays valid while the server
// is listed or has work.
type Index int32

// isLeaving stands for the free slots of a server that gets no new work.
const isLeaving int32 = math.MinInt32

// NoServer is the index of no server.
const NoServer Index = -1

// Table holds the backend servers of a partition and what is on them.
type Table struct {
	servers []server
	// free holds the free slots of each server, or isLeaving. It is kept apart
	// so that a full partition is scanned without reading every server.
	free []int32
	byID map[fleet.BackendServerID]Index
	// holdFor bounds how long a slot stays held without a report.
	holdFor time.Duration
	limits  Limits
	// held is the number of held slots of all servers.
	held int
	// long is the number of slots that long requests hold in all.
	long int
	// capacity is the number of slots of servers that aren't leaving.
	capacity int
	demand   demand
	cursor   int
}

// Limits bounds long work.
type Limits struct {
	// LongShare is the part of the slots that long requests may hold, from 0
	// to 1.
	LongShare float64
	// HasShortOperations says whether any operation counts as short. LongShare
	// applies only then.
	HasShortOperations bool
}

type server struct {
	info   fleet.BackendServer
	listed bool
	// saidLeaving is set while the server's own word that it is leaving counts,
	// which it gave at saidAt.
	saidLeaving bool
	saidAt      time.Time
	// short and long count the slots that requests hold.
	short, long int
	held        []time.Time
	tasks       []Task
	taskSlots   int
	// used is what requests, held slots and tasks take together, and part what
	// one request takes.
	used, part fleet.Resources
}

// New returns an empty table. A held slot is free after holdFor at the latest.
func New(holdFor time.Duration) *Table {
	return &Table{byID: make(map[fleet.BackendServerID]Index), holdFor: holdFor}
}

// SetLimits sets the bounds of long work.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// SetServers takes the backend servers of the instance list. All slots of a
// server that wasn't known are held. Fresh is called for each of them.
func (t *Table) SetServers(now time.Time, servers []fleet.BackendServer, fresh func(Index)) {
	for i := range t.servers {
		t.servers[i].listed = false
	}
	for _, info := range servers {
		if i, known := t.byID[info.ID]; known {
			t.servers[i].info, t.servers[i].listed = info, true
		}
	}
	for _, info := range servers {
		if _, known := t.byID[info.ID]; known {
			continue
		}
		i := t.enter(info.ID)
		v := &t.servers[i]
		v.info, v.listed = info, true
		for range info.Capacity.Slots {
			v.held = append(v.held, now)
			t.held++
		}
		fresh(i)
	}
	t.capacity = 0
	for i := range t.servers {
		v := &t.servers[i]
		v.saidLeaving = v.saidLeaving && now.Sub(v.saidAt) < LeavingNoticeLifetime
		t.recount(Index(i))
		if !v.leaving() {
			t.capacity += v.info.Capacity.Slots
		}
	}
}

// enter returns the index of a new server. The entry of a server that left and
// has no work is reused, which bounds the table.
func (t *Table) enter(id fleet.BackendServerID) Index {
	i := Index(len(t.servers))
	for j := range t.servers {
		if old := &t.servers[j]; !old.listed && old.idle() {
			i = Index(j)
			delete(t.byID, old.info.ID)
			*old = server{held: old.held[:0], tasks: old.tasks[:0]}
			break
		}
	}
	if int(i) == len(t.servers) {
		t.servers = append(t.servers, server{})
		t.free = append(t.free, 0)
	}
	t.byID[id] = i
	return i
}

func (v *server) idle() bool {
	return v.short+v.long+len(v.held)+len(v.tasks) == 0
}

// leaving reports whether the server gets no new work.
func (v *server) leaving() bool { return !v.listed || v.info.Leaving || v.saidLeaving }

// recount derives what is used and free on a server from the counts.
func (t *Table) recount(i Index) {
	v := &t.servers[i]
	whole := v.info.Capacity
	v.part = fleet.Resources{Slots: 1}
	if whole.Slots > 0 {
		v.part.MilliCPU = whole.MilliCPU / int64(whole.Slots)
		v.part.MemoryMiB = whole.MemoryMiB / int64(whole.Slots)
	}
	n := v.short + v.long + len(v.held)
	v.used = fleet.Resources{Slots: n, MilliCPU: int64(n) * v.part.MilliCPU, MemoryMiB: int64(n) * v.part.MemoryMiB}
	v.taskSlots = 0
	for _, task := range v.tasks {
		v.used = v.used.Add(task.Resources)
		v.taskSlots += task.Resources.Slots
	}
	t.refree(i)
}

// refree derives the free slots of a server.
func (t *Table) refree(i Index) {
	v := &t.servers[i]
	if v.leaving() {
		t.free[i] = isLeaving
		return
	}
	t.free[i] = int32(v.info.Capacity.Slots - v.used.Slots)
}

// take counts n more slots with their part of the other resources.
func (t *Table) take(i Index, n int) {
	v := &t.servers[i]
	v.used.Slots += n
	v.used.MilliCPU += int64(n) * v.part.MilliCPU
	v.used.MemoryMiB += int64(n) * v.part.MemoryMiB
	t.refree(i)
}

// Find returns the index of a backend server, or NoServer.
func (t *Table) Find(id fleet.BackendServerID) Index {
	if i, ok := t.byID[id]; ok {
		return i
	}
	return NoServer
}

// Len returns the number of entries; indexes are below it.
func (t *Table) Len() int { return len(t.servers) }

// ID returns the identifier of a backend server.
func (t *Table) ID(i Index) fleet.BackendServerID { return t.servers[i].info.ID }

// Leaving reports whether a backend server gets no new work.
func (t *Table) Leaving(i Index) bool { return t.servers[i].leaving() }

// MarkLeaving takes that a backend server said that it is leaving.
func (t *Table) MarkLeaving(now time.Time, i Index) {
	v := &t.servers[i]
	if !v.leaving() {
		t.capacity -= v.info.Capacity.Slots
	}
	v.saidLeaving, v.saidAt = true, now
	t.refree(i)
}

// Capacity returns the slots of all servers that aren't leaving.
func (t *Table) Capacity() int { return t.capacity }

// Used returns what is taken on a backend server, and what it holds.
func (t *Table) Used(i Index) (used, capacity fleet.Resources) {
	return t.servers[i].used, t.servers[i].info.Capacity
}

// Requests returns the slots that requests hold on a backend server.
func (t *Table) Requests(i Index) int { return t.servers[i].short + t.servers[i].long }

// Start takes a slot for a request.
func (t *Table) Start(i Index, long bool) {
	if long {
		t.servers[i].long++
		t.long++
	} else {
		t.servers[i].short++
	}
	t.take(i, 1)
}

// End gives back the slot of a request. Unless it is released it stays held.
func (t *Table) End(now time.Time, i Index, long, released bool) {
	v := &t.servers[i]
	if long {
		v.long--
		t.long--
	} else {
		v.short--
	}
	if !released {
		v.held = append(v.held, now)
		t.held++
		return
	}
	t.take(i, -1)
}

// Free returns the slots that requests may use now.
func (t *Table) Free() (free int) {
	for _, n := range t.free {
		free += int(max(0, n))
	}
	return free
}

// RequestSlots returns the slots of servers that aren't leaving which neither
// tasks nor held slots take.
func (t *Table) RequestSlots() (slots int) {
	for i := range t.servers {
		if v := &t.servers[i]; !v.leaving() {
			slots += max(0, v.info.Capacity.Slots-v.taskSlots-len(v.held))
		}
	}
	return slots
}

// Package placement tracks the work on each backend server of a partition and
// chooses the server for new requests and batch tasks.
//
// Counts are exact, because one holder places all work of a rack. A request
// takes one slot and that slot's equal share of milli CPU and memory; a batch
// task takes the resources it declares. Slots that may still be in use without
// a pending request (work of a former holder, exchanges that ended without an
// answer) are held until a usage report sampled later shows fewer slots in use,
// or until the longest deadline has passed.
//
// While any operation counts as short, long requests may use only a share of
// the slots of each backend server and of the partition, so that a short
// request never waits seconds because every slot is taken. Batch tasks leave
// free the slots that requests needed at their recent peak. Leaving backend
// servers get no new work.
//
// The package does no I/O and reads no clock. Choosing doesn't allocate.
package placement

import (
	"math"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// LeavingNoticeLifetime is how long a backend server that announced that it is
// leaving gets no new work while the instance list doesn't show it as leaving.
// The list lags by 2 s; after a minute the list takes precedence.
const LeavingNoticeLifetime = time.Minute

// Index identifies a backend server in a Table. It stays valid while the server
// is listed or has work.
type Index int32

// leavingServer replaces the number of free slots of a server that gets no new
// work.
const leavingServer int32 = math.MinInt32

// NoServer is the index of no server.
const NoServer Index = -1

// Table holds the backend servers of a partition and the work on them.
type Table struct {
	servers []server
	// free holds the free slots of each server, or leavingServer. It is a
	// separate slice so that a scan of a full partition doesn't read every
	// server.
	free []int32
	byID map[fleet.BackendServerID]Index
	// maxHold bounds how long a slot stays held without a report.
	maxHold time.Duration
	limits  Limits
	// held is the total number of held slots.
	held int
	// long is the total number of slots used by long requests.
	long int
	// capacity is the number of slots of servers that aren't leaving.
	capacity int
	demand   demand
	// cursor is where the scan for the next request starts.
	cursor int
}

// Limits bounds the slots of long requests.
type Limits struct {
	// LongShare is the fraction of the slots that long requests may use, from
	// 0 to 1.
	LongShare float64
	// HasShortOperations is set if any operation counts as short. LongShare
	// applies only then.
	HasShortOperations bool
}

type server struct {
	info   fleet.BackendServer
	listed bool
	// announcedLeaving is set while the server's own announcement that it is
	// leaving, received at announcedAt, is valid.
	announcedLeaving bool
	announcedAt      time.Time
	// short and long count the slots used by short and long requests.
	short, long int
	// heldSince is the start of each held slot, oldest first.
	heldSince []time.Time
	tasks     []Task
	taskSlots int // slots used by tasks
	// used is the sum of what requests, held slots and tasks use; perRequest
	// is what one request uses.
	used, perRequest fleet.Resources
}

// New returns an empty table. A held slot becomes free after maxHold at the
// latest.
func New(maxHold time.Duration) *Table {
	return &Table{byID: make(map[fleet.BackendServerID]Index), maxHold: maxHold}
}

// SetLimits sets the bounds of long requests.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// SetServers replaces the listed backend servers with those of the instance
// list. A server that is new to the table starts with all slots held, and added
// is called with its index.
func (t *Table) SetServers(now time.Time, servers []fleet.BackendServer, added func(Index)) {
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
		i := t.addServer(info.ID)
		s := &t.servers[i]
		s.info, s.listed = info, true
		for range info.Capacity.Slots {
			s.heldSince = append(s.heldSince, now)
			t.held++
		}
		added(i)
	}
	t.capacity = 0
	for i := range t.servers {
		s := &t.servers[i]
		s.announcedLeaving = s.announcedLeaving && now.Sub(s.announcedAt) < LeavingNoticeLifetime
		t.recount(Index(i))
		if !s.leaving() {
			t.capacity += s.info.Capacity.Slots
		}
	}
}

// addServer returns the index of a new server. It reuses the entry of an
// unlisted server without work, which bounds the size of the table.
func (t *Table) addServer(id fleet.BackendServerID) Index {
	i := Index(len(t.servers))
	for j := range t.servers {
		if old := &t.servers[j]; !old.listed && old.idle() {
			i = Index(j)
			delete(t.byID, old.info.ID)
			*old = server{heldSince: old.heldSince[:0], tasks: old.tasks[:0]}
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

// idle reports whether the server has no requests, held slots or tasks.
func (s *server) idle() bool {
	return s.short+s.long+len(s.heldSince)+len(s.tasks) == 0
}

// leaving reports whether the server gets no new work.
func (s *server) leaving() bool { return !s.listed || s.info.Leaving || s.announcedLeaving }

// recount computes the used and free resources of a server from its counts.
func (t *Table) recount(i Index) {
	s := &t.servers[i]
	capacity := s.info.Capacity
	s.perRequest = fleet.Resources{Slots: 1}
	if capacity.Slots > 0 {
		s.perRequest.MilliCPU = capacity.MilliCPU / int64(capacity.Slots)
		s.perRequest.MemoryMiB = capacity.MemoryMiB / int64(capacity.Slots)
	}
	n := s.short + s.long + len(s.heldSince)
	s.used = fleet.Resources{Slots: n, MilliCPU: int64(n) * s.perRequest.MilliCPU, MemoryMiB: int64(n) * s.perRequest.MemoryMiB}
	s.taskSlots = 0
	for _, task := range s.tasks {
		s.used = s.used.Add(task.Resources)
		s.taskSlots += task.Resources.Slots
	}
	t.updateFree(i)
}

// updateFree computes the free slots of a server.
func (t *Table) updateFree(i Index) {
	s := &t.servers[i]
	if s.leaving() {
		t.free[i] = leavingServer
		return
	}
	t.free[i] = int32(s.info.Capacity.Slots - s.used.Slots)
}

// addUsed adds n slots, with their share of the other resources, to what is
// used on a server; n may be negative.
func (t *Table) addUsed(i Index, n int) {
	s := &t.servers[i]
	s.used.Slots += n
	s.used.MilliCPU += int64(n) * s.perRequest.MilliCPU
	s.used.MemoryMiB += int64(n) * s.perRequest.MemoryMiB
	t.updateFree(i)
}

// Find returns the index of a backend server, or NoServer.
func (t *Table) Find(id fleet.BackendServerID) Index {
	if i, ok := t.byID[id]; ok {
		return i
	}
	return NoServer
}

// Len returns the number of entries; every index is below it.
func (t *Table) Len() int { return len(t.servers) }

// ID returns the identifier of a backend server.
func (t *Table) ID(i Index) fleet.BackendServerID { return t.servers[i].info.ID }

// Leaving reports whether a backend server gets no new work.
func (t *Table) Leaving(i Index) bool { return t.servers[i].leaving() }

// MarkLeaving records that a backend server announced that it is leaving.
func (t *Table) MarkLeaving(now time.Time, i Index) {
	s := &t.servers[i]
	if !s.leaving() {
		t.capacity -= s.info.Capacity.Slots
	}
	s.announcedLeaving, s.announcedAt = true, now
	t.updateFree(i)
}

// Capacity returns the number of slots of all servers that aren't leaving.
func (t *Table) Capacity() int { return t.capacity }

// Used returns the used resources of a backend server and its capacity.
func (t *Table) Used(i Index) (used, capacity fleet.Resources) {
	return t.servers[i].used, t.servers[i].info.Capacity
}

// Requests returns the number of slots that requests use on a backend server.
func (t *Table) Requests(i Index) int { return t.servers[i].short + t.servers[i].long }

// Start takes a slot for a request.
func (t *Table) Start(i Index, long bool) {
	if long {
		t.servers[i].long++
		t.long++
	} else {
		t.servers[i].short++
	}
	t.addUsed(i, 1)
}

// End ends the request of a slot. The slot is freed if released is set and
// stays held otherwise.
func (t *Table) End(now time.Time, i Index, long, released bool) {
	s := &t.servers[i]
	if long {
		s.long--
		t.long--
	} else {
		s.short--
	}
	if !released {
		s.heldSince = append(s.heldSince, now)
		t.held++
		return
	}
	t.addUsed(i, -1)
}

// Free returns the number of slots that requests may use now.
func (t *Table) Free() (free int) {
	for _, n := range t.free {
		free += int(max(0, n))
	}
	return free
}

// RequestSlots returns the number of slots, on servers that aren't leaving,
// that are neither held nor used by tasks.
func (t *Table) RequestSlots() (slots int) {
	for i := range t.servers {
		if s := &t.servers[i]; !s.leaving() {
			slots += max(0, s.info.Capacity.Slots-s.taskSlots-len(s.heldSince))
		}
	}
	return slots
}

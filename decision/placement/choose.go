package placement

import "time"

const (
	// longWeight is how much a slot held by long work counts on top of its
	// load for short work: short work prefers servers whose slots free sooner.
	longWeight = 0.25
	// shortRoom is the number of slots of each backend server that long work
	// and batch tasks together leave while short work may come.
	shortRoom = 1
	// noteCount is the number of candidates kept for an explanation.
	noteCount = 3
)

// SlotLimiter says how many slots of a backend server may be used now, out of all its
// slots: none while a circuit breaker has it out, few on its slow start.
type SlotLimiter interface {
	Allowed(now time.Time, i Index, slots int) int
}

// Cost returns the expected slowdown of the request on a backend server through
// what runs there, as a part of its run time: 0.5 is half as long again.
type Cost interface {
	Cost(i Index) float64
}

// Request is what the choice needs to know of a request.
type Request struct {
	Long bool
	// Avoid is a server on which an earlier attempt failed, or NoServer.
	Avoid Index
}

// Cause says why a backend server wasn't a candidate.
type Cause uint8

// The causes that a server is excluded for.
const (
	Leaving Cause = iota
	Avoided
	NoSlot
	NoResources
	LongShareUsed
	NotAllowed
	CauseCount = 6
)

var causeNames = [CauseCount]string{"leaving", "avoided", "no-slot", "no-resources", "long-share-used", "breaker"}

// String returns the cause as explanations name it.
func (c Cause) String() string { return causeNames[c] }

// Explanation explains a choice: the best candidates with the lowest score first,
// and how many servers were none by cause.
type Explanation struct {
	Best     [noteCount]Candidate
	Count    int
	Excluded [CauseCount]uint16
}

// Candidate is a candidate with its score; lower is better.
type Candidate struct {
	Server Index
	Score  float64
}

// Choose returns the backend server for a request, or NoServer. It doesn't
// take the slot. Equal candidates are chosen in turn.
func (t *Table) Choose(now time.Time, r Request, gate SlotLimiter, cost Cost, w *Explanation) Index {
	*w = Explanation{}
	if r.Long && !t.partitionHasLongRoom() {
		w.Excluded[LongShareUsed] = uint16(len(t.servers))
		return NoServer
	}
	n := len(t.servers)
	if t.cursor++; t.cursor >= n {
		t.cursor = 0
	}
	for k := range n {
		i := t.cursor + k
		if i >= n {
			i -= n
		}
		if t.free[i] <= 0 {
			if t.free[i] == isLeaving {
				w.Excluded[Leaving]++
			} else {
				w.Excluded[NoSlot]++
			}
			continue
		}
		v := &t.servers[i]
		if cause, excluded := t.excludes(now, Index(i), v, r, gate); excluded {
			w.Excluded[cause]++
			continue
		}
		w.add(Candidate{Index(i), v.score(r.Long) + cost.Cost(Index(i))})
	}
	if w.Count == 0 {
		return NoServer
	}
	return w.Best[0].Server
}

func (t *Table) excludes(now time.Time, i Index, v *server, r Request, gate SlotLimiter) (Cause, bool) {
	slots := v.info.Capacity.Slots
	switch {
	case i == r.Avoid:
		return Avoided, true
	case v.used.MilliCPU+v.part.MilliCPU > v.info.Capacity.MilliCPU ||
		v.used.MemoryMiB+v.part.MemoryMiB > v.info.Capacity.MemoryMiB:
		return NoResources, true
	case r.Long && !t.serverHasLongRoom(v):
		return LongShareUsed, true
	case v.short+v.long+len(v.held) >= gate.Allowed(now, i, slots):
		return NotAllowed, true
	}
	return 0, false
}

// longRoom returns how many of a number of slots long requests may hold.
func (t *Table) longRoom(slots int) int {
	if !t.limits.HasShortOperations {
		return slots
	}
	return max(1, int(t.limits.LongShare*float64(slots)))
}

func (t *Table) partitionHasLongRoom() bool { return t.long < t.longRoom(t.capacity) }

func (t *Table) serverHasLongRoom(v *server) bool {
	slots := v.info.Capacity.Slots
	if v.long >= t.longRoom(slots) {
		return false
	}
	return !t.limits.HasShortOperations || slots <= shortRoom || v.long+v.taskSlots < slots-shortRoom
}

// MaxLongSlots returns how many slots long requests may hold in all.
func (t *Table) MaxLongSlots() int { return t.longRoom(t.capacity) }

// LongHeld returns how many slots long requests hold.
func (t *Table) LongHeld() int { return t.long }

// score is the part of the slots in use, with long work counted more.
func (v *server) score(long bool) float64 {
	slots := float64(v.info.Capacity.Slots)
	if long {
		return (float64(v.used.Slots) + float64(v.long)) / slots
	}
	return (float64(v.used.Slots) + longWeight*float64(v.long)) / slots
}

// add keeps the best candidates in order.
func (w *Explanation) add(c Candidate) {
	if w.Count < noteCount {
		w.Best[w.Count] = c
		w.Count++
	} else if c.Score >= w.Best[noteCount-1].Score {
		return
	} else {
		w.Best[noteCount-1] = c
	}
	for i := w.Count - 1; i > 0 && w.Best[i].Score < w.Best[i-1].Score; i-- {
		w.Best[i], w.Best[i-1] = w.Best[i-1], w.Best[i]
	}
}

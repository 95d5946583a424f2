package placement

import "time"

const (
	// longSlotWeight is added to the score of a short request for each slot
	// that long work uses, so that short requests prefer servers whose slots
	// become free sooner.
	longSlotWeight = 0.25
	// reservedShortSlots is the number of slots of each backend server that
	// long requests and batch tasks together leave free while any operation
	// counts as short.
	reservedShortSlots = 1
	// maxCandidates is the number of candidates kept in an Explanation.
	maxCandidates = 3
)

// SlotLimiter limits the slots of a backend server that may be used. Allowed
// returns how many of all its slots are usable now: none while its circuit
// breaker is open, a few during its slow start.
type SlotLimiter interface {
	Allowed(now time.Time, i Index, slots int) int
}

// Cost estimates interference. Its method returns the expected slowdown of the
// request on a backend server caused by the work that runs there, as a fraction
// of its run time: at 0.5 the request takes 1.5 times as long.
type Cost interface {
	Cost(i Index) float64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Long bool
	// Avoid is the server on which an earlier attempt failed, or NoServer.
	Avoid Index
}

// Cause is the reason why a backend server is not a candidate.
type Cause uint8

// The causes for which a server is excluded.
const (
	// Leaving means that the server is leaving or not listed.
	Leaving Cause = iota
	// Avoided means that an earlier attempt or the task failed on the server.
	Avoided
	// NoSlot means that no slot is free, or none that tasks may use.
	NoSlot
	// NoResources means that the free CPU, memory or accelerators don't suffice.
	NoResources
	// LongShareUsed means that long requests use all slots that they may use.
	LongShareUsed
	// NotAllowed means that the SlotLimiter doesn't allow another slot.
	NotAllowed
	// CauseCount is the number of causes.
	CauseCount = 6
)

var causeNames = [CauseCount]string{"leaving", "avoided", "no-slot", "no-resources", "long-share-used", "breaker"}

// String returns the name of the cause in explanations.
func (c Cause) String() string { return causeNames[c] }

// Explanation explains a choice. Best holds the first Count best candidates,
// lowest score first; Excluded counts the excluded servers by cause.
type Explanation struct {
	Best     [maxCandidates]Candidate
	Count    int
	Excluded [CauseCount]uint16
}

// Candidate is a server that can take the work, with its score; lower is
// better.
type Candidate struct {
	Server Index
	Score  float64
}

// Choose returns the backend server for a request, or NoServer. It doesn't
// reserve the slot. Candidates with equal scores are chosen round-robin.
func (t *Table) Choose(now time.Time, r Request, limiter SlotLimiter, cost Cost, e *Explanation) Index {
	*e = Explanation{}
	if r.Long && !t.partitionAllowsLong() {
		e.Excluded[LongShareUsed] = uint16(len(t.servers))
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
			if t.free[i] == leavingServer {
				e.Excluded[Leaving]++
			} else {
				e.Excluded[NoSlot]++
			}
			continue
		}
		s := &t.servers[i]
		if cause, excluded := t.excludes(now, Index(i), s, r, limiter); excluded {
			e.Excluded[cause]++
			continue
		}
		e.add(Candidate{Index(i), s.score(r.Long) + cost.Cost(Index(i))})
	}
	if e.Count == 0 {
		return NoServer
	}
	return e.Best[0].Server
}

// excludes returns the cause for which a server with a free slot can't take a
// request, and whether there is one.
func (t *Table) excludes(now time.Time, i Index, s *server, r Request, limiter SlotLimiter) (Cause, bool) {
	slots := s.info.Capacity.Slots
	switch {
	case i == r.Avoid:
		return Avoided, true
	case s.used.MilliCPU+s.perRequest.MilliCPU > s.info.Capacity.MilliCPU ||
		s.used.MemoryMiB+s.perRequest.MemoryMiB > s.info.Capacity.MemoryMiB:
		return NoResources, true
	case r.Long && !t.serverAllowsLong(s):
		return LongShareUsed, true
	case s.short+s.long+len(s.heldSince) >= limiter.Allowed(now, i, slots):
		return NotAllowed, true
	}
	return 0, false
}

// longLimit returns how many of the given slots long requests may use.
func (t *Table) longLimit(slots int) int {
	if !t.limits.HasShortOperations {
		return slots
	}
	return max(1, int(t.limits.LongShare*float64(slots)))
}

func (t *Table) partitionAllowsLong() bool { return t.long < t.longLimit(t.capacity) }

func (t *Table) serverAllowsLong(s *server) bool {
	slots := s.info.Capacity.Slots
	if s.long >= t.longLimit(slots) {
		return false
	}
	return !t.limits.HasShortOperations || slots <= reservedShortSlots || s.long+s.taskSlots < slots-reservedShortSlots
}

// MaxLongSlots returns how many slots of the partition long requests may use.
func (t *Table) MaxLongSlots() int { return t.longLimit(t.capacity) }

// LongSlots returns how many slots of the partition long requests use.
func (t *Table) LongSlots() int { return t.long }

// score returns the fraction of the slots in use, with an additional weight
// for slots used by long requests.
func (s *server) score(long bool) float64 {
	slots := float64(s.info.Capacity.Slots)
	if long {
		return (float64(s.used.Slots) + float64(s.long)) / slots
	}
	return (float64(s.used.Slots) + longSlotWeight*float64(s.long)) / slots
}

// add inserts a candidate in order of its score and keeps the best
// maxCandidates.
func (e *Explanation) add(c Candidate) {
	if e.Count < maxCandidates {
		e.Best[e.Count] = c
		e.Count++
	} else if c.Score >= e.Best[maxCandidates-1].Score {
		return
	} else {
		e.Best[maxCandidates-1] = c
	}
	for i := e.Count - 1; i > 0 && e.Best[i].Score < e.Best[i-1].Score; i-- {
		e.Best[i], e.Best[i-1] = e.Best[i-1], e.Best[i]
	}
}

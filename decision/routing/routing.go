// Package routing chooses the partition for a request, and with it the entry
// instance that holds the partition.
//
// Partitions of this instance's region are preferred, because a request to
// another region takes 16 ms longer and uses limited bandwidth. Two of them are
// drawn at random, the first from this data centre. If the second is in another
// data centre, it is chosen only if its load is lower by more than
// dataCentreBias. Load hints lag, so always choosing the least loaded partition
// would send the requests of all instances to the same one at once. The requests
// that this instance has sent since the last hint are added to the hint. Another
// region is used only if no partition of this region is expected to meet the
// deadline and the byte budget allows it.
package routing

import (
	"time"

	"golang.org/x/time/rate"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// hintLifetime is how long a load hint is valid; demand swings within
	// seconds, so an older hint doesn't show the current load.
	hintLifetime = 2 * time.Second
	// regionRoundTrip is the time that a request to another region adds.
	regionRoundTrip = 16 * time.Millisecond
	// dataCentreBias is added to the load (fraction of slots in use) of a
	// partition in another data centre. It keeps light load within this data
	// centre.
	dataCentreBias = 0.1
	// defaultExpectedWait is the minimum wait assumed at a partition that has
	// more requests than slots; a hint may raise it.
	defaultExpectedWait = 5 * time.Millisecond
)

// Candidate is a partition that may take requests.
type Candidate struct {
	Partition  fleet.PartitionID
	Holder     fleet.InstanceID
	Epoch      fleet.Epoch
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Slots      int
	// Reachable is set for partitions of this instance and for those whose
	// holder has a connected link.
	Reachable bool
}

// Hint is the load that a partition had at a recent time.
type Hint struct {
	At        time.Time
	FreeSlots int
	Waiting   int
	// ExpectedWait is the expected wait of an urgent request; zero if unknown.
	ExpectedWait time.Duration
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Regions  []fleet.Region // where the service runs; empty means all regions
	Deadline time.Time
	Bytes    int
	// Tried lists the partitions that refused this request before.
	Tried []fleet.PartitionID
	// Random is a uniformly distributed value that selects the drawn partitions.
	Random uint64
}

// State holds the candidates of an entry instance and their load. It is not
// safe for concurrent use.
type State struct {
	region     fleet.Region
	dataCentre fleet.DataCentre
	byID       map[fleet.PartitionID]*candidate
	budget     *rate.Limiter
	sentBytes  uint64
	// Reachable candidates: of the own data centre, of the own region (with
	// those), and of other regions.
	sameDataCentre, sameRegion, otherRegions []*candidate
}

type candidate struct {
	Candidate
	hint Hint
	// sent counts the requests sent since the hint; inFlight counts the sent
	// requests that have not ended.
	sent     int
	inFlight int
}

// New returns the state of an instance in a region and data centre, with a
// budget in bytes per second for requests to other regions.
func New(region fleet.Region, dataCentre fleet.DataCentre, bytesPerSecond int64) *State {
	return &State{
		region: region, dataCentre: dataCentre,
		byID:   map[fleet.PartitionID]*candidate{},
		budget: rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond)),
	}
}

// SetBudget changes the budget for requests to other regions from now on.
func (s *State) SetBudget(now time.Time, bytesPerSecond int64) {
	s.budget.SetLimitAt(now, rate.Limit(bytesPerSecond))
	s.budget.SetBurstAt(now, int(bytesPerSecond))
}

// SetCandidates replaces the candidates. The hints and counts of a partition are
// kept if its epoch is the same.
func (s *State) SetCandidates(list []Candidate) {
	known := s.byID
	s.byID = make(map[fleet.PartitionID]*candidate, len(list))
	s.sameDataCentre, s.sameRegion, s.otherRegions = s.sameDataCentre[:0], s.sameRegion[:0], s.otherRegions[:0]
	for _, c := range list {
		entry := known[c.Partition]
		if entry == nil || entry.Epoch != c.Epoch {
			entry = &candidate{}
		}
		entry.Candidate = c
		s.byID[c.Partition] = entry
		switch {
		case !c.Reachable:
		case c.Region == s.region:
			s.sameRegion = append(s.sameRegion, entry)
			if c.DataCentre == s.dataCentre {
				s.sameDataCentre = append(s.sameDataCentre, entry)
			}
		default:
			s.otherRegions = append(s.otherRegions, entry)
		}
	}
}

// Find returns the candidate of a partition.
func (s *State) Find(id fleet.PartitionID) (Candidate, bool) {
	c := s.byID[id]
	if c == nil {
		return Candidate{}, false
	}
	return c.Candidate, true
}

// Sent records that a request was sent to a partition.
func (s *State) Sent(id fleet.PartitionID) {
	if c := s.byID[id]; c != nil {
		c.sent++
		c.inFlight++
	}
}

// Ended records that a request sent to a partition ended, with the hint in its
// answer; a zero hint is ignored.
func (s *State) Ended(id fleet.PartitionID, hint Hint) {
	c := s.byID[id]
	if c == nil {
		return
	}
	c.inFlight = max(0, c.inFlight-1)
	if !hint.At.IsZero() {
		c.hint = hint
		c.sent = 0
	}
}

// Observe records a load hint received separately from an answer. A hint of
// another epoch is ignored.
func (s *State) Observe(id fleet.PartitionID, epoch fleet.Epoch, hint Hint) {
	if c := s.byID[id]; c != nil && c.Epoch == epoch {
		c.hint = hint
		c.sent = 0
	}
}

// LastHint returns the newest hint of a partition. Without a valid hint, all
// slots except those of requests in flight count as free.
func (s *State) LastHint(now time.Time, id fleet.PartitionID) Hint {
	c := s.byID[id]
	if c == nil {
		return Hint{}
	}
	if now.Sub(c.hint.At) > hintLifetime {
		return Hint{At: now, FreeSlots: max(0, c.Slots-c.inFlight)}
	}
	return c.hint
}

// Choose returns the partition for a request, or the reason why there is none.
func (s *State) Choose(now time.Time, request Request) (Candidate, outcome.Reason) {
	best := s.pick(now, s.sameDataCentre, s.sameRegion, request)
	if best != nil && best.meets(now, request.Deadline, 0) {
		return best.Candidate, outcome.NoReason
	}
	remote := s.pick(now, nil, s.otherRegions, request)
	if remote != nil && remote.meets(now, request.Deadline, regionRoundTrip) {
		if s.budget.AllowN(now, max(1, request.Bytes)) {
			s.sentBytes += uint64(request.Bytes)
			return remote.Candidate, outcome.NoReason
		}
		if best == nil {
			return Candidate{}, outcome.RegionBudget
		}
	}
	if best == nil {
		return Candidate{}, outcome.NoHolder
	}
	return best.Candidate, outcome.NoReason
}

// pick draws a candidate from each list and returns the better one. If it is
// saturated, pick returns the best of all, so that it finds any free slots.
func (s *State) pick(now time.Time, first, from []*candidate, request Request) *candidate {
	if len(from) == 0 {
		return nil
	}
	if len(first) == 0 {
		first = from
	}
	var best *candidate
	if c := first[request.Random%uint64(len(first))]; request.allows(c) {
		best = c
	}
	if c := from[(request.Random>>32)%uint64(len(from))]; request.allows(c) {
		best = s.better(now, best, c)
	}
	if best != nil && best.load(now) < 1 {
		return best
	}
	for _, c := range from {
		if request.allows(c) {
			best = s.better(now, best, c)
		}
	}
	return best
}

// allows reports whether a request may be sent to a candidate.
func (r *Request) allows(c *candidate) bool {
	return serves(r.Regions, c.Region) && !contains(r.Tried, c.Partition)
}

// better returns the candidate with the lower load, where dataCentreBias counts
// against other data centres; a may be nil.
func (s *State) better(now time.Time, a, b *candidate) *candidate {
	if a == nil {
		return b
	}
	loadA, loadB := a.load(now), b.load(now)
	if a.DataCentre != s.dataCentre {
		loadA += dataCentreBias
	}
	if b.DataCentre != s.dataCentre {
		loadB += dataCentreBias
	}
	if loadB < loadA {
		return b
	}
	return a
}

// load returns the expected fraction of the partition's slots in use; at 1 or
// more a new request waits.
func (c *candidate) load(now time.Time) float64 {
	if c.Slots == 0 {
		return 1
	}
	if now.Sub(c.hint.At) > hintLifetime {
		return float64(c.inFlight) / float64(c.Slots)
	}
	return float64(c.Slots-c.hint.FreeSlots+c.hint.Waiting+c.sent) / float64(c.Slots)
}

// meets reports whether a request is expected to start before its deadline,
// with extra added to the wait.
func (c *candidate) meets(now, deadline time.Time, extra time.Duration) bool {
	wait := extra
	if excess := c.load(now) - 1; excess > 0 {
		perSlot := max(c.hint.ExpectedWait, defaultExpectedWait)
		wait += perSlot + time.Duration(excess*float64(perSlot))
	}
	return now.Add(wait).Before(deadline)
}

// RegionBytes returns the number of bytes sent to other regions so far.
func (s *State) RegionBytes() uint64 { return s.sentBytes }

// serves reports whether a service that runs in regions runs in region; an empty
// list means all regions.
func serves(regions []fleet.Region, region fleet.Region) bool {
	if len(regions) == 0 {
		return true
	}
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return false
}

func contains(list []fleet.PartitionID, id fleet.PartitionID) bool {
	for _, p := range list {
		if p == id {
			return true
		}
	}
	return false
}

// Package routing decides which partition gets a request, and with it which
// entry instance: the holder.
//
// Policy: partitions of the caller's own region come first, because a request
// to another region pays 16 ms and volume. Two of them are drawn at random, the
// first from the own data centre, and the second wins only when it is clearly
// less loaded: load hints lag, and always taking the least loaded would send
// every instance to the same partition at once. The requests that this instance has sent since the last
// hint are added to the hint. Another region is used only when no partition of
// the own region is expected to meet the deadline and the byte budget allows.
package routing

import (
	"time"

	"golang.org/x/time/rate"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// hintLifetime is how long a load hint counts; an older one says nothing
	// after demand has swung.
	hintLifetime = 2 * time.Second
	// regionRoundTrip is the time that a request to another region adds.
	regionRoundTrip = 16 * time.Millisecond
	// nearBias is how much of its slots a partition of another data centre
	// must have in use less before it wins over one of the own. It keeps
	// light load within the data centre.
	nearBias = 0.1
	// defaultExpectedWait is assumed for each waiting request beyond the
	// free slots until a hint says more.
	defaultExpectedWait = 5 * time.Millisecond
)

// Candidate is one partition that may take requests.
type Candidate struct {
	Partition  fleet.PartitionID
	Holder     fleet.InstanceID
	Epoch      fleet.Epoch
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Slots      int
	// Reachable is true for own partitions and for those whose holder has a
	// link that is up.
	Reachable bool
}

// Hint is a lagging view of a partition's load.
type Hint struct {
	At        time.Time
	FreeSlots int
	Waiting   int
	// ExpectedWait of an urgent request, zero when unknown.
	ExpectedWait time.Duration
}

// Request is what the choice depends on for one request.
type Request struct {
	Regions  []fleet.Region // where the service runs; empty means everywhere
	Deadline time.Time
	Bytes    int
	// Tried are partitions that refused this request before.
	Tried []fleet.PartitionID
	// Random decides between equals; any uniformly drawn value.
	Random uint64
}

// State is what one entry instance knows of all partitions. It is not safe for
// concurrent use.
type State struct {
	region     fleet.Region
	dataCentre fleet.DataCentre
	byID       map[fleet.PartitionID]*candidate
	budget     *rate.Limiter
	sentBytes  uint64
	// Reachable candidates: of the own data centre, of the own region (with
	// those), and of other regions.
	local, near, far []*candidate
}

type candidate struct {
	Candidate
	hint Hint
	// sent counts the requests sent since the hint; inFlight those that have
	// not ended.
	sent     int
	inFlight int
}

// New returns the state of an instance at a place, with a budget in bytes a
// second for requests to other regions.
func New(region fleet.Region, dataCentre fleet.DataCentre, bytesPerSecond int64) *State {
	return &State{
		region: region, dataCentre: dataCentre,
		byID:   map[fleet.PartitionID]*candidate{},
		budget: rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond)),
	}
}

// SetBudget changes the byte budget from now on.
func (s *State) SetBudget(now time.Time, bytesPerSecond int64) {
	s.budget.SetLimitAt(now, rate.Limit(bytesPerSecond))
	s.budget.SetBurstAt(now, int(bytesPerSecond))
}

// SetCandidates replaces the table; hints and counts of partitions that stay
// under the same epoch are kept.
func (s *State) SetCandidates(list []Candidate) {
	known := s.byID
	s.byID = make(map[fleet.PartitionID]*candidate, len(list))
	s.local, s.near, s.far = s.local[:0], s.near[:0], s.far[:0]
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
			s.near = append(s.near, entry)
			if c.DataCentre == s.dataCentre {
				s.local = append(s.local, entry)
			}
		default:
			s.far = append(s.far, entry)
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

// Sent notes that a request was sent to a partition.
func (s *State) Sent(id fleet.PartitionID) {
	if c := s.byID[id]; c != nil {
		c.sent++
		c.inFlight++
	}
}

// Ended notes that a request sent to a partition ended, with the hint that
// came along; a zero hint is ignored.
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

// Observe takes a load hint that came without an answer.
func (s *State) Observe(id fleet.PartitionID, epoch fleet.Epoch, hint Hint) {
	if c := s.byID[id]; c != nil && c.Epoch == epoch {
		c.hint = hint
		c.sent = 0
	}
}

// LastHint returns the newest hint of a partition; without one every slot
// counts as free.
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
func (s *State) Choose(now time.Time, need Request) (Candidate, outcome.Reason) {
	best := s.pick(now, s.local, s.near, need)
	if best != nil && best.meets(now, need.Deadline, 0) {
		return best.Candidate, outcome.NoReason
	}
	remote := s.pick(now, nil, s.far, need)
	if remote != nil && remote.meets(now, need.Deadline, regionRoundTrip) {
		if s.budget.AllowN(now, max(1, need.Bytes)) {
			s.sentBytes += uint64(need.Bytes)
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

// pick draws a candidate from each list and takes the better; when both look saturated it
// takes the best of all, so that free slots elsewhere are not missed.
func (s *State) pick(now time.Time, first, from []*candidate, need Request) *candidate {
	if len(from) == 0 {
		return nil
	}
	if len(first) == 0 {
		first = from
	}
	var best *candidate
	if c := first[need.Random%uint64(len(first))]; need.allows(c) {
		best = c
	}
	if c := from[(need.Random>>32)%uint64(len(from))]; need.allows(c) {
		best = s.better(now, best, c)
	}
	if best != nil && best.load(now) < 1 {
		return best
	}
	for _, c := range from {
		if need.allows(c) {
			best = s.better(now, best, c)
		}
	}
	return best
}

func (n *Request) allows(c *candidate) bool {
	return serves(n.Regions, c.Region) && !contains(n.Tried, c.Partition)
}

func (s *State) better(now time.Time, a, b *candidate) *candidate {
	if a == nil {
		return b
	}
	loadA, loadB := a.load(now), b.load(now)
	if a.DataCentre != s.dataCentre {
		loadA += nearBias
	}
	if b.DataCentre != s.dataCentre {
		loadB += nearBias
	}
	if loadB < loadA {
		return b
	}
	return a
}

// load is the expected use of the partition's slots; 1 and more means that a
// new request waits.
func (c *candidate) load(now time.Time) float64 {
	if c.Slots == 0 {
		return 1
	}
	if now.Sub(c.hint.At) > hintLifetime {
		return float64(c.inFlight) / float64(c.Slots)
	}
	return float64(c.Slots-c.hint.FreeSlots+c.hint.Waiting+c.sent) / float64(c.Slots)
}

func (c *candidate) meets(now, deadline time.Time, extra time.Duration) bool {
	wait := extra
	if excess := c.load(now) - 1; excess > 0 {
		perSlot := max(c.hint.ExpectedWait, defaultExpectedWait)
		wait += perSlot + time.Duration(excess*float64(perSlot))
	}
	return now.Add(wait).Before(deadline)
}

// RegionBytes returns the bytes sent to other regions so far.
func (s *State) RegionBytes() uint64 { return s.sentBytes }

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

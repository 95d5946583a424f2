package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/admission"
	"lacewingfork.example/lacewingfork/decision/breaker"
	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/estimate"
	"lacewingfork.example/lacewingfork/decision/interference"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/decision/retry"
	"lacewingfork.example/lacewingfork/fleet"
)

// State is the state of one partition. It is not safe for concurrent use.
type State struct {
	limits       configuration.Limits
	estimates    estimate.Table
	queue        *admission.Queue
	servers      *placement.Table
	breakers     breaker.Breaker
	budget       retry.Budget
	interference interferenceState
	keys         *requestkey.Table
	// requests holds the requests that wait, run or will be retried;
	// freeIndexes lists its free entries, and byID maps IDs to its entries.
	requests    []request
	freeIndexes []int32
	byID        map[fleet.RequestID]int32
	// retrying lists the requests that wait for another attempt.
	retrying []int32
	ended    endedTasks
	// sampledAt is the time of the newest report of each server.
	sampledAt []time.Time
	// lastDispatch is when waiting work was last considered.
	lastDispatch time.Time
	history      history
	candidates   placement.Explanation
}

// phase is the state of a request between Submit and its end.
type phase uint8

const (
	waiting phase = iota
	running
	retrying
)

// request is a request from Submit until it ends.
type request struct {
	work     Work
	estimate *estimate.Operation
	phase    phase
	handle   admission.Handle
	team     admission.TeamIndex
	service  interference.ServiceIndex
	arrived  time.Time
	// server and long describe the running attempt. Between attempts, server is
	// the one that the next attempt avoids.
	server  placement.Index
	long    bool
	attempt int
	// written is set once any attempt may have been written, and failed while
	// the last written attempt returned a complete answer that reports a server
	// failure.
	written, failed bool
	cancelled       bool
	retryAt         time.Time
}

// New returns the state of a partition taken over at now. Every slot counts as
// in use until a usage report sampled later shows otherwise, or MaxDeadline has
// passed. Without a configuration, every request is refused.
func New(now time.Time, servers []fleet.BackendServer, c *configuration.Configuration) *State {
	s := &State{
		queue:        admission.New(MaxWaiting),
		servers:      placement.New(MaxDeadline),
		byID:         make(map[fleet.RequestID]int32),
		interference: interferenceState{estimates: interference.NewEstimator(), baseline: newRunTimeBaseline()},
	}
	s.setConfiguration(c)
	s.SetServers(now, servers, nil)
	return s
}

// SetServers sets the partition's backend servers, from the instance list.
func (s *State) SetServers(now time.Time, servers []fleet.BackendServer, out []Action) []Action {
	s.servers.SetServers(now, servers, func(i placement.Index) {
		s.breakers.Reset(int(i))
		for len(s.sampledAt) <= int(i) {
			s.sampledAt = append(s.sampledAt, time.Time{})
		}
		s.sampledAt[i] = time.Time{}
		s.interference.reset(i)
	})
	present := 0
	for i := range placement.Index(s.servers.Len()) {
		if s.servers.Leaving(i) {
			s.breakers.Reset(int(i))
		} else {
			present++
		}
	}
	s.breakers.SetCount(s.servers.Len(), present)
	s.queue.SetSlots(s.servers.Capacity())
	return s.dispatch(now, out)
}

// SetConfiguration applies a new configuration. Requests accepted under the old
// one stay queued.
func (s *State) SetConfiguration(now time.Time, c *configuration.Configuration, out []Action) []Action {
	s.setConfiguration(c)
	return s.dispatch(now, out)
}

func (s *State) setConfiguration(c *configuration.Configuration) {
	if c == nil {
		c = &configuration.Configuration{Limits: configuration.DefaultLimits}
	}
	s.limits = c.Limits
	if s.limits == (configuration.Limits{}) {
		s.limits = configuration.DefaultLimits
	}
	s.estimates.SetConfiguration(c)
	s.queue.SetTeams(c.Teams)
	s.updateLongLimit()
}

// updateLongLimit sets the limit of slots for long work, which applies only
// while some operation is short.
func (s *State) updateLongLimit() {
	s.servers.SetLimits(placement.Limits{
		LongShare: s.limits.LongShare, HasShortOperations: s.estimates.HasShort(),
	})
}

// Load returns the free slots, all slots and the number of waiting requests.
func (s *State) Load(time.Time) (free, capacity, waiting int) {
	return s.servers.Free(), s.servers.Capacity(), s.queue.Len() + len(s.retrying)
}

// unknownWait is the expected wait while no slot is known to be usable. It equals
// the lag of usage reports, which show the free slots after a takeover.
const unknownWait = 5 * time.Second

// UnknownSlots returns the number of slots that count as in use although their
// state is unknown, after a takeover or an exchange without an answer.
func (s *State) UnknownSlots() int { return s.servers.Held() }

// ExpectedWait returns the expected wait for a slot of an urgent short request
// submitted now.
func (s *State) ExpectedWait(time.Time) time.Duration {
	if s.servers.Free() > 0 && s.queue.Backlog(admission.Short) == 0 {
		return 0
	}
	slots := s.slotsFor(admission.Short)
	if slots <= 0 {
		return unknownWait
	}
	item := admission.Item{Class: fleet.Urgent, Kind: admission.Short, Team: admission.Unlisted}
	return s.queue.Wait(item, slots)
}

// slotsFor returns the number of slots that queued work of a kind can expect to
// use, or 0 if it is unknown because the state of every slot is unknown.
func (s *State) slotsFor(kind admission.Kind) int {
	slots := s.servers.RequestSlots()
	long := min(slots, s.servers.MaxLongSlots())
	if kind == admission.Long {
		return long
	}
	if s.queue.Backlog(admission.Long) == 0 {
		long = min(long, s.servers.LongSlots())
	}
	return slots - long
}

// NextTick returns when Tick is due next, or the zero time if it isn't.
func (s *State) NextTick() time.Time {
	var next time.Time
	consider := func(at time.Time, ok bool) {
		if ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(s.queue.EarliestStartBy())
	for _, r := range s.retrying {
		consider(s.requests[r].retryAt, true)
	}
	if s.queue.Len()+len(s.retrying) > 0 {
		consider(s.servers.NextExpiry())
		consider(s.breakers.NextChange(s.lastDispatch))
	}
	return next
}

// SetLease sets the partition and epoch of request keys. Keys are issued and
// used through Keys, before a request is submitted.
func (s *State) SetLease(partition fleet.PartitionID, epoch fleet.Epoch) {
	s.keys = requestkey.New(partition, epoch, 0)
}

// Keys returns the used keys of the epoch, or nil before SetLease.
func (s *State) Keys() *requestkey.Table { return s.keys }

// addRequest adds a request and returns its index in requests.
func (s *State) addRequest(r request) int32 {
	var index int32
	if n := len(s.freeIndexes); n > 0 {
		index = s.freeIndexes[n-1]
		s.freeIndexes = s.freeIndexes[:n-1]
		s.requests[index] = r
	} else {
		index = int32(len(s.requests))
		s.requests = append(s.requests, r)
	}
	s.byID[r.work.ID] = index
	return index
}

// removeRequest removes a request that has ended.
func (s *State) removeRequest(index int32) {
	delete(s.byID, s.requests[index].work.ID)
	s.requests[index] = request{}
	s.freeIndexes = append(s.freeIndexes, index)
}

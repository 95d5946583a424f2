package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// sizes are the capacities of the listed servers.
type sizes struct {
	version uint64 // changes with each capacity
	byCell  map[fleet.Service][]fleet.Resources
	counted uint64 // version of byCell
	// wantedUntil is the time until which long-running tasks avoid larger servers.
	wantedUntil time.Duration
}

// sizeFit is the smallest server that could run a task of a step if it were empty.
type sizeFit struct {
	version  uint64
	milliCPU int64 // 0 if there is none
}

const (
	// costLargerServer is the cost of a server twice as large as the smallest one that
	// could run the task. At one and a half times it exceeds the difference that the
	// free cores of two servers make, so that the larger ones are left to the tasks that
	// fit only there as long as smaller ones have room.
	costLargerServer = 10.0
	// largeWantedTime is how long long-running tasks avoid larger servers too after a
	// step that fits only on these has been seen. Without such a step their packing is
	// left as it is.
	largeWantedTime = time.Minute
)

// listed notes a change of capacity.
func (k *sizes) listed(w *worker, s Server) {
	if !w.listed || w.server.Capacity != s.Capacity || w.server.Service != s.Service {
		k.version++
	}
}

// smallestFit returns the processor capacity of the smallest listed server that a task of
// a step could run on.
func (c *Cell) smallestFit(s *stepState) int64 {
	if s.fit.version == c.sizes.version {
		return s.fit.milliCPU
	}
	if c.sizes.counted != c.sizes.version {
		c.countSizes()
	}
	s.fit = sizeFit{version: c.sizes.version}
	need := s.spec.Need
	need.Slots = 0
	for _, capacity := range c.sizes.byCell[c.queueOf(s.occurrence.job).Service] {
		if need.Fits(capacity) && (s.fit.milliCPU == 0 || capacity.MilliCPU < s.fit.milliCPU) {
			s.fit.milliCPU = capacity.MilliCPU
		}
	}
	return s.fit.milliCPU
}

// countSizes collects the different capacities of the servers of each service.
func (c *Cell) countSizes() {
	c.sizes.counted, c.sizes.byCell = c.sizes.version, map[fleet.Service][]fleet.Resources{}
	type size struct {
		service  fleet.Service
		capacity fleet.Resources
	}
	seen := map[size]bool{}
	for _, w := range c.sortedWorkers {
		k := size{w.server.Service, w.server.Capacity}
		if !seen[k] {
			seen[k] = true
			c.sizes.byCell[k.service] = append(c.sizes.byCell[k.service], k.capacity)
		}
	}
}

// wantSize notes a step that does not fit on the smallest servers of its service.
func (c *Cell) wantSize(s *stepState) {
	if !c.settings.UnevenDemand {
		return
	}
	fit := c.smallestFit(s)
	for _, capacity := range c.sizes.byCell[c.queueOf(s.occurrence.job).Service] {
		if capacity.MilliCPU < fit {
			c.sizes.wantedUntil = c.now.Steady + largeWantedTime
			return
		}
	}
}

// sizeCost returns the cost of a server that is larger than a task of a step needs.
// Best-effort tasks use what others leave idle, so they take no room from larger tasks.
func (c *Cell) sizeCost(w *worker, s *stepState) float64 {
	if !c.settings.UnevenDemand || s.spec.BestEffort || s.spec.LongRunning && c.now.Steady >= c.sizes.wantedUntil {
		return 0
	}
	fit := c.smallestFit(s)
	if fit <= 0 || w.server.Capacity.MilliCPU <= fit {
		return 0
	}
	return costLargerServer * float64(w.server.Capacity.MilliCPU-fit) / float64(fit)
}

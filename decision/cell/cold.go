package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// ColdSettings say how servers of a service warm up. The zero value is a service whose
// servers are warm at once.
type ColdSettings struct {
	// Start is the time from the start of a server's process until it is warm.
	Start time.Duration
	// PerSecond is the number of starts a second that a cold server takes in any case.
	PerSecond float64
}

// coldness is the state of a server that warms up.
type coldness struct {
	until     time.Duration // 0 if it has not been cold
	total     time.Duration // time that it is cold altogether
	lastStart time.Duration // of the last start while it was cold
	// counted is the incarnation from whose start the warming time of the service was
	// counted. It is counted once, as the server's clock may be ahead.
	counted int64
}

const (
	// costColdServer is the cost of a cold server that is used beyond its share, and
	// costColdExcess that of the whole server beyond it. A warm server with room is
	// preferred to it, but not to interference or a remote run; beyond their shares
	// cold servers fill evenly.
	costColdServer = 20.0
	costColdExcess = 100.0
)

// setCold applies the settings of the services of new queues.
func (c *Cell) setCold(queues []QueueSettings) {
	before := c.cold
	c.cold = nil
	for _, q := range queues {
		if q.Cold.Start <= 0 && q.Cold.PerSecond <= 0 {
			continue
		}
		if c.cold == nil {
			c.cold = map[fleet.Service]ColdSettings{}
		}
		c.cold[q.Service] = q.Cold
	}
	for _, w := range c.sortedWorkers {
		if service := w.server.Service; w.listed && c.cold[service].Start != before[service].Start {
			w.cold.counted = 0
			c.coldSinceStart(w, w.server)
		}
	}
}

// listCold applies an entry of the server list. The same remaining time that is listed
// again, with another change, counts from its first listing.
func (c *Cell) listCold(w *worker, s Server) {
	if s.ColdRemaining > 0 && (!w.listed || s.ColdRemaining != w.server.ColdRemaining || s.Incarnation != w.server.Incarnation) {
		w.cold.extend(c.now.Steady+s.ColdRemaining, max(s.ColdRemaining, c.cold[s.Service].Start))
	}
	c.coldSinceStart(w, s)
}

// coldSinceStart applies the warming time of the service from the start of the server's
// process, which its entry gives as a time of day.
func (c *Cell) coldSinceStart(w *worker, s Server) {
	start := c.cold[s.Service].Start
	if start <= 0 || s.Incarnation <= 0 || s.Incarnation == w.cold.counted {
		return
	}
	w.cold.counted = s.Incarnation
	age := max(0, c.now.Wall.Sub(time.UnixMilli(s.Incarnation)))
	if age < start {
		w.cold.extend(c.now.Steady+start-age, start)
	}
}

// startedCold notes that another incarnation of a worker has just been seen.
func (c *Cell) startedCold(w *worker) {
	w.cold = coldness{counted: w.cold.counted}
	if start := c.cold[w.server.Service].Start; start > 0 {
		w.cold.extend(c.now.Steady+start, start)
	}
}

// extend makes a server cold until a time, unless it is already so for longer.
func (k *coldness) extend(until, total time.Duration) {
	if until > k.until {
		k.until, k.total = until, total
	}
}

// share returns the fraction of a server that new starts may use: it grows evenly with
// the time that the server has been warming up.
func (k coldness) share(now time.Duration) float64 {
	if now >= k.until || k.total <= 0 {
		return 1
	}
	return max(0, 1-float64(k.until-now)/float64(k.total))
}

// coldCost returns the cost of a cold server that a task would use beyond its share. The
// first task, and as many a second as the service says, may use any cold server. It is a
// cost and no obstacle: a task that fits nowhere else does not wait for a server to warm
// up.
func (c *Cell) coldCost(w *worker, t *task) float64 {
	if !c.settings.UnevenDemand || c.now.Steady >= w.cold.until || len(w.runsInOrder) == 0 {
		return 0
	}
	if rate := c.cold[w.server.Service].PerSecond; rate > 0 && (c.now.Steady-w.cold.lastStart).Seconds()*rate >= 1 {
		return 0
	}
	used := w.used.MilliCPU + w.bestEffortCPU + t.step.spec.Need.MilliCPU
	excess := float64(used)/float64(max(1, w.server.Capacity.MilliCPU)) - w.cold.share(c.now.Steady)
	if excess <= 0 {
		return 0
	}
	return costColdServer + costColdExcess*excess
}

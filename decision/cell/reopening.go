package cell

import "time"

const (
	// minColdShare is the part of its capacity that a cold server takes at once when its
	// data centre is reopened. It grows until the server is warm.
	minColdShare = 0.1
	// maxCold bounds the time for which an entry may declare its server cold.
	maxCold = 10 * time.Minute
)

// coldShareUsed reports whether a server in a reopened data centre has as much work as
// it takes while it is cold. A server without work always takes a task.
func (c *Cell) coldShareUsed(w *worker) bool {
	reopened := w.dataCentre.reopenedAt
	warm := min(w.cold.until, reopened+maxCold)
	if c.now.Steady >= warm || warm <= reopened {
		return false
	}
	share := max(minColdShare, float64(c.now.Steady-reopened)/float64(warm-reopened))
	return float64(w.used.MilliCPU+w.bestEffortCPU+w.reserved.MilliCPU) >= share*float64(w.server.Capacity.MilliCPU) && len(w.runs)+len(w.reservations) > 0
}

// coldWait is how long a task waits beside room on a cold server. The platform allows a
// task to wait beside free capacity for 3 s, and a long-running one has to run again
// within 6 s.
const coldWait = time.Second

// waitsForWarmth reports whether a task leaves the room of a cold server to later tasks.
func (c *Cell) waitsForWarmth(w *worker, t *task) bool {
	return c.now.Steady-c.waitingSince(t) < coldWait && c.coldShareUsed(w)
}

package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// shrunkCapacityGrace is how long after a server has shrunk its earlier capacity
	// counts: contact-ms and one heartbeat.
	shrunkCapacityGrace = 4500 * time.Millisecond
	// lateStartGrace is added for a start whose caller receives no response: the
	// stand-in may execute it seconds after it was ordered.
	lateStartGrace = 3 * time.Second
)

// capacity is the capacity of a server from a time on.
type capacity struct {
	at       time.Time
	milliCPU int64
}

// room returns the highest capacity of the server within the grace before a start.
func (c *checker) room(e standin.Event) int64 {
	grace := shrunkCapacityGrace
	if e.Unanswered {
		grace += lateStartGrace
	}
	most, now := int64(0), int64(serverMilliCPU)
	for _, change := range c.capacities[e.Server] {
		if !change.at.Before(e.At.Add(-grace)) {
			most = max(most, now)
		}
		now = change.milliCPU
	}
	return max(most, now)
}

// capacityChanges is the workload of TestSoakCapacityChanges. It has no faults of the
// store: they delay the server list beyond shrunkCapacityGrace.
var capacityChanges = workload{job: randomJob, faults: append(faultsNamed(
	"kill", "kill_all", "stop", "freeze", "reset_store", "cut_worker", "reset_worker", "late_orders", "lost_answers", "restart_worker",
), fault{"shrink", shrinkWorker}, fault{"shrink", shrinkWorker}, fault{"shrink", shrinkWorker})}

// shrinkWorker reduces the capacity of a random worker, and restores it at the end.
func shrinkWorker(d *deployment, r *rand.Rand) func() {
	n := r.IntN(servers)
	d.workers[n].SetCapacity(int64(r.IntN(3)) * serverMilliCPU / 4)
	d.listWorker(n)
	return func() {
		d.workers[n].SetCapacity(serverMilliCPU)
		d.listWorker(n)
	}
}

// faultsNamed returns the faults with the given names.
func faultsNamed(names ...string) (list []fault) {
	for _, f := range faults {
		if slices.Contains(names, f.name) {
			list = append(list, f)
		}
	}
	return list
}

// Guards against starts on servers that have shrunk (LIMIT), and against jobs that stay
// behind when they have grown again (LOST).
func TestSoakCapacityChanges(t *testing.T) {
	runSeed(t, buildScheduler(t), envSetting(t, "SOAK_SEED", defaultSeed), 20*time.Second, capacityChanges)
}

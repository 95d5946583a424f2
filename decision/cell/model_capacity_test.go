package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// shrunkCapacityGrace is how long after a worker has shrunk the platform still counts
// its earlier capacity: contact-ms and one heartbeat.
const shrunkCapacityGrace = 4500 * time.Millisecond

// capacityChange is a change of the capacity of a worker.
type capacityChange struct {
	at     time.Duration
	before fleet.Resources
}

// room returns the capacity against which a start that was ordered at the given time
// counts: of each resource the most that the worker has had from shrunkCapacityGrace
// before the order until now.
func (w *modelWorker) room(ordered time.Duration) fleet.Resources {
	most := w.capacity
	for _, change := range w.capacityChanges {
		if change.at >= ordered-shrunkCapacityGrace {
			most.MilliCPU, most.MemoryMiB = max(most.MilliCPU, change.before.MilliCPU), max(most.MemoryMiB, change.before.MemoryMiB)
		}
	}
	return most
}

// setCapacity changes the capacity of a worker. The server list shows it within a
// heartbeat.
func (w *modelWorker) setCapacity(capacity fleet.Resources) {
	w.capacityChanges = append(w.capacityChanges, capacityChange{at: w.m.now, before: w.capacity})
	w.capacity = capacity
	w.m.after(time.Duration(w.m.random.Int64N(int64(1500*time.Millisecond))), func() {
		if w.up {
			w.m.holder().handle(ServerListed{Server: w.server()})
		}
	})
}

// randomCapacityFault draws a fault as randomFault does, or a worker that shrinks,
// in some cases to nothing, and grows again in two steps.
func (m *model) randomCapacityFault() func() {
	if m.random.Float64() < 0.3 {
		return m.randomFault()
	}
	w := m.workers[m.random.IntN(len(m.workers))]
	duration := 3*time.Second + time.Duration(m.random.Int64N(int64(9*time.Second)))
	part := max(0, m.random.Int64N(10)-1) // tenths
	return func() {
		full := fleet.Resources{MilliCPU: 32000, MemoryMiB: 64000}
		w.setCapacity(fleet.Resources{MilliCPU: full.MilliCPU * part / 10, MemoryMiB: full.MemoryMiB * max(1, part) / 10})
		m.after(duration/2, func() {
			w.setCapacity(fleet.Resources{MilliCPU: full.MilliCPU * (part + 10) / 20, MemoryMiB: full.MemoryMiB})
		})
		m.after(duration, func() { w.setCapacity(full) })
	}
}

// modelCapacitySeeds is the number of scenarios with changing capacities.
const modelCapacitySeeds = 80

// Guards against starts beyond the capacity of a worker that has shrunk (LIMIT), and
// against jobs that stay behind when it has grown again (LOST).
func TestModelCapacityChanges(t *testing.T) {
	checkSeeds(t, modelCapacitySeeds, scenario{
		faults:   modelFaults{delayedCalls: 0.03, lostResponses: 0.02, alwaysFails: 0.05},
		duration: 60 * time.Second, submitUntil: 28 * time.Second, minFaults: 10, maxFaults: 24, job: randomJob, fault: (*model).randomCapacityFault,
	}.run)
}

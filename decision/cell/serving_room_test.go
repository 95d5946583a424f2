package cell

import (
	"testing"
	"time"
)

const (
	// maxLostFraction bounds the value of serving units that is lost with room for
	// serving tasks, as a fraction of that lost without: the target of the first
	// deployment is a worth of 0.69, up from 0.528 (docs/design/hard-load.md).
	maxLostFraction = (1 - 0.69) / (1 - 0.528)
	// minBatchFraction bounds from below the best-effort work that is completed in
	// time, as a fraction of that completed without room for serving tasks.
	minBatchFraction = 0.9
)

// playServing plays a cell for each of a number of seeds and returns the sum of the
// results. maxPerServer bounds the tasks of a serving job on one server; 0 is no bound.
func playServing(t *testing.T, seeds uint64, room bool, maxPerServer int) (sum servingResult) {
	settings := DefaultSettings()
	settings.ServingRoom = room
	for seed := range seeds {
		s := newServingSim(t, seed, settings)
		s.maxPerServer = maxPerServer
		s.play(60*time.Second, 2.6)
		for range 300 { // what has been submitted is completed
			s.step()
		}
		s.countBatch()
		sum.add(s.result)
	}
	t.Logf("room %v: units served %.3f, value %.3f, batch in time %.3f; %+v", room,
		float64(sum.served)/float64(sum.units), sum.meanValue(), sum.batch/sum.batchAll, sum)
	return sum
}

// Guards against serving tasks over their target because of best-effort tasks in a
// burst of 2.6 times the batch load, and against mending it by leaving the batch jobs
// to expire. With at most two tasks of a job on a server, no server is without serving
// tasks unless those of several images share one.
func TestServingUnitsUnderBatchBurst(t *testing.T) {
	for name, maxPerServer := range map[string]int{"packed": 0, "two tasks of a job on a server": 2} {
		t.Run(name, func(t *testing.T) {
			before, after := playServing(t, 4, false, maxPerServer), playServing(t, 4, true, maxPerServer)
			if lost, bound := 1-after.meanValue(), maxLostFraction*(1-before.meanValue()); lost > bound {
				t.Errorf("serving units lose %.3f of their value, want at most %.3f: %.2f of that without room for serving tasks", lost, bound, maxLostFraction)
			}
			if limit := 4500 * time.Millisecond; after.longest > limit {
				t.Errorf("a serving task is over its target because of best-effort tasks for %v, want at most %v", after.longest, limit)
			}
			if after.served <= before.served {
				t.Errorf("%d of %d serving units are served, want more than %d", after.served, after.units, before.served)
			}
			if after.batch < minBatchFraction*before.batch {
				t.Errorf("best-effort work of %.0f core-seconds is completed in time, want at least %.2f of %.0f", after.batch, minBatchFraction, before.batch)
			}
		})
	}
}

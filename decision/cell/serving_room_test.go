package cell

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
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

// Guards against a step whose tasks start on other workers than if each worker were
// rated for each task, with room for serving tasks.
func TestStepPlacementEqualsFullScanWithServingRoom(t *testing.T) {
	starts := 0
	for seed := range uint64(randomCells) {
		c, steps := newRandomCell(seed)
		reference, same := newRandomCell(seed)
		for _, cell := range []*Cell{c, reference} {
			cell.settings.ServingRoom = true
			cell.interference.enableFilter()
			for _, w := range cell.sortedWorkers {
				w.runListsStale = true // they were computed without room for serving tasks
				for _, r := range w.runsInOrder {
					r.task.step.load.upcomingAt = 0
				}
			}
		}
		for i := range steps {
			c.startTasks(steps[i])
			reference.referenceStarts(same[i])
		}
		if !reflect.DeepEqual(c.actions, reference.actions) {
			t.Fatalf("seed %d: got actions %+v, want %+v", seed, c.actions, reference.actions)
		}
		starts += len(c.actions)
	}
	if starts < randomCells {
		t.Errorf("got %d actions in %d cells, want more", starts, randomCells)
	}
}

// BenchmarkStartsBesideServingTasks measures the placement of a best-effort step of 20
// tasks beside serving tasks, for each start, with room for serving tasks.
func BenchmarkStartsBesideServingTasks(b *testing.B) {
	const tasks = 20
	for _, workers := range []int{50, 5400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newServiceFixture(workers, 0)
			f.cell.settings.ServingRoom = true
			f.cell.interference.enableFilter()
			step := job.Step{Count: tasks, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 10}, Estimate: time.Second, BestEffort: true, Image: "image-1"}
			j := &jobState{job: job.Job{ID: "000000000000d001", Queue: "q", Steps: []job.Step{step}}, stored: true, completed: map[int]bool{}, occurrences: map[int]*occurrence{}}
			s := f.cell.newOccurrence(j, 0).steps[0]
			m := f.cell.interference
			m.pressures[m.id("serving")][s.image].count = trialObservations
			for b.Loop() {
				for n := range s.tasks {
					s.waiting = append(s.waiting, n)
				}
				f.cell.startTasks(s)
				if len(s.waiting) > 0 {
					b.Fatalf("got %d tasks without a worker, want none", len(s.waiting))
				}
				for _, t := range s.tasks {
					f.cell.removeRun(t.runs[0])
				}
				f.cell.actions = f.cell.actions[:0]
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
		})
	}
}

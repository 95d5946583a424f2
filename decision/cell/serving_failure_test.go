package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
)

// takeOver replaces the holder by another one that restores the records. The answers
// on their way to the old holder are lost.
func (s *servingSim) takeOver() {
	var records []Record
	for _, r := range s.records {
		if !r.Deletes() {
			records = append(records, r)
		}
	}
	s.cell, s.actions, s.held, s.events = New(s.settings, 2), nil, nil, nil
	for range int(2 * time.Second / simTick) { // no holder gives orders
		s.now += simTick
		for _, w := range s.servers {
			s.work(w)
		}
		s.countUnits()
	}
	s.cell.Restore(s.moment(), records)
	s.list()
}

// playUntilBurst plays a cell until the middle of a burst, when best-effort runs are
// throttled.
func playUntilBurst(t *testing.T, seed uint64) *servingSim {
	settings := DefaultSettings()
	settings.ServingRoom = true
	s := newServingSim(t, seed, settings)
	s.maxPerServer, s.servingJobs = 1, 5 // serving tasks on almost every server
	s.play(33*time.Second, 2.6)
	return s
}

// recordDelay is the time in which a holder records an estimate that has risen.
const recordDelay = time.Second

// leastLoad is the load of a serving task of the simulation at its lowest.
const leastLoad = 0.2

// Guards against a takeover during a burst after which the new holder admits beside
// serving tasks what the old one had found to be too much, takes throttled runs for
// unthrottled ones, or leaves a target missed.
func TestTakeoverDuringBatchBurst(t *testing.T) {
	excluded := 0
	for seed := range uint64(3) {
		s := playUntilBurst(t, seed)
		earlier := filteredModel()
		earlier.restore(s.cell.interference.record())
		for range int(recordDelay / simTick) {
			s.step()
		}
		learnt := s.cell.interference
		s.takeOver()
		excluded += s.checkExclusionsRestored(t, earlier, learnt)
		for taken := s.now; s.now-taken < 8*time.Second; {
			s.step()
			s.checkStartsOfNewHolder(t, learnt)
			if s.now-taken == 3*time.Second {
				s.checkSpeedsKnown(t)
			}
		}
		if limit := s.settings.MaxTimeOverTarget; s.result.longest > limit {
			t.Errorf("seed %d: a serving task is over its target because of best-effort tasks for %v, want at most %v", seed, s.result.longest, limit)
		}
	}
	if excluded == 0 {
		t.Error("no holder had found a pair to be excluded")
	}
}

// checkExclusionsRestored requires that the new holder excludes the pairs of images
// that the old one had known for recordDelay to miss the target at the peak of the load with one run on a
// server of 16 cores, and returns their number.
func (s *servingSim) checkExclusionsRestored(t *testing.T, earlier, learnt *interferenceModel) (excluded int) {
	t.Helper()
	const share = 1800.0 / 16000
	for serving := range simServingImages {
		for batch := range simBatchImages {
			names := [2]string{fmt.Sprint("serving-", serving), fmt.Sprint("batch-", batch)}
			before := min(learnt.pressure(learnt.id(names[0]), learnt.id(names[1])), earlier.pressure(earlier.id(names[0]), earlier.id(names[1]))) * share
			limit := learnt.loadLimit(learnt.id(names[0]), float64(simTarget.Milliseconds())) - defaultPeak
			if before <= 1.2*limit || learnt.deviation(learnt.id(names[0]), learnt.id(names[1])) > priorDeviation/2 {
				continue
			}
			excluded++
			m := s.cell.interference
			if after := m.pressure(m.id(names[0]), m.id(names[1])) * share; after <= limit {
				t.Errorf("%v: the old holder expected an added load of %.2f, the new one %.2f, want more than %.2f", names, before, after, limit)
			}
		}
	}
	return excluded
}

// checkStartsOfNewHolder requires that no run of the new holder adds, by the estimates
// of the old one, more load than a serving task beside it can ever bear.
func (s *servingSim) checkStartsOfNewHolder(t *testing.T, learnt *interferenceModel) {
	t.Helper()
	for _, w := range s.cell.sortedWorkers {
		for _, r := range w.runsInOrder {
			if !r.bestEffort || r.state == runStopping || r.key.attempt <= attemptsPerRound {
				continue
			}
			for _, serving := range w.serving {
				id := learnt.id(serving.task.step.spec.Image)
				added := learnt.pressure(id, learnt.id(r.task.step.spec.Image)) * r.fullShare() * float64(r.desiredSpeed) / fullSpeed
				if limit := learnt.loadLimit(id, serving.target()) - leastLoad; added > limit {
					t.Fatalf("the new holder runs %v at %d %% beside %v: it adds a load of %.2f by the estimates of the old one, want at most %.2f",
						r.key, r.desiredSpeed, serving.key, added, limit)
				}
			}
		}
	}
}

// checkSpeedsKnown requires that the speed of each best-effort run beside a serving
// task is the one that the new holder assumes.
func (s *servingSim) checkSpeedsKnown(t *testing.T) {
	t.Helper()
	for _, w := range s.servers {
		for _, r := range w.runs {
			known := s.cell.workers[w.id].runs[r.key]
			if !r.job.best || r.stopsAt > 0 || known == nil || !known.worker.throttling.watched || s.now-known.speedChangedAt < time.Second {
				continue
			}
			if r.speed != known.desiredSpeed {
				t.Errorf("%v runs at %d %%, and the new holder takes it for %d %%", r.key, r.speed, known.desiredSpeed)
			}
		}
	}
}

// Guards against a worker that stops answering during a burst and keeps best-effort
// runs, whose throttling nobody acknowledges, or its serving tasks from going on
// elsewhere.
func TestSilentWorkerDuringBatchBurst(t *testing.T) {
	for seed := range uint64(3) {
		s := playUntilBurst(t, seed)
		var silent *simServer
		for _, w := range s.servers {
			if s.cell.workers[w.id].throttling.watched && (silent == nil || len(w.runs) > len(silent.runs)) {
				silent = w
			}
		}
		if silent == nil {
			t.Fatalf("seed %d: no server has both serving and best-effort tasks", seed)
		}
		silent.silent = true
		var lostTasks []job.TaskRef
		for _, r := range silent.runs {
			if r.job.serving && r.stopsAt == 0 {
				lostTasks = append(lostTasks, r.key.task)
			}
		}
		since := s.now
		lease := time.Duration(float64(s.settings.Lease)/(1-clockDrift)) + clockMargin
		for s.now-since < lease+6*time.Second {
			s.step()
			if s.now-since > s.settings.Lease {
				silent.runs = nil // their lease is over
			}
		}
		for _, lost := range lostTasks {
			if j := s.jobs[lost.Job]; j.until > 0 && !s.runsSince(lost, since) {
				t.Errorf("seed %d: %v has not started elsewhere 6 s after the lease of its silent worker has ended", seed, lost)
			}
		}
	}
}

// runsSince reports whether a task has a run that started after a time.
func (s *servingSim) runsSince(ref job.TaskRef, since time.Duration) bool {
	for _, w := range s.servers {
		for _, r := range w.runs {
			if r.key.task == ref && r.startedAt > since {
				return true
			}
		}
	}
	return false
}

package task

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

func simJob(id string, n int, run time.Duration) Job {
	team := fleet.Team("dye")
	if n%2 == 0 {
		team = "seam"
	}
	return Job{
		ID: fleet.JobID(id), Team: team, Kind: "dye-check", Tasks: 1 + n%5,
		Resources: fleet.Resources{Slots: 1}, RunTime: run, TeamLimit: 100,
	}
}

// Runs three Ledgers in a simulation with random faults. Guards against a task that
// runs twice at a time, a checkpoint that is resumed never or twice, a job that
// is lost or never ends, and a rebuilt state that differs.
func TestLedgersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(t) })
}

func runFaults(t *rapid.T) {
	s := newSim(t)
	submitted := 0
	submit := func(j Job) {
		s.instances[s.rand.IntN(3)].ledger.Submit(s.now, j)
		submitted++
	}
	randomWorker := func() *worker { return s.sortedWorkers()[s.rand.IntN(len(s.workers))] }
	faults := map[string]func(){
		"submit": func() {
			submit(simJob(fmt.Sprint("job-", submitted), submitted, time.Duration(s.rand.IntN(40))*time.Second))
		},
		"submit-more": func() {
			for n := 8; n > 0; n-- {
				submit(simJob(fmt.Sprint("job-", submitted), submitted, time.Duration(10+s.rand.IntN(90))*time.Second))
			}
		},
		"never": func() { submit(simJob("never", 2, time.Second)) },
		"large": func() { j := simJob("large", 1, 0); j.Resources.Slots = 9; submit(j) },
		"cancel": func() {
			s.instances[s.rand.IntN(3)].ledger.Cancel(s.now, fleet.JobID(fmt.Sprint("job-", s.rand.IntN(submitted+1))), "test")
		},
		"cancel-all": func() { // from a random job on
			for i := s.rand.IntN(submitted + 1); i < submitted; i++ {
				s.instances[s.rand.IntN(3)].ledger.Cancel(s.now, fleet.JobID(fmt.Sprint("job-", i)), "wave")
			}
		},
		"crash":       func() { m := s.instances[s.rand.IntN(3)]; m.downUntil = s.now.Add(restartDelay); s.boot(m) },
		"truncate":    func() { s.truncate(s.instances[s.rand.IntN(3)]) },
		"rebuild":     func() { m := s.instances[s.rand.IntN(3)]; s.boot(m); s.truncate(m) },
		"restart":     func() { s.boot(s.instances[s.rand.IntN(3)]) },
		"freeze":      func() { s.instances[s.rand.IntN(3)].pausedUntil = s.now.Add(time.Duration(s.rand.IntN(200)) * tick) },
		"release":     func() { s.racks["accra-1/rack-0"].until = s.now; s.racks["accra-1/rack-0"].holder = nil },
		"unreachable": func() { w := randomWorker(); w.unreachable = !w.unreachable },
		"reboot":      func() { w := randomWorker(); w.tasks, w.newestEpoch = map[string]*attempt{}, 0 },
		"fails-all":   func() { w := randomWorker(); w.faulty = !w.faulty },
		"leaving":     func() { s.setLeaving(s.rand.IntN(len(s.listed)), true) },
		"log":         func() { s.logDown = !s.logDown },
		"evict": func() {
			for _, w := range s.sortedWorkers() {
				for _, a := range w.tasks {
					for _, m := range s.instances {
						m.ledger.Evict(s.now, a.Task, w.id)
					}
				}
			}
		},
	}
	names := slices.Sorted(maps.Keys(faults))
	faults["submit-more"]()
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		faults[rapid.SampledFrom(names).Draw(t, "event")]()
		for range rapid.IntRange(0, 150).Draw(t, "ticks") {
			s.step()
		}
	}
	s.stopFaultsAndCheck()
}

// stopFaultsAndCheck ends the faults, and checks that every job ends within 15
// simulated minutes, then the resumes and the rebuilt states.
func (s *sim) stopFaultsAndCheck() {
	s.faultsStopped, s.logDown = true, false
	for i := range s.listed {
		s.workers[s.listed[i].ID].unreachable = false
		s.setLeaving(i, false)
	}
	for range int(15 * time.Minute / tick) {
		s.step()
		if s.allEnded() && len(s.appendsInFlight) == 0 {
			break
		}
	}
	for _, id := range s.jobs {
		v, ok := s.oracle.View(id)
		if !ok || v.State == Open || v.Running > 0 {
			s.t.Fatalf("job %s is %+v (known: %v), want it ended", id, v, ok)
		}
	}
	s.checkResumes()
	s.checkRebuild()
}

func (s *sim) allEnded() bool {
	for _, m := range s.instances {
		if m.read < len(s.log) {
			return false
		}
	}
	for _, id := range s.jobs {
		if v, _ := s.oracle.View(id); v.State == Open || v.Running > 0 {
			return false
		}
	}
	return true
}

// checkSingleExecution checks that no task runs twice at a time.
func (s *sim) checkSingleExecution() {
	placed := map[Ref]string{}
	for _, w := range s.sortedWorkers() {
		for _, a := range w.tasks {
			if a.State != WorkerRunning {
				continue
			}
			here := fmt.Sprint(w.id, " attempt ", a.Attempt)
			if there, twice := placed[a.Task]; twice {
				s.t.Fatalf("%s runs on %s and on %s, want one at a time", a.Task.ID(), there, here)
			}
			placed[a.Task] = here
		}
	}
}

// checkResumes checks that a checkpoint is resumed once, plus once for each resumed
// attempt that is recorded as ended without success or a new checkpoint, and at
// least once if its job finished.
func (s *sim) checkResumes() {
	f := NewFold()
	from, allowed := map[string]string{}, map[string]int{}
	for _, e := range s.log {
		if f.Apply(e.at, e.record) != Accepted {
			continue
		}
		id := key(e.record.Task, e.record.Attempt)
		switch e.record.Kind {
		case Started:
			from[id] = e.record.Checkpoint
		case Evicted:
			allowed[e.record.Checkpoint]++
		case Ended:
			if e.record.End != Succeeded {
				allowed[from[id]]++
			}
		}
	}
	for checkpoint, n := range s.resumed {
		if n > allowed[checkpoint] {
			s.t.Fatalf("checkpoint %q was resumed %d times, want at most %d", checkpoint, n, allowed[checkpoint])
		}
	}
	for _, e := range s.log {
		v, _ := f.View(e.record.Task.Job)
		if e.record.Kind == Evicted && v.State == Finished && s.resumed[e.record.Checkpoint] == 0 {
			s.t.Fatalf("checkpoint %q of a finished job was resumed 0 times, want at least 1", e.record.Checkpoint)
		}
	}
}

// checkRebuild compares the state from a snapshot at a random position and the
// records after it with the state from the whole log.
func (s *sim) checkRebuild() {
	want := fmt.Sprintf("%+v", s.oracle.Snapshot())
	f := NewFold()
	cut := s.rand.IntN(len(s.log) + 1)
	for _, e := range s.log[:cut] {
		f.Apply(e.at, e.record)
	}
	restored := Restore(f.Snapshot())
	for _, e := range s.log {
		restored.Apply(e.at, e.record)
	}
	if got := fmt.Sprintf("%+v", restored.Snapshot()); got != want {
		s.t.Fatalf("the snapshot at record %d and the records after it give\n%s\nwant, from the whole log,\n%s", cut, got, want)
	}
	for _, m := range s.instances {
		if got := fmt.Sprintf("%+v", m.ledger.Fold().Snapshot()); m.read == len(s.log) && got != want {
			s.t.Fatalf("instance %s has\n%s\nwant, from the whole log,\n%s", m.name, got, want)
		}
	}
}

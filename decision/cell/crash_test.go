package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// smallStep returns a step of which a test server has room for sixteen tasks.
func smallStep(count int, estimate time.Duration) job.Step {
	return job.Step{Count: count, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 1000}, Estimate: estimate}
}

// with returns the step after a change.
func with(step job.Step, change func(*job.Step)) job.Step {
	change(&step)
	return step
}

// Guards against a task that crashes one worker after another (BUDGET).
func TestCrashingTaskIsGivenUp(t *testing.T) {
	gang := func(s *job.Step) { s.Gang = true }
	for _, c := range []struct {
		name       string
		servers    int
		step       job.Step
		crashing   []int // indexes of the crashing tasks
		downtime   time.Duration
		unanswered bool
	}{
		{"worker returns during its lease", 4, smallStep(1, time.Second), []int{0}, 3 * time.Second, false},
		{"worker returns after its lease", 4, smallStep(1, time.Second), []int{0}, 9 * time.Second, false},
		{"worker returns between two calls", 4, smallStep(1, time.Second), []int{0}, 200 * time.Millisecond, false},
		{"worker crashes before it answers", 4, smallStep(1, time.Second), []int{0}, 3 * time.Second, true},
		{"only worker", 1, smallStep(1, time.Second), []int{0}, 3 * time.Second, false},
		{"one task of a step", 4, smallStep(6, time.Second), []int{3}, 3 * time.Second, false},
		{"all tasks of a step", 4, smallStep(6, time.Second), []int{0, 1, 2, 3, 4, 5}, 3 * time.Second, false},
		{"long-running", 4, with(smallStep(3, 0), func(s *job.Step) { s.LongRunning = true }), []int{1}, 3 * time.Second, false},
		{"speculative", 4, with(smallStep(3, time.Second), func(s *job.Step) { s.Speculative = true }), []int{1}, 3 * time.Second, false},
		{"best-effort", 4, with(smallStep(3, time.Second), func(s *job.Step) { s.BestEffort = true }), []int{1}, 3 * time.Second, false},
		{"gang on one worker", 1, with(smallStep(3, 20*time.Second), gang), []int{1}, 3 * time.Second, false},
		{"gang on several workers", 4, with(smallStep(3, 20*time.Second), func(s *job.Step) { s.Gang, s.Need.MilliCPU = true, 9000 }), []int{1}, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCrashSimulation(t, serverIDs(c.servers)...)
			s.downtime, s.unanswered = c.downtime, c.unanswered
			s.run(time.Second)
			s.crashing[testJob] = c.crashing
			s.submit(testJob, c.step)
			s.run(2 * time.Minute)
			s.checkGivenUp(testJob)
		})
	}
}

// serverIDs returns the identifiers of the given number of servers.
func serverIDs(count int) (ids []fleet.BackendServerID) {
	for i := range count {
		ids = append(ids, fleet.BackendServerID(rune('a'+i)))
	}
	return ids
}

// Guards against giving up a task that ran on each crashed worker beside the task
// that crashed it (LOST).
func TestTaskBesideCrashingOneIsNotGivenUp(t *testing.T) {
	const before, together, lasting fleet.JobID = "00000000000000b1", "00000000000000b2", "00000000000000c1"
	for _, servers := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			s := newCrashSimulation(t, serverIDs(servers)...)
			s.run(time.Second)
			s.submit(lasting, with(smallStep(2, 0), func(s *job.Step) { s.LongRunning = true }))
			s.submit(before, smallStep(3, 8*time.Second))
			s.run(3 * time.Second)
			s.crashing[testJob] = []int{0}
			s.submit(together, smallStep(3, 3*time.Second)) // started with the crashing task
			s.submit(testJob, smallStep(1, time.Second))
			s.run(2 * time.Minute)
			s.checkComplete(before)
			s.checkComplete(together)
			s.checkGivenUp(testJob)
			if got := s.state(lasting); got != job.Running || s.countRuns(lasting) != 2 {
				t.Errorf("LOST: got state %q with %d runs of the long-running job, want it running with 2", got, s.countRuns(lasting))
			}
		})
	}
}

// countRuns returns the runs of a job on the simulated workers.
func (s *crashSimulation) countRuns(id fleet.JobID) (count int) {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.start.Task.Job == id {
				count++
			}
		}
	}
	return count
}

// Guards against giving up tasks that ran on workers that crashed together, three
// times in a row and as soon as they had started tasks again (LOST).
func TestWorkersCrashingTogetherConvictNoTask(t *testing.T) {
	for name, delay := range map[string]time.Duration{"long after the starts": 4 * time.Second, "right after the starts": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newCrashSimulation(t, serverIDs(6)...)
			s.run(time.Second)
			jobs := []fleet.JobID{"00000000000000b1", "00000000000000b2", "00000000000000b3"}
			for _, id := range jobs {
				s.submit(id, with(smallStep(4, 6*time.Second), func(s *job.Step) { s.Need.MilliCPU = 5000 }))
			}
			const lasting fleet.JobID = "00000000000000c1"
			s.submit(lasting, with(smallStep(4, 0), func(s *job.Step) { s.LongRunning = true }))
			for range 3 {
				s.runUntilBusy()
				s.run(delay)
				for _, id := range serverIDs(6) {
					s.crash(s.workers[id])
				}
			}
			s.run(2 * time.Minute)
			for _, id := range jobs {
				s.checkComplete(id)
			}
			if got := s.state(lasting); got != job.Running || s.countRuns(lasting) != 4 {
				t.Errorf("LOST: got state %q with %d runs of the long-running job, want it running with 4", got, s.countRuns(lasting))
			}
		})
	}
}

// runUntilBusy lets time advance until a worker runs a task.
func (s *crashSimulation) runUntilBusy() {
	s.t.Helper()
	for limit := s.now + 30*time.Second; s.now < limit; s.run(10 * time.Millisecond) {
		for _, w := range s.workers {
			if len(w.runs) > 0 {
				return
			}
		}
	}
	s.t.Fatal("no task was started within 30 s")
}

// Guards against giving up a task whose only worker crashes by itself, seconds after
// each start (LOST).
func TestWorkerCrashingByItselfConvictsNoTask(t *testing.T) {
	const lasting fleet.JobID = "00000000000000c1"
	s := newCrashSimulation(t, "a")
	s.run(time.Second)
	s.submit(testJob, smallStep(2, 8*time.Second))
	s.submit(lasting, with(smallStep(1, 0), func(s *job.Step) { s.LongRunning = true }))
	for range 4 {
		s.runUntilBusy()
		s.run(5 * time.Second)
		s.crash(s.workers["a"])
	}
	s.run(time.Minute)
	s.checkComplete(testJob)
	if got := s.state(lasting); got != job.Running || s.countRuns(lasting) != 1 {
		t.Errorf("LOST: got state %q with %d runs of the long-running job, want it running with 1", got, s.countRuns(lasting))
	}
}

// Guards against a holder that does not know of the crashes that earlier holders
// counted against a task (BUDGET).
func TestCrashCountOutlivesTakeover(t *testing.T) {
	for _, c := range []struct {
		name      string
		delay     time.Duration // from a crash to the takeover
		takeovers int
	}{
		{"after the worker has returned", 4 * time.Second, 20},
		{"before the crash is known, twice", 10 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			const beside fleet.JobID = "00000000000000b1"
			s := newCrashSimulation(t, serverIDs(3)...)
			s.run(time.Second)
			var takeoverAt time.Duration
			left := c.takeovers
			s.onCrash = func(*crashWorker) {
				if left > 0 && takeoverAt == 0 {
					left--
					takeoverAt = s.now + c.delay
				}
			}
			s.crashing[testJob] = []int{0}
			s.submit(beside, smallStep(2, 3*time.Second))
			s.submit(testJob, smallStep(1, time.Second))
			for end := s.now + 3*time.Minute; s.now < end; s.run(50 * time.Millisecond) {
				if takeoverAt > 0 && s.now >= takeoverAt {
					takeoverAt = 0
					s.takeOver()
				}
			}
			s.checkGivenUp(testJob)
			s.checkComplete(beside)
		})
	}
}

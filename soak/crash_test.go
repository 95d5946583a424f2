package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// crashBudget and maxStartsAfterCrashes are the platform's bound on the starts of a
	// task that crashes the servers that start it.
	crashBudget           = 3
	maxStartsAfterCrashes = 2
)

// checkCrashBudget checks the start of a task under which servers have crashed. Only
// a task that crashes servers by itself counts.
func (c *checker) checkCrashBudget(e standin.Event, t *task, s *submission) {
	if t.crashes < crashBudget || e.Unanswered || s.spec.CrashingTask == "" || !slices.Contains(s.crashingTasks(), e.Task) {
		return
	}
	t.startsAfter++
	if t.startsAfter == maxStartsAfterCrashes+1 {
		c.reportf("BUDGET: %s was started %d times after %d servers had crashed under it", e.Task, t.startsAfter, crashBudget)
	}
}

// crashingTasks returns the names of the tasks that crash servers.
func (s *submission) crashingTasks() []string {
	return []string{fmt.Sprintf("%s.0.%s", s.id, s.spec.CrashingTask)}
}

// crashingTasks is the workload of TestSoakCrashingTasks.
var crashingTasks = workload{job: randomCrashingJob, faults: append(slices.Clone(faults), crashFaults...)}

// crashFaults are the crashes that no task causes.
var crashFaults = []fault{
	{"crash_worker", func(d *deployment, r *rand.Rand) func() {
		d.workers[r.IntN(servers)].Crash(time.Duration(500+r.IntN(3500)) * time.Millisecond)
		return nil
	}},
	{"crash_rack", func(d *deployment, r *rand.Rand) func() {
		first, downtime := r.IntN(2), time.Duration(500+r.IntN(3500))*time.Millisecond
		for n := first; n < servers; n += 2 {
			d.workers[n].Crash(downtime)
		}
		return nil
	}},
}

// randomCrashingJob draws a job as randomJob does, in some cases with a task that
// crashes its server.
func randomCrashingJob(r *rand.Rand) *submission {
	s := randomJob(r)
	if r.IntN(40) == 0 && !s.spec.Fails {
		step := r.IntN(len(s.steps))
		s.spec.CrashingTask = fmt.Sprintf("%d.%d", step, r.IntN(s.steps[step].Count))
		s.spec.DownMs = int64(1500 + r.IntN(2500))
		s.body = s.encode()
	}
	return s
}

// Guards against tasks that crash one server after another (BUDGET), and jobs that
// fail or stay behind because of the crashes of others (LOST).
func TestSoakCrashingTasks(t *testing.T) {
	runSeed(t, buildScheduler(t), envSetting(t, "SOAK_SEED", defaultSeed), 20*time.Second, crashingTasks)
}

package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// crashSimulation drives a cell with simulated workers that crash under some tasks
// and return under the same identifier.
type crashSimulation struct {
	*fixture
	round    int
	workers  map[fleet.BackendServerID]*crashWorker
	crashing map[fleet.JobID][]int // indexes of the tasks of a job that crash their workers
	// unanswered makes a worker crash before it answers the start of a crashing task.
	unanswered bool
	timeouts   []startTimeout
	downtime   time.Duration
	starts     map[job.TaskRef]int
	crashes    map[job.TaskRef]int // crashes of workers that were running the task
	onCrash    func(*crashWorker)  // called before each crash; may be nil
}

// startTimeout is the time at which the cell learns that a start has no answer.
type startTimeout struct {
	at    time.Duration
	event StartAnswered
}

// crashWorker is a simulated worker.
type crashWorker struct {
	server    Server
	downUntil time.Duration
	runs      []crashRun
	finished  []FinishedRow
	lastEnd   int64
}

// crashRun is a run on a simulated worker.
type crashRun struct {
	start Start
	at    time.Duration
	step  job.Step
}

func newCrashSimulation(t *testing.T, servers ...fleet.BackendServerID) *crashSimulation {
	t.Helper()
	s := &crashSimulation{
		fixture: newFixture(t, 1), round: 1, workers: map[fleet.BackendServerID]*crashWorker{}, crashing: map[fleet.JobID][]int{},
		downtime: 3 * time.Second, starts: map[job.TaskRef]int{}, crashes: map[job.TaskRef]int{},
	}
	for _, id := range servers {
		s.workers[id] = &crashWorker{server: testServer(id)}
	}
	s.announce()
	return s
}

// announce gives the configuration and the server list to the cell.
func (s *crashSimulation) announce() {
	s.cell.settings.StatusRetention = time.Hour // jobs are queried at the end
	s.configureQueue()
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		s.handle(ServerListed{Server: s.workers[id].server})
	}
	s.handle(ServerListRead{})
}

// takeOver replaces the cell by one of the next round, restored from the records.
func (s *crashSimulation) takeOver() {
	s.round++
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[key]
		r.Key = key
		records = append(records, r)
	}
	s.fixture, s.timeouts = &fixture{t: s.t, cell: New(DefaultSettings(), s.round), now: s.now, records: s.records}, nil
	s.cell.Restore(s.moment(), records)
	s.announce()
}

// run lets time advance.
func (s *crashSimulation) run(d time.Duration) {
	s.t.Helper()
	for end := s.now + d; s.now < end; {
		s.execute()
		s.now += 10 * time.Millisecond
		s.endRuns()
		for len(s.timeouts) > 0 && s.now >= s.timeouts[0].at {
			event := s.timeouts[0].event
			s.timeouts = s.timeouts[1:]
			s.handle(event)
		}
		if s.now%(50*time.Millisecond) == 0 {
			s.handle(Tick{})
		}
	}
}

// execute carries out the actions of the cell.
func (s *crashSimulation) execute() {
	for _, a := range takeActions[Start](s.fixture) {
		s.start(a)
	}
	for _, a := range takeActions[Stop](s.fixture) {
		s.stop(a)
	}
	for _, a := range takeActions[Hold](s.fixture) {
		w := s.workers[a.Server]
		answer := HoldAnswered{Server: a.Server, Number: a.Number, Sent: s.now}
		if s.now >= w.downUntil {
			answer.OK, answer.Incarnation, answer.Clock = true, w.server.Incarnation, s.now
			w.finished = slices.DeleteFunc(w.finished, func(r FinishedRow) bool { return r.Number <= a.Ack })
			answer.Running, answer.Finished = w.running(s.now), slices.Clone(w.finished)
		}
		s.handle(answer)
	}
}

func (s *crashSimulation) start(a Start) {
	w := s.workers[a.Server]
	answer := StartAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Outcome: StartAccepted, Sent: s.now}
	up := s.now >= w.downUntil
	if up {
		s.starts[a.Task]++
		w.runs = append(w.runs, crashRun{start: a, at: s.now, step: s.cell.jobs[a.Task.Job].job.Steps[a.Task.Step]})
	}
	if !up || s.unanswered && s.crashesWorker(a.Task) {
		answer.Outcome = StartUnknown
		s.timeouts = append(s.timeouts, startTimeout{at: s.now + callTimeout, event: answer})
		return
	}
	s.handle(answer)
}

func (s *crashSimulation) stop(a Stop) {
	w := s.workers[a.Server]
	up := s.now >= w.downUntil
	if up {
		w.end(job.EndStopped, func(r crashRun) bool { return r.start.Task == a.Task && r.start.Attempt <= a.Attempt })
	}
	s.handle(StopAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, OK: up, Sent: s.now})
}

func (s *crashSimulation) crashesWorker(ref job.TaskRef) bool {
	return slices.Contains(s.crashing[ref.Job], ref.Index)
}

// endRuns ends the runs whose time has passed and crashes the workers of crashing
// tasks.
func (s *crashSimulation) endRuns() {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[id]
		if slices.ContainsFunc(w.runs, func(r crashRun) bool { return s.crashesWorker(r.start.Task) && s.now > r.at }) {
			s.crash(w)
			continue
		}
		w.end(job.EndDone, func(r crashRun) bool { return !r.step.LongRunning && s.now-r.at >= r.step.Estimate })
	}
}

// crash ends the incarnation of a worker. The next one answers after the downtime.
func (s *crashSimulation) crash(w *crashWorker) {
	if s.onCrash != nil {
		s.onCrash(w)
	}
	for _, r := range w.runs {
		s.crashes[r.start.Task]++
	}
	w.runs, w.finished, w.lastEnd = nil, nil, 0
	w.server.Incarnation++
	w.downUntil = s.now + s.downtime
}

// end ends the matching runs.
func (w *crashWorker) end(end job.End, matches func(crashRun) bool) {
	w.runs = slices.DeleteFunc(w.runs, func(r crashRun) bool {
		if !matches(r) {
			return false
		}
		w.lastEnd++
		w.finished = append(w.finished, FinishedRow{Number: w.lastEnd, Task: r.start.Task, Attempt: r.start.Attempt, End: end})
		return true
	})
}

// running returns the list of the runs.
func (w *crashWorker) running(now time.Duration) (rows []RunningRow) {
	for _, r := range w.runs {
		percent := fullSpeed
		if !r.step.LongRunning {
			percent = int(100 * (now - r.at) / r.step.Estimate)
		}
		rows = append(rows, RunningRow{Task: r.start.Task, Attempt: r.start.Attempt, Percent: percent})
	}
	return rows
}

// state returns the state of a job as its caller sees it.
func (s *crashSimulation) state(id fleet.JobID) job.State {
	s.t.Helper()
	takeActions[Reply](s.fixture)
	s.handle(StateRequested{Token: 9, ID: id})
	replies := takeActions[Reply](s.fixture)
	if len(replies) != 1 {
		s.t.Fatalf("got replies %+v to a state request, want one", replies)
	}
	return replies[0].Reply.State
}

// checkGivenUp requires that a job has failed, that its tasks were started within the
// platform's bound and that none is started again.
func (s *crashSimulation) checkGivenUp(id fleet.JobID) {
	s.t.Helper()
	if got := s.state(id); got != job.Failed {
		s.t.Errorf("got state %q of the job with a crashing task, want %q", got, job.Failed)
	}
	for ref, n := range s.starts {
		if s.crashesWorker(ref) && n > maxCrashesUnderTask+maxStartsAfterCrashes {
			s.t.Errorf("BUDGET: %s was started %d times and crashed %d workers, want at most %d starts", ref, n, s.crashes[ref], maxCrashesUnderTask+maxStartsAfterCrashes)
		}
	}
}

// checkComplete requires that a job without a crashing task is complete.
func (s *crashSimulation) checkComplete(id fleet.JobID) {
	s.t.Helper()
	if got := s.state(id); got != job.Complete {
		s.t.Errorf("LOST: got state %q of job %s, whose tasks crash no worker, want %q", got, id, job.Complete)
	}
}

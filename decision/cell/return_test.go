package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// orderTimeout is the time after which the holder of the tests gets no answer.
const orderTimeout = 700 * time.Millisecond

// unresponsiveRegion is a fixture with a sound data centre and one whose workers
// stop answering.
type unresponsiveRegion struct {
	*fixture
	silent   bool         // the workers of data centre "far" do not answer
	outcome  StartOutcome // of starts on them
	took     time.Duration
	pending  []Start // on unresponsive workers
	sent     map[runKey]time.Duration
	held     []Hold
	heldAt   map[uint64]time.Duration
	running  map[fleet.BackendServerID][]RunningRow
	ended    map[fleet.BackendServerID][]FinishedRow
	accepted []Start
	stops    int // sent to workers that do not answer

	unstopped []sentStop // stops without an answer yet
}

// sentStop is a stop and the time at which it was sent.
type sentStop struct {
	stop Stop
	sent time.Duration
}

// newUnresponsiveRegion returns a fixture with the given number of servers in each
// data centre. Tasks are placed in the order of the names: on the first servers of
// "near", then on those of "far", then on the others.
func newUnresponsiveRegion(t *testing.T, first, servers int) *unresponsiveRegion {
	f := &unresponsiveRegion{
		fixture: newFixture(t, 1), took: orderTimeout, sent: map[runKey]time.Duration{}, heldAt: map[uint64]time.Duration{},
		running: map[fleet.BackendServerID][]RunningRow{}, ended: map[fleet.BackendServerID][]FinishedRow{},
	}
	var all []Server
	for i := range servers {
		for _, dc := range []fleet.DataCentre{"far", "near"} {
			name := fmt.Sprintf("2-%s-%02d", dc, i)
			switch {
			case dc == "near" && i < first:
				name = fmt.Sprintf("1-%s-%02d", dc, i)
			case dc == "near":
				name = fmt.Sprintf("3-%s-%02d", dc, i)
			}
			s := testServer(fleet.BackendServerID(name))
			s.DataCentre = dc
			all = append(all, s)
		}
	}
	f.setUpServers(all...)
	return f
}

func (f *unresponsiveRegion) far(id fleet.BackendServerID) bool {
	return f.cell.workers[id].server.DataCentre == "far"
}

// run lets time pass in steps of 10 ms, after which sound workers answer, and
// unresponsive ones with the outcome of the fixture.
func (f *unresponsiveRegion) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * time.Millisecond
		if f.now%(50*time.Millisecond) == 0 {
			f.handle(Tick{})
		}
		f.answerStarts()
		f.answerStops()
		f.answerDueHolds()
	}
}

func (f *unresponsiveRegion) answerStarts() {
	for _, s := range takeActions[Start](f.fixture) {
		f.sent[runKey{s.Task, s.Attempt}] = f.now
		f.pending = append(f.pending, s)
	}
	pending := f.pending
	f.pending = nil
	for _, s := range pending {
		sent := f.sent[runKey{s.Task, s.Attempt}]
		switch {
		case !f.silent || !f.far(s.Server):
			f.accepted = append(f.accepted, s)
			f.running[s.Server] = append(f.running[s.Server], RunningRow{Task: s.Task, Attempt: s.Attempt, Percent: fullSpeed})
			f.acceptStart(s)
		case f.now-sent >= f.took:
			f.handle(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: f.outcome, Sent: sent})
		default:
			f.pending = append(f.pending, s)
		}
	}
}

func (f *unresponsiveRegion) answerStops() {
	for len(f.unstopped) > 0 && f.now-f.unstopped[0].sent >= orderTimeout {
		s := f.unstopped[0].stop
		f.unstopped = f.unstopped[1:]
		f.handle(StopAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Sent: f.now})
	}
	for _, s := range takeActions[Stop](f.fixture) {
		if f.silent && f.far(s.Server) {
			f.unstopped = append(f.unstopped, sentStop{s, f.now})
			f.stops++
			continue
		}
		f.end(s.Server, s.Task, job.EndStopped)
		f.handle(StopAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, OK: true, Sent: f.now})
	}
}

// end ends the run of a task on a server.
func (f *unresponsiveRegion) end(id fleet.BackendServerID, task job.TaskRef, end job.End) {
	for i, row := range f.running[id] {
		if row.Task == task {
			f.running[id] = append(f.running[id][:i:i], f.running[id][i+1:]...)
			f.ended[id] = append(f.ended[id], FinishedRow{Number: int64(len(f.ended[id]) + 1), Task: task, Attempt: row.Attempt, End: end})
			return
		}
	}
}

func (f *unresponsiveRegion) answerDueHolds() {
	for _, h := range takeActions[Hold](f.fixture) {
		f.held = append(f.held, h)
		f.heldAt[h.Number] = f.now
	}
	held := f.held
	f.held = nil
	for _, h := range held {
		waited, ends := f.now-f.heldAt[h.Number], f.ended[h.Server]
		silent := f.silent && f.far(h.Server)
		switch {
		case silent && waited >= h.Wait+orderTimeout:
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.heldAt[h.Number]})
		case !silent && (waited >= h.Wait || len(ends) > int(h.Ack)):
			f.handle(HoldAnswered{
				Server: h.Server, Number: h.Number, Sent: f.heldAt[h.Number], OK: true, Incarnation: 1, Clock: f.now,
				Running: f.running[h.Server], Finished: ends,
			})
		default:
			f.held = append(f.held, h)
		}
	}
}

// smallTasks returns a step of which a test server has room for 16 tasks.
func smallTasks(count int) job.Step {
	return job.Step{Count: count, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}, Estimate: time.Minute}
}

// Guards against starts that wait although sound workers have room, because starts on
// unresponsive workers use up the bound on unanswered starts (LOST, incident of
// 2026-12-05).
func TestUnresponsiveRegionDoesNotHoldUpStartsElsewhere(t *testing.T) {
	f := newUnresponsiveRegion(t, 0, 40)
	f.run(2 * time.Second)
	f.silent = true
	for i := range 4 {
		f.submit(fleet.JobID(fmt.Sprintf("00000000000000b%d", i)), smallTasks(1000))
		f.accepted = nil
		began := f.now
		for len(f.accepted) == 0 && f.now-began < 3*time.Second {
			f.run(10 * time.Millisecond)
		}
		if waited := f.now - began; waited > 200*time.Millisecond {
			t.Errorf("after %v without answers from one region, no sound worker got a start for %v, want at most 200ms", began-3*time.Second, waited)
		}
		f.run(100 * time.Millisecond)
		for _, s := range f.accepted { // make room for the next job
			f.end(s.Server, s.Task, job.EndDone)
		}
		f.run(700 * time.Millisecond)
		f.handle(CancelRequested{Token: 1, Queue: "q", ID: fleet.JobID(fmt.Sprintf("00000000000000b%d", i))})
		f.run(300 * time.Millisecond)
	}
}

// Guards against further starts on a worker that left one unanswered, before it
// answers something, and against a wait after its answer.
func TestWorkerGetsNoStartUntilItAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome StartOutcome
	}{
		{"unanswered", StartUnknown},
		{"no connection", StartNotConnected},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			f.submit("00000000000000b1", smallTasks(1))
			first := takeActions[Start](f)[0]
			f.advance(200 * time.Millisecond)
			f.submit("00000000000000b2", smallTasks(1))
			if starts := takeActions[Start](f); len(starts) != 0 {
				t.Errorf("got starts %+v while one had had no answer for 200ms, want none", starts)
			}
			f.handle(StartAnswered{Server: "a", Task: first.Task, Attempt: first.Attempt, Outcome: c.outcome, Sent: f.now})
			f.advance(100 * time.Millisecond)
			if starts := takeActions[Start](f); len(starts) != 0 {
				t.Errorf("got starts %+v after one without an answer, want none", starts)
			}
			f.handle(HoldAnswered{Server: "a", Number: f.cell.workers["a"].holdInFlight, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
			if starts := takeActions[Start](f); len(starts) == 0 {
				t.Error("got no start right after the worker's answer, want one")
			}
		})
	}
}

// Guards against order duties that are occupied by stops sent again and again to
// workers that do not answer, and against a stop that waits after the answer.
func TestStopIsNotRepeatedWhileWorkerDoesNotAnswer(t *testing.T) {
	f := newUnresponsiveRegion(t, 0, 10)
	f.submit(testJob, longRunningStep(20))
	f.run(2 * time.Second)
	f.silent = true
	f.handle(CancelRequested{Token: 1, Queue: "q", ID: testJob})
	f.run(5 * time.Second)
	runs := 0
	for id, rows := range f.running {
		if f.far(id) {
			runs += len(rows)
		}
	}
	if runs == 0 || f.stops > 3*runs {
		t.Errorf("got %d stops of %d runs in 5 s without an answer, want at most three of each", f.stops, runs)
	}
	f.silent = false
	f.run(1100 * time.Millisecond)
	for id, rows := range f.running {
		if len(rows) > 0 {
			t.Errorf("%d tasks of the cancelled job run on %s 1.1 s after it answers, want none", len(rows), id)
		}
	}
}

// Guards against a long-running task that is not running again within 6 s of its last
// run, although sound workers have room for it, while servers leave and the workers of
// the other region answer nothing, refuse or answer late (LOST).
func TestLongRunningTaskReturnsInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome StartOutcome
		took    time.Duration
	}{
		{"no answers", StartUnknown, orderTimeout},
		{"no connections", StartNotConnected, 500 * time.Millisecond},
		{"late refusals", StartRefused, 650 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			const leaving = 10
			f := newUnresponsiveRegion(t, leaving, 40)
			f.outcome, f.took = c.outcome, c.took
			f.submit(testJob, longRunningStep(60)) // two on each server that leaves, and on half of those of the other region
			f.run(3 * time.Second)
			lastRun := map[job.TaskRef]time.Duration{}
			for i, began := 0, f.now; f.now-began < 10*time.Second; i++ {
				f.silent = i%14 < 12
				if i%2 == 0 && i/2 < leaving {
					s := f.cell.workers[fleet.BackendServerID(fmt.Sprintf("1-near-%02d", i/2))].server
					s.Draining = true
					f.handle(ServerListed{Server: s})
				}
				f.accepted = nil
				f.submit(fleet.JobID(fmt.Sprintf("0000000000001%03d", i)), smallTasks(100))
				for range 5 {
					f.run(50 * time.Millisecond)
					f.checkReturns(lastRun)
				}
				for _, s := range f.accepted { // the small tasks take up to 250 ms
					if s.Task.Job != testJob {
						f.end(s.Server, s.Task, job.EndDone)
					}
				}
			}
		})
	}
}

// checkReturns requires that each task of testJob runs, or ran less than 6 s ago.
func (f *unresponsiveRegion) checkReturns(lastRun map[job.TaskRef]time.Duration) {
	for _, rows := range f.running {
		for _, r := range rows {
			lastRun[r.Task] = f.now
		}
	}
	for task, at := range lastRun {
		if task.Job == testJob && f.now-at > 6*time.Second && f.now-at <= 6*time.Second+50*time.Millisecond {
			f.t.Errorf("%s has not run for %v, want it back within 6 s", task, f.now-at)
		}
	}
}

// Guards against preemption for a task that waits for answers to other starts although
// workers have room for it.
func TestTaskIsNotPreemptedWhileWorkersHaveRoom(t *testing.T) {
	f := newFixture(t, 1)
	var servers []Server
	for i := range 30 {
		servers = append(servers, testServer(fleet.BackendServerID(fmt.Sprintf("s-%02d", i))))
	}
	f.setUpServers(servers...)
	f.fillWithLongRunning(longRunningStep(40))
	f.cell.unansweredStarts = maxUnansweredCalls - 1
	f.submit("00000000000000b1", job.Step{Count: 30, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, Estimate: time.Second})
	for range 10 { // one start is answered in each interval
		f.cell.unansweredStarts = maxUnansweredCalls - 1
		f.advance(50 * time.Millisecond)
	}
	if stops := takeActions[Stop](f); len(stops) != 0 {
		t.Errorf("got stops %+v although ten servers are empty, want none", stops)
	}
}

package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// fixture drives a cell in virtual time. The test answers the cell's actions itself.
type fixture struct {
	t       *testing.T
	cell    *Cell
	now     time.Duration
	actions []Action
	records map[Key]Record
}

const testJob fleet.JobID = "00000000000000aa"

// newFixture returns a fixture whose cell is restored from the records in the given
// round.
func newFixture(t *testing.T, round int, records ...Record) *fixture {
	t.Helper()
	f := &fixture{t: t, cell: New(DefaultSettings(), round), now: time.Second, records: map[Key]Record{}}
	f.cell.Restore(f.moment(), records)
	return f
}

func (f *fixture) moment() Moment { return Moment{Steady: f.now, Wall: time.Unix(1000, 0).Add(f.now)} }

// handle applies an event, commits the resulting records at once and collects the
// actions.
func (f *fixture) handle(e Event) {
	f.cell.Handle(f.moment(), e)
	f.actions = append(f.actions, f.cell.Actions()...)
	for b, ok := f.cell.TakeBatch(); ok; b, ok = f.cell.TakeBatch() {
		for _, r := range b.Records {
			f.records[r.Key] = r
		}
		f.cell.Handle(f.moment(), Committed{Batch: b.Number})
		f.actions = append(f.actions, f.cell.Actions()...)
	}
}

// takeStarts lets the time until the scheduling pass that is due pass, removes the
// starts from the collected actions and returns them.
func (f *fixture) takeStarts() []Start {
	if wait, due := f.cell.PassDue(f.now); due {
		f.now += wait
		f.handle(PassTime{})
	}
	return takeActions[Start](f)
}

// advance lets time advance in ticks.
func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		f.handle(Tick{})
	}
}

// takeActions removes the actions of type A from the collected ones and returns them.
func takeActions[A Action](f *fixture) []A {
	var found []A
	var rest []Action
	for _, a := range f.actions {
		if match, ok := a.(A); ok {
			found = append(found, match)
			continue
		}
		rest = append(rest, a)
	}
	f.actions = rest
	return found
}

// configureQueue configures queue q of service s.
func (f *fixture) configureQueue() {
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second}}})
}

func testServer(id fleet.BackendServerID) Server {
	return Server{ID: id, Address: string(id), Service: "s", Incarnation: 1, Capacity: fleet.Resources{MilliCPU: 16000, MemoryMiB: 64000}, Labels: []string{"a", "r1"}}
}

// answerHolds answers every collected Hold with the given rows of its server.
func (f *fixture) answerHolds(running map[fleet.BackendServerID][]RunningRow, finished map[fleet.BackendServerID][]FinishedRow) {
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
			Running: running[h.Server], Finished: finished[h.Server],
		})
	}
}

// setUpServers configures the queue, adds the servers and answers the calls that
// fence them, so that the cell can start tasks on them.
func (f *fixture) setUpServers(servers ...Server) {
	f.configureQueue()
	for _, s := range servers {
		f.handle(ServerListed{Server: s})
	}
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
}

func (f *fixture) submit(id fleet.JobID, steps ...job.Step) {
	f.handle(Submitted{Token: 1, Job: job.Job{ID: id, Queue: "q", Steps: steps}})
}

func (f *fixture) acceptStart(s Start) {
	f.handle(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: StartAccepted, Sent: f.now})
}

// acceptAllStarts accepts starts until none follows, and lets all runs reach full
// speed.
func (f *fixture) acceptAllStarts() {
	for starts := f.takeStarts(); len(starts) > 0; starts = f.takeStarts() {
		for _, s := range starts {
			f.acceptStart(s)
		}
	}
	for _, w := range f.cell.sortedWorkers {
		for _, r := range w.runsInOrder {
			r.percent = fullSpeed
		}
	}
}

// oneTaskStep returns a step with one task. A test server has capacity for one such
// task.
func oneTaskStep() job.Step {
	return job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 9000, MemoryMiB: 1000}, Estimate: time.Second}
}
